package placement

import "math/rand/v2"

// A selection among thousands of servers computes the rank of each from its hash, which takes about
// a nanosecond, and checks the state only of the few that outrank all servers accepted so far.

// pickWithinLimits returns the best server within all limits, or nil if there is none.
func (f *Servers) pickWithinLimits(rng *rand.Rand, q Query, isLong bool) *state {
	g := f.groupOf(q.Service)
	limits, ok := f.limitsFor(g, q, isLong)
	if !ok {
		return nil
	}
	if q.Affinity != 0 {
		return f.highestRanked(g, q.Affinity, &q, &limits, nil)
	}
	local := func(s *state) bool { return s.Domain == q.Domain }
	if s := f.highestRanked(g, f.order, &q, &limits, local); s != nil {
		return s
	}
	return f.highestRanked(g, rng.Uint64(), &q, &limits, nil)
}

// highestRanked returns the server of a group with the highest rendezvous rank for a key that
// accepts the request within the limits and matches the filter; a nil filter matches all servers.
func (f *Servers) highestRanked(g *group, key uint64, q *Query, limits *pickLimits, matches func(*state) bool) *state {
	var best *state
	var bestRank uint64
	for i, hash := range g.hashes {
		rank := mix(key ^ hash)
		if best != nil && rank <= bestRank {
			continue
		}
		s := g.list[i]
		if (matches == nil || matches(s)) && f.accepts(s, q, limits) {
			best, bestRank = s, rank
		}
	}
	return best
}
