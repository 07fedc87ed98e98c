// Package placement chooses the backend server of a request from what one
// router knows: the registered servers, its own requests in flight, and how
// its own requests ended.
//
// Requests with the same prompt prefix go to the same server over all routers,
// by rendezvous hashing, as long as that server is not much busier than the
// others. The package is pure: callers pass the time and the random source.
package placement

import (
	"math/rand/v2"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// loadSlack is how much busier than its service's mean the server of a
	// prefix may be before another takes the request.
	loadSlack = 2.0
	// loadFloor is the number of own requests in flight up to which a server
	// is never too busy for its prefix.
	loadFloor = 10
	// failureMemory is the weight of the newest outcome in a server's failure
	// rate; about the last ten requests count.
	failureMemory = 0.1
	// failureSlack is how far a server's failure rate may lie above twice its
	// service's mean before it is avoided. Plain services answer a part of
	// their requests with errors of their own.
	failureSlack = 0.25
	// pendingBound is the number of own prompt tokens not yet read up to which
	// a server is not too busy for its prefix: about a second at an engine.
	pendingBound = 60000
	// coldMargin is how much later than known the end of a server's slow start must be to count
	// as a change: what the server writes of it is as old as its propagation.
	coldMargin = 700 * time.Millisecond
	// silentFailures in a row without any answer eject a server.
	silentFailures = 2
)

// Incarnation names one process of a backend server. A server that starts again may
// keep its id; what was known of the process before says nothing of the new one.
type Incarnation struct {
	ID string
	// Started is when the process started, in Unix milliseconds by the server's
	// clock; 0 if the server does not tell.
	Started int64
}

// Server is one registered backend server.
type Server struct {
	ID string
	// Started is the process's start, as in Incarnation.
	Started int64
	Service string
	// Address is IP:port.
	Address string
	// Domain is its failure domain.
	Domain string
	// Slots is how many requests it works on at once.
	Slots int
	// Leaving tells that it takes no new work.
	Leaving bool
	// Renewals counts how often it has written its registration since its start.
	Renewals int64
	// Cold is how much longer it was cold when it wrote its registration.
	Cold time.Duration
}

// Incarnation returns which process of the server this is.
func (s Server) Incarnation() Incarnation { return Incarnation{ID: s.ID, Started: s.Started} }

// state is what the router knows of one process of a server.
type state struct {
	Server
	hash     uint64
	inFlight int
	// pending are the prompt tokens that the server has yet to read.
	pending     int64
	failureRate float64
	// pace is the estimate of Paced, in seconds; 0: unknown.
	pace    float64
	silent  int
	ejected bool
	// coldUntil is until when the server is cold, as far as known.
	coldUntil time.Time
	// noted and measured tell that the state is in the lists of its group, and gone that the
	// process is not known any more.
	noted, measured, gone bool
}

func (s *state) usable(tried map[Incarnation]bool) bool {
	return !s.Leaving && !tried[s.Incarnation()]
}

// Servers is the router's knowledge of all backend servers. It is not safe for
// concurrent use.
type Servers struct {
	byID map[string]*state
	// groups are the servers by service.
	groups map[string]*group
	// order is the seed of this router's own order of servers that are alike.
	order uint64
	// meanPrompt is the mean size of prompts by service, in tokens.
	meanPrompt map[string]float64
	// evacuated are the failure domains whose servers get no work.
	evacuated map[string]bool
}

// New returns a Servers that knows none.
func New() *Servers {
	return &Servers{byID: map[string]*state{}, groups: map[string]*group{}, meanPrompt: map[string]float64{}}
}

// SetOrder sets the seed of this router's own order of servers that are alike. Routers with
// different seeds spread their requests, and each keeps to few connections.
func (f *Servers) SetOrder(seed uint64) { f.order = seed }

// groupOf returns the group of a service.
func (f *Servers) groupOf(service string) *group {
	g, ok := f.groups[service]
	if !ok {
		g = newGroup()
		f.groups[service] = g
	}
	return g
}

