package ledger

import (
	"fmt"
	"time"
)

// state is the outcome of a log: one record for each request.
type state struct {
	records map[string]*Record
}

func newState() *state {
	return &state{records: map[string]*Record{}}
}

// apply decides an op on the state and returns its outcome and whether the op
// belongs into the log.
func (s *state) apply(now time.Time, op Op) (Outcome, bool) {
	switch op.Kind {
	case Claim:
		return s.claim(now, op)
	case Bill:
		return s.bill(now, op)
	default:
		return s.withdraw(op)
	}
}

func (s *state) claim(now time.Time, op Op) (Outcome, bool) {
	r, ok := s.records[op.Request]
	if !ok {
		r = &Record{Account: op.Account, Budget: op.Budget, Digest: op.Digest, NotRepeatable: op.NotRepeatable}
		s.records[op.Request] = r
		return r.start(now, op), true
	}
	r.touched = now
	switch {
	case r.Digest != op.Digest || r.NotRepeatable != op.NotRepeatable:
		return Outcome{Verdict: Mismatch}, false
	case r.Running && r.Claim == op.Claim:
		return Outcome{Verdict: Run, Attempt: r.Attempt}, false
	case r.Running && op.Supersede != r.Holder:
		return Outcome{Verdict: Busy, Holder: r.Holder, Instance: r.Instance, Claim: r.Claim}, false
	case r.NotRepeatable && r.Running:
		return Outcome{Verdict: Unresolved}, false
	case r.NotRepeatable && r.Billed:
		return Outcome{Verdict: Finished, Code: r.Code, Answer: r.Answer, AnswerType: r.AnswerType}, false
	default:
		return r.start(now, op), true
	}
}

// start makes the op the running attempt.
func (r *Record) start(now time.Time, op Op) Outcome {
	r.Attempt++
	r.Running = true
	r.Claim = op.Claim
	r.Holder = op.Holder
	r.Instance = op.Instance
	r.touched = now
	return Outcome{Verdict: Run, Attempt: r.Attempt}
}

// bill adds an attempt to the request's one billing record; a repeated
// message changes nothing.
func (s *state) bill(now time.Time, op Op) (Outcome, bool) {
	r, ok := s.records[op.Request]
	if !ok {
		r = &Record{Account: op.Account, Budget: op.Budget, Digest: op.Digest, NotRepeatable: op.NotRepeatable}
		s.records[op.Request] = r
	}
	id := fmt.Sprintf("%s/%d", op.Holder, op.Attempt)
	for _, known := range r.bills {
		if known == id {
			return Outcome{Verdict: Recorded}, false
		}
	}
	r.bills = append(r.bills, id)
	r.Billed = true
	r.Tokens += op.Tokens
	r.Code = op.Code
	r.Answer = op.Answer
	r.AnswerType = op.AnswerType
	r.touched = now
	if r.Holder == op.Holder && r.Attempt == op.Attempt {
		r.Running = false
	}
	return Outcome{Verdict: Recorded}, true
}

// withdraw ends a claim that certainly did not run.
func (s *state) withdraw(op Op) (Outcome, bool) {
	r, ok := s.records[op.Request]
	if !ok || !r.Running || r.Claim != op.Claim {
		return Outcome{Verdict: Recorded}, false
	}
	r.Running = false
	return Outcome{Verdict: Recorded}, true
}

// forget drops finished records that nobody asked for since before.
func (s *state) forget(before time.Time) {
	for request, r := range s.records {
		if !r.Running && r.touched.Before(before) {
			delete(s.records, request)
		}
	}
}
