package budget

import "time"

// This file implements what a router does for a budget of which it is not the home: it
// asks the home for tokens and returns those it does not need.

// keepsBuffer reports whether an entry router holds tokens in advance of its requests:
// while tokens are not scarce, and if it has enough requests for the budget.
func (a *Agent) keepsBuffer(now time.Time, p *pool) bool {
	return !p.scarce && float64(p.expectedDemand(now, a.cfg.EntryHorizon)) >= a.cfg.EntryLeast*p.meanNeed
}

// entryTarget returns how many tokens an entry router should hold of the budget.
func (a *Agent) entryTarget(now time.Time, p *pool) int64 {
	if !a.keepsBuffer(now, p) {
		return 0
	}
	return p.expectedDemand(now, a.cfg.EntryHorizon)
}

// skippedHomeTTL is how long a home that redirected or did not answer is not asked again.
const skippedHomeTTL = 500 * time.Millisecond

// skipHome turns from a home to the next one.
func (a *Agent) skipHome(now time.Time, p *pool, id string) {
	p.resetDraws()
	p.skippedHomes[id] = now
	p.awaitingNextHome = true
	a.emit(Suspect{ID: id})
	a.emit(AskAgain{Budget: p.id})
}

// AskAgain continues with the current home of a budget.
func (a *Agent) AskAgain(now time.Time, id string) []Effect {
	p := a.pool(id)
	p.awaitingNextHome = false
	a.advance(now, p)
	return a.takeEffects()
}

// refuseAfterFullRound refuses the waiting requests if the current home was skipped
// recently: every router that could be the home has then been asked. Without it, homes
// that redirect to each other would do so endlessly.
func (a *Agent) refuseAfterFullRound(now time.Time, p *pool) bool {
	skippedAt, ok := p.skippedHomes[a.cfg.Home(now, p.id)]
	if !ok || now.Sub(skippedAt) >= skippedHomeTTL {
		return false
	}
	a.refuseWaiters(p, Unreachable)
	return true
}

// unreachableHomePause is how long a home that did not receive a draw is not asked again.
const unreachableHomePause = 50 * time.Millisecond

// homeUnreachable reports whether the last draw did not reach the current home of a
// budget.
func (a *Agent) homeUnreachable(now time.Time, p *pool) bool {
	return p.unreachableHome != "" && p.unreachableHome == a.cfg.Home(now, p.id)
}

// sendDraws sends draws for waiting reservations to the home: one at a time while the
// router keeps a buffer, since the answer brings more than one needs, or while messages do
// not reach the home; otherwise one draw per reservation.
func (a *Agent) sendDraws(now time.Time, p *pool) {
	if p.awaitingNextHome || a.refuseAfterFullRound(now, p) {
		return
	}
	unreachable := a.homeUnreachable(now, p)
	if unreachable && now.Sub(p.unreachableAt) < unreachableHomePause {
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
// balance, so that the home decides over all tokens.
func (a *Agent) drawMessage(now time.Time, p *pool, token uint64, need int64) Message {
	p.drawTarget = a.cfg.Home(now, p.id)
	to := Peer{ID: p.drawTarget}
	if p.home.ID == p.drawTarget {
		to = p.home
	}
	amount := int64(0)
	if !a.keepsBuffer(now, p) && to.Incarnation != "" && token != 0 {
		amount = max(p.balance, 0)
	}
	m := a.move(p, Draw, to, amount)
	m.Token = token
	m.Need = need
	m.Want = max(a.entryTarget(now, p), p.shortfall())
	return m
}

// returnToPeer sends the whole usable balance to a peer, even if it is empty: the message
// is the answer to a recall.
func (a *Agent) returnToPeer(p *pool, to Peer) {
	a.emit(Send{a.move(p, Back, to, max(p.usable(), 0))})
}

// returnSurplus returns an unused balance to the home unless the router keeps a buffer, so
// that the tokens are where the next request is decided.
func (a *Agent) returnSurplus(now time.Time, p *pool) {
	if p.balance <= 0 || p.waiting() || a.closing || a.isHome(now, p.id) || a.keepsBuffer(now, p) {
		return
	}
	switch {
	case a.homeKnown(now, p):
		a.returnToPeer(p, p.home)
	case p.scarce:
		a.returnToStore(now, p)
	}
}

// returnToStore queues the whole balance for return.
func (a *Agent) returnToStore(now time.Time, p *pool) {
	amount := p.balance
	p.balance = 0
	a.queue(now, pageOp{budget: p.id, need: -amount})
}

// homeKnown reports whether the current home is another router whose incarnation is known.
func (a *Agent) homeKnown(now time.Time, p *pool) bool {
	if home := a.cfg.Home(now, p.id); p.home.ID != home && a.cfg.Running != nil {
		p.home = a.cfg.Running(home)
	}
	return p.home.Incarnation != "" && p.home.ID != a.cfg.Self.ID && p.home.ID == a.cfg.Home(now, p.id)
}

// returnIdle returns a balance that nothing uses: to the home, or from the home (and from
// a closing router) to the store.
func (a *Agent) returnIdle(now time.Time, p *pool) {
	if a.closing && a.handOver(now, p) {
		return
	}
	if p.balance <= 0 || p.waiting() {
		return
	}
	if a.homeKnown(now, p) && !a.closing {
		a.returnToPeer(p, p.home)
		return
	}
	a.returnToStore(now, p)
}

// handOver gives a stopping router's tokens to another router while the store does not
// answer; it returns false if they should go to the store.
func (a *Agent) handOver(now time.Time, p *pool) bool {
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
		a.returnToPeer(p, lenders[0])
	}
	return true
}
