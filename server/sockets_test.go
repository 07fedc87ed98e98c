package server

import (
	"fmt"
	"net"
	"os"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"github.com/gaplink/gaplink/peer"
	"github.com/gaplink/gaplink/sockets"
	"github.com/gaplink/gaplink/upstream"
)

// Guards against a share that is missing from the metrics or has the wrong purpose label.
func TestSocketsAndTheirSharesAreShown(t *testing.T) {
	s := &Server{
		registry:    prometheus.NewRegistry(),
		shares:      sockets.Shares{Callers: 40, Backends: 30, PeersIn: 20, PeersOut: 10},
		callerLimit: callerLimit(4096, 40),
		pool:        upstream.New(upstream.Options{}),
		peers:       peer.NewClient(peer.Options{}), helloClient: peer.NewUnpooledClient(peer.Options{}),
	}
	s.registerSockets()
	families, err := s.registry.Gather()
	if err != nil {
		t.Fatal(err)
	}
	got := map[string]float64{}
	for _, f := range families {
		for _, m := range f.GetMetric() {
			got[f.GetName()+" "+m.GetLabel()[0].GetValue()] = m.GetGauge().GetValue()
		}
	}
	for purpose, share := range map[string]float64{"callers": 40, "backends": 30, "peers_in": 20, "peers_out": 10} {
		if got["gaplink_sockets_allowed "+purpose] != share {
			t.Errorf("%s: %v allowed, want %v", purpose, got["gaplink_sockets_allowed "+purpose], share)
		}
		if open, known := got["gaplink_sockets_open "+purpose]; !known || open != 0 {
			t.Errorf("%s: %v open, known %v", purpose, open, known)
		}
	}
}

// Guards against flooding the log when the process is out of file descriptors, and against logging
// other errors as such.
func TestDescriptorExhaustionIsLoggedAtALimitedRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		core, lines := observer.New(zapcore.InfoLevel)
		d := &descriptors{open: func() openSockets { return openSockets{callers: 7, peersOut: 3} }, log: zap.New(core)}
		none := fmt.Errorf("accepting: %w", &net.OpError{Op: "accept", Err: os.NewSyscallError("accept4", syscall.EMFILE)})
		d.handleError(os.NewSyscallError("connect", syscall.ECONNREFUSED))
		if lines.Len() != 0 {
			t.Error("another error is logged")
		}
		for range 50 {
			d.handleError(none)
		}
		time.Sleep(2 * time.Second)
		d.handleError(none)
		if lines.Len() != 2 {
			t.Fatalf("%d lines", lines.Len())
		}
		last := lines.All()[1].ContextMap()
		if last["callers"] != int64(7) || last["peers_out"] != int64(3) || last["lines_left_out"] != int64(49) {
			t.Errorf("%+v", last)
		}
	})
}
