package budget

import "time"

// This file holds the one place where tokens leave a balance other than by a write of the page: for requests of
// this router, and in messages to other routers. What the page has in escrow for this process stays in its balance,
// since its next process reclaims that. A return to the store needs no such check: its write replaces the escrow,
// and until the write takes effect the tokens are used by nobody.

// withdraw takes tokens from the usable balance; it returns false, and takes none, if they are too few.
func (a *Agent) withdraw(now time.Time, p *budgetState, tokens int64) bool {
	if tokens > a.usableNow(now, p) {
		return false
	}
	p.balance -= tokens
	return true
}

// usableNow returns the tokens that may leave the balance now; it is never negative.
func (a *Agent) usableNow(now time.Time, p *budgetState) int64 {
	a.refreshEscrow(now, p)
	return max(p.usable(), 0)
}

// reserve withdraws the tokens that a request of this router needs.
func (a *Agent) reserve(now time.Time, p *budgetState, need int64) bool {
	if !a.withdraw(now, p, need) {
		return false
	}
	p.reserved += need
	return true
}

// move withdraws tokens and returns the message that carries them. If more are asked for than are usable, it carries
// the usable ones and the rest is reported: each caller should know what is usable.
func (a *Agent) move(now time.Time, p *budgetState, kind Kind, to Peer, tokens int64) Message {
	asked := tokens
	if tokens = min(asked, a.usableNow(now, p)); tokens < asked {
		a.movesBeyondUsable++
		a.emit(MoveBeyondUsable{Budget: p.id, Kind: kind, To: to, Asked: asked, Sent: tokens, Escrow: p.escrow, EscrowAge: a.escrowAge(now, p)})
	}
	a.withdraw(now, p, tokens)
	p.sent[to.Incarnation] += tokens
	p.carry(to.Incarnation, tokens)
	return Message{
		Kind:   kind,
		Budget: p.id,
		From:   a.cfg.Self,
		To:     to,
		Total:  p.sent[to.Incarnation],
		Delta:  tokens,
		Scarce: p.scarce,
	}
}

// escrowAge returns the time since the last confirmed write of the escrow, or 0 if there was none.
func (a *Agent) escrowAge(now time.Time, p *budgetState) time.Duration {
	ps := a.pages[p.page]
	if ps == nil || ps.escrow.at.IsZero() {
		return 0
	}
	return now.Sub(ps.escrow.at)
}

// MovesBeyondUsable returns how many messages were to carry tokens that were not usable, since the start.
func (a *Agent) MovesBeyondUsable() int64 { return a.movesBeyondUsable }