// Put adds a server or updates it. A process that was said to be leaving stays
// so. Another process under the same id takes the place of the one before, and
// nothing known of that one holds for it. Which of two is the later one is for the
// caller to know: the clock of a server may have been set back between its starts.
func (f *Servers) Put(s Server) {
	old, ok := f.byID[s.ID]
	if !ok || s.Started != old.Started {
		f.Remove(s.ID)
		next := &state{Server: s, hash: xxhash.Sum64String(s.ID)}
		f.byID[s.ID] = next
		f.groupOf(s.Service).insert(next)
		return
	}
	s.Leaving = s.Leaving || old.Leaving
	if old.Service != s.Service || old.Domain != s.Domain {
		f.groupOf(old.Service).remove(old)
		old.Server = s
		f.groupOf(s.Service).insert(old)
		return
	}
	old.Server = s
	f.note(old)
}

// note has the group of a server look at it when it sums up what is known.
func (f *Servers) note(s *state) {
	f.groupOf(s.Service).note(s)
}

// of returns what is known of a process, or nil once it is gone or another one
// runs under its id.
func (f *Servers) of(in Incarnation) *state {
	s, ok := f.byID[in.ID]
	if !ok || s.Incarnation() != in {
		return nil
	}
	return s
}

// Remove forgets a server. If it comes back, its counts start anew, and requests
// that were sent before end without being counted.
func (f *Servers) Remove(id string) {
	s, ok := f.byID[id]
	if !ok {
		return
	}
	delete(f.byID, id)
	f.groupOf(s.Service).remove(s)
	s.gone = true
}

// Leave marks a process that takes no new work.
func (f *Servers) Leave(in Incarnation) {
	if s := f.of(in); s != nil {
		s.Leaving = true
		f.note(s)
	}
}

// SetEvacuated sets the evacuated failure domains: none of their servers gets work,
// until a call without them.
func (f *Servers) SetEvacuated(domains []string) {
	f.evacuated = make(map[string]bool, len(domains))
	for _, domain := range domains {
		f.evacuated[domain] = true
	}
}

// All returns the known servers in the order of their ids.
func (f *Servers) All() []Server {
	all := make([]Server, 0, len(f.byID))
	for _, s := range f.byID {
		all = append(all, s.Server)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].ID < all[j].ID })
	return all
}

// Has tells whether the server is known.
func (f *Servers) Has(id string) bool {
	_, ok := f.byID[id]
	return ok
}

// Runs tells whether this process is the one known of its server.
func (f *Servers) Runs(in Incarnation) bool { return f.of(in) != nil }

// Get returns a known server.
func (f *Servers) Get(id string) (Server, bool) {
	s, ok := f.byID[id]
	if !ok {
		return Server{}, false
	}
	return s.Server, true
}

// TakesWork tells whether a process runs and has not said that it leaves.
func (f *Servers) TakesWork(in Incarnation) bool {
	s := f.of(in)
	return s != nil && !s.Leaving
}

// MaySend tells whether a request may be sent to a process that was picked for it
// before: it takes work, and its failure domain is not evacuated.
func (f *Servers) MaySend(in Incarnation) bool {
	s := f.of(in)
	return s != nil && !s.Leaving && !f.evacuated[s.Domain]
}

// IsEjected tells whether the process is ejected until Restored.
func (f *Servers) IsEjected(in Incarnation) bool {
	s := f.of(in)
	return s != nil && s.ejected
}

