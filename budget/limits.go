package budget

import "time"

// Limit is a budget as the operator's configuration gives it.
type Limit struct {
	// Account is the client account that owns the budget.
	Account string
	// Tokens is the prepaid number of tokens.
	Tokens int64
	// Version is the configuration's version; a newer one wins.
	Version int64
}

// SetLimits takes the budgets of a configuration. A budget that is lowered is
// handed back whole and drawn anew, since what was issued may pass the new
// limit; a router that cannot reach the store then has none of it.
func (a *Agent) SetLimits(now time.Time, limits map[string]Limit) []Effect {
	for id, next := range limits {
		old, known := a.limits[id]
		if known && next.Version <= old.Version {
			continue
		}
		a.limits[id] = next
		if a.cfg.StarterShare > 0 {
			a.purse(id).lastUse = now
		}
		if known && next.Tokens < old.Tokens {
			a.handBack(now, id)
		}
		if known && next.Tokens > old.Tokens {
			a.raised(id)
		}
	}
	for n, ps := range a.pages {
		a.applyLimits(n, ps)
	}
	return a.drain()
}

// handBack returns the balance of a lowered budget to the store.
func (a *Agent) handBack(now time.Time, id string) {
	p, held := a.purses[id]
	if held && p.balance > 0 {
		a.returnToStore(now, a.purse(id))
	}
}

// raised makes the next reservation look into the store again.
func (a *Agent) raised(id string) {
	if p, held := a.purses[id]; held {
		p.scarce = false
		p.shortAt = time.Time{}
	}
}

// applyLimits brings the router's copy of a page up to the limits it knows. A
// page that was written by a router with a newer configuration keeps its own.
func (a *Agent) applyLimits(n int, ps *pageState) {
	if !ps.have {
		return
	}
	for id, l := range a.limits {
		if PageOf(id, a.cfg.Pages) != n {
			continue
		}
		r, ok := ps.page.Budgets[id]
		switch {
		case !ok:
			ps.page.Budgets[id] = &Record{Account: l.Account, Limit: l.Tokens, LimitVersion: l.Version, Holders: map[string]int64{}}
		case r.LimitVersion < l.Version:
			r.Limit, r.LimitVersion = l.Tokens, l.Version
		}
	}
}

// shedOverdrawn returns balances of budgets of which more is issued than their
// limit: the limit was lowered while this or another router drew.
func (a *Agent) shedOverdrawn(now time.Time, n int, ps *pageState) {
	for _, p := range a.awake {
		if p.page != n || p.balance <= 0 {
			continue
		}
		r := ps.page.Budgets[p.id]
		if r != nil && r.Free() < 0 {
			a.returnToStore(now, p)
		}
	}
}
