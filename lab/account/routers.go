package account

import (
	"cmp"
	"slices"
)

// Router counts the problems of one router that its logs report.
type Router struct {
	Name string
	// Starts counts process starts, Pauses the pauses of the process or the machine, LinkLoadChanges the
	// changes of its link to saturated or back, NoDescriptor the log lines about exhausted file
	// descriptors, and StoreLost the losses of the connection to the store.
	Starts, Pauses, LinkLoadChanges, NoDescriptor, StoreLost int
	// RefusedStale counts the requests that it refused because its state was stale.
	RefusedStale int
}

// counters maps log messages to the counter of a router that they increment.
var counters = map[string]func(*Router) *int{
	"started":               func(r *Router) *int { return &r.Starts },
	"process was paused":    func(r *Router) *int { return &r.Pauses },
	"machine was suspended": func(r *Router) *int { return &r.Pauses },
	"link load":             func(r *Router) *int { return &r.LinkLoadChanges },
	"no descriptor left":    func(r *Router) *int { return &r.NoDescriptor },
	"store lost":            func(r *Router) *int { return &r.StoreLost },
}

// staleCause is the cause of a refusal because of stale state.
const staleCause = "the router is behind"

// Routers returns the routers, those with the most refusals because of stale state first.
func (r *Run) Routers() []Router {
	byName := map[string]*Router{}
	at := func(name string) *Router {
		if byName[name] == nil {
			byName[name] = &Router{Name: name}
		}
		return byName[name]
	}
	for _, e := range r.Events {
		if count, ok := counters[e.Message]; ok {
			*count(at(e.Router))++
		}
	}
	for _, q := range r.Requests {
		if q.Cause == staleCause {
			at(q.Router).RefusedStale++
		}
	}
	var all []Router
	for _, router := range byName {
		all = append(all, *router)
	}
	slices.SortFunc(all, func(a, b Router) int {
		return cmp.Or(cmp.Compare(b.RefusedStale, a.RefusedStale), cmp.Compare(b.Pauses+b.LinkLoadChanges, a.Pauses+a.LinkLoadChanges), cmp.Compare(a.Name, b.Name))
	})
	return all
}
