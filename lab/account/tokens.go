package account

import (
	"cmp"
	"slices"
	"time"
)

// emptyShare is the share of a budget at or below which the store counts as empty.
const emptyShare = 0.01

// Tokens counts the tokens of a client account by location at one time. Tokens that are neither in
// the store nor at a writer have been spent, are held by routers that did not write the page, or
// were lost with such routers.
type Tokens struct {
	At time.Duration
	// Free is the number of tokens in the store.
	Free int64
	// Held and Reserved are the tokens of the routers that have written the page since they started,
	// as of their last write.
	Held, Reserved int64
	Limit          int64
}

// Elsewhere returns the tokens that are neither in the store nor at a writer.
func (t Tokens) Elsewhere() int64 { return t.Limit - t.Free - t.Held - t.Reserved }

// AccountTokens is the history of the tokens of an account.
type AccountTokens struct {
	Account string
	History []Tokens
	// EmptySince is the time from which the store had at most a hundredth of the budget until the end
	// of the run; negative if it had more at the end.
	EmptySince time.Duration
	// Exhausted counts requests refused because the budget was exhausted, Early those of them before
	// the store was empty, and Unreachable those refused because no holder of tokens was reachable.
	Exhausted, Early, Unreachable int
}

// Tokens returns the token history of each account with a budget, sorted by account.
func (r *Run) Tokens() []AccountTokens {
	pages := slices.Clone(r.Pages)
	slices.SortStableFunc(pages, func(a, b Page) int { return cmp.Compare(a.Version, b.Version) })
	starts := r.starts()
	last := map[string]Page{} // by router
	courses := map[string][]Tokens{}
	for _, p := range pages {
		last[p.Router] = p
		for account, b := range p.Balances {
			t := Tokens{At: p.At, Free: b.Free, Limit: b.Limit}
			for router, written := range last {
				if !restarted(starts[router], written.At, p.At) {
					t.Held += written.Balances[account].Held
					t.Reserved += written.Balances[account].Reserved
				}
			}
			courses[account] = append(courses[account], t)
		}
	}
	var all []AccountTokens
	for account, course := range courses {
		all = append(all, AccountTokens{Account: account, History: course, EmptySince: emptySince(course)})
	}
	slices.SortFunc(all, func(a, b AccountTokens) int { return cmp.Compare(a.Account, b.Account) })
	r.countRefusals(all)
	return all
}

// starts returns the process start times of each router.
func (r *Run) starts() map[string][]time.Duration {
	starts := map[string][]time.Duration{}
	for _, e := range r.Events {
		if e.Message == "started" {
			starts[e.Router] = append(starts[e.Router], e.At)
		}
	}
	return starts
}

// restarted reports whether a process started in the interval (after, by].
func restarted(starts []time.Duration, after, by time.Duration) bool {
	return slices.ContainsFunc(starts, func(at time.Duration) bool { return at > after && at <= by })
}

// emptySince returns the time from which the store was empty until the end of the history, or -1 if it
// was not empty at the end.
func emptySince(course []Tokens) time.Duration {
	since := time.Duration(-1)
	for _, t := range course {
		switch empty := float64(t.Free) <= emptyShare*float64(t.Limit); {
		case !empty:
			since = -1
		case since < 0:
			since = t.At
		}
	}
	return since
}

func (r *Run) countRefusals(all []AccountTokens) {
	index := map[string]int{}
	for i, a := range all {
		index[a.Account] = i
	}
	for _, q := range r.Requests {
		i, known := index[q.Account]
		if !known {
			continue
		}
		switch a := &all[i]; q.Name {
		case "BudgetExhausted":
			a.Exhausted++
			if a.EmptySince < 0 || q.At < a.EmptySince {
				a.Early++
			}
		case "BudgetUnreachable":
			a.Unreachable++
		}
	}
}

// sortByRefusals sorts accounts by the number of requests refused because of their budgets, descending.
func sortByRefusals(all []AccountTokens) []AccountTokens {
	slices.SortStableFunc(all, func(a, b AccountTokens) int {
		return cmp.Compare(b.Exhausted+b.Unreachable, a.Exhausted+a.Unreachable)
	})
	return all
}
