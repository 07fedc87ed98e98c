package placement

import "time"

// ScanByPrefix returns the server for a prefix by a full scan, and whether that server is within the
// pending token limit and the minimum load limit.
func (f *Servers) ScanByPrefix(q Query) (id string, found bool) {
	all := f.candidates(q)
	if len(all) == 0 {
		return "", false
	}
	s := pickByPrefix(all, q.Affinity)
	return s.ID, s.pending <= maxPendingTokens && s.inFlight <= minLoadLimit
}

// ScanFindsAny reports by a full scan whether any server accepts a request.
func (f *Servers) ScanFindsAny(q Query) bool { return len(f.candidates(q)) > 0 }

// Slow returns the servers that get no long prompts, by id, with their event intervals.
func (f *Servers) Slow() map[string]time.Duration {
	slow := map[string]time.Duration{}
	for _, g := range f.groups {
		bound := fastLimitOf(g.measured)
		for _, s := range g.measured {
			if s.eventInterval > bound {
				slow[s.ID] = time.Duration(s.eventInterval * float64(time.Second))
			}
		}
	}
	return slow
}
