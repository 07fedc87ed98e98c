package placement

import "math/rand/v2"

// A choice among thousands of servers looks at the hash of each, which takes a nanosecond, and at
// what is known of the few that rank before all others so far.

// pickOpen returns the best server that there is no reason to spare; nil: there is none.
func (f *Servers) pickOpen(rng *rand.Rand, q Query, isLong bool) *state {
	g := f.groupOf(q.Service)
	bounds, ok := f.spares(g, q, isLong)
	if !ok {
		return nil
	}
	if q.Affinity != 0 {
		return f.firstOf(g, q.Affinity, &q, &bounds, nil)
	}
	near := func(s *state) bool { return s.Domain == q.Domain }
	if s := f.firstOf(g, f.order, &q, &bounds, near); s != nil {
		return s
	}
	return f.firstOf(g, rng.Uint64(), &q, &bounds, nil)
}

// firstOf returns the first server of a group in the rendezvous order of a key that takes the
// request within the bounds.
func (f *Servers) firstOf(g *group, key uint64, q *Query, bounds *spared, counts func(*state) bool) *state {
	var best *state
	var bestRank uint64
	for i, hash := range g.hashes {
		rank := mix(key ^ hash)
		if best != nil && rank <= bestRank {
			continue
		}
		s := g.list[i]
		if (counts == nil || counts(s)) && f.takes(s, q, bounds) {
			best, bestRank = s, rank
		}
	}
	return best
}
