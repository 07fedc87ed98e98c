// Package placement selects the backend server for a request from the local
// state of one router: the registered servers, its own requests in flight, and
// the outcomes of its own requests.
//
// All routers send requests with the same prompt prefix to the same server, by
// rendezvous hashing, as long as that server is not much more loaded than the
// others. The package is pure: callers pass the time and the random source.
package placement

import (
	"math/rand/v2"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/gaplink/gaplink/estimate"
)

const (
	// maxLoadFactor is the load, as a multiple of the mean of the service, up to
	// which the preferred server of a prefix gets its requests.
	maxLoadFactor = 2.0
	// minLoadLimit is the number of own requests in flight up to which a server
	// is never overloaded for its prefixes.
	minLoadLimit = 10
	// failureRateWeight is the weight of the newest outcome in the moving average
	// of a server's failure rate; about the last ten requests count.
	failureRateWeight = 0.1
	// failureRateMargin is how far a server's failure rate may be above twice the
	// mean of its service before the server is avoided. Plain services, which are not
	// engines, answer a part of their requests with errors of their own.
	failureRateMargin = 0.25
	// maxPendingTokens is the number of own unprocessed prompt tokens up to which
	// a server is not overloaded for its prefixes: about a second of engine time.
	maxPendingTokens = 60000
	// coldMargin is how much later than known the end of a server's slow start must be to count
	// as a change: the server's own report of it is outdated by its propagation delay.
	coldMargin = 700 * time.Millisecond
	// ejectAfterUnreachable is the number of consecutive requests that do not reach a server
	// after which the server is ejected.
	ejectAfterUnreachable = 2
)

// Incarnation identifies one process of a backend server. A restarted server may keep
// its id, but the state of the previous process does not apply to the new one.
type Incarnation struct {
	ID string
	// Started is the start time of the process, in Unix milliseconds by the server's
	// clock; 0 if the server does not report it.
	Started int64
}

// Server is one registered backend server.
type Server struct {
	ID string
	// Started is the start time of the process, as in Incarnation.
	Started int64
	Service string
	// Version is the version of the server's software. Versions have no order.
	Version string
	// Address is IP:port.
	Address string
	// Domain is its failure domain.
	Domain string
	// Slots is the number of requests that the server processes concurrently.
	Slots int
	// Leaving is set when the server accepts no new requests.
	Leaving bool
	// Renewals counts how often the process has written its registration since its start.
	Renewals int64
	// Cold is the remaining time of the slow start when the server wrote its registration.
	Cold time.Duration
}

// Incarnation returns the identity of the server process.
func (s Server) Incarnation() Incarnation { return Incarnation{ID: s.ID, Started: s.Started} }

// state is the local state of a router for one server process.
type state struct {
	Server
	hash     uint64
	inFlight int
	// lent is the number of requests in flight with a slot that was lent to this router.
	lent int
	// pending is the number of prompt tokens that the server has yet to process.
	pending     int64
	failureRate float64
	// eventInterval is the estimate that RecordEventInterval maintains, in seconds; 0 if unknown.
	eventInterval          float64
	consecutiveUnreachable int
	ejected                bool
	// registeredReady reports that the registration does not say that the server is leaving.
	registeredReady bool
	// brittle is that of the server's group, and room this router's part of the server while it is
	// brittle.
	brittle *brittleness
	room    room
	// report is what the process has announced; nil if nothing.
	report *report
	// coldUntil is the latest known end of the slow start.
	coldUntil time.Time
	// observed and measured are set while the state is in the list of that name in its group, and
	// removed when the process is no longer registered.
	observed, measured, removed bool
	// intervals are this router's recent event intervals, and others is the load that other routers
	// cause; its At is zero if unknown.
	intervals intervalWindow
	others    ServerLoad
	// recent are the latest event intervals, own and shared the samples as of the last update of the
	// speeds, and speed is what follows from them. timed is set while the state is in that list of
	// its group.
	recent      estimate.Intervals
	own, shared estimate.Sample
	speed       estimate.Speed
	timed       bool
	// firstDelay is the excess time to first events, in seconds, as of firstDelayAt.
	firstDelay   float64
	firstDelayAt time.Time
	// silence is whether the server responds.
	silence silence
	// waitingSince is when the last first event of an own request arrived, or when the first own request
	// was sent that waits for its own.
	waitingSince time.Time
}

