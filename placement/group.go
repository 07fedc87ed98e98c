package placement

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// negligibleFailureRate is the failure rate below which a server counts as healthy.
	negligibleFailureRate = 0.001
	// maxUncachedIntervals is the number of measured servers up to which the limit for fast servers
	// is computed for each request. Above it, the limit is recomputed every fastLimitTTL.
	maxUncachedIntervals = 256
	fastLimitTTL         = 250 * time.Millisecond
)

// group holds the servers of one service. A router of a large fleet knows thousands of servers but
// has sent requests to few of them, so the servers with observations are listed separately.
type group struct {
	// list holds the servers ordered by id, so that seeded runs are deterministic, and hashes
	// their hashes in the same order.
	list   []*state
	hashes []uint64
	// domains counts the servers by failure domain.
	domains map[string]int
	// versions counts the servers by software version.
	versions map[string]int
	// observed holds the servers with observed state beyond their registration, and measured those
	// with a known event interval.
	observed, measured []*state
	// fastLimit is the event interval in seconds up to which servers count as fast, as computed at
	// fastLimitAt.
	fastLimit   float64
	fastLimitAt time.Time
	intervals   []float64 // scratch buffer, reused between calls
	speeds      speeds
	brittle     brittleness
}

func newGroup() *group { return &group{domains: map[string]int{}, versions: map[string]int{}} }

func byID(s *state, id string) int { return cmp.Compare(s.ID, id) }

func (g *group) insert(s *state) {
	at, _ := slices.BinarySearchFunc(g.list, s.ID, byID)
	g.list = slices.Insert(g.list, at, s)
	g.hashes = slices.Insert(g.hashes, at, s.hash)
	g.domains[s.Domain]++
	g.versions[s.Version]++
	s.brittle = &g.brittle
	g.observe(s)
	if s.eventInterval > 0 {
		g.addMeasured(s)
		g.addTimed(s)
	}
}

// remove removes a server that was deregistered or moves to another group.
func (g *group) remove(s *state) {
	at, found := slices.BinarySearchFunc(g.list, s.ID, byID)
	if !found {
		return
	}
	g.list = slices.Delete(g.list, at, at+1)
	g.hashes = slices.Delete(g.hashes, at, at+1)
	g.domains[s.Domain]--
	if g.versions[s.Version]--; g.versions[s.Version] == 0 {
		delete(g.versions, s.Version)
	}
	isServer := func(other *state) bool { return other == s }
	g.observed = slices.DeleteFunc(g.observed, isServer)
	g.measured = slices.DeleteFunc(g.measured, isServer)
	g.speeds.timed = slices.DeleteFunc(g.speeds.timed, isServer)
	s.observed, s.measured, s.timed = false, false, false
}

// observe adds a server with observed state to the servers that load aggregates.
func (g *group) observe(s *state) {
	if !s.observed && s.hasObservations() {
		s.observed = true
		g.observed = append(g.observed, s)
	}
}

// addMeasured records that the event interval of a server is known.
func (g *group) addMeasured(s *state) {
	if !s.measured {
		s.measured = true
		g.measured = append(g.measured, s)
	}
}

// hasObservations reports whether the server has state that affects selection, apart from its
// registration and its event interval.
func (s *state) hasObservations() bool {
	return s.inFlight > 0 || s.pending > 0 || s.consecutiveUnreachable > 0 || s.failureRate >= negligibleFailureRate || s.Leaving || s.ejected || s.report.hasBackoff() || !s.silence.since.IsZero()
}

// groupLoad aggregates the servers of a group that are eligible for a request.
type groupLoad struct {
	up, inFlight int
	failures     float64
}

// load returns the aggregate load of the servers eligible for a request, ignoring their rate limits.
// It also drops servers from the observed list that were removed or have recovered.
func (f *Servers) load(g *group, q Query) groupLoad {
	l := groupLoad{}
	allows := func(domain string) bool { return !f.evacuated[domain] && (q.InDomain == nil || q.InDomain(domain)) }
	for domain, n := range g.domains {
		if allows(domain) {
			l.up += n
		}
	}
	kept := g.observed[:0]
	for _, s := range g.observed {
		s.report.advance(q.Now)
		if s.removed || !s.hasObservations() {
			s.observed = false
			continue
		}
		kept = append(kept, s)
		switch {
		case !allows(s.Domain):
		case s.Leaving || s.ejected || s.silence.confirmed || s.backingOff(q.Now):
			l.up--
		default:
			l.inFlight += s.inFlight
			l.failures += s.failureRate
		}
	}
	clear(g.observed[len(kept):])
	g.observed = kept
	return l
}

// pickLimits are the limits above which a server is avoided while other servers are within them.
type pickLimits struct {
	failureRate, eventInterval float64
	inFlight                   int
	pending                    int64
}

// limitsFor returns the limits for a request; false means that no server is eligible.
func (f *Servers) limitsFor(g *group, q Query, isLong bool) (pickLimits, bool) {
	l := f.load(g, q)
	if l.up <= 0 {
		return pickLimits{}, false
	}
	limits := pickLimits{
		failureRate:   2*l.failures/float64(l.up) + failureRateMargin,
		eventInterval: math.Inf(1),
		inFlight:      max(minLoadLimit, int(maxLoadFactor*float64(l.inFlight)/float64(l.up))),
		pending:       maxPendingTokens,
	}
	if q.Affinity == 0 {
		limits.inFlight = 0
	}
	if isLong {
		limits.eventInterval = g.currentFastLimit(q.Now)
	}
	return limits, true
}

// currentFastLimit returns the event interval, in seconds, up to which servers count as fast.
func (g *group) currentFastLimit(now time.Time) float64 {
	if len(g.measured) > maxUncachedIntervals && !g.fastLimitAt.IsZero() && now.Sub(g.fastLimitAt) < fastLimitTTL {
		return g.fastLimit
	}
	g.intervals = g.intervals[:0]
	for _, s := range g.measured {
		g.intervals = append(g.intervals, s.eventInterval)
	}
	g.fastLimit, g.fastLimitAt = fastLimitOfIntervals(g.intervals), now
	return g.fastLimit
}

// accepts reports whether a server is eligible for a request and within the limits.
func (f *Servers) accepts(s *state, q *Query, limits *pickLimits) bool {
	return s.usable(q) && !s.ejected && !s.silence.confirmed && !f.evacuated[s.Domain] &&
		s.failureRate <= limits.failureRate && s.inFlight <= limits.inFlight && s.pending <= limits.pending && s.eventInterval <= limits.eventInterval &&
		q.allows(s)
}
