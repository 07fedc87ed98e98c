package account

import (
	"cmp"
	"slices"
)

// Router is what the logs say of one router's troubles.
type Router struct {
	Name string
	// Starts counts its processes, Pauses the pauses of the process, Full the times at which its
	// link turned full or free again, NoDescriptor the lines without a descriptor, and StoreLost
	// the losses of the store.
	Starts, Pauses, Full, NoDescriptor, StoreLost int
	// Behind counts the requests that it refused for old knowledge.
	Behind int
}

// troubles counts the events of a router by message.
var troubles = map[string]func(*Router) *int{
	"started":               func(r *Router) *int { return &r.Starts },
	"process was paused":    func(r *Router) *int { return &r.Pauses },
	"machine was suspended": func(r *Router) *int { return &r.Pauses },
	"link load":             func(r *Router) *int { return &r.Full },
	"no descriptor left":    func(r *Router) *int { return &r.NoDescriptor },
	"store lost":            func(r *Router) *int { return &r.StoreLost },
}

// behind is the reason of a refusal for old knowledge.
const behind = "the router is behind"

// Routers returns the routers, those with the most refusals for old knowledge first.
func (r *Run) Routers() []Router {
	byName := map[string]*Router{}
	at := func(name string) *Router {
		if byName[name] == nil {
			byName[name] = &Router{Name: name}
		}
		return byName[name]
	}
	for _, e := range r.Events {
		if count, ok := troubles[e.Message]; ok {
			*count(at(e.Router))++
		}
	}
	for _, q := range r.Requests {
		if q.Cause == behind {
			at(q.Router).Behind++
		}
	}
	var all []Router
	for _, router := range byName {
		all = append(all, *router)
	}
	slices.SortFunc(all, func(a, b Router) int {
		return cmp.Or(cmp.Compare(b.Behind, a.Behind), cmp.Compare(b.Pauses+b.Full, a.Pauses+a.Full), cmp.Compare(a.Name, b.Name))
	})
	return all
}
