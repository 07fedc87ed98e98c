package budget

import (
	"math"
	"time"
)

// The tail of a budget is its last share. It is spent slowly and on small
// requests alone, so that an account whose budget runs out is still served a
// little until it is topped up, and not refused altogether.

// tailFraction is the part of the tail that one request may take at the most: one in two,
// since the tail of a small budget holds but a few small requests.
const tailFraction = 2

// tail returns the size of a budget's tail in tokens.
func (a *Agent) tail(r *Record) int64 {
	return int64(a.cfg.TailShare * float64(r.Limit))
}

// inTail tells whether, as far as this router knows, only the tail is left.
func (a *Agent) inTail(p *purse) bool {
	r := a.record(p)
	return r != nil && a.cfg.TailShare > 0 && r.Free() <= a.tail(r)
}

// noteTail notes when a budget came to its tail.
func (a *Agent) noteTail(now time.Time, p *purse) {
	switch {
	case !a.inTail(p):
		p.tailSince = time.Time{}
	case p.tailSince.IsZero():
		p.tailSince = now
	}
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

// admitsTail tells whether a request may take from the tail: a small one, as far as the
// schedule has released tokens for it. The schedule goes by time alone, and by what all
// routers have left of the tail: at which routers the demand arises is not known.
func (a *Agent) admitsTail(now time.Time, p *purse, need int64) bool {
	r := a.record(p)
	tail := a.tail(r)
	return need <= tail/tailFraction && r.Free()-need >= a.keptOfTail(now, p, tail)
}

// keptOfTail is what must be left of the tail now, which noteTail has seen come: a third after the configured time, and
// a little for long.
func (a *Agent) keptOfTail(now time.Time, p *purse, tail int64) int64 {
	times := now.Sub(p.tailSince).Seconds() / a.cfg.TailTime.Seconds()
	return int64(float64(tail) * math.Exp(-times))
}

// spendable returns the free tokens of a budget that a draw may take.
func (a *Agent) spendable(r *Record, fromTail bool) int64 {
	free := r.Free()
	if !fromTail {
		free -= a.tail(r)
	}
	return max(free, 0)
}
