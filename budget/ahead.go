package budget

import (
	"math"
	"time"
)

// This file bounds what the routers of a large fleet hold in advance: more for urgent requests, to
// bridge an outage, and little of a budget that is nearly used up, since what is held is lost if all
// routers lose power.

const (
	// urgentHorizon is how much demand of its most urgent rank a router holds that is not the
	// owner: that of the longest outages of the store seen on simulated days.
	urgentHorizon = 9 * time.Second
	// A budget is nearly used up while less than nearEndBelow of it is left, and remains so until
	// notNearEndAbove is left: what other routers return does not count before the owner has it.
	nearEndBelow    = 0.25
	notNearEndAbove = 0.3
	// nearEndShare is the share of a nearly used up budget that the owner holds at most, and the
	// other routers together aim at. The owner may exceed it by Config.Surplus and the others by
	// a draw below half of the target: all together hold less than 3%.
	nearEndShare = 0.01
)

// urgentTarget returns what a router that is not the owner should hold: urgentHorizon of the demand of
// its most urgent rank and EntryHorizon of the rest.
func (a *Agent) urgentTarget(now time.Time, p *budgetState) int64 {
	share := p.mostUrgentShare(now)
	held := (1-share)*a.cfg.EntryHorizon.Seconds() + share*max(urgentHorizon, a.cfg.EntryHorizon).Seconds()
	return min(p.expectedDemand(now, time.Duration(held*float64(time.Second))), p.holdLimit)
}

// mostUrgentShare returns the share of the demand that is of the most urgent rank, or 0 if all is of one
// rank: then nothing is more urgent than the rest.
func (p *budgetState) mostUrgentShare(now time.Time) float64 {
	for rank := range p.ranks {
		if p.ranks[rank].decayed(now) == 0 {
			continue
		}
		if share := p.urgentShare(now, rank+1, math.MaxInt64); share < 1 {
			return share
		}
		return 0
	}
	return 0
}

// nearEnd reports whether little of a budget may be held, because it is nearly used up and the store
// answers. Left is what the store has free and the owner holds.
func (a *Agent) nearEnd(p *budgetState) bool {
	r := a.record(p)
	if !a.sharedOwner() || r == nil {
		return false
	}
	bound := nearEndBelow
	if p.nearlyUsedUp {
		bound = notNearEndAbove
	}
	p.nearlyUsedUp = float64(r.Free()+p.balance) < bound*float64(r.Limit)
	return p.nearlyUsedUp && !a.storeUnavailable(p)
}

// exceedsOwnerLimit reports whether an owner holds so much more than ownerLimit that it should return
// the rest.
func (a *Agent) exceedsOwnerLimit(p *budgetState) bool {
	return a.nearEnd(p) && float64(p.balance) > float64(a.ownerLimit(p))*(1+a.cfg.Surplus)
}

// ownerLimit returns the most that an owner holds of a budget.
func (a *Agent) ownerLimit(p *budgetState) int64 {
	if !a.nearEnd(p) {
		return math.MaxInt64
	}
	return int64(nearEndShare * float64(a.record(p).Limit))
}

// limitFor returns the most that a router which draws from this owner should hold: its part of
// nearEndShare by what it was granted. 0: no limit.
func (a *Agent) limitFor(now time.Time, p *budgetState, h *holder) int64 {
	if !a.nearEnd(p) {
		return 0
	}
	limit := nearEndShare * float64(a.record(p).Limit)
	if fleet := p.expectedDemand(now, time.Second); fleet > 0 {
		limit *= min(float64(h.granted.expected(now, time.Second))/float64(fleet), 1)
	}
	return max(int64(limit), 1)
}

// setHoldLimit applies the limit that came with a grant.
func (p *budgetState) setHoldLimit(limit int64) {
	p.holdLimit = math.MaxInt64
	if limit > 0 {
		p.holdLimit = limit
	}
}

// reportNearEnd reports that a budget is held short from now on, or no longer.
func (a *Agent) reportNearEnd(p *budgetState) {
	near := a.nearEnd(p)
	if near == p.reportedNearEnd {
		return
	}
	p.reportedNearEnd = near
	r := a.record(p)
	if r == nil {
		return
	}
	a.emit(NearEnd{Budget: p.id, Near: near, Free: r.Free(), Limit: r.Limit})
}
