package budget

import (
	"math"
	"time"
)

// The tail of a budget is its last share. It is released slowly and only to small
// requests, so that an account whose budget runs out still gets some service until it is
// topped up, instead of being refused entirely.

// tailDivisor limits one request to one part in tailDivisor of the tail: half, since the
// tail of a small budget covers only a few small requests.
const tailDivisor = 2

// tail returns the size of a budget's tail in tokens.
func (a *Agent) tail(r *Record) int64 {
	return int64(a.cfg.TailShare * float64(r.Limit))
}

// inTail reports whether, as far as this router knows, only the tail is left.
func (a *Agent) inTail(p *accountBalance) bool {
	r := a.record(p)
	return r != nil && a.cfg.TailShare > 0 && r.Free() <= a.tail(r)
}

// trackTail records when a budget reached its tail.
func (a *Agent) trackTail(now time.Time, p *accountBalance) {
	switch {
	case !a.inTail(p):
		p.tailSince = time.Time{}
	case p.tailSince.IsZero():
		p.tailSince = now
	}
}

// record returns the budget in the router's copy of its page, or nil if there is none.
func (a *Agent) record(p *accountBalance) *Record {
	ps := a.pages[p.page]
	if ps == nil || !ps.have {
		return nil
	}
	return ps.page.Budgets[p.id]
}

// admitsTail reports whether a request may take from the tail: it must be small, and the
// schedule must have released enough tokens for it. The schedule depends only on time and
// on what all routers together have left of the tail, since it is not known at which
// routers the demand arises.
func (a *Agent) admitsTail(now time.Time, p *accountBalance, need int64) bool {
	r := a.record(p)
	tail := a.tail(r)
	return need <= tail/tailDivisor && r.Free()-need >= a.unreleasedTail(now, p, tail)
}

// unreleasedTail returns how much of the tail must be left now, counted from the time that
// trackTail recorded: a fraction 1/e (about a third) after TailTime, and a little for long
// after that.
func (a *Agent) unreleasedTail(now time.Time, p *accountBalance, tail int64) int64 {
	elapsed := now.Sub(p.tailSince).Seconds() / a.cfg.TailTime.Seconds()
	return int64(float64(tail) * math.Exp(-elapsed))
}

// spendable returns the free tokens of a budget that a draw may take.
func (a *Agent) spendable(r *Record, fromTail bool) int64 {
	free := r.Free()
	if !fromTail {
		free -= a.tail(r)
	}
	return max(free, 0)
}