// Ejected returns the servers that are ejected until Restored.
func (f *Servers) Ejected() []Server {
	var list []Server
	for _, g := range f.groups {
		for _, s := range g.noted {
			if !s.gone && s.ejected && !s.Leaving && !f.evacuated[s.Domain] {
				list = append(list, s.Server)
			}
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	return list
}

// Query is what matters of a request for the choice.
type Query struct {
	Service string
	// Affinity is the hash of the prompt's shared parts; 0 means none.
	Affinity uint64
	// Tokens are the prompt tokens that no server has read yet.
	Tokens int64
	// Prompt are all tokens of the prompt.
	Prompt int64
	// Tried are those that the request was already sent to.
	Tried map[Incarnation]bool
	// Domain is the router's failure domain; it decides between servers that
	// are alike.
	Domain string
	// Now is the time of the choice.
	Now time.Time
	// Open tells whether a server may get the request by the rate that it takes; cold
	// tells that it is cold. nil: all may. It is asked for the servers that would else be
	// chosen from.
	Open func(s Server, cold bool) bool
	// Rank is the urgency of the request at servers with a limited rate; 0 is the most
	// urgent.
	Rank int
	// Unrestricted leaves out servers that take requests at a limited rate.
	Unrestricted bool
	// InDomain tells whether the request may run in a failure domain; nil: in all.
	InDomain func(domain string) bool
}

// allows tells whether the request may go to a server that is in use.
func (q *Query) allows(s *state) bool {
	if q.InDomain != nil && !q.InDomain(s.Domain) {
		return false
	}
	return q.Open == nil || q.Open(s.Server, q.Now.Before(s.coldUntil))
}

// Pick chooses a server; false means that none can take the request.
func (f *Servers) Pick(rng *rand.Rand, q Query) (Server, bool) {
	isLong := q.Affinity != 0 && f.long(q)
	s := f.pickOpen(rng, q, isLong)
	if s == nil {
		s = f.pickAny(rng, q, isLong)
	}
	if s == nil {
		return Server{}, false
	}
	return s.Server, true
}

// pickAny is Pick where no server is free of all reasons to spare it.
func (f *Servers) pickAny(rng *rand.Rand, q Query, isLong bool) *state {
	candidates := f.candidates(q)
	switch {
	case len(candidates) == 0:
		return nil
	case q.Affinity == 0:
		return f.leastBusy(rng, candidates, q.Domain)
	case isLong:
		candidates = fast(candidates)
	}
	return byPrefix(candidates, q.Affinity)
}

// candidates are the servers worth a try: up and not failing far more than the
// others. Servers that fail are better than none; servers that are down are
// not, since a request sent there would only wait.
func (f *Servers) candidates(q Query) []*state {
	var up []*state
	var sum float64
	for _, s := range f.groupOf(q.Service).list {
		if s.usable(q.Tried) && !s.ejected && !f.evacuated[s.Domain] && q.allows(s) {
			up = append(up, s)
			sum += s.failureRate
		}
	}
	if len(up) == 0 {
		return nil
	}
	limit := 2*sum/float64(len(up)) + failureSlack
	sound := up[:0:0]
	for _, s := range up {
		if s.failureRate <= limit {
			sound = append(sound, s)
		}
	}
	if len(sound) == 0 {
		return up
	}
	return sound
}

// byPrefix returns the first server in the prefix's rendezvous order that is
// not too busy, or the one with the least to read.
func byPrefix(list []*state, affinity uint64) *state {
	total := 0
	for _, s := range list {
		total += s.inFlight
	}
	bound := max(loadFloor, int(loadSlack*float64(total)/float64(len(list))))
	var best, idlest *state
	var bestRank uint64
	for _, s := range list {
		if idlest == nil || s.pending < idlest.pending || s.pending == idlest.pending && s.inFlight < idlest.inFlight {
			idlest = s
		}
		if s.inFlight > bound || s.pending > pendingBound {
			continue
		}
		if rank := mix(affinity ^ s.hash); best == nil || rank > bestRank {
			best, bestRank = s, rank
		}
	}
	if best == nil {
		return idlest
	}
	return best
}

// mix is the finalizer of splitmix64: it spreads the combined hash evenly.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// leastBusy returns a server with the fewest own requests in flight, one of
// the same failure domain if there is one among them.
func (f *Servers) leastBusy(rng *rand.Rand, list []*state, domain string) *state {
	var best []*state
	for _, s := range list {
		switch {
		case len(best) == 0 || s.inFlight < best[0].inFlight:
			best = []*state{s}
		case s.inFlight == best[0].inFlight:
			best = append(best, s)
		}
	}
	var near *state
	for _, s := range best {
		if s.Domain == domain && (near == nil || mix(f.order^s.hash) > mix(f.order^near.hash)) {
			near = s
		}
	}
	if near != nil {
		return near
	}
	return best[rng.IntN(len(best))]
}

// Affinity returns the hash of the shared parts of a prompt, never 0.
func Affinity(parts []string) uint64 {
	h := xxhash.New()
	for _, p := range parts {
		_, _ = h.WriteString(p)
		_, _ = h.WriteString(",")
	}
	return max(h.Sum64(), 1)
}

// Count is how many servers of a service are in which state.
type Count struct{ Up, Ejected, Leaving, Evacuated int }

// Counts returns the servers by service and state.
func (f *Servers) Counts() map[string]Count {
	counts := map[string]Count{}
	for _, s := range f.byID {
		c := counts[s.Service]
		switch {
		case s.Leaving:
			c.Leaving++
		case f.evacuated[s.Domain]:
			c.Evacuated++
		case s.ejected:
			c.Ejected++
		default:
			c.Up++
		}
		counts[s.Service] = c
	}
	return counts
}
