package gateway

import (
	"context"
	"sync"

	"github.com/gaplink/gaplink/clock"
)

// runningCalls holds the requests that are dispatched to servers and the function that cancels
// each. The zero value is ready to use.
type runningCalls struct {
	mu    sync.Mutex
	calls map[*call]context.CancelFunc
}

// add registers a request until the returned function is called.
func (r *runningCalls) add(c *call, cancel context.CancelFunc) (remove func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.calls == nil {
		r.calls = map[*call]context.CancelFunc{}
	}
	r.calls[c] = cancel
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		delete(r.calls, c)
	}
}

// Resumed must be called after the machine was suspended. It cancels the requests whose deadline
// passed meanwhile: their timers did not run during the suspension, and servers would keep
// working for callers that have disconnected.
func (g *Gateway) Resumed() {
	g.running.mu.Lock()
	defer g.running.mu.Unlock()
	for c, cancel := range g.running.calls {
		if c.deadlinePassed() {
			cancel()
		}
	}
}

// deadlinePassed reports whether the request's deadline has passed, counting time during which
// the machine was suspended.
func (c *call) deadlinePassed() bool { return clock.Until(c.deadline) <= 0 }
