package placement

// This file updates the state of servers from the progress and the outcome of their requests.

// Outcome is how a request ended at a server, as far as it reflects on the
// health of the server.
type Outcome int

// Request outcomes.
const (
	// Neutral says nothing about the server: the caller disconnected.
	Neutral Outcome = iota
	// Answered: the server returned a response with a status below 500.
	Answered
	// Failed: the server returned an error, broke off its response or timed out.
	Failed
	// Unreachable: the server was unreachable.
	Unreachable
	// Refused: the server rejected the request and asked for a backoff, which alone decides when
	// it is used again.
	Refused
)

// Sent counts a request that is being sent to a server, and the prompt tokens
// that the server has to process for it.
func (f *Servers) Sent(in Incarnation, tokens int64) {
	if s := f.lookup(in); s != nil {
		s.inFlight++
		s.pending += tokens
		f.observe(s)
	}
}

// RecordPromptRead subtracts prompt tokens that a server has processed, or will not
// process any more.
func (f *Servers) RecordPromptRead(in Incarnation, tokens int64) {
	if s := f.lookup(in); s != nil {
		s.pending = max(s.pending-tokens, 0)
	}
}

// RecordOutcome counts the end of a request and reports whether the server is ejected
// afterwards.
func (f *Servers) RecordOutcome(in Incarnation, outcome Outcome) (ejected bool) {
	s := f.lookup(in)
	if s == nil {
		return false
	}
	s.inFlight = max(s.inFlight-1, 0)
	switch outcome {
	case Answered:
		s.consecutiveUnreachable = 0
		s.ejected = false
		s.failureRate -= failureRateWeight * s.failureRate
	case Failed:
		s.failureRate += failureRateWeight * (1 - s.failureRate)
	case Unreachable:
		s.consecutiveUnreachable++
		s.failureRate += failureRateWeight * (1 - s.failureRate)
		s.ejected = s.ejected || s.consecutiveUnreachable >= ejectAfterUnreachable
	case Refused:
		s.consecutiveUnreachable = 0
	}
	f.observe(s)
	return s.ejected
}

// Crashed ejects a server whose process seems gone, and reports whether it did. A server with requests of this router
// in flight is not ejected: all of them would have broken off, and a server that has no room for further connections
// closes new ones as well.
func (f *Servers) Crashed(in Incarnation) (ejected bool) {
	s := f.lookup(in)
	if s == nil || s.ejected || s.inFlight > 0 {
		return false
	}
	s.ejected, s.consecutiveUnreachable = true, ejectAfterUnreachable
	f.observe(s)
	return true
}

// Restored ends the ejection of a server.
func (f *Servers) Restored(in Incarnation) {
	if s := f.lookup(in); s != nil {
		s.ejected = false
		s.consecutiveUnreachable = 0
	}
}