func (s *state) usable(q *Query) bool {
	return !s.Leaving && q.runsAt(s) && !q.Tried[s.Incarnation()] && !s.backingOff(q.Now) && !s.full(q) && !s.silentFor(q)
}

// Servers holds the state of one router for all backend servers. It is not safe
// for concurrent use.
type Servers struct {
	byID map[string]*state
	// groups holds the servers by service.
	groups map[string]*group
	// order is the seed of the order in which this router prefers equivalent servers.
	order uint64
	// meanPrompt is the moving average of the prompt size by service, in tokens.
	meanPrompt map[string]float64
	// evacuated are the failure domains whose servers get no requests.
	evacuated map[string]bool
	// reports hold what processes have announced themselves. A report outlives the registration,
	// which may lapse and return while the process runs on.
	reports map[Incarnation]*report
	// loaded lists the servers whose load by other routers is set.
	loaded []Incarnation
	// parts divides the slots of brittle servers; nil: this router is alone.
	parts Parts
	// prefixes are the prefixes that this router has sent to servers.
	prefixes prefixMemory
	// choices counts the choices by reason.
	choices [reasonCount]int64
	// speedChanges are the changes of class since the last call of SpeedChanges, and
	// speedChangesDropped is the number of those that were too many.
	speedChanges        []SpeedChange
	speedChangesDropped int
}

// New returns an empty Servers.
func New() *Servers {
	return &Servers{byID: map[string]*state{}, groups: map[string]*group{}, meanPrompt: map[string]float64{}, reports: map[Incarnation]*report{}}
}

// SetOrder sets the seed of the order in which this router prefers equivalent servers. Routers with
// different seeds spread their requests over the servers, while each needs only few connections.
func (f *Servers) SetOrder(seed uint64) { f.order = seed }

// groupOf returns the group of a service, creating it if necessary.
func (f *Servers) groupOf(service string) *group {
	g, ok := f.groups[service]
	if !ok {
		g = newGroup()
		f.groups[service] = g
	}
	return g
}

// Put adds or updates a server. A process that is leaving stays so, and one that was reported
// as leaving with Leave does also after it was removed. Another process
// under the same id replaces the previous one and starts with empty state. The caller
// decides which of two processes is the later one: the clock of a server may have been
// set back between its starts.
func (f *Servers) Put(s Server) {
	registeredReady := !s.Leaving
	r := f.reports[s.Incarnation()]
	s.Leaving = s.Leaving || r != nil && r.leaving
	old, ok := f.byID[s.ID]
	if !ok || s.Started != old.Started {
		f.Remove(s.ID)
		next := &state{Server: s, hash: xxhash.Sum64String(s.ID), registeredReady: registeredReady, report: r}
		f.byID[s.ID] = next
		f.groupOf(s.Service).insert(next)
		return
	}
	s.Leaving = s.Leaving || old.Leaving
	old.registeredReady = registeredReady
	if old.Service != s.Service || old.Domain != s.Domain || old.Version != s.Version {
		f.groupOf(old.Service).remove(old)
		old.Server = s
		f.groupOf(s.Service).insert(old)
		return
	}
	old.Server = s
	f.observe(old)
}

// observe adds a server to the observed servers of its group.
func (f *Servers) observe(s *state) {
	f.groupOf(s.Service).observe(s)
}

// lookup returns the state of a process, or nil if it is not registered or another
// process runs under its id.
func (f *Servers) lookup(in Incarnation) *state {
	s, ok := f.byID[in.ID]
	if !ok || s.Incarnation() != in {
		return nil
	}
	return s
}

// Remove removes a server. If it is added again, its counts start from zero and
// do not become negative when requests that were sent before end.
func (f *Servers) Remove(id string) {
	s, ok := f.byID[id]
	if !ok {
		return
	}
	delete(f.byID, id)
	f.groupOf(s.Service).remove(s)
	s.removed = true
}

// SetEvacuated replaces the set of evacuated failure domains. Their servers get no
// requests while they are in the set.
func (f *Servers) SetEvacuated(domains []string) {
	f.evacuated = make(map[string]bool, len(domains))
	for _, domain := range domains {
		f.evacuated[domain] = true
	}
}

