package budget

import (
	"math"
	"time"
)

// This file is how routers that write one page at the same time make way for each
// other.

const (
	// conflictsAtOnce is how many conflicts in a row are followed by another
	// write at once: with a handful of writers the next one mostly succeeds.
	conflictsAtOnce = 4
	// backOffFirst is the longest pause after the next conflict, which doubles with
	// each further one. Many routers that write one page at once would otherwise
	// keep each other from it.
	backOffFirst = 40 * time.Millisecond
	// backOffAwaited bounds the pause of a write that somebody waits for. The bound
	// of others grows by backOffEach with each holder that has written the page: of
	// many routers that start together each has tokens to take back, and should
	// leave the page to those with callers. It is some times what a write takes.
	backOffAwaited = 320 * time.Millisecond
	backOffEach    = 25 * time.Millisecond
)

// backOff puts the next write of a page off after a conflict, by a time that
// differs between routers.
func (a *Agent) backOff(now time.Time, ps *pageState) {
	ps.conflicts++
	if ps.conflicts <= conflictsAtOnce {
		return
	}
	longest := min(backOffFirst<<min(ps.conflicts-conflictsAtOnce-1, 7), max(backOffAwaited, time.Duration(ps.writers)*backOffEach))
	ps.conflictedAt = now
	ps.pause = time.Duration(chance(a.seed+uint64(a.writes)) * float64(longest))
}

// backsOff tells whether the next write of a page still waits after conflicts.
func (ps *pageState) backsOff(now time.Time) bool {
	pause := ps.pause
	if ps.urgent() {
		pause = min(pause, backOffAwaited)
	}
	return now.Sub(ps.conflictedAt) < pause
}

// chance spreads the numbers of reservations evenly over [0, 1).
func chance(n uint64) float64 {
	const golden = 0.6180339887498949 // the fractional multiples of the golden ratio are spread evenly
	_, f := math.Modf(float64(n) * golden)
	return f
}
