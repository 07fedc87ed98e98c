package budget

import "time"

// This file is what a router does that is not the home of a budget: it asks the
// home for tokens and gives back what it does not need.

// holdsAhead tells whether an entry router holds tokens ahead of its requests:
// while they are plenty, and if it has enough requests for the budget.
func (a *Agent) holdsAhead(now time.Time, p *purse) bool {
	return !p.scarce && float64(p.ahead(now, a.cfg.EntryHorizon)) >= a.cfg.EntryLeast*p.meanNeed
}

// entryHold is what an entry router would hold of the budget.
func (a *Agent) entryHold(now time.Time, p *purse) int64 {
	if !a.holdsAhead(now, p) {
		return 0
	}
	return p.ahead(now, a.cfg.EntryHorizon)
}

// passedFor is for how long a home that was of no use is not asked again.
const passedFor = 500 * time.Millisecond

// passOver turns from a home to the next one.
func (a *Agent) passOver(now time.Time, p *purse, id string) {
	p.unask()
	p.passedOver[id] = now
	p.passing = true
	a.emit(Suspect{ID: id})
	a.emit(AskAgain{Budget: p.id})
}

// AskAgain goes on with the home that a budget has now.
func (a *Agent) AskAgain(now time.Time, id string) []Effect {
	p := a.purse(id)
	p.passing = false
	a.pump(now, p)
	return a.drain()
}

// refuseAsRound refuses what waits if the home was passed over just now: then every router
// that could be it was asked. Homes that pass on to each other would go on without end.
func (a *Agent) refuseAsRound(now time.Time, p *purse) bool {
	passed, ok := p.passedOver[a.cfg.Home(now, p.id)]
	if !ok || now.Sub(passed) >= passedFor {
		return false
	}
	a.refuseWaiters(p, Unreachable)
	return true
}

// unreachedPause is how long a home that did not get a question is not asked again.
const unreachedPause = 50 * time.Millisecond

// homeFails tells whether the last question did not reach the home that a budget has now.
func (a *Agent) homeFails(now time.Time, p *purse) bool {
	return p.failedHome != "" && p.failedHome == a.cfg.Home(now, p.id)
}

// ask sends waiting reservations to the home: one at a time while tokens are held ahead, since
// the answer brings more than one needs, or while the home does not get what is sent; else each
// by itself.
func (a *Agent) ask(now time.Time, p *purse) {
	if p.passing || a.refuseAsRound(now, p) {
		return
	}
	fails := a.homeFails(now, p)
	if fails && now.Sub(p.failedAt) < unreachedPause {
		return
	}
	for i := range p.waiters {
		w := &p.waiters[i]
		if !w.askedAt.IsZero() {
			continue
		}
		if (fails || a.holdsAhead(now, p)) && p.asking() {
			return
		}
		w.askedAt = now
		a.emit(Send{a.drawMessage(now, p, w.token, w.need)})
	}
}

// drawMessage builds a draw. Unless tokens are held ahead it moves the balance
// along, so that the home decides over all there is.
func (a *Agent) drawMessage(now time.Time, p *purse, token uint64, need int64) Message {
	p.askedOf = a.cfg.Home(now, p.id)
	to := Peer{ID: p.askedOf}
	if p.home.ID == p.askedOf {
		to = p.home
	}
	amount := int64(0)
	if !a.holdsAhead(now, p) && to.Incarnation != "" && token != 0 {
		amount = max(p.balance, 0)
	}
	m := a.move(p, Draw, to, amount)
	m.Token = token
	m.Need = need
	m.Want = max(a.entryHold(now, p), p.unmet())
	return m
}

// giveBack sends the whole balance to a peer, also when it is empty: the
// message is the answer to a recall.
func (a *Agent) giveBack(p *purse, to Peer) {
	a.emit(Send{a.move(p, Back, to, max(p.usable(), 0))})
}

// giveBackSurplus returns an unused balance to the home unless tokens are held
// ahead, so that they are where the next request is decided.
func (a *Agent) giveBackSurplus(now time.Time, p *purse) {
	if p.balance <= 0 || p.waiting() || a.closing || a.isHome(now, p.id) || a.holdsAhead(now, p) {
		return
	}
	switch {
	case a.homeKnown(now, p):
		a.giveBack(p, p.home)
	case p.scarce:
		a.returnToStore(now, p)
	}
}

// returnToStore queues the whole balance for return.
func (a *Agent) returnToStore(now time.Time, p *purse) {
	amount := p.balance
	p.balance = 0
	a.queue(now, pageOp{budget: p.id, need: -amount})
}

// homeKnown tells whether the present home is another router whose
// incarnation is known.
func (a *Agent) homeKnown(now time.Time, p *purse) bool {
	if home := a.cfg.Home(now, p.id); p.home.ID != home && a.cfg.Running != nil {
		p.home = a.cfg.Running(home)
	}
	return p.home.Incarnation != "" && p.home.ID != a.cfg.Self.ID && p.home.ID == a.cfg.Home(now, p.id)
}

// returnIdle returns a balance that nothing uses: to the home, or from the
// home (and from a closing router) to the store.
func (a *Agent) returnIdle(now time.Time, p *purse) {
	if a.closing && a.handOver(now, p) {
		return
	}
	if p.balance <= 0 || p.waiting() {
		return
	}
	if a.homeKnown(now, p) && !a.closing {
		a.giveBack(p, p.home)
		return
	}
	a.returnToStore(now, p)
}

// handOver gives a stopping router's tokens to another while the store does
// not answer; false means that they go to the store.
func (a *Agent) handOver(now time.Time, p *purse) bool {
	if a.cfg.StoreLost == nil || a.cfg.Lenders == nil || !a.cfg.StoreLost() {
		return false
	}
	heirs := a.cfg.Lenders(now, p.id)
	if len(heirs) == 0 || heirs[0].Incarnation == "" {
		return false
	}
	a.unqueueReturns(p)
	a.refreshEscrow(now, p)
	if p.usable() > 0 {
		a.giveBack(p, heirs[0])
	}
	return true
}
