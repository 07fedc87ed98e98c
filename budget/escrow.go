package budget

import (
	"maps"
	"time"
)

// Escrow is a part of what a holder was issued that it does not use before a
// time has passed since it wrote the page. It is what the holder keeps for an
// outage of the store.
//
// If the process ends before that time, its successor on the same machine can
// tell so by the machine's steady clock, and takes the tokens back: a process
// that was not running any more cannot have used them. Without this, all that
// routers hold for an outage would be lost when they die together.
type Escrow struct {
	// Boot identifies the boot of the machine whose steady clock At is read
	// from; the clock starts anew with each.
	Boot string `json:"boot"`
	// At is the steady clock before the write was sent, in nanoseconds.
	At int64 `json:"at"`
	// Tokens are the tokens by budget.
	Tokens map[string]int64 `json:"tokens"`
}

// resealEvery is how much demand beyond the escrow's time is left usable, so
// that a page need not be written more often than about once in this time.
const resealEvery = 1500 * time.Millisecond

// resealBelow is the share of the usable part at which the page is written
// anew to release more.
const resealBelow = 0.3

// escrowed is an escrow as its holder keeps it.
type escrowed struct {
	at     time.Time
	tokens map[string]int64
}

// left returns the tokens of a budget that may not be used yet.
func (e escrowed) left(now time.Time, id string, after time.Duration) int64 {
	if now.Sub(e.at) >= after {
		return 0
	}
	return e.tokens[id]
}

// refreshEscrow works out what of the balance may not be used now: what the
// page in the store says, or may say if a write's answer is awaited or lost.
func (a *Agent) refreshEscrow(now time.Time, p *purse) {
	p.escrow = 0
	ps := a.pages[p.page]
	if a.cfg.EscrowAfter == 0 || ps == nil {
		return
	}
	p.escrow = ps.escrow.left(now, p.id, a.cfg.EscrowAfter)
	if ps.write != nil {
		p.escrow = max(p.escrow, ps.write.escrow.left(now, p.id, a.cfg.EscrowAfter))
	}
}

// usable returns the tokens that may be spent or lent now.
func (p *purse) usable() int64 { return p.balance - p.escrow }

// open is what stays usable of a balance: the demand until the escrow could be
// used, and until the page is written again.
func (a *Agent) open(now time.Time, p *purse) int64 {
	open := p.ahead(now, a.cfg.EscrowAfter+resealEvery)
	return max(open, int64(a.cfg.HeldRequests*p.meanNeed)) + p.asked()
}

// setAside puts this holder's escrow into a page that is about to be written.
func (a *Agent) setAside(now time.Time, n int, value *Page) escrowed {
	e := escrowed{at: now, tokens: map[string]int64{}}
	if a.cfg.EscrowAfter == 0 {
		return e
	}
	for _, p := range a.awake {
		if p.page != n || a.closing {
			continue
		}
		if tokens := p.balance - a.open(now, p); tokens > 0 {
			e.tokens[p.id] = tokens
		}
	}
	value.Escrows[a.cfg.Self.Incarnation] = Escrow{
		Boot:   a.cfg.Boot,
		At:     int64(a.cfg.Uptime(now)),
		Tokens: maps.Clone(e.tokens),
	}
	return e
}

// needsReseal tells whether so little is usable that the page should be
// written to release a part of the escrow.
func (a *Agent) needsReseal(now time.Time, p *purse) bool {
	return p.escrow > 0 && float64(p.usable()) < resealBelow*float64(a.open(now, p))
}

// takeBack returns the escrows of this machine's earlier processes to the
// budgets, in the router's copy of the page. They were not used if this
// process started before their time had passed.
func (a *Agent) takeBack(ps *pageState) {
	if a.cfg.EscrowAfter == 0 || a.cfg.Boot == "" {
		return
	}
	started := int64(a.cfg.Uptime(a.cfg.Started))
	for holder, e := range ps.page.Escrows {
		if holder == a.cfg.Self.Incarnation || !a.cfg.Predecessor(holder) || e.Boot != a.cfg.Boot {
			continue
		}
		if age := time.Duration(started - e.At); age < 0 || age >= a.cfg.EscrowAfter {
			delete(ps.page.Escrows, holder)
			continue
		}
		ps.page.release(holder, e)
		ps.reseal = true
	}
}

// release takes a holder's escrow back from what it was issued, and closes it.
func (p *Page) release(holder string, e Escrow) {
	for id, tokens := range e.Tokens {
		if p.Budgets[id] != nil {
			p.issue(id, holder, -tokens)
		}
	}
	p.Close(holder)
}
