package placement

import "time"

// A server that is frozen, or whose path holds bytes back, neither refuses nor answers, and gets all that was sent to it at
// once when it goes on. It is silent from when a check of it went without an answer, too, until any byte comes from it. A
// silent server gets one request at a time from this router, and only where no other server is eligible.

// unheardLimit is how long requests may be at a server without a byte of any response from it until it is checked. Until
// then it gets retries.
const unheardLimit = 500 * time.Millisecond

// silence is what is known of a server that does not respond. The zero value is a server that has not been used.
type silence struct {
	// heard is set once a byte has come from the server.
	heard bool
	// since is when the first request was sent after the last byte that came; zero if none was.
	since time.Time
	// confirmed is set while a check went without an answer.
	confirmed bool
}

// unheardAt reports whether the server has not responded to what was sent to it a while ago.
func (s *silence) unheardAt(now time.Time) bool {
	return !s.since.IsZero() && now.Sub(s.since) >= unheardLimit
}

// takesRetry reports whether a retry may be sent to the server: another attempt that arrives late would exceed the limits.
func (s *silence) takesRetry(q *Query) bool {
	return !s.confirmed && !s.unheardAt(q.Now) && (s.heard || !q.OnlyHeard)
}

// silentFor reports whether the server is silent and may get no request now.
func (s *state) silentFor(q *Query) bool {
	return q.Retry && !s.silence.takesRetry(q) || s.silence.confirmed && s.inFlight > 0
}

// Sending records that a request is being sent to a process.
func (f *Servers) Sending(now time.Time, in Incarnation) {
	if s := f.lookup(in); s != nil && s.silence.since.IsZero() {
		s.silence.since = now
	}
}

// Heard records that bytes of a response came from a process, and returns since when it was silent; zero if it was not.
func (f *Servers) Heard(in Incarnation) (silentSince time.Time) {
	s := f.lookup(in)
	if s == nil {
		return time.Time{}
	}
	if s.silence.confirmed {
		silentSince = s.silence.since
	}
	s.silence = silence{heard: true}
	return silentSince
}

// WasHeard reports whether a byte has come from a process.
func (f *Servers) WasHeard(in Incarnation) bool {
	s := f.lookup(in)
	return s != nil && s.silence.heard
}

// Unheard returns the servers that have not responded to what was sent to them a while ago, in no particular order.
func (f *Servers) Unheard(now time.Time) (list []Server) {
	for _, g := range f.groups {
		for _, s := range g.observed {
			if !s.removed && s.silence.unheardAt(now) && !s.ejected && !s.Leaving {
				list = append(list, s.Server)
			}
		}
	}
	return list
}

// Silent records that a check of a process that began at a given time went without an answer. It reports whether the process
// is silent from now on and was not before.
func (f *Servers) Silent(in Incarnation, began time.Time) bool {
	s := f.lookup(in)
	if s == nil || s.silence.confirmed || s.silence.since.IsZero() || s.silence.since.After(began) {
		return false
	}
	s.silence.confirmed = true
	return true
}
