package budget

import (
	"slices"
	"time"
)

// Holding is what one router holds of a budget, in tokens.
type Holding struct {
	// Balance is free to use; Reserved is held by running requests.
	Balance, Reserved int64
	// Writing is being drawn from or returned to the store by a write whose outcome is not
	// known here yet.
	Writing int64
	// Unrecorded was spent by requests whose bill has not reached a shard owner yet.
	Unrecorded int64
	// Sent and Received are the cumulative totals moved to and from other routers, by
	// incarnation.
	Sent, Received map[string]int64
}

// DecisionInput is the data that a reservation decision is based on.
type DecisionInput struct {
	// Usable is the balance less the escrow; Reserved is held by running requests.
	Usable, Reserved int64
	// Free is what the store had left to issue and Limit the budget's limit, as read with
	// the page's Version, Age ago. A Version of 0 means that the page was never read.
	Free, Limit int64
	Version     int64
	Age         time.Duration
}

// DecisionInput returns the data that the next decision on a budget would be based on.
func (a *Agent) DecisionInput(now time.Time, id string) DecisionInput {
	p, ok := a.budgets[id]
	if !ok {
		return DecisionInput{}
	}
	a.refreshEscrow(now, p)
	s := DecisionInput{Usable: p.usable(), Reserved: p.reserved}
	ps := a.pages[p.page]
	if ps == nil || ps.page == nil || ps.page.Budgets[id] == nil {
		return s
	}
	r := ps.page.Budgets[id]
	s.Free, s.Limit, s.Version, s.Age = r.Free(), r.Limit, ps.version, now.Sub(ps.readAt)
	return s
}

// Fence voids all later messages of an incarnation. Nothing more is sent to it either:
// what it was sent before is reclaimed, but what was sent afterwards would be lost.
func (a *Agent) Fence(incarnation string) {
	a.fenced[incarnation] = true
	for _, p := range a.budgets {
		p.removeIncarnation(incarnation)
	}
}

// removeIncarnation drops a fenced incarnation from the budget's peers.
func (p *budgetState) removeIncarnation(incarnation string) {
	if p.owner.Incarnation == incarnation {
		p.owner = Peer{}
	}
	if p.repeatBack.Incarnation == incarnation {
		p.repeatBack = Peer{}
	}
	delete(p.holders, incarnation)
	kept := p.draws[:0]
	for _, d := range p.draws {
		if d.peer.Incarnation != incarnation {
			kept = append(kept, d)
		}
	}
	p.draws = kept
	p.deferred = slices.DeleteFunc(p.deferred, func(d draw) bool { return d.peer.Incarnation == incarnation })
}

// Holding returns what this router holds of a budget.
func (a *Agent) Holding(id string) Holding {
	p, ok := a.budgets[id]
	if !ok {
		return Holding{}
	}
	return Holding{
		Balance:  p.balance,
		Reserved: p.reserved,
		Writing:  a.tokensInFlight(id),
		Sent:     nonZero(p.sent),
		Received: nonZero(p.received),
	}
}

// Holdings returns what this router holds of every budget that it has used.
func (a *Agent) Holdings() map[string]Holding {
	all := make(map[string]Holding, len(a.budgets))
	for id := range a.budgets {
		all[id] = a.Holding(id)
	}
	return all
}

// tokensInFlight sums the tokens of draws and returns whose store write is not finished. A
// draw that has taken effect is issued but not yet in the balance; a return has left the
// balance and may still be issued.
func (a *Agent) tokensInFlight(id string) int64 {
	ps, ok := a.pages[PageOf(id, a.cfg.Pages)]
	if !ok {
		return 0
	}
	sum := ps.waitingReturns(id)
	if ps.write == nil {
		return sum
	}
	for _, ap := range ps.write.applied {
		if ap.op.budget == id {
			sum += max(ap.tokens, -ap.tokens)
		}
	}
	return sum
}

func nonZero(m map[string]int64) map[string]int64 {
	c := make(map[string]int64, len(m))
	for k, v := range m {
		if v != 0 {
			c[k] = v
		}
	}
	return c
}

// Stranded returns the tokens that are issued and neither held by a live holder, nor in
// transit between two live ones, nor charged. It never overestimates, provided that, in
// this order: the fence was in place at all live routers, issued was read, the holdings
// were read, and the charges were read.
func Stranded(issued int64, live map[string]Holding, charged int64) int64 {
	left := issued - charged
	for _, h := range live {
		left -= h.Balance + h.Reserved + h.Writing + h.Unrecorded
	}
	for from, h := range live {
		for to, other := range live {
			left -= max(h.Sent[to]-other.Received[from], 0)
		}
	}
	return max(left, 0)
}
