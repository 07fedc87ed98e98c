package budget

import "time"

// This file bounds what a router of a large fleet holds when it is not the router that
// should draw for all. It applies while Config.SharedOwner reports that one should.

const (
	// ownNeedPeriod is how long after its start a router draws for its own demand only: until
	// then it may not know the routers that are ranked before it.
	ownNeedPeriod = 10 * time.Second
	// ownNeedHorizon and ownNeedRequests limit what a router draws for its own demand. On a
	// simulated day a router that was cut off from the others drew a tenth of a budget as the
	// owner, and used 0.5% of that in twenty seconds.
	ownNeedHorizon  = 3 * time.Second
	ownNeedRequests = 4
	// maxSurplusRatio is the ratio of the balance to the target above which a router that is
	// not the owner returns the rest.
	maxSurplusRatio = 2
	// backRetryInterval is how long the owner is not sent a surplus again after a message that
	// returned one was not delivered; meanwhile a surplus goes to the store.
	backRetryInterval = 500 * time.Millisecond
)

// sharedOwner reports whether one router should draw for all others.
func (a *Agent) sharedOwner() bool { return a.cfg.SharedOwner != nil && a.cfg.SharedOwner() }

// drawsOnlyForItself reports whether the router draws no more than its own demand needs,
// because another router may draw for the fleet.
func (a *Agent) drawsOnlyForItself(now time.Time, p *budgetState) bool {
	return a.sharedOwner() && (now.Sub(a.cfg.Started) < ownNeedPeriod || !a.firstInRank(now, p))
}

func (a *Agent) firstInRank(now time.Time, p *budgetState) bool {
	return a.cfg.FirstInRank == nil || a.cfg.FirstInRank(now, p.id)
}

// ownNeed returns what a router that draws only for itself should hold: ownNeedHorizon of its
// demand or ownNeedRequests requests, and at most its part of the free tokens in proportion
// to the demands that the page records.
func (a *Agent) ownNeed(now time.Time, p *budgetState) int64 {
	need := max(p.expectedDemand(now, ownNeedHorizon), a.fewRequests(p))
	r := a.record(p)
	if r == nil {
		return need
	}
	own := float64(p.expectedDemand(now, time.Second))
	fleet := own + a.othersDemand(p)
	if fleet == 0 {
		return need
	}
	return min(need, int64(float64(a.spendable(r, false))*own/fleet))
}

// fewRequests returns the size of ownNeedRequests requests of the mean size.
func (a *Agent) fewRequests(p *budgetState) int64 { return int64(ownNeedRequests * p.meanNeed) }

// returnBeyondTarget returns what the router holds beyond its target: to the owner, or to the
// store if the owner cannot be reached or if the tokens are in escrow and so cannot be sent.
func (a *Agent) returnBeyondTarget(now time.Time, p *budgetState) {
	if p.balance <= 0 || p.waiting() || len(p.loans) > 0 || a.closing {
		return
	}
	owner := a.isOwner(now, p.id)
	if owner && a.firstInRank(now, p) {
		if a.exceedsOwnerLimit(p) {
			a.returnPartToStore(now, p, p.balance-a.ownerLimit(p))
		}
		return
	}
	target := a.entryTarget(now, p)
	if owner {
		target = a.ownNeed(now, p)
	}
	if target > 0 && p.balance <= maxSurplusRatio*target {
		return
	}
	excess := p.balance - target
	if !owner && a.ownerReachable(now, p) {
		excess -= a.sendSurplus(now, p, excess)
	}
	if excess > max(target, a.fewRequests(p)) && !a.storeUnavailable(p) {
		a.emit(SurplusReturned{Budget: p.id, Tokens: excess, Kept: p.balance - excess})
		a.returnPartToStore(now, p, excess)
	}
}

// sendSurplus sends the owner the usable part of an excess and returns its size.
func (a *Agent) sendSurplus(now time.Time, p *budgetState, excess int64) int64 {
	tokens := min(excess, a.usableNow(now, p))
	if tokens <= 0 {
		return 0
	}
	if tokens > a.fewRequests(p) {
		a.emit(SurplusReturned{Budget: p.id, Tokens: tokens, Kept: p.balance - tokens, Owner: p.owner.ID})
	}
	a.emit(Send{a.move(now, p, Back, p.owner, tokens)})
	return tokens
}

// redirectReturns removes from the queue returns that wait for a write of the page, once the owner can be reached and most of
// their tokens are usable: a message brings them there at once, while the writes of many routers that were cut off
// together conflict for long.
func (a *Agent) redirectReturns(now time.Time, p *budgetState) {
	if !a.mayRedirect(now, p) || !a.ownerReachable(now, p) {
		return
	}
	if queued := a.pages[p.page].waitingReturns(p.id); p.balance+queued-a.leftInPage(now, p) < queued/2 {
		return
	}
	a.unqueueReturns(p)
}

// mayRedirect reports whether a return waits that could go to the owner. The owner itself keeps no budget active for a
// return, since it would draw it again with the same write.
func (a *Agent) mayRedirect(now time.Time, p *budgetState) bool {
	ps := a.pages[p.page]
	return ps != nil && a.sharedOwner() && !a.closing && !a.isOwner(now, p.id) && ps.waitingReturns(p.id) > 0
}

// waitingReturns returns the tokens queued for return to the store that are in no write yet.
func (ps *pageState) waitingReturns(id string) (tokens int64) {
	for _, op := range ps.ops {
		if op.budget == id && op.need < 0 {
			tokens -= op.need
		}
	}
	return tokens
}

// ownerReachable reports whether a surplus can be sent to the owner: its process is known,
// and the last return was not undelivered just now.
func (a *Agent) ownerReachable(now time.Time, p *budgetState) bool {
	return a.ownerKnown(now, p) && (!a.sharedOwner() || now.Sub(p.backFailedAt) >= backRetryInterval)
}

// backUndelivered records that a return did not reach its receiver. If it may have arrived, it
// is repeated without further tokens: the total in the message then moves those that were lost.
func (p *budgetState) backUndelivered(now time.Time, m Message, certain bool) {
	p.backFailedAt = now
	if !certain {
		p.repeatBack = m.To
	}
}

// repeatLostBack repeats a return that may have been lost.
func (a *Agent) repeatLostBack(now time.Time, p *budgetState) {
	if p.repeatBack.ID == "" || now.Sub(p.backFailedAt) < backRetryInterval {
		return
	}
	a.emit(Send{a.move(now, p, Back, p.repeatBack, 0)})
	p.repeatBack = Peer{}
}

// queuedReturns returns the tokens that are queued for return to the store, or in a write that
// has no answer yet.
func (ps *pageState) queuedReturns(id string) (tokens int64) {
	tokens = ps.waitingReturns(id)
	if ps.write == nil {
		return tokens
	}
	for _, ap := range ps.write.applied {
		if ap.op.budget == id && ap.op.need < 0 {
			tokens -= ap.op.need
		}
	}
	return tokens
}
