package gateway

import (
	"context"
	"errors"
	"time"

	"github.com/gaplink/gaplink/clock"
	"github.com/gaplink/gaplink/placement"
	"github.com/gaplink/gaplink/reach"
)

// Paths decides how servers are reached.
type Paths interface {
	// Await waits while it is being found out whether this router is cut off from servers of a service.
	// It returns false if that is not so, or takes too long.
	Await(ctx context.Context, service string) bool
}

// errCutOff is the cause with which an attempt is cancelled whose server this router no longer reaches.
var errCutOff = errors.New("cut off from the server")

const (
	// quietTime is the time without data after which an attempt on a connection that is cut off is
	// cancelled if it can be repeated.
	quietTime = 500 * time.Millisecond
	// answerWait is how long the response to an attempt that cannot be repeated is awaited after that:
	// the partition may end, and the response may then arrive.
	answerWait = 1500 * time.Millisecond
)

// CutOff must be called when this router is cut off from a group of servers. It cancels the attempts there
// that receive nothing.
func (g *Gateway) CutOff(group reach.Group) {
	for _, w := range g.attempts.matching(func(a *attempt) bool { return reach.GroupOf(a.server) == group }) {
		w.onCutOff()
	}
}

// onCutOff cancels the attempt if it has received nothing for quietTime: at once if it can be retried,
// otherwise if nothing arrives within answerWait.
func (w *watchdog) onCutOff() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped || clock.Since(w.progressAt) < quietTime {
		return
	}
	if w.reserveRetry() {
		w.stopped = true
		w.cancel(errCutOff)
		return
	}
	seen := w.progressAt
	time.AfterFunc(answerWait, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if !w.stopped && w.progressAt.Equal(seen) {
			w.stopped = true
			w.cancel(errCutOff)
		}
	})
}

// awaitPath waits, once, while it is being found out whether this router is cut off from the request's
// servers. It returns true if they may be tried again: those that were not reached are removed from tried.
func (c *call) awaitPath(ctx context.Context, tried map[placement.Incarnation]bool, unreached []placement.Incarnation) bool {
	if c.awaitedPath || c.g.Paths == nil || len(unreached) == 0 && len(tried) > 0 {
		return false
	}
	c.awaitedPath = true
	if !c.g.Paths.Await(ctx, c.service.Name) {
		return false
	}
	for _, in := range unreached {
		delete(tried, in)
	}
	return true
}
