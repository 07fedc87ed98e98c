package peer_test

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/gaplink/gaplink/lab/tcptest"
	"github.com/gaplink/gaplink/peer"
)

// blockingServer serves a method that responds once answer is closed or receives a value, and
// counts open connections.
type blockingServer struct {
	answer chan struct{}
	open   atomic.Int64
}

func (p *blockingServer) listen(t *testing.T) (addr string) {
	t.Helper()
	m := peer.NewMux()
	peer.Handle(m, "wait", func(ctx context.Context, req *message) (*message, error) {
		select {
		case <-p.answer:
		case <-ctx.Done():
		}
		return req, nil
	})
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go func() { _ = peer.Serve(ctx, inner, m) }()
	return tcptest.Listen(t, func(conn net.Conn, _ int) {
		p.open.Add(1)
		defer p.open.Add(-1)
		proxy := &truncatingProxy{target: inner.Addr().String(), request: -1, answer: -1}
		proxy.relay(conn)
	})
}

// maxOpenConnections samples the number of open connections of a client, which the server sees
// closed only later, and returns a function for the maximum so far.
func maxOpenConnections(t *testing.T, client *peer.Client) func() int64 {
	t.Helper()
	var most atomic.Int64
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	go func() {
		for ctx.Err() == nil {
			most.Store(max(most.Load(), client.Open()))
			time.Sleep(100 * time.Microsecond)
		}
	}()
	return most.Load
}

// Guards against calls to other routers that exceed their share of file descriptors: after a
// pause of the process hundreds of calls are due at once, and none is answered soon.
func TestOpenConnectionsAreBounded(t *testing.T) {
	for name, build := range map[string]func(peer.Options) *peer.Client{"client": peer.NewClient, "greeter": peer.NewUnpooledClient} {
		t.Run(name, func(t *testing.T) {
			const limit = 8
			p := &blockingServer{answer: make(chan struct{})}
			addr := p.listen(t)
			client := build(peer.Options{DialTimeout: time.Second, MaxOpen: limit})
			defer func() { _ = client.Close() }()
			opened := maxOpenConnections(t, client)
			var waiting sync.WaitGroup
			var failed atomic.Int64
			for range 60 {
				waiting.Add(1)
				go func() {
					defer waiting.Done()
					ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
					defer cancel()
					if _, err := peer.Call[message, message](ctx, client, addr, "wait", &message{}); err != nil {
						failed.Add(1)
					}
				}()
			}
			waiting.Wait()
			if failed.Load() != 60 {
				t.Errorf("%d calls failed", failed.Load())
			}
			if n := opened(); n == 0 || n > limit {
				t.Errorf("%d connections open at once, want 1 to %d", n, limit)
			}
			close(p.answer)
			if _, err := peer.Call[message, message](t.Context(), client, addr, "wait", &message{}); err != nil {
				t.Errorf("call after the burst: %v", err)
			}
			if n := client.Open(); n > limit {
				t.Errorf("%d connections open", n)
			}
		})
	}
}

// Guards against a call that waits for a slot beyond its deadline, or that then fails without
// ErrNotSent.
func TestCallWithoutSlotIsNotSent(t *testing.T) {
	p := &blockingServer{answer: make(chan struct{})}
	addr := p.listen(t)
	client := peer.NewUnpooledClient(peer.Options{DialTimeout: time.Second, MaxOpen: 1})
	defer func() { _ = client.Close() }()
	go func() {
		_, _ = peer.Call[message, message](t.Context(), client, addr, "wait", &message{})
	}()
	for p.open.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	_, err := peer.Call[message, message](ctx, client, addr, "wait", &message{})
	if !errors.Is(err, peer.ErrNotSent) || !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("%v", err)
	}
	close(p.answer)
}

// Guards against a limit of one connection that is treated as no limit.
func TestLimitOfOneConnection(t *testing.T) {
	p := &blockingServer{answer: make(chan struct{})}
	addr := p.listen(t)
	client := peer.NewClient(peer.Options{DialTimeout: time.Second, MaxOpen: 1})
	defer func() { _ = client.Close() }()
	opened := maxOpenConnections(t, client)
	var waiting sync.WaitGroup
	for range 5 {
		waiting.Go(func() {
			ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
			defer cancel()
			_, _ = peer.Call[message, message](ctx, client, addr, "wait", &message{}) // no call is answered
		})
	}
	waiting.Wait()
	if n := opened(); n != 1 {
		t.Errorf("%d connections at once", n)
	}
}

// Guards against calls that are lost while they wait for one of the limited concurrent dials.
func TestConcurrentDialsAreLimited(t *testing.T) {
	var calls atomic.Int64
	addr := echo(t, &calls)
	client := peer.NewClient(peer.Options{DialTimeout: 20 * time.Second})
	defer func() { _ = client.Close() }()
	var waiting sync.WaitGroup
	for range 200 {
		waiting.Add(1)
		go func() {
			defer waiting.Done()
			if _, err := peer.Call[message, message](t.Context(), client, addr, "echo", &message{}); err != nil {
				t.Error(err)
			}
		}()
	}
	waiting.Wait()
	if calls.Load() != 200 {
		t.Errorf("%d calls of 200 arrived", calls.Load())
	}
}
