package server

import (
	"errors"
	"net"
	"syscall"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/gaplink/gaplink/clock"
	"github.com/gaplink/gaplink/logs"
	"github.com/gaplink/gaplink/sockets"
)

const (
	// greetingShare is the part, one in so many, of the sockets to other routers that greetings
	// may take.
	greetingShare = 4
	// connectionBytes is the memory that a caller's connection takes with its buffers and what
	// has arrived and is not read.
	connectionBytes = 48 << 10
	// connectionMemory is the part of the process's memory that callers' connections may take.
	connectionMemory = 0.5
	// crowdedAt is the part of the allowed connections from which the router takes no new ones
	// and closes those that it has answered: callers that it cannot serve in time do better
	// elsewhere.
	crowdedAt = 0.7
	// socketLinesEvery is the least time between two log lines about sockets that could not be
	// opened.
	socketLinesEvery = time.Second
)

// callerLimit returns how many connections callers may have open: by the process's memory, and by
// their share of its descriptors; a share of 0 is not known.
func callerLimit(memoryMB int64, share int) int {
	limit := int(connectionMemory * float64(memoryMB<<20) / connectionBytes)
	if share > 0 {
		limit = min(limit, share)
	}
	return limit
}

// crowded tells whether the router should get no new connections of callers.
func (s *Server) crowded() bool {
	return float64(s.callerSide.Open()) >= crowdedAt*float64(s.callerLimit)
}

// boundCallers bounds the connections of callers.
func (s *Server) boundCallers(l net.Listener) net.Listener {
	b := sockets.Bound(l, s.callerLimit)
	b.Failed = s.descriptors.failed
	s.callerSide = b
	return b
}

// boundChecks bounds the connections of readiness checks and of metrics readers.
func (s *Server) boundChecks(l net.Listener) net.Listener {
	return sockets.BoundEvicting(l, s.shares.Checks)
}

// openSockets is how many sockets are open, by purpose.
type openSockets struct{ callers, backends, peersIn, peersOut int64 }

func (s *Server) openSockets() openSockets {
	return openSockets{
		callers: s.callerSide.Open(), backends: int64(s.pool.Open()),
		peersIn: s.peerSide.Open(), peersOut: s.peers.Open() + s.greeter.Open(),
	}
}

// descriptors logs when the process has no descriptor left.
type descriptors struct {
	open  func() openSockets
	log   *zap.Logger
	lines logs.Sparse
}

// failed takes an error of opening or accepting a connection.
func (d *descriptors) failed(err error) {
	if !errors.Is(err, syscall.EMFILE) {
		return
	}
	leftOut, due := d.lines.Due(clock.Now(), socketLinesEvery)
	if !due {
		return
	}
	o := d.open()
	d.log.Warn("no descriptor left", zap.Int64("callers", o.callers), zap.Int64("backends", o.backends),
		zap.Int64("peers_in", o.peersIn), zap.Int64("peers_out", o.peersOut), zap.Int64("lines_left_out", leftOut), zap.Error(err))
}

// registerSockets registers the open sockets and their shares.
func (s *Server) registerSockets() {
	for purpose, p := range map[string]struct {
		share int
		open  func(openSockets) int64
	}{
		"callers":   {s.callerLimit, func(o openSockets) int64 { return o.callers }},
		"backends":  {s.shares.Backends, func(o openSockets) int64 { return o.backends }},
		"peers_in":  {s.shares.PeersIn, func(o openSockets) int64 { return o.peersIn }},
		"peers_out": {s.shares.PeersOut, func(o openSockets) int64 { return o.peersOut }},
	} {
		labels := prometheus.Labels{"purpose": purpose}
		s.labelledGauge("gaplink_sockets_open", "Open sockets, by purpose.", labels, func() float64 { return float64(p.open(s.openSockets())) })
		s.labelledGauge("gaplink_sockets_allowed", "How many sockets a purpose may have open; 0: any number.", labels, func() float64 { return float64(p.share) })
	}
}

func (s *Server) labelledGauge(name, help string, labels prometheus.Labels, read func() float64) {
	s.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help, ConstLabels: labels}, read))
}
