package placement

// PickOfAll returns the server for a prefix by a look at all of them, and whether one takes the
// request without being spared.
func (f *Servers) PickOfAll(q Query) (id string, found bool) {
	all := f.candidates(q)
	if len(all) == 0 {
		return "", false
	}
	s := byPrefix(all, q.Affinity)
	return s.ID, s.pending <= pendingBound && s.inFlight <= loadFloor
}

// PickByAll tells whether any server takes a request by a look at all of them.
func (f *Servers) PickByAll(q Query) bool { return len(f.candidates(q)) > 0 }
