package server

import (
	"errors"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/gaplink/gaplink/gateway"
	"github.com/gaplink/gaplink/link"
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

// TestDescriptorsBoundBothSides: the pattern is a large account whose callers are all
// handed to one small router: thousands of connections of callers, and one to a
// backend server for each request. Together they must leave room for files and for
// the other routers.
func TestDescriptorsBoundBothSides(t *testing.T) {
	for _, limit := range []int{2048, 4100, 8192} {
		if sum := newCrowd(4096, limit).most + maxUpstream(limit); sum > limit-fileDescriptors-routerDescriptors {
			t.Errorf("%d connections on both sides with %d descriptors", sum, limit)
		}
	}
	if n := newCrowd(4096, 300).most; n < 50 {
		t.Errorf("%d connections with few descriptors", n)
	}
	if newCrowd(184, 0).most != newCrowd(184, 100000).most {
		t.Error("descriptors that are plenty change the bound")
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

func TestBoundedListenerHoldsBackWhatIsTooMany(t *testing.T) {
	raw, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := bounded(raw, 1)
	accepted := make(chan net.Conn)
	ended := make(chan error)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				ended <- err
				return
			}
			accepted <- c
		}
	}()
	for range 2 {
		c, err := net.Dial("tcp", raw.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = c.Close() }()
	}
	first := <-accepted
	select {
	case <-accepted:
		t.Fatal("two connections at once")
	case <-time.After(50 * time.Millisecond):
	}
	_ = first.Close()
	_ = first.Close() // gives one slot back, not two
	second := <-accepted
	if err := l.Close(); err != nil {
		t.Fatal(err)
	}
	if err := <-ended; !errors.Is(err, net.ErrClosed) {
		t.Fatal(err)
	}
	_ = second.Close()
}

// The gateway can reset a caller's connection only if it finds it below all that
// counts and bounds connections.
func TestCallerConnectionsAreReachable(t *testing.T) {
	raw, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := link.New(0, time.Now()).Listener(newCrowd(16, 0).listener(raw))
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
