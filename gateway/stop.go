package gateway

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/gaplink/gaplink/clock"
	"github.com/gaplink/gaplink/result"
	"github.com/gaplink/gaplink/retryafter"
)

// Drain starts a planned stop: responses ask callers to close their connections, and requests that cannot end until the
// given time are refused. EndRequests must be called then.
func (g *Gateway) Drain(end time.Time) {
	g.stopEnd.Store(&end)
	g.Retries.Drain()
	g.holding.refuseAll()
}

// draining reports whether a planned stop has begun.
func (g *Gateway) draining() bool { return g.stopEnd.Load() != nil }

// drained reports whether the time of a planned stop has passed.
func (g *Gateway) drained() bool {
	end := g.stopEnd.Load()
	return end != nil && clock.Until(*end) <= 0
}

// RefuseNew makes the gateway refuse new requests.
func (g *Gateway) RefuseNew() { g.refusingNew.Store(true) }

// EndRequests ends the requests that are still in progress at the end of a planned stop. Each is answered, except one whose
// response has begun: that is broken off.
func (g *Gateway) EndRequests() {
	for _, cancel := range g.running.matching(func(*call) bool { return true }) {
		cancel()
	}
	for _, stopReading := range g.reading.matching(func(*call) bool { return true }) {
		stopReading()
	}
}

// stopReading makes a read of the request's body fail.
func (c *call) stopReading() {
	_ = http.NewResponseController(c.reply.w).SetReadDeadline(time.Unix(1, 0)) // fails only on a closed connection
}

// stopRefusal returns an error if a planned stop ends before another attempt could: before the shortest of the route's
// recent runs would. The rest of a stream that has begun may take less.
func (c *call) stopRefusal() *result.Error {
	end := c.g.stopEnd.Load()
	if end == nil {
		return nil
	}
	left := clock.Until(*end)
	if left > 0 && (c.reply.hasBegun() || left >= c.g.runTimes.shortest(c.route.Name)) {
		return nil
	}
	return c.stopped(context.DeadlineExceeded)
}

// stopped returns the error for a request that a planned stop ends.
func (c *call) stopped(cause error) *result.Error {
	if c.mayHaveRun {
		return result.New(result.AttemptTimeout, "the router stopped before the server answered").Wrap(cause)
	}
	return c.temporary(result.New(result.Leaving, "the router is stopping").After(leavingRetryAfter).Wrap(cause), retryafter.Stopping, 0)
}

// runTimeWindow is the length of a window. The time of a run counts in its own window and the next one.
const runTimeWindow = 30 * time.Second

// runTimes holds the shortest recent run of each route. The zero value is ready to use. It is safe for concurrent use.
type runTimes struct {
	mu sync.Mutex
	// current and previous hold the times of two windows, by route.
	current, previous map[string]time.Duration
	begun             time.Time // of the current window
}

// add records a run that a server completed.
func (r *runTimes) add(route string, took time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if now := clock.Now(); r.current == nil || now.Sub(r.begun) >= runTimeWindow {
		r.previous, r.current, r.begun = r.current, map[string]time.Duration{}, now
	}
	if known, ok := r.current[route]; !ok || took < known {
		r.current[route] = took
	}
}

// shortest returns the time of the shortest recent run; 0 if none is known.
func (r *runTimes) shortest(route string) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	current, isCurrent := r.current[route]
	previous, isPrevious := r.previous[route]
	switch {
	case isCurrent && isPrevious:
		return min(current, previous)
	case isCurrent:
		return current
	default:
		return previous
	}
}
