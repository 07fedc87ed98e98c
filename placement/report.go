package placement

import "time"

// report is what a process has announced itself, in its responses.
type report struct {
	// leaving is set by Leave, and leavingSince is when.
	leaving      bool
	leavingSince time.Time
	backoff      backoff
	// registeredAt is when ExpireReports last found the process registered; zero before its
	// first call.
	registeredAt time.Time
}

// reportOf returns the report of a process, creating it if necessary.
func (f *Servers) reportOf(in Incarnation) *report {
	r, ok := f.reports[in]
	if !ok {
		r = &report{}
		f.reports[in] = r
		if s := f.lookup(in); s != nil {
			s.report = r
		}
	}
	return r
}

// Leave marks a process as leaving for the rest of its life, whether or not it is registered: it
// gets no new requests. It reports whether this was unknown.
func (f *Servers) Leave(now time.Time, in Incarnation) (changed bool) {
	r := f.reportOf(in)
	if r.leaving {
		return false
	}
	r.leaving, r.leavingSince = true, now
	s := f.lookup(in)
	if s == nil {
		return true
	}
	changed = !s.Leaving
	s.Leaving = true
	f.observe(s)
	return changed
}

// ExpireReports forgets the reports of processes that have not been registered for longer than
// the given time, and those of which nothing is in force any more.
func (f *Servers) ExpireReports(now time.Time, after time.Duration) {
	for in, r := range f.reports {
		r.advance(now)
		s := f.lookup(in)
		switch {
		case s != nil && !r.leaving && !r.hasBackoff():
			s.report = nil
			delete(f.reports, in)
		case s != nil, r.registeredAt.IsZero():
			r.registeredAt = now
		case now.Sub(r.registeredAt) > after:
			delete(f.reports, in)
		}
	}
}

// Departure is a process that was marked with Leave.
type Departure struct {
	Incarnation
	Since time.Time
	// RegisteredReady reports that the registration does not say that the server is leaving.
	RegisteredReady bool
}

// Departures returns the registered processes that were marked with Leave, in no order.
func (f *Servers) Departures() (list []Departure) {
	for in, r := range f.reports {
		if s := f.lookup(in); s != nil && r.leaving {
			list = append(list, Departure{Incarnation: in, Since: r.leavingSince, RegisteredReady: s.registeredReady})
		}
	}
	return list
}
