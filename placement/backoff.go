package placement

import "time"

// A server that rejects a request can ask for a backoff, in which this router sends it nothing.
// Afterwards requests resume within a window of requests in flight, which grows by one when as many
// as it holds have been accepted. Otherwise all that was refused meanwhile would arrive in the
// first moment, from all routers, and the server would reject it again.
const (
	// resumeShare is the window after a backoff, as a share of the requests that were in flight at
	// the server when it asked for the backoff, and minWindow the least.
	resumeShare = 0.5
	minWindow   = 1.0
	// maxResumeTime is the time after a backoff at which the window ends.
	maxResumeTime = 3 * time.Second
	// windowRetry is the estimated time until a server whose window is full accepts a request.
	windowRetry = 100 * time.Millisecond
)

// backoff is the time for which a process has asked for no requests, and the window that applies
// after it. The zero value is no backoff.
type backoff struct {
	until time.Time
	// window is the number of requests that may be in flight from until on.
	window float64
}

// hasBackoff reports whether a backoff or the window after it is in force, as of the last call of
// advance.
func (r *report) hasBackoff() bool { return r != nil && !r.backoff.until.IsZero() }

// pausedAt reports whether a process has asked for no requests at a given time.
func (r *report) pausedAt(now time.Time) bool { return r.hasBackoff() && now.Before(r.backoff.until) }

// advance ends the window after a backoff.
func (r *report) advance(now time.Time) {
	if r.hasBackoff() && now.Sub(r.backoff.until) >= maxResumeTime {
		r.backoff = backoff{}
	}
}

// windowFull reports whether the window after a backoff admits no further request.
func (s *state) windowFull() bool {
	return s.report.hasBackoff() && float64(s.inFlight) >= s.report.backoff.window
}

// backingOff reports whether a server may be sent no request because of a backoff or of the window
// after it.
func (s *state) backingOff(now time.Time) bool { return s.report.pausedAt(now) || s.windowFull() }

// BackOff records that a process has asked for no requests until a given time, whether or not it
// is registered. Of overlapping backoffs the latest end applies. It reports whether none was in
// force.
func (f *Servers) BackOff(now time.Time, in Incarnation, until time.Time) (began bool) {
	r := f.reportOf(in)
	began = !r.pausedAt(now)
	if !until.After(r.backoff.until) {
		return false
	}
	s := f.lookup(in)
	if began {
		r.backoff.window = minWindow
		if s != nil {
			r.backoff.window = max(resumeShare*float64(s.inFlight), minWindow)
		}
	}
	r.backoff.until = until
	if s != nil {
		f.observe(s)
	}
	return began
}

// RecordAccepted records that a process has accepted a request, as its response shows.
func (f *Servers) RecordAccepted(now time.Time, in Incarnation) {
	s := f.lookup(in)
	if s == nil || !s.report.hasBackoff() || s.report.pausedAt(now) {
		return
	}
	s.report.backoff.window += 1 / s.report.backoff.window
}

// BackoffEnd returns when the first server of a service can be used again, if all servers that
// could run a request are backing off or brittle without room for it, whether or not it was already sent
// to them. Otherwise it returns false.
func (f *Servers) BackoffEnd(q Query) (at time.Time, backingOff bool) {
	for _, s := range f.groupOf(q.Service).list {
		switch {
		case s.Leaving, s.ejected, !q.runsAt(s), f.evacuated[s.Domain], q.InDomain != nil && !q.InDomain(s.Domain):
			continue
		case !s.backingOff(q.Now) && !s.full(&q):
			return time.Time{}, false
		}
		if end := s.report.backoffEnd(q.Now); !backingOff || end.Before(at) {
			at, backingOff = end, true
		}
	}
	return at, backingOff
}

// backoffEnd returns when a process that is backing off can probably be used again.
func (r *report) backoffEnd(now time.Time) time.Time {
	if r.pausedAt(now) {
		return r.backoff.until
	}
	return now.Add(windowRetry)
}
