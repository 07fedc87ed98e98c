package budget

import "time"

// This file implements what a router does for a budget of which it is not the owner: it
// asks the owner for tokens and returns those it does not need.

// keepsBuffer reports whether an entry router holds tokens in advance of its requests:
// while tokens are not scarce, and if it has enough requests for the budget.
func (a *Agent) keepsBuffer(now time.Time, p *budgetState) bool {
	return !p.scarce && float64(p.expectedDemand(now, a.cfg.EntryHorizon)) >= a.cfg.EntryMinRequests*p.meanNeed
}

// entryTarget returns how many tokens an entry router should hold of the budget.
func (a *Agent) entryTarget(now time.Time, p *budgetState) int64 {
	if !a.keepsBuffer(now, p) {
		return 0
	}
	if a.sharedOwner() {
		return a.urgentTarget(now, p)
	}
	return p.expectedDemand(now, a.cfg.EntryHorizon)
}

// entryRefill returns the balance below which an entry router draws more.
func (a *Agent) entryRefill(now time.Time, p *budgetState) int64 {
	if a.sharedOwner() {
		return a.entryTarget(now, p) / 2
	}
	return a.entryTarget(now, p) / freeDivisor
}

// skippedOwnerTTL is how long an owner that redirected or did not answer is not asked
// again.
const skippedOwnerTTL = 500 * time.Millisecond

// skipOwner skips an owner that redirected or did not answer for skippedOwnerTTL, and
// requests AskSuccessor, which sends the unanswered draws to the successor.
func (a *Agent) skipOwner(now time.Time, p *budgetState, id string) {
	p.resetDraws()
	p.skippedOwners[id] = now
	p.awaitingSuccessor = true
	a.emit(Suspect{ID: id})
	a.emit(AskSuccessor{Budget: p.id})
}

// AskSuccessor continues, after an owner was skipped, with the owner that the budget has
// now.
func (a *Agent) AskSuccessor(now time.Time, id string) []Effect {
	p := a.budgetState(id)
	p.awaitingSuccessor = false
	a.advance(now, p)
	return a.takeEffects()
}

// refuseAfterFullRound refuses the waiting requests if the current owner was skipped
// recently: every router that could be the owner has then been asked. Without it, owners
// that redirect to each other would do so endlessly.
func (a *Agent) refuseAfterFullRound(now time.Time, p *budgetState) bool {
	skippedAt, ok := p.skippedOwners[a.cfg.Owner(now, p.id)]
	if !ok || now.Sub(skippedAt) >= skippedOwnerTTL {
		return false
	}
	a.refuseWaiters(p, Unreachable)
	return true
}

// unreachableOwnerPause is how long an owner that did not receive a draw is not asked again.
const unreachableOwnerPause = 50 * time.Millisecond

// ownerUnreachable reports whether the last draw did not reach the current owner of a
// budget.
func (a *Agent) ownerUnreachable(now time.Time, p *budgetState) bool {
	return p.unreachableOwner != "" && p.unreachableOwner == a.cfg.Owner(now, p.id)
}

// sendDraws sends draws for waiting reservations to the owner: one at a time while the
// router keeps a buffer, since the answer brings more than one needs, or while messages do
// not reach the owner; otherwise one draw per reservation.
func (a *Agent) sendDraws(now time.Time, p *budgetState) {
	if p.awaitingSuccessor || a.refuseAfterFullRound(now, p) {
		return
	}
	unreachable := a.ownerUnreachable(now, p)
	if unreachable && now.Sub(p.unreachableAt) < unreachableOwnerPause {
		return
	}
	for i := range p.waiters {
		w := &p.waiters[i]
		if !w.drawSentAt.IsZero() {
			continue
		}
		if (unreachable || a.keepsBuffer(now, p)) && p.drawPending() {
			return
		}
		w.drawSentAt = now
		a.emit(Send{a.drawMessage(now, p, w.token, w.need)})
	}
}

// drawMessage builds a draw. Unless the router keeps a buffer, the message also moves the
// usable balance, so that the owner decides over all tokens.
func (a *Agent) drawMessage(now time.Time, p *budgetState, token uint64, need int64) Message {
	p.drawTarget = a.cfg.Owner(now, p.id)
	to := Peer{ID: p.drawTarget}
	if p.owner.ID == p.drawTarget {
		to = p.owner
	}
	amount := int64(0)
	if !a.keepsBuffer(now, p) && to.Incarnation != "" && token != 0 {
		amount = a.usableNow(now, p)
	}
	m := a.move(now, p, Draw, to, amount)
	m.Token = token
	m.Need = need
	m.Want = max(a.entryTarget(now, p), p.shortfall())
	return m
}

// returnToPeer sends the whole usable balance to a peer, even if it is empty: the message
// is the answer to a recall.
func (a *Agent) returnToPeer(now time.Time, p *budgetState, to Peer) {
	a.emit(Send{a.move(now, p, Back, to, a.usableNow(now, p))})
}

// returnSurplus returns an unused balance to the owner unless the router keeps a buffer, so
// that the tokens are where the next request is decided.
func (a *Agent) returnSurplus(now time.Time, p *budgetState) {
	if a.sharedOwner() {
		a.returnBeyondTarget(now, p)
		return
	}
	if p.balance <= 0 || p.waiting() || a.closing || a.isOwner(now, p.id) || a.keepsBuffer(now, p) {
		return
	}
	switch {
	case a.ownerKnown(now, p):
		a.returnToPeer(now, p, p.owner)
	case p.scarce:
		a.returnToStore(now, p)
	}
}

// returnToStore queues the whole balance for return.
func (a *Agent) returnToStore(now time.Time, p *budgetState) {
	a.returnPartToStore(now, p, p.balance)
}

// returnPartToStore queues a part of the balance for return.
func (a *Agent) returnPartToStore(now time.Time, p *budgetState, amount int64) {
	p.balance -= amount
	a.queue(now, pageOp{budget: p.id, need: -amount})
}

// ownerKnown reports whether the current owner is another router whose incarnation is known.
func (a *Agent) ownerKnown(now time.Time, p *budgetState) bool {
	owner := a.cfg.Owner(now, p.id)
	unknown := p.owner.ID != owner || a.sharedOwner() && p.owner.Incarnation == ""
	if unknown && a.cfg.Running != nil {
		p.owner = a.cfg.Running(owner)
	}
	return p.owner.Incarnation != "" && p.owner.ID != a.cfg.Self.ID && p.owner.ID == owner
}

// returnIdle returns a balance that nothing uses: to the owner, or from the owner (and from
// a closing router) to the store.
func (a *Agent) returnIdle(now time.Time, p *budgetState) {
	if a.closing && a.handOver(now, p) {
		return
	}
	if p.balance <= 0 || p.waiting() {
		return
	}
	if !a.closing && a.ownerReachable(now, p) {
		a.returnToPeer(now, p, p.owner)
		return
	}
	a.returnToStore(now, p)
}

// handOver gives a stopping router's tokens to another router while the store does not
// answer; it returns false if they should go to the store.
func (a *Agent) handOver(now time.Time, p *budgetState) bool {
	if a.cfg.StoreLost == nil || a.cfg.Lenders == nil || !a.cfg.StoreLost() {
		return false
	}
	lenders := a.cfg.Lenders(now, p.id)
	if len(lenders) == 0 || lenders[0].Incarnation == "" {
		return false
	}
	a.unqueueReturns(p)
	a.refreshEscrow(now, p)
	if p.usable() > 0 {
		a.returnToPeer(now, p, lenders[0])
	}
	return true
}
