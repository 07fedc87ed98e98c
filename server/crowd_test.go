package server

import (
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/gaplink/gaplink/gateway"
	"github.com/gaplink/gaplink/link"
	"github.com/gaplink/gaplink/sockets"
)

func TestCrowdFollowsMemory(t *testing.T) {
	small, large := newCrowd(184, 0), newCrowd(536, 0)
	if small.most < 1000 || small.most > 2500 {
		t.Fatalf("%d connections in 184 MB", small.most)
	}
	if large.most <= 2*small.most {
		t.Fatalf("%d connections in 536 MB, %d in 184 MB", large.most, small.most)
	}
}

func TestCrowdFollowsItsShareOfDescriptors(t *testing.T) {
	if n := newCrowd(4096, 50).most; n != 50 {
		t.Errorf("%d connections with a share of 50", n)
	}
	if newCrowd(184, 0).most != newCrowd(184, 100000).most {
		t.Error("a share that is plenty changes the bound")
	}
}

func TestCrowdIsFullBeforeItsBound(t *testing.T) {
	c := newCrowd(16, 0)
	for range c.most - 1 {
		c.changed(nil, http.StateNew)
	}
	if !c.full() {
		t.Fatalf("not full with %d of %d connections", c.open.Load(), c.most)
	}
	for range c.most / 2 {
		c.changed(nil, http.StateActive)
		c.changed(nil, http.StateClosed)
	}
	if c.full() {
		t.Fatalf("full with %d of %d connections", c.open.Load(), c.most)
	}
}

// The gateway can reset a caller's connection only if it finds it below all that
// counts and bounds connections.
func TestCallerConnectionsAreReachable(t *testing.T) {
	raw, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := link.New(0, time.Now()).Listener(sockets.Bound(raw, 1))
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
