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
	// maxShedPeriod bounds the period of a router that is loaded again each time that it stops
	// shedding.
	maxShedPeriod = 8 * time.Second
)

// Saturated reports whether the link is at its capacity in one direction.
func (l Load) Saturated() bool { return max(l.In, l.Out) >= saturatedLoad }

// Domain is what a router knows of its failure domain.
type Domain struct {
	// Self is the router's ID.
	Self string
	// Size is the number of routers, including this one.
	Size int
	// Loads are the link loads of the other routers by ID, without those that are unknown.
	Loads map[string]Load
}

// known reports whether the loads of at least half of the other routers are known. With fewer, the
// known ones do not show where the load would move.
func (d *Domain) known() bool { return len(d.Loads) > 0 && 2*len(d.Loads) >= d.Size-1 }

// saturated returns how many of the other routers are known to be saturated.
func (d *Domain) saturated() (n int) {
	for _, l := range d.Loads {
		if l.Saturated() {
			n++
		}
	}
	return n
}

// limit returns how many routers may shed at a time.
func (d *Domain) limit() int { return max(d.Size/2, 1) }

// Shedder decides when a router with a saturated link sheds new connections: for a while the
// load balancer gets the answer "not ready", so that callers go to other routers.
//
// Rejecting requests instead was measured and does not help: their bytes have crossed the link by
// then, and retries of the callers reached the next router when it was saturated too. The zero
// value is ready to use. A Shedder is not safe for concurrent use.
type Shedder struct {
	saturated bool
	shedUntil time.Time
	// period is how long the router sheds after its last saturated window.
	period time.Duration
	// yields is set while the router does not shed because others of its failure domain do, or
	// because none of them has spare capacity.
	yields bool
}

// Observe records the load of a window that ended now. The failure domain may be nil, in which case
// the router sheds for shedPeriod whatever the others do.
func (g *Shedder) Observe(now time.Time, l Load, d *Domain) {
	g.saturated = l.Saturated()
	if g.saturated {
		g.period = g.nextPeriod(now, d)
		g.shedUntil = now.Add(g.period)
	}
	g.yields = d != nil && d.known() && g.mustYield(d)
}

// nextPeriod returns the period after a saturated window: twice the last one if the router was
// loaded again soon after it had stopped shedding while others have spare capacity. In a model of
// seven routers of which nearly all were saturated, doubling regardless of that served 0.66 of the
// requests, and 0.86 without doubling.
func (g *Shedder) nextPeriod(now time.Time, d *Domain) time.Duration {
	switch since := now.Sub(g.shedUntil); {
	case d == nil || !d.known() || g.period == 0 || since > shedPeriod:
		return shedPeriod
	case since >= 0 && d.saturated() < d.limit():
		return min(2*g.period, maxShedPeriod)
	case since >= 0:
		return shedPeriod
	default:
		return g.period
	}
}

// mustYield reports whether shedding would move the load nowhere, or half of the failure domain's
// routers shed before this one: those with saturated links, in the order of their IDs. Counting also
// those that shed after their links were saturated left too few routers to move load away from
// saturated ones.
func (g *Shedder) mustYield(d *Domain) bool {
	ahead := 0
	for id, l := range d.Loads {
		if l.Saturated() && id < d.Self {
			ahead++
		}
	}
	return g.saturated && d.saturated() == len(d.Loads) || ahead >= d.limit()
}

// Full reports whether the link is saturated, or was within the period for which the router sheds,
// whether or not it yields.
func (g *Shedder) Full(now time.Time) bool { return now.Before(g.shedUntil) }

// Shedding reports whether the router should receive no new connections.
func (g *Shedder) Shedding(now time.Time) bool { return g.Full(now) && !g.yields }

// Saturated reports whether the link was saturated in the last window, so that a missing answer
// says nothing about the other end.
func (g *Shedder) Saturated() bool { return g.saturated }
