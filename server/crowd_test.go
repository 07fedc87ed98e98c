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
	small, large := newCrowd(184), newCrowd(536)
	if small.most < 1000 || small.most > 2500 {
		t.Fatalf("%d connections in 184 MB", small.most)
	}
	if large.most <= 2*small.most {
		t.Fatalf("%d connections in 536 MB, %d in 184 MB", large.most, small.most)
	}
}

func TestCrowdIsFullBeforeItsBound(t *testing.T) {
	c := newCrowd(16)
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
	l := link.New(0, time.Now()).Listener(newCrowd(16).listener(raw))
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
