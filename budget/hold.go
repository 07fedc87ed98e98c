package budget

import (
	"math"
	"time"
)

// This file computes how many tokens an owner holds in advance of its requests.

// targetBalance returns how many tokens an owner should hold of the budget: its demand
// within OwnerHorizon, at least a few requests' worth for a budget that is rarely used, and
// at most its fair share of what is left.
func (a *Agent) targetBalance(now time.Time, p *budgetState) int64 {
	if a.drawsOnlyForItself(now, p) {
		return min(a.ownNeed(now, p), a.ownerLimit(p))
	}
	want := max(p.expectedDemand(now, a.cfg.OwnerHorizon), int64(a.cfg.HeldRequests*p.meanNeed), a.initialBalance(p))
	return min(want, a.fairShare(now, p), a.ownerLimit(p))
}

// initialBalance returns what an owner holds of a budget for which it has no demand
// estimate, so that the first requests need not wait for the store.
func (a *Agent) initialBalance(p *budgetState) int64 {
	limit, known := a.limits[p.id]
	if a.cfg.InitialShare == 0 || !known {
		return 0
	}
	return int64(a.cfg.InitialShare * float64(limit.Tokens) / float64(a.cfg.Routers()))
}

// refillThreshold returns the balance below which an owner draws more.
func (a *Agent) refillThreshold(now time.Time, p *budgetState) int64 {
	if a.drawsOnlyForItself(now, p) {
		return int64(float64(min(a.ownNeed(now, p), a.ownerLimit(p))) * a.cfg.RefillBelow)
	}
	horizon := time.Duration(float64(a.cfg.OwnerHorizon) * a.cfg.RefillBelow)
	initial := int64(a.cfg.RefillBelow * float64(a.initialBalance(p)))
	threshold := max(p.expectedDemand(now, horizon), int64(a.cfg.LowRequests*p.meanNeed), initial)
	return min(threshold, int64(float64(min(a.fairShare(now, p), a.ownerLimit(p)))*a.cfg.RefillBelow))
}

// fairShare bounds what an owner holds in advance by how long the store's free tokens would
// last at the fleet's demand. It is large for a budget that lasts long, to cover an outage
// of the store. It is small for one that runs out soon: all of it will be used anyway, and
// what is held may be lost with the router.
func (a *Agent) fairShare(now time.Time, p *budgetState) int64 {
	r := a.record(p)
	if a.cfg.ScarceWithin == 0 || r == nil {
		return math.MaxInt64 / 2
	}
	free := float64(a.spendable(r, false))
	own, fleet := a.demands(now, p)
	if fleet == 0 {
		return int64(free) / int64(a.cfg.Routers())
	}
	lasts := free / fleet // in seconds
	share := lasts / (lasts + a.cfg.ScarceWithin.Seconds())
	return int64(free * share * own / fleet)
}

// demands returns the demand for a budget at this router and at all routers, as far as the
// page records it, in tokens per second. If a single router draws for all, its own demand
// is the fleet's: the demand recorded for other holders was served by former owners and is
// the same demand.
func (a *Agent) demands(now time.Time, p *budgetState) (own, fleet float64) {
	own = float64(p.expectedDemand(now, time.Second))
	fleet = own
	if a.cfg.Routers() == 1 {
		return own, fleet
	}
	return own, fleet + a.othersDemand(p)
}

// othersDemand returns the demand that the page records for other holders, in tokens per
// second.
func (a *Agent) othersDemand(p *budgetState) (demand float64) {
	for holder, e := range a.pages[p.page].page.Escrows {
		if holder != a.cfg.Self.Incarnation {
			demand += float64(e.Parts[p.id].Demand)
		}
	}
	return demand
}
