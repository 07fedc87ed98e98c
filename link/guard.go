package link

import "time"

const (
	// fullAt is the load of a window from which a link counts as full. Measured
	// on links of 10 Mbit/s: a window of one that delays requests shows 0.8 to
	// 1.1, and what waits grows from there.
	fullAt = 0.8
	// awayFor is how long after the last full window a router takes no new
	// connections: the balancer notices after two questions, a second apart, and
	// what waits by then has to be drained.
	awayFor = 3 * time.Second
)

// Guard decides what a router does about a full link: it asks the balancer for
// no new connections for a while, so that callers go to other routers.
//
// Refusing requests was measured and does not help: their bytes have crossed
// the link by then, and the caller's retry met the next router as full. The
// zero value knows of no full window. It is not safe for concurrent use.
type Guard struct {
	full      bool
	awayUntil time.Time
}

// Observe takes the load of a window.
func (g *Guard) Observe(now time.Time, l Load) {
	g.full = max(l.In, l.Out) >= fullAt
	if g.full {
		g.awayUntil = now.Add(awayFor)
	}
}

// Away tells whether the router should get no new connections.
func (g *Guard) Away(now time.Time) bool { return now.Before(g.awayUntil) }

// Full tells whether the last window was full, so that silence says nothing
// about the other end.
func (g *Guard) Full() bool { return g.full }
