package placement

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// forgetFailures is the failure rate below which a server counts as sound.
	forgetFailures = 0.001
	// pacesAtOnce is the number of measured servers up to which the bound on fast ones is worked
	// out for each request, and pacesEvery how often it is for more.
	pacesAtOnce = 256
	pacesEvery  = 250 * time.Millisecond
)

// group holds the servers of one service. A router of a large fleet knows thousands of servers and
// has sent requests to few of them, so that what it has observed is kept apart.
type group struct {
	// list are the servers in the order of their ids, so that seeded runs repeat, and hashes
	// their hashes.
	list   []*state
	hashes []uint64
	// domains counts them by failure domain.
	domains map[string]int
	// noted are those that differ from a server of which nothing is known but its registration,
	// and measured those whose pace is known.
	noted, measured []*state
	// fastBound is the pace up to which servers are fast, as it was at boundAt.
	fastBound float64
	boundAt   time.Time
	paces     []float64 // reused
}

func newGroup() *group { return &group{domains: map[string]int{}} }

func byID(s *state, id string) int { return cmp.Compare(s.ID, id) }

func (g *group) insert(s *state) {
	at, _ := slices.BinarySearchFunc(g.list, s.ID, byID)
	g.list = slices.Insert(g.list, at, s)
	g.hashes = slices.Insert(g.hashes, at, s.hash)
	g.domains[s.Domain]++
	g.note(s)
	if s.pace > 0 {
		g.measure(s)
	}
}

// remove removes a server, which is forgotten or moves to another group.
func (g *group) remove(s *state) {
	at, found := slices.BinarySearchFunc(g.list, s.ID, byID)
	if !found {
		return
	}
	g.list = slices.Delete(g.list, at, at+1)
	g.hashes = slices.Delete(g.hashes, at, at+1)
	g.domains[s.Domain]--
	isIt := func(other *state) bool { return other == s }
	g.noted = slices.DeleteFunc(g.noted, isIt)
	g.measured = slices.DeleteFunc(g.measured, isIt)
	s.noted, s.measured = false, false
}

// note has a server be looked at when the group is summed up.
func (g *group) note(s *state) {
	if !s.noted && s.differs() {
		s.noted = true
		g.noted = append(g.noted, s)
	}
}

// measure notes that the pace of a server is known.
func (g *group) measure(s *state) {
	if !s.measured {
		s.measured = true
		g.measured = append(g.measured, s)
	}
}

// differs tells whether anything is known of a server that bears on a choice beside its
// registration and its pace.
func (s *state) differs() bool {
	return s.inFlight > 0 || s.pending > 0 || s.silent > 0 || s.failureRate >= forgetFailures || s.Leaving || s.ejected
}

// load sums up the servers of a group that a request may go to.
type load struct {
	up, inFlight int
	failures     float64
}

// load returns the load for a request, whatever the rates of servers. It forgets what is known of
// servers that have recovered.
func (f *Servers) load(g *group, q Query) load {
	l := load{}
	allows := func(domain string) bool { return !f.evacuated[domain] && (q.InDomain == nil || q.InDomain(domain)) }
	for domain, n := range g.domains {
		if allows(domain) {
			l.up += n
		}
	}
	kept := g.noted[:0]
	for _, s := range g.noted {
		if s.gone || !s.differs() {
			s.noted = false
			continue
		}
		kept = append(kept, s)
		switch {
		case !allows(s.Domain):
		case s.Leaving || s.ejected:
			l.up--
		default:
			l.inFlight += s.inFlight
			l.failures += s.failureRate
		}
	}
	clear(g.noted[len(kept):])
	g.noted = kept
	return l
}

// spared are the bounds beyond which a server is spared as long as others are within them.
type spared struct {
	failureRate, pace float64
	inFlight          int
	pending           int64
}

// spares returns the bounds for a request.
func (f *Servers) spares(g *group, q Query, isLong bool) (spared, bool) {
	l := f.load(g, q)
	if l.up <= 0 {
		return spared{}, false
	}
	b := spared{
		failureRate: 2*l.failures/float64(l.up) + failureSlack,
		pace:        math.Inf(1),
		inFlight:    max(loadFloor, int(loadSlack*float64(l.inFlight)/float64(l.up))),
		pending:     pendingBound,
	}
	if q.Affinity == 0 {
		b.inFlight = 0
	}
	if isLong {
		b.pace = g.fastest(q.Now)
	}
	return b, true
}

// fastest returns the pace, in seconds, up to which servers are fast.
func (g *group) fastest(now time.Time) float64 {
	if len(g.measured) > pacesAtOnce && !g.boundAt.IsZero() && now.Sub(g.boundAt) < pacesEvery {
		return g.fastBound
	}
	g.paces = g.paces[:0]
	for _, s := range g.measured {
		g.paces = append(g.paces, s.pace)
	}
	g.fastBound, g.boundAt = boundOf(g.paces), now
	return g.fastBound
}

// takes tells whether a server may get a request within the bounds.
func (f *Servers) takes(s *state, q *Query, b *spared) bool {
	return s.usable(q.Tried) && !s.ejected && !f.evacuated[s.Domain] &&
		s.failureRate <= b.failureRate && s.inFlight <= b.inFlight && s.pending <= b.pending && s.pace <= b.pace &&
		q.allows(s)
}
