package link

import "time"

const (
	// saturatedLoad is the load from which a link counts as saturated. On links of
	// 10 Mbit/s, windows in which requests are delayed show a load of 0.8 to 1.1, and the
	// queue grows from there.
	saturatedLoad = 0.8
	// shedPeriod is how long after the last saturated window a router receives no new
	// connections: the load balancer notices after two checks, a second apart, and the
	// traffic queued by then has to drain.
	shedPeriod = 3 * time.Second
)

// Shedder decides when a router with a saturated link sheds new connections: for a while the
// load balancer gets the answer "not ready", so that callers go to other routers.
//
// Rejecting requests instead was measured and does not help: their bytes have crossed the link by
// then, and retries of the callers reached the next router when it was saturated too. The zero
// value is ready to use. A Shedder is not safe for concurrent use.
type Shedder struct {
	saturated bool
	shedUntil time.Time
}

// Observe records the load of a window that ended now.
func (g *Shedder) Observe(now time.Time, l Load) {
	g.saturated = max(l.In, l.Out) >= saturatedLoad
	if g.saturated {
		g.shedUntil = now.Add(shedPeriod)
	}
}

// Shedding reports whether the router should receive no new connections.
func (g *Shedder) Shedding(now time.Time) bool { return now.Before(g.shedUntil) }

// Saturated reports whether the link was saturated in the last window, so that a missing answer
// says nothing about the other end.
func (g *Shedder) Saturated() bool { return g.saturated }