// All returns the registered servers ordered by id.
func (f *Servers) All() []Server {
	all := make([]Server, 0, len(f.byID))
	for _, s := range f.byID {
		all = append(all, s.Server)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].ID < all[j].ID })
	return all
}

// Has reports whether a server is registered.
func (f *Servers) Has(id string) bool {
	_, ok := f.byID[id]
	return ok
}

// IsRegistered reports whether this process is the registered one of its server.
func (f *Servers) IsRegistered(in Incarnation) bool { return f.lookup(in) != nil }

// Get returns a registered server.
func (f *Servers) Get(id string) (Server, bool) {
	s, ok := f.byID[id]
	if !ok {
		return Server{}, false
	}
	return s.Server, true
}

// AcceptsRequests reports whether a process is registered and not leaving.
func (f *Servers) AcceptsRequests(in Incarnation) bool {
	s := f.lookup(in)
	return s != nil && !s.Leaving
}

// MaySend reports whether a request may still be sent to a process that was picked for
// it earlier: the process is registered, not leaving, has not asked for a backoff since, and its
// failure domain is not evacuated.
func (f *Servers) MaySend(now time.Time, in Incarnation) bool {
	s := f.lookup(in)
	return s != nil && !s.Leaving && !s.report.pausedAt(now) && !f.evacuated[s.Domain]
}

// IsEjected reports whether a process is ejected.
func (f *Servers) IsEjected(in Incarnation) bool {
	s := f.lookup(in)
	return s != nil && s.ejected
}

