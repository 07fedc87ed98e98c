package budget

import "time"

// checkMove reports a message that is to carry tokens which are not usable.
func (a *Agent) checkMove(now time.Time, p *budgetState, kind Kind, to Peer, tokens int64) {
	a.refreshEscrow(now, p)
	usable := max(p.usable(), 0)
	if tokens <= usable {
		return
	}
	a.movesBeyondUsable++
	a.emit(MoveBeyondUsable{Budget: p.id, Kind: kind, To: to, Asked: tokens, Sent: tokens, Usable: usable, Escrow: p.escrow, EscrowAge: a.escrowAge(now, p)})
}

// escrowAge returns the time since the write of the escrow that the page has, as far as this router knows.
func (a *Agent) escrowAge(now time.Time, p *budgetState) time.Duration {
	ps := a.pages[p.page]
	if ps == nil || ps.escrow.at.IsZero() {
		return 0
	}
	return now.Sub(ps.escrow.at)
}

// MovesBeyondUsable returns how many messages were to carry tokens that were not usable, since the start.
func (a *Agent) MovesBeyondUsable() int64 { return a.movesBeyondUsable }
