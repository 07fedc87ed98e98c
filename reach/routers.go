package reach

import (
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

// Routers holds what this router knows of others that reach servers it is cut off from. It is not safe
// for concurrent use.
type Routers struct {
	penalties map[string]*penalty
	// broken holds the times until which connections through a router are not used, and left when a
	// process of it said that it is stopping.
	broken, left map[string]time.Time
	// reaching are the routers that reach a group, and failures the consecutive servers that each did
	// not reach.
	reaching map[Group][]string
	failures map[Group]map[string]int
	searched map[Group]time.Time
	// heard is when bytes last arrived through each router, and unheard the requests since then that
	// got none.
	heard   map[string]time.Time
	unheard map[string]int
	// loads are the numbers of connections for other routers that routers have stated last.
	loads map[string]int
}

// penalty is the time until which a router is not asked.
type penalty struct {
	until time.Time
	wait  time.Duration
}

// NewRouters returns a Routers that knows none.
func NewRouters() *Routers {
	return &Routers{penalties: map[string]*penalty{}, broken: map[string]time.Time{}, left: map[string]time.Time{}, reaching: map[Group][]string{}, failures: map[Group]map[string]int{}, searched: map[Group]time.Time{}, loads: map[string]int{}, heard: map[string]time.Time{}, unheard: map[string]int{}}
}

// Usable reports whether a router may be asked.
func (r *Routers) Usable(now time.Time, id string) bool {
	p, ok := r.penalties[id]
	return !ok || !now.Before(p.until)
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
	if r.loads[b] < r.loads[a] {
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
	r.loads[id] = load
	delete(r.penalties, id)
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
	p := r.penalties[id]
	switch {
	case p == nil:
		p = &penalty{wait: minPenalty}
		r.penalties[id] = p
	case now.Before(p.until):
		return
	default:
		p.wait = min(2*p.wait, maxPenalty)
	}
	p.until = now.Add(p.wait)
	if p.wait < dropPenalty {
		return
	}
	for g := range r.reaching {
		r.remove(g, id)
	}
}

// Busy records that a router has no room for a connection now.
func (r *Routers) Busy(now time.Time, id string) {
	r.penalties[id] = &penalty{until: now.Add(minPenalty), wait: minPenalty / 2}
}

// Heard records that bytes of a response arrived through a router.
func (r *Routers) Heard(now time.Time, id string) {
	r.heard[id] = now
	delete(r.unheard, id)
}

// Unheard records that a request that was sent through a router at a given time got no byte of a response.
// The server may be slow or have ended, so the router counts as broken, and its connections as unusable
// until the penalty ends, only if several do and nothing else arrives through it.
func (r *Routers) Unheard(now, began time.Time, id string) {
	if !r.heard[id].Before(began) {
		return
	}
	r.unheard[id]++
	if r.unheard[id] >= maxUnheard && now.Sub(r.heard[id]) >= silenceLimit {
		delete(r.unheard, id)
		r.Failed(now, id)
		r.broken[id] = r.penalties[id].until
	}
}

// Leaving records that a router is stopping. Connections through it that are open carry no further
// request.
func (r *Routers) Leaving(now time.Time, id string) {
	r.left[id] = now
	r.penalties[id] = &penalty{until: now.Add(leavingPenalty), wait: leavingPenalty}
	for g := range r.reaching {
		r.remove(g, id)
	}
}

// KeepsConnection reports whether a connection through a router that was opened at a given time may carry
// another request.
func (r *Routers) KeepsConnection(now, opened time.Time, id string) bool {
	return !now.Before(r.broken[id]) && !r.left[id].After(opened)
}

func (r *Routers) remove(g Group, id string) {
	r.reaching[g] = slices.DeleteFunc(r.reaching[g], func(other string) bool { return other == id })
	if len(r.reaching[g]) == 0 {
		delete(r.reaching, g)
	}
}

// Forget drops what is known of a group that is reached directly again, and expired penalties.
func (r *Routers) Forget(now time.Time, g Group) {
	delete(r.reaching, g)
	delete(r.failures, g)
	delete(r.searched, g)
	for id, p := range r.penalties {
		if now.Sub(p.until) > maxPenalty {
			delete(r.penalties, id)
			delete(r.broken, id)
			delete(r.left, id)
			delete(r.loads, id)
			delete(r.heard, id)
			delete(r.unheard, id)
		}
	}
}
