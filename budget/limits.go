package budget

import "time"

// Limit is the limit of a budget as the operator's configuration sets it.
type Limit struct {
	// Account is the client account that owns the budget.
	Account string
	// Tokens is the prepaid number of tokens.
	Tokens int64
	// Version is the configuration's version; a newer one wins.
	Version int64
}

// SetLimits applies the budgets of a configuration. The whole balance of a budget whose
// limit is lowered is returned and drawn again, since the issued tokens may exceed the new
// limit; a router that cannot reach the store then has none of it.
func (a *Agent) SetLimits(now time.Time, limits map[string]Limit) []Effect {
	for id, next := range limits {
		old, known := a.limits[id]
		if known && next.Version <= old.Version {
			continue
		}
		a.limits[id] = next
		if a.cfg.InitialShare > 0 {
			a.budgetState(id).lastUse = now
		}
		if known && next.Tokens < old.Tokens {
			a.returnLowered(now, id)
		}
		if known && next.Tokens > old.Tokens {
			a.limitRaised(id)
		}
	}
	for n, ps := range a.pages {
		a.applyLimits(n, ps)
	}
	return a.takeEffects()
}

// returnLowered returns the balance of a budget whose limit was lowered to the store.
func (a *Agent) returnLowered(now time.Time, id string) {
	p, held := a.budgets[id]
	if held && p.balance > 0 {
		a.returnToStore(now, a.budgetState(id))
	}
}

// limitRaised makes the next reservation query the store again.
func (a *Agent) limitRaised(id string) {
	if p, held := a.budgets[id]; held {
		p.scarce = false
		p.shortAt = time.Time{}
	}
}

// applyLimits updates the router's copy of a page to the limits of the router's
// configuration. A page that was written by a router with a newer configuration keeps its own.
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

// returnOverissued returns the balances of budgets whose issued tokens exceed the limit:
// the limit was lowered while this or another router drew.
func (a *Agent) returnOverissued(now time.Time, n int, ps *pageState) {
	for _, p := range a.active {
		if p.page != n || p.balance <= 0 {
			continue
		}
		r := ps.page.Budgets[p.id]
		if r != nil && r.Free() < 0 {
			a.returnToStore(now, p)
		}
	}
}
