package reach

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// maxRouters is the number of routers through which this router reaches a group: several, so that
	// the load of many routers that are cut off spreads over those that are not.
	maxRouters = 6
	// minPenalty is the time for which a router is not asked after it provided no connection. It doubles
	// with each further failure up to maxPenalty.
	minPenalty = 250 * time.Millisecond
	maxPenalty = 4 * time.Second
	// dropPenalty is the penalty from which a router no longer counts as reaching servers.
	dropPenalty = time.Second
	// leavingPenalty is the time for which a router that is stopping is not asked. It may be back soon.
	leavingPenalty = time.Second
	// maxUnheard is the number of requests without a byte of a response after which a router through
	// which nothing else arrives counts as broken.
	maxUnheard = 2
	// searchInterval is the minimum time between two searches for routers that reach a group.
	searchInterval = 250 * time.Millisecond
)

// Routers holds the observations of other routers through which servers are reached. It is not safe for
// concurrent use.
type Routers struct {
	byID map[string]*router
	// reaching are the routers that reach a group, and failures the consecutive servers that each did
	// not reach.
	reaching map[Group][]string
	failures map[Group]map[string]int
	searched map[Group]time.Time
}

// router is what was observed of one router.
type router struct {
	// penaltyUntil is the time until which it is not asked, and penalty the length of that.
	penaltyUntil time.Time
	penalty      time.Duration
	// brokenUntil is the time until which connections through it are not used, and leftAt when a process
	// of it said that it is stopping.
	brokenUntil, leftAt time.Time
	// heardAt is when bytes last arrived through it, and unheard the number of requests since then that
	// got none.
	heardAt time.Time
	unheard int
	// load is the number of connections for other routers that it has stated last.
	load int
}

// NewRouters returns a Routers without observations.
func NewRouters() *Routers {
	return &Routers{byID: map[string]*router{}, reaching: map[Group][]string{}, failures: map[Group]map[string]int{}, searched: map[Group]time.Time{}}
}

func (r *Routers) router(id string) *router {
	o, ok := r.byID[id]
	if !ok {
		o = &router{}
		r.byID[id] = o
	}
	return o
}

// penalize makes a router not be asked for a time.
func (o *router) penalize(now time.Time, wait time.Duration) {
	o.penalty, o.penaltyUntil = wait, now.Add(wait)
}

// Usable reports whether a router may be asked.
func (r *Routers) Usable(now time.Time, id string) bool {
	o, ok := r.byID[id]
	return !ok || !now.Before(o.penaltyUntil)
}

// Pick returns the less loaded of two random routers that reach a group, except those in tried; false
// means that none is known.
func (r *Routers) Pick(now time.Time, rng *rand.Rand, g Group, tried []string) (string, bool) {
	var usable []string
	for _, id := range r.reaching[g] {
		if r.Usable(now, id) && !slices.Contains(tried, id) {
			usable = append(usable, id)
		}
	}
	if len(usable) == 0 {
		return "", false
	}
	a, b := usable[rng.IntN(len(usable))], usable[rng.IntN(len(usable))]
	if r.router(b).load < r.router(a).load {
		return b, true
	}
	return a, true
}

// Reaching returns the routers that are known to reach a group.
func (r *Routers) Reaching(g Group) []string { return slices.Clone(r.reaching[g]) }

// SearchDue reports whether routers that reach a group should be searched now, and counts the search as
// begun.
func (r *Routers) SearchDue(now time.Time, g Group) bool {
	if at, ok := r.searched[g]; ok && now.Sub(at) < searchInterval {
		return false
	}
	r.searched[g] = now
	return true
}

// Add records that a router reaches a group. It reports whether more are wanted.
func (r *Routers) Add(g Group, id string) (more bool) {
	if list := r.reaching[g]; len(list) < maxRouters && !slices.Contains(list, id) {
		r.reaching[g] = append(list, id)
	}
	return len(r.reaching[g]) < maxRouters
}

// Provided records that a router provided a connection, and how many it has for other routers.
func (r *Routers) Provided(g Group, id string, load int) {
	o := r.router(id)
	o.load, o.penalty, o.penaltyUntil = load, 0, time.Time{}
	delete(r.failures[g], id)
}

// ServerNotReached records that a router did not reach a server of a group. One that reaches several of
// them no longer is dropped.
func (r *Routers) ServerNotReached(g Group, id string) {
	if r.failures[g] == nil {
		r.failures[g] = map[string]int{}
	}
	r.failures[g][id]++
	if r.failures[g][id] >= manyServers {
		delete(r.failures[g], id)
		r.remove(g, id)
	}
}

// NotReaching records that a router does not reach a group itself.
func (r *Routers) NotReaching(g Group, id string) { r.remove(g, id) }

// Failed records that a router provided no connection.
func (r *Routers) Failed(now time.Time, id string) {
	o := r.router(id)
	if now.Before(o.penaltyUntil) {
		return
	}
	o.penalize(now, min(max(2*o.penalty, minPenalty), maxPenalty))
	if o.penalty >= dropPenalty {
		r.drop(id)
	}
}

// Busy records that a router has no room for a connection now. The penalty does not grow.
func (r *Routers) Busy(now time.Time, id string) {
	o := r.router(id)
	o.penalize(now, minPenalty)
	o.penalty = 0
}

// Heard records that bytes of a response arrived through a router.
func (r *Routers) Heard(now time.Time, id string) {
	o := r.router(id)
	o.heardAt, o.unheard = now, 0
}

// Unheard records that a request that was sent through a router at a given time got no byte of a response.
// The server may be slow or have ended, so the router counts as broken, and its connections as unusable
// until the penalty ends, only if several do and nothing else arrives through it.
func (r *Routers) Unheard(now, began time.Time, id string) {
	o := r.router(id)
	if !o.heardAt.Before(began) {
		return
	}
	o.unheard++
	if o.unheard >= maxUnheard && now.Sub(o.heardAt) >= silenceLimit {
		o.unheard = 0
		r.Failed(now, id)
		o.brokenUntil = o.penaltyUntil
	}
}

// Leaving records that a router is stopping. Connections through it that are open carry no further
// request.
func (r *Routers) Leaving(now time.Time, id string) {
	o := r.router(id)
	o.leftAt = now
	o.penalize(now, leavingPenalty)
	r.drop(id)
}

// KeepsConnection reports whether a connection through a router that was opened at a given time may carry
// another request.
func (r *Routers) KeepsConnection(now, opened time.Time, id string) bool {
	o, ok := r.byID[id]
	return !ok || !now.Before(o.brokenUntil) && !o.leftAt.After(opened)
}

// drop removes a router from all groups that it reaches.
func (r *Routers) drop(id string) {
	for g := range r.reaching {
		r.remove(g, id)
	}
}

func (r *Routers) remove(g Group, id string) {
	r.reaching[g] = slices.DeleteFunc(r.reaching[g], func(other string) bool { return other == id })
	if len(r.reaching[g]) == 0 {
		delete(r.reaching, g)
	}
}

// Forget drops what was observed for a group that is reached directly again, and the routers of which
// nothing is in force any more.
func (r *Routers) Forget(now time.Time, g Group) {
	delete(r.reaching, g)
	delete(r.failures, g)
	delete(r.searched, g)
	maps.DeleteFunc(r.byID, func(_ string, o *router) bool {
		return now.Sub(o.penaltyUntil) > maxPenalty && now.Sub(o.heardAt) > maxPenalty
	})
}
