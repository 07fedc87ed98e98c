package budget

import (
	"sort"
	"time"
)

// This file implements how an owner obtains more tokens: from the store, then from the
// holders that it granted tokens to, then from other routers; if all fail, it refuses.

// advance grants what the balance covers and searches for more for the rest.
func (a *Agent) advance(now time.Time, p *budgetState) {
	a.refreshEscrow(now, p)
	a.refuseYielding(now, p)
	a.serveWaiters(now, p)
	a.serveDraws(now, p)
	a.serveLoans(now, p)
	a.serveDeferred(now, p)
	if !p.waiting() {
		p.resetLookup()
		return
	}
	owner := a.isOwner(now, p.id)
	if !owner && len(p.waiters) > 0 {
		a.sendDraws(now, p)
	}
	if !owner && len(p.draws) == 0 {
		return
	}
	switch {
	case p.recall.active, p.borrowing.from != "":
	case p.lookup == lookupRunning:
		a.makeUrgent(now, p)
		if a.storeSlow(now, p) && !a.borrow(now, p) && a.storeUnavailable(p) {
			a.refuseAll(now, p, a.unreachableCause(now, p)) // the draw continues, for later requests
		}
	default:
		a.search(now, p)
	}
}

// resetLookup clears the result of a finished search, so that the next one starts again at
// the store.
func (p *budgetState) resetLookup() {
	if p.lookup == lookupShort || p.lookup == lookupFailed {
		p.lookup = lookupIdle
	}
}

// startingUp reports whether this router has just started.
func (a *Agent) startingUp(now time.Time) bool { return now.Sub(a.cfg.Started) < startupDelay }

// prefetch asks for more tokens before the balance runs out.
func (a *Agent) prefetch(now time.Time, p *budgetState) {
	if p.scarce || a.closing || p.lookup == lookupRunning || p.recall.active || a.startingUp(now) {
		return
	}
	if a.isOwner(now, p.id) {
		if (p.balance < a.refillThreshold(now, p) || a.needsEscrowRewrite(now, p)) && now.Sub(p.lookedAt) >= a.cfg.LookupInterval {
			a.drawFromStore(now, p, 0)
		}
		return
	}
	if p.drawPending() || p.awaitingSuccessor || a.ownerUnreachable(now, p) && now.Sub(p.unreachableAt) < unreachableOwnerPause || p.balance >= a.entryRefill(now, p) {
		return
	}
	p.prefetchSentAt = now
	if share := p.mostUrgentShare(now); a.sharedOwner() && share > 0 {
		a.emit(DrawnAhead{Budget: p.id, Target: a.entryTarget(now, p), Urgent: share})
	}
	a.emit(Send{a.drawMessage(now, p, 0, 1)})
}

// search takes the owner's next step to obtain tokens: the store, then the holders, then
// the other routers, then a refusal. Each step is taken once per search.
func (a *Agent) search(now time.Time, p *budgetState) {
	if a.mayDraw(now, p) {
		a.drawFromStore(now, p, max(p.drawable(), 0))
		return
	}
	if a.startRecall(now, p) || a.borrow(now, p) {
		return
	}
	cause := Exhausted
	if p.lookup == lookupFailed {
		cause = a.unreachableCause(now, p)
	}
	if p.unknown {
		cause = Unknown
	}
	p.lookup = lookupIdle
	a.refuseAll(now, p, cause)
}

// unreachableCause returns the cause of a refusal when the store does not answer: Moved if
// another router, which the store may answer, has become the owner.
func (a *Agent) unreachableCause(now time.Time, p *budgetState) Cause {
	if a.isOwner(now, p.id) {
		return Unreachable
	}
	return Moved
}

// mayDraw reports whether the store may have tokens for the waiting requests, or a write
// may release some of this router's escrow.
func (a *Agent) mayDraw(now time.Time, p *budgetState) bool {
	if p.lookup != lookupIdle {
		return false
	}
	if p.escrow > 0 && p.balance > 0 {
		return true
	}
	return p.drawable() > 0 && now.Sub(p.shortAt) >= a.cfg.LookupInterval
}

// startRecall asks the holders for unused tokens; it returns false if there is no holder
// to ask.
func (a *Agent) startRecall(now time.Time, p *budgetState) bool {
	p.scarce = true
	p.recall = recallRound{at: now, waiting: map[string]bool{}}
	for _, incarnation := range p.recallableHolders() {
		p.recall.waiting[incarnation] = true
		a.emit(Send{a.move(now, p, Recall, p.holders[incarnation].peer, 0)})
	}
	p.recall.active = len(p.recall.waiting) > 0
	return p.recall.active
}

// recallableHolders returns the incarnations worth a recall, sorted, so that a seeded run
// is reproducible.
func (p *budgetState) recallableHolders() []string {
	var list []string
	for incarnation, h := range p.holders {
		if h.recallable {
			list = append(list, incarnation)
		}
	}
	sort.Strings(list)
	return list
}

func (a *Agent) refuseAll(now time.Time, p *budgetState, cause Cause) {
	a.refuseWaiters(p, cause)
	for _, d := range p.draws {
		a.refuseDraw(now, p, d, cause)
	}
	p.draws = nil
}

// refuseWaiters refuses the reservations of this router's own requests.
func (a *Agent) refuseWaiters(p *budgetState, cause Cause) {
	for _, w := range p.waiters {
		a.emit(Resolve{Token: w.token, Cause: cause})
	}
	p.waiters = nil
}
