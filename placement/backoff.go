package placement

import "time"

// A server that rejects a request can ask for a backoff, in which this router sends it nothing.
// Afterwards its requests resume step by step: each that the server accepts admits two further
// ones. Otherwise all that the other servers refused meanwhile would arrive in the first moment,
// from all routers, and the server would reject it again.
const (
	// initialCredits is the number of requests that may be sent in the first moment after a backoff.
	initialCredits = 1
	// creditsPerAccept is the number of further requests that each accepted one admits.
	creditsPerAccept = 2
	// resumedCredits is the number of credits at which the resumption ends.
	resumedCredits = 16
	// maxResumeTime is the time after a backoff at which the resumption ends in any case.
	maxResumeTime = 3 * time.Second
	// creditRetry is the estimated time until a resuming server without credits accepts a request.
	creditRetry = 100 * time.Millisecond
)

// backoff is the time for which a process has asked for no requests, and the resumption after it.
// The zero value is no backoff.
type backoff struct {
	until time.Time
	// credits is the number of requests that may be sent now. It is valid while resuming is set,
	// which it is from until to the end of the resumption.
	resuming bool
	credits  int
}

// hasBackoff reports whether a backoff or the resumption after it is in force, as of the last call
// of advance.
func (r *report) hasBackoff() bool { return r != nil && !r.backoff.until.IsZero() }

// pausedAt reports whether a process has asked for no requests at a given time.
func (r *report) pausedAt(now time.Time) bool { return r.hasBackoff() && now.Before(r.backoff.until) }

// backingOff reports whether a process may be sent no request at a given time, because of its
// backoff or for lack of credits after it.
func (r *report) backingOff(now time.Time) bool {
	return r.pausedAt(now) || r.hasBackoff() && r.backoff.resuming && r.backoff.credits <= 0
}

// advance begins the resumption after a backoff and ends it.
func (r *report) advance(now time.Time) {
	if !r.hasBackoff() || r.pausedAt(now) {
		return
	}
	b := &r.backoff
	if !b.resuming {
		b.resuming, b.credits = true, initialCredits
	}
	if b.credits >= resumedCredits || now.Sub(b.until) >= maxResumeTime {
		*b = backoff{}
	}
}

// sent uses a credit for a request.
func (r *report) sent() { r.addCredits(-1) }

// ended returns the credit of a request that ended otherwise than by a response that the server
// accepted it with.
func (r *report) ended(outcome Outcome) {
	if outcome != Answered {
		r.addCredits(1)
	}
}

func (r *report) addCredits(n int) {
	if r.hasBackoff() && r.backoff.resuming {
		r.backoff.credits += n
	}
}

// BackOff records that a process has asked for no requests until a given time, whether or not it
// is registered. Of overlapping backoffs the latest end applies. It reports whether none was in
// force.
func (f *Servers) BackOff(now time.Time, in Incarnation, until time.Time) (began bool) {
	r := f.reportOf(in)
	began = !r.pausedAt(now)
	if !until.After(r.backoff.until) {
		return false
	}
	r.backoff = backoff{until: until}
	if s := f.lookup(in); s != nil {
		f.observe(s)
	}
	return began
}

// RecordAccepted records that a process has accepted a request, as its response shows.
func (f *Servers) RecordAccepted(in Incarnation) {
	if s := f.lookup(in); s != nil {
		s.report.addCredits(creditsPerAccept)
	}
}

// BackoffEnd returns when the first server of a service can be used again, if all servers that
// could run a request are backing off, whether or not it was already sent to them. Otherwise it
// returns false.
func (f *Servers) BackoffEnd(q Query) (at time.Time, backingOff bool) {
	for _, s := range f.groupOf(q.Service).list {
		switch {
		case s.Leaving, s.ejected, f.evacuated[s.Domain], q.InDomain != nil && !q.InDomain(s.Domain):
			continue
		case !s.report.backingOff(q.Now):
			return time.Time{}, false
		}
		if end := s.report.backoffEnd(q.Now); !backingOff || end.Before(at) {
			at, backingOff = end, true
		}
	}
	return at, backingOff
}

// backoffEnd returns when a process that is backing off can be used again.
func (r *report) backoffEnd(now time.Time) time.Time {
	if r.pausedAt(now) {
		return r.backoff.until
	}
	return now.Add(creditRetry)
}
