package placement

import "time"

// SetCold records that a process is in slow start until the given time or later. It reports whether
// this extends the known end of the slow start by more than coldMargin.
func (f *Servers) SetCold(in Incarnation, until time.Time) (changed bool) {
	s := f.lookup(in)
	if s == nil || !until.After(s.coldUntil) {
		return false
	}
	changed = until.Sub(s.coldUntil) > coldMargin
	s.coldUntil = until
	return changed
}

// In returns the servers in a failure domain.
func (f *Servers) In(domain string) []Server {
	var list []Server
	for _, s := range f.byID {
		if s.Domain == domain {
			list = append(list, s.Server)
		}
	}
	return list
}

// IsCold reports whether a process is in slow start.
func (f *Servers) IsCold(now time.Time, in Incarnation) bool {
	s := f.lookup(in)
	return s != nil && now.Before(s.coldUntil)
}

// Cold returns the number of servers in slow start.
func (f *Servers) Cold(now time.Time) (n int) {
	for _, s := range f.byID {
		if now.Before(s.coldUntil) {
			n++
		}
	}
	return n
}
