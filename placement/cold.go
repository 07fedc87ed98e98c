package placement

import "time"

// SetCold notes that a process is cold until a time at least, and tells whether that is a change:
// the process was not known to be cold so long.
func (f *Servers) SetCold(in Incarnation, until time.Time) (changed bool) {
	s := f.of(in)
	if s == nil || !until.After(s.coldUntil) {
		return false
	}
	changed = until.Sub(s.coldUntil) > coldMargin
	s.coldUntil = until
	return changed
}

// In returns the servers of a failure domain.
func (f *Servers) In(domain string) []Server {
	var list []Server
	for _, s := range f.byID {
		if s.Domain == domain {
			list = append(list, s.Server)
		}
	}
	return list
}

// IsCold tells whether a process is cold.
func (f *Servers) IsCold(now time.Time, in Incarnation) bool {
	s := f.of(in)
	return s != nil && now.Before(s.coldUntil)
}

// Cold returns how many servers are cold.
func (f *Servers) Cold(now time.Time) (n int) {
	for _, s := range f.byID {
		if now.Before(s.coldUntil) {
			n++
		}
	}
	return n
}
