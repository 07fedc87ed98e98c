package wait

import (
	"context"
	"sync"
	"sync/atomic"
	"time"
)

// Gate holds callers back while something is being loaded. The zero Gate is open. It is safe for concurrent use.
type Gate struct {
	// closed is closed when the gate opens; nil while it is open.
	closed atomic.Pointer[chan struct{}]
}

// Close closes the gate until open is called, for timeout at most.
func (g *Gate) Close(timeout time.Duration) (open func()) {
	opened := make(chan struct{})
	g.closed.Store(&opened)
	end := sync.OnceFunc(func() {
		g.closed.Store(nil)
		close(opened)
	})
	timer := time.AfterFunc(timeout, end)
	return func() {
		timer.Stop()
		end()
	}
}

// Wait waits until the gate is open, or ctx is done.
func (g *Gate) Wait(ctx context.Context) {
	if opened := g.closed.Load(); opened != nil {
		select {
		case <-*opened:
		case <-ctx.Done():
		}
	}
}
