package account

import (
	"cmp"
	"slices"
	"time"
)

// Refusal summarizes the requests that were not served for one reason.
type Refusal struct {
	// Name is the name of the result code, and Cause the text of the reason.
	Name, Cause string
	Count       int
	// First and Last are the times at which the first and the last of them ended, and MedianDuration is
	// their median duration.
	First, Last, MedianDuration time.Duration
	// Router is the router with the most of them, and AtRouter their number there.
	Router   string
	AtRouter int
}

// Refusals returns the refusals by reason, the most frequent first.
func (r *Run) Refusals() []Refusal {
	type reason struct{ name, cause string }
	byReason := map[reason][]Request{}
	for _, q := range r.Requests {
		if q.Name != "OK" {
			k := reason{q.Name, q.Cause}
			byReason[k] = append(byReason[k], q)
		}
	}
	var all []Refusal
	for k, requests := range byReason {
		all = append(all, refusal(k.name, k.cause, requests))
	}
	slices.SortFunc(all, func(a, b Refusal) int {
		return cmp.Or(cmp.Compare(b.Count, a.Count), cmp.Compare(a.Name, b.Name), cmp.Compare(a.Cause, b.Cause))
	})
	return all
}

func refusal(name, cause string, requests []Request) Refusal {
	f := Refusal{Name: name, Cause: cause, Count: len(requests), First: requests[0].At, Last: requests[0].At}
	byRouter := map[string]int{}
	var took []time.Duration
	for _, q := range requests {
		f.First, f.Last = min(f.First, q.At), max(f.Last, q.At)
		byRouter[q.Router]++
		took = append(took, q.After)
	}
	slices.Sort(took)
	f.MedianDuration = took[len(took)/2]
	for router, n := range byRouter {
		if n > f.AtRouter || n == f.AtRouter && router < f.Router {
			f.Router, f.AtRouter = router, n
		}
	}
	return f
}

// PerSecond returns, for each result code except OK, the number of requests that ended in each
// second of the run. Index 0 of each slice is the second in which the earliest request ended, and
// first is the number of that second.
func (r *Run) PerSecond() (first int, byName map[string][]int) {
	byName = map[string][]int{}
	if len(r.Requests) == 0 {
		return 0, byName
	}
	second := func(q Request) int { return int(q.At / time.Second) }
	first = second(r.Requests[0])
	last := first
	for _, q := range r.Requests {
		first, last = min(first, second(q)), max(last, second(q))
	}
	for _, q := range r.Requests {
		if q.Name == "OK" {
			continue
		}
		if byName[q.Name] == nil {
			byName[q.Name] = make([]int, last-first+1)
		}
		byName[q.Name][second(q)-first]++
	}
	return first, byName
}
