package budget

import (
	"math"
	"time"
)

// The final reserve of a budget is its last share. It is released slowly and only to small
// requests, so that an account whose budget runs out still gets some service until it is
// topped up, instead of being refused entirely.

// finalReserveDivisor limits one request to one part in finalReserveDivisor of the final
// reserve: half, since the final reserve of a small budget covers only a few small
// requests.
const finalReserveDivisor = 2

// finalReserve returns the size of a budget's final reserve in tokens.
func (a *Agent) finalReserve(r *Record) int64 {
	return int64(a.cfg.FinalReserveShare * float64(r.Limit))
}

// inFinalReserve reports whether, by the router's copy of the page, only the final reserve
// is left.
func (a *Agent) inFinalReserve(p *budgetState) bool {
	r := a.record(p)
	return r != nil && a.cfg.FinalReserveShare > 0 && r.Free() <= a.finalReserve(r)
}

// trackFinalReserve records when a budget reached its final reserve.
func (a *Agent) trackFinalReserve(now time.Time, p *budgetState) {
	switch {
	case !a.inFinalReserve(p):
		p.finalReserveSince = time.Time{}
	case p.finalReserveSince.IsZero():
		p.finalReserveSince = now
	}
}

// record returns the budget in the router's copy of its page, or nil if there is none.
func (a *Agent) record(p *budgetState) *Record {
	ps := a.pages[p.page]
	if ps == nil || !ps.have {
		return nil
	}
	return ps.page.Budgets[p.id]
}

// admitsFromFinalReserve reports whether a request may take from the final reserve: it
// must be small, and the schedule must have released enough tokens for it. The schedule
// depends only on time and on what all routers together have left of the final reserve,
// since it is not known at which routers the demand arises.
func (a *Agent) admitsFromFinalReserve(now time.Time, p *budgetState, need int64) bool {
	r := a.record(p)
	reserve := a.finalReserve(r)
	return need <= reserve/finalReserveDivisor && r.Free()-need >= a.unreleasedFinalReserve(now, p, reserve)
}

// unreleasedFinalReserve returns how much of the final reserve must be left now, counted
// from the time that trackFinalReserve recorded: a fraction 1/e (about a third) after
// FinalReserveTime, and a little for long after that.
func (a *Agent) unreleasedFinalReserve(now time.Time, p *budgetState, reserve int64) int64 {
	elapsed := now.Sub(p.finalReserveSince).Seconds() / a.cfg.FinalReserveTime.Seconds()
	return int64(float64(reserve) * math.Exp(-elapsed))
}

// spendable returns the free tokens of a budget that a draw may take.
func (a *Agent) spendable(r *Record, fromFinalReserve bool) int64 {
	free := r.Free()
	if !fromFinalReserve {
		free -= a.finalReserve(r)
	}
	return max(free, 0)
}
