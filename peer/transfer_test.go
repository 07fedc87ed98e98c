package peer_test

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/gaplink/gaplink/link"
	"github.com/gaplink/gaplink/peer"
)

// fullListener closes each connection that is opened while it is full.
type fullListener struct {
	net.Listener
	full atomic.Bool
}

func (l *fullListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil || !l.full.Load() {
			return c, err
		}
		_ = c.Close()
	}
}

// Guards against short calls that wait for a transfer, or dial because it has taken their
// connection: on a saturated link a dial alone takes as long as the queue there.
func TestTransferLeavesTheConnectionOfShortCalls(t *testing.T) {
	for _, method := range []string{peer.MethodList, peer.MethodConfig} {
		raw, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		l := &fullListener{Listener: raw}
		started, finish := make(chan struct{}), make(chan struct{})
		m := peer.NewMux()
		peer.Handle(m, peer.MethodUpdates, func(context.Context, *message) (*message, error) { return &message{}, nil })
		peer.Handle(m, method, func(context.Context, *message) (*message, error) {
			close(started)
			<-finish
			return &message{}, nil
		})
		serving, stop := context.WithCancel(t.Context())
		defer stop()
		go func() { _ = peer.Serve(serving, l, m) }()
		c := peer.NewClient(peer.Options{DialTimeout: time.Second})
		defer func() { _ = c.Close() }()
		addr := l.Addr().String()
		short := func() error {
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			_, err := peer.Call[message, message](ctx, c, addr, peer.MethodUpdates, &message{})
			return err
		}
		if err := short(); err != nil {
			t.Fatal(err)
		}
		ended := make(chan error, 1)
		go func() {
			_, err := peer.Call[message, message](t.Context(), c, addr, method, &message{})
			ended <- err
		}()
		<-started
		l.full.Store(true)
		if err := short(); err != nil {
			t.Errorf("a short call during %s: %v", method, err)
		}
		close(finish)
		if err := <-ended; err != nil {
			t.Errorf("%s: %v", method, err)
		}
	}
}

// Guards against calls of other routers that are missing from the bytes at the link.
func TestBytesOfCallsAreCounted(t *testing.T) {
	var calls atomic.Int64
	m := link.New(0, time.Now())
	c := peer.NewClient(peer.Options{DialTimeout: time.Second, Counter: m.Of(link.Routers)})
	defer func() { _ = c.Close() }()
	req := message{Value: make([]byte, 1000)}
	if _, err := peer.Call[message, message](t.Context(), c, echo(t, &calls), "echo", &req); err != nil {
		t.Fatal(err)
	}
	if got := m.Total(link.Routers); got.In < 1000 || got.Out < 1000 || got.In+got.Out != c.Bytes() {
		t.Errorf("%+v, the client counts %d", got, c.Bytes())
	}
}
