package budget

import (
	"math"
	"time"
)

// This file spaces out the writes of routers that update the same page concurrently.

const (
	// immediateRetries is how many consecutive conflicts are retried at once: with a
	// handful of writers the next attempt usually succeeds.
	immediateRetries = 4
	// initialBackoff is the longest pause after the first conflict beyond those; it
	// doubles with each further conflict. Without it, many routers that write one page at
	// once would keep each other from succeeding.
	initialBackoff = 40 * time.Millisecond
	// maxUrgentBackoff bounds the pause before a write that a caller waits for, and is a
	// few times the duration of a write. For other writes the bound grows by
	// maxBackoffPerWriter with each holder that has written the page: when many routers
	// start together, each has tokens to take back and should leave the page to those with
	// waiting callers.
	maxUrgentBackoff    = 320 * time.Millisecond
	maxBackoffPerWriter = 25 * time.Millisecond
)

// backOff delays the next write of a page after a conflict, by a time that differs between
// routers.
func (a *Agent) backOff(now time.Time, ps *pageState) {
	ps.conflicts++
	if ps.conflicts <= immediateRetries {
		return
	}
	longest := min(initialBackoff<<min(ps.conflicts-immediateRetries-1, 7), max(maxUrgentBackoff, time.Duration(ps.writers)*maxBackoffPerWriter))
	ps.conflictedAt = now
	ps.pause = time.Duration(quasiRandom(a.seed+uint64(a.writes)) * float64(longest))
}

// inBackoff reports whether the next write of a page is still delayed by conflicts.
func (ps *pageState) inBackoff(now time.Time) bool {
	pause := ps.pause
	if ps.urgent() {
		pause = min(pause, maxUrgentBackoff)
	}
	return now.Sub(ps.conflictedAt) < pause
}

// quasiRandom spreads consecutive numbers evenly over [0, 1).
func quasiRandom(n uint64) float64 {
	const goldenRatio = 0.6180339887498949 // the fractional parts of its multiples are evenly spread
	_, fraction := math.Modf(float64(n) * goldenRatio)
	return fraction
}
