package account

import (
	"cmp"
	"slices"
	"time"
)

// exhaustedAt is the part of a budget at which the store counts as empty.
const exhaustedAt = 0.01

// Tokens is where the tokens of a client account were at a time, in tokens. What is neither free
// nor at a writer was spent, lies in routers that did not write the page, or was lost with them.
type Tokens struct {
	At time.Duration
	// Free are in the store.
	Free int64
	// Held and Reserved are those of the routers that have written the page since they started,
	// by what they wrote last.
	Held, Reserved int64
	Limit          int64
}

// Elsewhere returns the tokens that are neither in the store nor at a writer.
func (t Tokens) Elsewhere() int64 { return t.Limit - t.Free - t.Held - t.Reserved }

// AccountTokens is the course of an account's tokens.
type AccountTokens struct {
	Account string
	Course  []Tokens
	// Emptied is when the store had no more than a hundredth of the budget first, and stayed so;
	// below 0: it did not.
	Emptied time.Duration
	// Exhausted counts requests refused since the budget was used up, Early those of them before
	// the store was empty, and Unreachable those for which nobody could be asked.
	Exhausted, Early, Unreachable int
}

// Tokens returns the course of the tokens of each account that has a budget, by account.
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
		all = append(all, AccountTokens{Account: account, Course: course, Emptied: emptied(course)})
	}
	slices.SortFunc(all, func(a, b AccountTokens) int { return cmp.Compare(a.Account, b.Account) })
	r.countRefusals(all)
	return all
}

// starts returns when each router's processes started.
func (r *Run) starts() map[string][]time.Duration {
	starts := map[string][]time.Duration{}
	for _, e := range r.Events {
		if e.Message == "started" {
			starts[e.Router] = append(starts[e.Router], e.At)
		}
	}
	return starts
}

// restarted tells whether a process has started after a time, and by another one.
func restarted(starts []time.Duration, after, by time.Duration) bool {
	return slices.ContainsFunc(starts, func(at time.Duration) bool { return at > after && at <= by })
}

// emptied returns since when the store was empty to the end of the course; -1: it was not.
func emptied(course []Tokens) time.Duration {
	since := time.Duration(-1)
	for _, t := range course {
		switch empty := float64(t.Free) <= exhaustedAt*float64(t.Limit); {
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
			if a.Emptied < 0 || q.At < a.Emptied {
				a.Early++
			}
		case "BudgetUnreachable":
			a.Unreachable++
		}
	}
}

// mostRefused orders accounts by the requests that were refused for their budgets, the most first.
func mostRefused(all []AccountTokens) []AccountTokens {
	slices.SortStableFunc(all, func(a, b AccountTokens) int {
		return cmp.Compare(b.Exhausted+b.Unreachable, a.Exhausted+a.Unreachable)
	})
	return all
}
