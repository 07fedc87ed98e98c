package link

import "time"

const (
	// congestedLoad is the load from which a link counts as congested. On links of
	// 10 Mbit/s, windows in which requests are delayed show a load of 0.8 to 1.1, and the
	// queue grows from there.
	congestedLoad = 0.8
	// shedPeriod is how long after the last congested window a router receives no new
	// connections: the load balancer notices after two checks, a second apart, and the
	// traffic queued by then has to drain.
	shedPeriod = 3 * time.Second
)

// Shedder decides when a router with a congested link sheds new connections: for a while the
// load balancer gets the answer "not ready", so that callers go to other routers.
//
// Rejecting requests instead was measured and does not help: their bytes have crossed the link by
// then, and retries of the callers reached the next router when it was congested too. The zero
// value is ready to use. A Shedder is not safe for concurrent use.
type Shedder struct {
	congested bool
	shedUntil time.Time
}

// Observe records the load of a window that ended now.
func (g *Shedder) Observe(now time.Time, l Load) {
	g.congested = max(l.In, l.Out) >= congestedLoad
	if g.congested {
		g.shedUntil = now.Add(shedPeriod)
	}
}

// Shedding reports whether the router should receive no new connections.
func (g *Shedder) Shedding(now time.Time) bool { return now.Before(g.shedUntil) }

// Congested reports whether the link was congested in the last window, so that a missing answer
// says nothing about the other end.
func (g *Shedder) Congested() bool { return g.congested }
