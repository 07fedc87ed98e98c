package budget

import (
	"sort"
	"time"
)

// This file is a home's way to more tokens: the store, the holders that it granted
// to, the other routers, and at last a refusal.

// pump serves what the balance covers and looks for more for the rest.
func (a *Agent) pump(now time.Time, p *purse) {
	a.refreshEscrow(now, p)
	a.serveWaiters(p)
	a.serveDraws(now, p)
	a.serveLoans(now, p)
	if !p.waiting() {
		p.settleLookup()
		return
	}
	home := a.isHome(now, p.id)
	if !home && len(p.waiters) > 0 {
		a.ask(now, p)
	}
	if !home && len(p.draws) == 0 {
		return
	}
	switch {
	case p.recall.active, p.borrowing.from != "":
	case p.lookup == lookupRunning:
		a.urge(now, p)
		if a.storeSlow(now, p) && !a.borrow(now, p) && a.storeAway(p) {
			a.refuseAll(p, a.unreached(now, p)) // the draw goes on, for those who come later
		}
	default:
		a.search(now, p)
	}
}

// settleLookup forgets a finished search, so that the next one starts anew.
func (p *purse) settleLookup() {
	if p.lookup == lookupShort || p.lookup == lookupFailed {
		p.lookup = lookupIdle
	}
}

// settling tells whether this router has just started.
func (a *Agent) settling(now time.Time) bool { return now.Sub(a.cfg.Started) < settleTime }

// prefetch asks for more before the balance runs out.
func (a *Agent) prefetch(now time.Time, p *purse) {
	if p.scarce || a.closing || p.lookup == lookupRunning || p.recall.active || a.settling(now) {
		return
	}
	if a.isHome(now, p.id) {
		if (p.balance < a.low(now, p) || a.needsReseal(now, p)) && now.Sub(p.lookedAt) >= a.cfg.CheckEvery {
			a.drawFromStore(now, p, 0)
		}
		return
	}
	if p.asking() || p.passing || a.homeFails(now, p) && now.Sub(p.failedAt) < unreachedPause || p.balance >= a.entryHold(now, p)/shareOfFree {
		return
	}
	p.prefetching = now
	a.emit(Send{a.drawMessage(now, p, 0, 1)})
}

// search is the home's way to more tokens: the store, then the holders, then
// a refusal. Each step is taken once per search.
func (a *Agent) search(now time.Time, p *purse) {
	if a.mayDraw(now, p) {
		a.drawFromStore(now, p, max(p.drawable(), 0))
		return
	}
	if a.startRecall(now, p) || a.borrow(now, p) {
		return
	}
	cause := Exhausted
	if p.lookup == lookupFailed {
		cause = a.unreached(now, p)
	}
	if p.unknown {
		cause = Unknown
	}
	p.lookup = lookupIdle
	a.refuseAll(p, cause)
}

// unreached is the cause of a refusal when the store does not answer: another
// router may be the home by now, which it does answer.
func (a *Agent) unreached(now time.Time, p *purse) Cause {
	if a.isHome(now, p.id) {
		return Unreachable
	}
	return Moved
}

// mayDraw tells whether the store may have tokens for what waits, or may release
// some of what this router withholds.
func (a *Agent) mayDraw(now time.Time, p *purse) bool {
	if p.lookup != lookupIdle {
		return false
	}
	if p.escrow > 0 && p.balance > 0 {
		return true
	}
	return p.drawable() > 0 && now.Sub(p.shortAt) >= a.cfg.CheckEvery
}

// startRecall asks the holders for unused tokens; false means that there is
// none to ask.
func (a *Agent) startRecall(now time.Time, p *purse) bool {
	p.scarce = true
	p.recall = recallRound{at: now, waiting: map[string]bool{}}
	for _, incarnation := range p.looseHolders() {
		p.recall.waiting[incarnation] = true
		a.emit(Send{a.move(p, Recall, p.holders[incarnation].peer, 0)})
	}
	p.recall.active = len(p.recall.waiting) > 0
	return p.recall.active
}

// looseHolders returns the incarnations worth a recall, in order, so that a
// seeded run repeats.
func (p *purse) looseHolders() []string {
	var list []string
	for incarnation, h := range p.holders {
		if h.loose {
			list = append(list, incarnation)
		}
	}
	sort.Strings(list)
	return list
}

func (a *Agent) refuseAll(p *purse, cause Cause) {
	a.refuseWaiters(p, cause)
	for _, d := range p.draws {
		a.refuseDraw(p, d, cause)
	}
	p.draws = nil
}

// refuseWaiters refuses the reservations of this router's own requests.
func (a *Agent) refuseWaiters(p *purse, cause Cause) {
	for _, w := range p.waiters {
		a.emit(Resolve{Token: w.token, Cause: cause})
	}
	p.waiters = nil
}
