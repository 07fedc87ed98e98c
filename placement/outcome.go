package placement

// This file is what requests tell of the servers at which they run and end.

// Outcome is how a request ended at a server, as far as it tells of the
// server.
type Outcome int

// The outcomes.
const (
	// Neutral says nothing about the server: the caller left.
	Neutral Outcome = iota
	// Answered: the server answered well.
	Answered
	// Failed: the server answered with an error, broke off or was too slow.
	Failed
	// Silent: the server could not be reached.
	Silent
)

// Sent counts a request that is being sent to a server, with the prompt tokens
// that it has to read.
func (f *Servers) Sent(in Incarnation, tokens int64) {
	if s := f.of(in); s != nil {
		s.inFlight++
		s.pending += tokens
		f.note(s)
	}
}

// Read counts the tokens of a prompt that a server has read, or will not read any more.
func (f *Servers) Read(in Incarnation, tokens int64) {
	if s := f.of(in); s != nil {
		s.pending = max(s.pending-tokens, 0)
	}
}

// Ended counts the end of a request, and tells whether the server is ejected because of it.
func (f *Servers) Ended(in Incarnation, outcome Outcome) (ejected bool) {
	s := f.of(in)
	if s == nil {
		return false
	}
	s.inFlight = max(s.inFlight-1, 0)
	switch outcome {
	case Answered:
		s.silent = 0
		s.ejected = false
		s.failureRate -= failureMemory * s.failureRate
	case Failed:
		s.failureRate += failureMemory * (1 - s.failureRate)
	case Silent:
		s.silent++
		s.failureRate += failureMemory * (1 - s.failureRate)
		s.ejected = s.ejected || s.silent >= silentFailures
	}
	f.note(s)
	return s.ejected
}

// Restored ends the ejection of a server.
func (f *Servers) Restored(in Incarnation) {
	if s := f.of(in); s != nil {
		s.ejected = false
		s.silent = 0
	}
}
