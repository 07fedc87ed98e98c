package server

import (
	"net"
	"testing"
	"time"

	"github.com/gaplink/gaplink/gateway"
	"github.com/gaplink/gaplink/link"
	"github.com/gaplink/gaplink/sockets"
)

func TestCallerLimitFollowsMemory(t *testing.T) {
	small, large := callerLimit(184, 0), callerLimit(536, 0)
	if small < 1000 || small > 2500 {
		t.Fatalf("%d connections in 184 MB", small)
	}
	if large <= 2*small {
		t.Fatalf("%d connections in 536 MB, %d in 184 MB", large, small)
	}
}

func TestCallerLimitFollowsTheShareOfDescriptors(t *testing.T) {
	if n := callerLimit(4096, 50); n != 50 {
		t.Errorf("%d connections with a share of 50", n)
	}
	if callerLimit(184, 0) != callerLimit(184, 100000) {
		t.Error("a share above the memory limit changes the limit")
	}
}

// Guards against a router that stays ready until it cannot accept another connection.
func TestRouterShedsCallersBeforeTheLimit(t *testing.T) {
	raw, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &Server{callerLimit: 10, descriptors: &descriptors{}}
	if s.aboveHighWatermark() {
		t.Error("above the high watermark before it listens")
	}
	l := s.boundCallers(raw)
	defer func() { _ = l.Close() }()
	var open []net.Conn
	for n := 1; n <= 10; n++ {
		c, err := net.Dial("tcp", raw.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = c.Close() }()
		accepted, err := l.Accept()
		if err != nil {
			t.Fatal(err)
		}
		open = append(open, accepted)
		if s.aboveHighWatermark() != (n >= 7) {
			t.Errorf("above the high watermark: %v with %d of 10 connections", s.aboveHighWatermark(), n)
		}
	}
	for _, c := range open[:5] {
		_ = c.Close()
	}
	if s.aboveHighWatermark() {
		t.Error("above the high watermark with 5 of 10 connections")
	}
}

// The gateway can reset a caller's connection only if it can unwrap the listeners' wrappers, which
// count bytes and limit connections.
func TestCallerConnectionsAreReachable(t *testing.T) {
	raw, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := link.New(0, time.Now()).Of(link.Callers).Listener(sockets.NewListener(raw, 1))
	defer func() { _ = l.Close() }()
	c, err := net.Dial("tcp", raw.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	accepted, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	ctx := gateway.ConnContext(t.Context(), accepted)
	if ctx == t.Context() {
		t.Fatal("the connection was not found")
	}
	_ = accepted.Close()
}
