package budget

import (
	"slices"
	"time"
)

// This file implements how an owner answers draws. A grant takes usable tokens only. An owner has little of its
// balance usable, so a draw for more than that is granted in part at once, and the rest follows when the next write
// of the page has released it: a write releases what all deferred draws ask for.

// deferredShare is the divisor of the usable tokens that limits the first part of a draw that is granted in parts.
// The others remain for requests that wait at other routers.
const deferredShare = 2

// serveDraws grants every peer's draw that the usable balance covers.
func (a *Agent) serveDraws(now time.Time, p *budgetState) {
	kept := p.draws[:0]
	for _, d := range p.draws {
		if a.usableNow(now, p) < d.need {
			kept = append(kept, d)
			continue
		}
		a.grantOrDefer(now, p, d)
	}
	p.draws = kept
}

// grantOrDefer grants a draw whose need is usable, and defers what cannot be granted yet.
func (a *Agent) grantOrDefer(now time.Time, p *budgetState, d draw) {
	p.removeDeferred(d.peer)
	full, usable := a.grantable(p, d), a.usableNow(now, p)
	if full <= usable {
		a.grant(now, p, d, full)
		return
	}
	amount := max(d.need, usable/deferredShare)
	a.grant(now, p, d, amount)
	if a.releasesEscrow(p) {
		p.deferred = append(p.deferred, draw{peer: d.peer, want: full - amount, rank: d.rank})
		a.emit(GrantDeferred{Budget: p.id, To: d.peer, Wanted: full, Granted: amount, Usable: usable, Escrow: p.escrow, EscrowAge: a.escrowAge(now, p)})
	}
}

// grantable returns what a draw should be granted: what it needs, and more for the peer's expected demand unless
// tokens are scarce.
func (a *Agent) grantable(p *budgetState, d draw) int64 {
	if p.scarce {
		return d.need
	}
	return max(d.need, min(d.want, p.balance/freeDivisor))
}

// releasesEscrow reports whether a write of the page can be expected to release tokens in escrow.
func (a *Agent) releasesEscrow(p *budgetState) bool {
	return p.escrow > 0 && !p.scarce && !a.closing && !a.storeUnavailable(p)
}

// serveDeferred grants the rest of the draws that were granted in part, and requests a write that releases what is
// still missing. The peers draw again if the rest does not come.
func (a *Agent) serveDeferred(now time.Time, p *budgetState) {
	if len(p.deferred) == 0 {
		return
	}
	waiting := p.deferred
	p.deferred = nil
	for _, d := range waiting {
		switch amount := a.grantable(p, d); {
		case amount <= a.usableNow(now, p):
			a.grant(now, p, d, amount)
		case a.releasesEscrow(p):
			p.deferred = append(p.deferred, d)
		}
	}
	if len(p.deferred) > 0 {
		a.requestRelease(now, p)
	}
}

// requestRelease queues a write of the page that releases what deferred draws ask for, or hastens one that is queued.
func (a *Agent) requestRelease(now time.Time, p *budgetState) {
	ps := a.pages[p.page]
	if p.lookup == lookupIdle {
		a.drawFromStore(now, p, 0)
	}
	for i := range ps.ops {
		if ps.ops[i].budget == p.id && ps.ops[i].need >= 0 {
			ps.ops[i].releases = true
		}
	}
	a.startStoreCall(now, p.page, ps)
}

// removeDeferred drops the rest of an earlier draw of a router, which has drawn again.
func (p *budgetState) removeDeferred(peer Peer) {
	p.deferred = slices.DeleteFunc(p.deferred, func(d draw) bool { return d.peer.ID == peer.ID })
}

// deferredTokens returns the tokens that deferred draws ask for.
func (p *budgetState) deferredTokens() (sum int64) {
	for _, d := range p.deferred {
		sum += d.want
	}
	return sum
}

// grant sends tokens to the drawing router. The granted amount counts as the owner's demand, since most draws are
// prefetches whose own need is small.
func (a *Agent) grant(now time.Time, p *budgetState, d draw, amount int64) {
	a.grants = true
	p.demand.add(now, amount)
	if d.token != 0 {
		a.recordRank(now, p, d.rank, d.need)
	}
	h := p.holderOf(d.peer)
	h.recallable = !p.scarce
	h.granted.add(now, amount)
	m := a.move(now, p, Grant, d.peer, amount)
	m.Want = a.limitFor(now, p, h)
	m.Token = d.token
	a.emit(Send{m})
}

// refuseDraw answers a peer's draw with a cause and no tokens.
func (a *Agent) refuseDraw(now time.Time, p *budgetState, d draw, cause Cause) {
	m := a.move(now, p, Grant, d.peer, 0)
	m.Token = d.token
	m.Refused = cause
	m.Scarce = true
	a.emit(Send{m})
}
