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
	// helloSocketsDivisor is the inverse of the fraction of outgoing peer sockets reserved for
	// Hello calls.
	helloSocketsDivisor = 4
	// connectionBytes is the memory of one caller connection, including its buffers and data
	// received but not yet read.
	connectionBytes = 48 << 10
	// connectionMemory is the fraction of the memory limit that caller connections may use.
	connectionMemory = 0.5
	// callerHighWatermark is the fraction of the allowed caller connections from which the router
	// reports itself as not ready and closes connections after their response: it could not serve
	// more callers in time.
	callerHighWatermark = 0.7
	// socketLogInterval is the minimum time between two log lines about sockets that could not be
	// opened.
	socketLogInterval = time.Second
)

// callerLimit returns the maximum number of caller connections, by the memory limit in MB and by
// the callers' share of the file descriptors; a share of 0 is unknown and sets no limit.
func callerLimit(memoryMB int64, share int) int {
	limit := int(connectionMemory * float64(memoryMB<<20) / connectionBytes)
	if share > 0 {
		limit = min(limit, share)
	}
	return limit
}

// aboveHighWatermark reports whether so many caller connections are open that the router should
// receive no new ones.
func (s *Server) aboveHighWatermark() bool {
	return float64(s.callerListener.Open()) >= callerHighWatermark*float64(s.callerLimit)
}

// boundCallers limits the connections of callers.
func (s *Server) boundCallers(l net.Listener) net.Listener {
	b := sockets.NewListener(l, s.callerLimit)
	b.OnError = s.descriptors.handleError
	s.callerListener = b
	return b
}

// boundChecks limits the connections of readiness checks and of metrics scrapes.
func (s *Server) boundChecks(l net.Listener) net.Listener {
	return sockets.NewEvictingListener(l, s.shares.Checks)
}

// openSockets holds the number of open sockets per purpose.
type openSockets struct{ callers, backends, peersIn, peersOut int64 }

func (s *Server) openSockets() openSockets {
	return openSockets{
		callers: s.callerListener.Open(), backends: int64(s.pool.Open()),
		peersIn: s.peerListener.Open(), peersOut: s.peers.Open() + s.helloClient.Open(),
	}
}

// descriptors logs file descriptor exhaustion, at a limited rate.
type descriptors struct {
	open  func() openSockets
	log   *zap.Logger
	lines logs.RateLimit
}

// handleError logs an error of opening or accepting a connection if no file descriptor was left.
func (d *descriptors) handleError(err error) {
	if !errors.Is(err, syscall.EMFILE) {
		return
	}
	suppressed, allowed := d.lines.Allow(clock.Now(), socketLogInterval)
	if !allowed {
		return
	}
	o := d.open()
	d.log.Warn("no descriptor left", zap.Int64("callers", o.callers), zap.Int64("backends", o.backends),
		zap.Int64("peers_in", o.peersIn), zap.Int64("peers_out", o.peersOut), zap.Int64("lines_left_out", suppressed), zap.Error(err))
}

// registerSockets registers the metrics of open and allowed sockets.
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
