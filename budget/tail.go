package budget

import (
	"math"
	"time"
)

// The tail of a budget is its last share. It is spent slowly and on small
// requests alone, so that an account whose budget runs out is still served a
// little until it is topped up, and not refused altogether.

// tailFraction is the largest part of the remaining tail that one request may
// take.
const tailFraction = 4

// tail returns the size of a budget's tail in tokens.
func (a *Agent) tail(r *Record) int64 {
	return int64(a.cfg.TailShare * float64(r.Limit))
}

// inTail tells whether, as far as this router knows, only the tail is left.
func (a *Agent) inTail(p *purse) bool {
	r := a.record(p)
	return r != nil && a.cfg.TailShare > 0 && r.Free() <= a.tail(r)
}

// record returns the budget in the router's copy of its page, nil if it has
// none.
func (a *Agent) record(p *purse) *Record {
	ps := a.pages[p.page]
	if ps == nil || !ps.have {
		return nil
	}
	return ps.page.Budgets[p.id]
}

// admitsTail tells whether a request may take from the tail: a small one, and
// so many of those that the tail lasts for the configured time at the demand
// that this router sees, which is taken for its share of the fleet's.
func (a *Agent) admitsTail(now time.Time, p *purse, need int64) bool {
	free := a.record(p).Free()
	if need > free/tailFraction {
		return false
	}
	demand := float64(p.small.ahead(now, a.cfg.TailTime)) * float64(a.cfg.Routers())
	return float64(free) > demand*chance(a.token)
}

// noteSmall counts a request that the tail would serve.
func (a *Agent) noteSmall(now time.Time, p *purse, need int64) {
	r := a.record(p)
	if r != nil && need <= a.tail(r)/tailFraction {
		p.small.add(now, need)
	}
}

// chance spreads the numbers of reservations evenly over [0, 1).
func chance(n uint64) float64 {
	const golden = 0.6180339887498949 // the fractional multiples of the golden ratio are spread evenly
	_, f := math.Modf(float64(n) * golden)
	return f
}

// spendable returns the free tokens of a budget that a draw may take.
func (a *Agent) spendable(r *Record, fromTail bool) int64 {
	free := r.Free()
	if !fromTail {
		free -= a.tail(r)
	}
	return max(free, 0)
}