// Ejected returns the ejected servers ordered by id, without leaving and evacuated ones.
func (f *Servers) Ejected() []Server {
	var list []Server
	for _, g := range f.groups {
		for _, s := range g.observed {
			if !s.removed && s.ejected && !s.Leaving && !f.evacuated[s.Domain] {
				list = append(list, s.Server)
			}
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	return list
}

// Query describes a request for server selection.
type Query struct {
	Service string
	// Version restricts the selection to servers of this software version; nil: any.
	Version *string
	// Affinity is the hash of the shared prompt prefix; 0 means none.
	Affinity uint64
	// Tokens is the number of prompt tokens that no server has processed yet.
	Tokens int64
	// Prompt is the total number of prompt tokens.
	Prompt int64
	// Tried holds the processes that the request was already sent to.
	Tried map[Incarnation]bool
	// Domain is the router's failure domain, preferred among equivalent servers.
	Domain string
	// Now is the time of the selection.
	Now time.Time
	// MayAdmit reports whether the rate limit of a server admits the request; cold is set
	// while the server is in slow start. nil admits all. It is called only for servers that
	// are otherwise eligible.
	MayAdmit func(s Server, cold bool) bool
	// Rank is the priority of the request at rate-limited servers; 0 is the highest.
	Rank int
	// Unrestricted excludes rate-limited servers, and brittle ones that need a loan.
	Unrestricted bool
	// InDomain reports whether the request may run in a failure domain; nil allows all.
	InDomain func(domain string) bool
	// FirstObjective and EventObjective are the latency objectives for the first event of a stream and
	// for the time between two events. If both are set, the server is chosen by predicted times.
	FirstObjective, EventObjective time.Duration
	// Slots is the number of requests that a server of the service runs concurrently, if the server
	// does not state it, and EventTokens the number of tokens in an event; 0: unknown.
	Slots       int
	EventTokens int64
	// Retry is set if a server may have received the request already; a server that does not respond gets no retry. OnlyHeard
	// restricts retries to servers from which a byte has come.
	Retry, OnlyHeard bool
	// LinkSaturated is set while the router's own network link is saturated. The times to the first
	// events of its requests then say nothing about the servers.
	LinkSaturated bool
}

// runsAt reports whether the software version of a server is one at which the request may run.
func (q *Query) runsAt(s *state) bool { return q.Version == nil || *q.Version == s.Version }

// allows reports whether the domain restriction and the rate limit of a server admit the request.
func (q *Query) allows(s *state) bool {
	if q.InDomain != nil && !q.InDomain(s.Domain) {
		return false
	}
	return q.MayAdmit == nil || q.MayAdmit(s.Server, q.Now.Before(s.coldUntil))
}

// Pick returns the server for the request; false means that no server can accept it.
func (f *Servers) Pick(rng *rand.Rand, q Query) (Server, bool) {
	isLong := q.Affinity != 0 && f.isLongPrompt(q)
	s := f.pickByPrediction(rng, &q)
	if s == nil {
		s = f.pickByLimits(rng, q, isLong)
	}
	if s == nil {
		return Server{}, false
	}
	if s.pending == 0 {
		s.waitingSince = q.Now
	}
	s.take(q.Now)
	return s.Server, true
}

// pickByLimits selects a server by prefix and own requests in flight.
func (f *Servers) pickByLimits(rng *rand.Rand, q Query, isLong bool) *state {
	s := f.pickWithinLimits(rng, q, isLong)
	if s == nil {
		s = f.pickBeyondLimits(rng, q, isLong)
	}
	if s != nil {
		f.choices[ByLimits]++
	}
	return s
}

// pickBeyondLimits selects a server when no server is within all limits.
func (f *Servers) pickBeyondLimits(rng *rand.Rand, q Query, isLong bool) *state {
	candidates := f.candidates(q)
	switch {
	case len(candidates) == 0:
		return nil
	case q.Affinity == 0:
		return f.leastLoaded(rng, candidates, q.Domain)
	case isLong:
		candidates = fastServers(candidates)
	}
	return pickByPrefix(candidates, q.Affinity)
}

// candidates returns the eligible servers whose failure rate is not far above the mean,
// or all eligible servers if there is none: a failing server is better than none. Silent ones are
// returned only if there are no others. Ejected
// servers are never returned, since a request sent to an unreachable server would only wait.
func (f *Servers) candidates(q Query) []*state {
	var up, silent []*state
	var sum float64
	for _, s := range f.groupOf(q.Service).list {
		switch {
		case !s.usable(&q) || s.ejected || f.evacuated[s.Domain] || !q.allows(s):
		case s.silence.confirmed:
			silent = append(silent, s)
		default:
			up = append(up, s)
			sum += s.failureRate
		}
	}
	if len(up) == 0 {
		return silent
	}
	limit := 2*sum/float64(len(up)) + failureRateMargin
	healthy := up[:0:0]
	for _, s := range up {
		if s.failureRate <= limit {
			healthy = append(healthy, s)
		}
	}
	if len(healthy) == 0 {
		return up
	}
	return healthy
}

// pickByPrefix returns the first server in the prefix's rendezvous order that is
// not overloaded, or else the one with the fewest pending prompt tokens.
func pickByPrefix(list []*state, affinity uint64) *state {
	total := 0
	for _, s := range list {
		total += s.inFlight
	}
	bound := max(minLoadLimit, int(maxLoadFactor*float64(total)/float64(len(list))))
	var best, leastPending *state
	var bestRank uint64
	for _, s := range list {
		if leastPending == nil || s.pending < leastPending.pending || s.pending == leastPending.pending && s.inFlight < leastPending.inFlight {
			leastPending = s
		}
		if s.inFlight > bound || s.pending > maxPendingTokens {
			continue
		}
		if rank := mix(affinity ^ s.hash); best == nil || rank > bestRank {
			best, bestRank = s, rank
		}
	}
	if best == nil {
		return leastPending
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

// leastLoaded returns a server with the fewest own requests in flight, preferably
// one in the given failure domain.
func (f *Servers) leastLoaded(rng *rand.Rand, list []*state, domain string) *state {
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

// Affinity returns the hash of the shared parts of a prompt; it is never 0.
func Affinity(parts []string) uint64 {
	h := xxhash.New()
	for _, p := range parts {
		_, _ = h.WriteString(p)
		_, _ = h.WriteString(",")
	}
	return max(h.Sum64(), 1)
}

// Count is the number of servers of a service by state.
type Count struct{ Up, Ejected, Leaving, Evacuated, BackingOff int }

// Counts returns the number of servers by service and state.
func (f *Servers) Counts(now time.Time) map[string]Count {
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
		case s.report.pausedAt(now):
			c.BackingOff++
		default:
			c.Up++
		}
		counts[s.Service] = c
	}
	return counts
}
