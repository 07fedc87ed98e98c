package ledger

import (
	"maps"
	"sort"
	"time"
)

// state is the outcome of a log: one record for each request, and the tokens
// charged by budget.
type state struct {
	records map[string]*Record
	totals  map[string]int64
	fenced  map[string]bool
}

func newState() *state {
	return &state{records: map[string]*Record{}, totals: map[string]int64{}, fenced: map[string]bool{}}
}

// apply decides an op on the state and returns its outcome and whether the op
// belongs into the log.
func (s *state) apply(now time.Time, op Op) (Outcome, bool) {
	switch op.Kind {
	case Claim:
		return s.claim(now, op)
	case Bill:
		return s.bill(now, op)
	case Fence:
		return s.fence(op), true
	default:
		return s.withdraw(op)
	}
}

func (s *state) record(op Op) (r *Record, known bool) {
	r, known = s.records[op.Request]
	if !known {
		r = &Record{
			Account:       op.Account,
			Budget:        op.Budget,
			Target:        op.Target,
			Digest:        op.Digest,
			NotRepeatable: op.NotRepeatable,
			charges:       map[attemptID]charge{},
		}
		s.records[op.Request] = r
	}
	return r, known
}

func (s *state) claim(now time.Time, op Op) (Outcome, bool) {
	if s.fenced[op.Holder] {
		return s.claimOfFenced(op)
	}
	r, known := s.record(op)
	r.touched = now
	switch {
	case !known:
		return s.start(r, op), true
	case r.Digest != op.Digest || r.NotRepeatable != op.NotRepeatable:
		return Outcome{Verdict: Mismatch}, false
	case r.Running && r.Claim == op.Claim:
		return r.extend(op)
	case r.Running && op.Supersede != r.Holder:
		return Outcome{Verdict: Busy, Holder: r.Holder, Instance: r.Instance, Claim: r.Claim}, false
	case r.NotRepeatable && (r.Running || r.Lost):
		return Outcome{Verdict: Unresolved}, false
	case r.NotRepeatable && r.Billed:
		return Outcome{Verdict: Finished, Code: r.Code, Answer: r.Answer, AnswerType: r.AnswerType}, false
	default:
		return s.start(r, op), true
	}
}

// extend answers a repeated claim; one with a higher worst case, for another
// try, belongs into the log.
func (r *Record) extend(op Op) (Outcome, bool) {
	more := op.Worst > r.Worst
	r.Worst = max(r.Worst, op.Worst)
	return Outcome{Verdict: Run, Attempt: r.Attempt}, more
}

// claimOfFenced refuses a new claim of a fenced holder. One that was accepted
// before and reaches the log after the fence is charged like those that the
// fence found running.
func (s *state) claimOfFenced(op Op) (Outcome, bool) {
	if op.Attempt == 0 {
		return Outcome{Verdict: Fenced}, false
	}
	r, _ := s.record(op)
	id := attemptID{op.Holder, op.Attempt}
	if _, charged := r.charges[id]; charged {
		return Outcome{Verdict: Fenced}, false
	}
	s.charge(r, id, charge{tokens: op.Worst, claim: op.Claim, limit: op.Worst})
	r.Attempt = max(r.Attempt, op.Attempt)
	r.Lost = r.NotRepeatable
	return Outcome{Verdict: Run, Attempt: op.Attempt}, true
}

// start makes the op the running attempt. What a superseded attempt served is
// not known, so it is charged its worst case until its bill comes.
func (s *state) start(r *Record, op Op) Outcome {
	if r.Running {
		s.charge(r, attemptID{r.Holder, r.Attempt}, r.worstCase())
	}
	r.Attempt++
	r.Running = true
	r.Claim = op.Claim
	r.Holder = op.Holder
	r.Instance = op.Instance
	r.Cap = op.Worst
	r.Worst = op.Worst
	return Outcome{Verdict: Run, Attempt: r.Attempt}
}

// charge sets what an attempt is charged.
func (s *state) charge(r *Record, id attemptID, c charge) {
	s.totals[r.Budget] += c.tokens - r.charges[id].tokens
	r.charges[id] = c
}

// bill adds an attempt to the request's one billing record; a repeated
// message changes nothing.
func (s *state) bill(now time.Time, op Op) (Outcome, bool) {
	r, _ := s.record(op)
	id := attemptID{op.Holder, op.Attempt}
	if r.charges[id].final {
		return Outcome{Verdict: Recorded}, false
	}
	s.charge(r, id, charge{tokens: op.Tokens, final: true})
	r.Billed = true
	r.Lost = false
	r.Code = op.Code
	r.Answer = op.Answer
	r.AnswerType = op.AnswerType
	r.touched = now
	if r.Holder == op.Holder && r.Attempt == op.Attempt {
		r.Running = false
	}
	r.Attempt = max(r.Attempt, op.Attempt)
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

// worstCase is the charge of the running attempt while nothing better is
// known.
func (r *Record) worstCase() charge {
	return charge{tokens: r.Worst, claim: r.Claim, limit: r.Cap}
}

// fence ends a holder. Its running attempts are charged; a not-repeatable one
// is never run again.
func (s *state) fence(op Op) Outcome {
	s.fenced[op.Holder] = true
	outcome := Outcome{Verdict: Recorded}
	for request, r := range s.records {
		if r.Running && r.Holder == op.Holder {
			s.charge(r, attemptID{r.Holder, r.Attempt}, r.worstCase())
			r.Running = false
			r.Lost = r.NotRepeatable
		}
		outcome.Left = append(outcome.Left, r.left(request, op.Holder)...)
	}
	sort.Slice(outcome.Left, func(i, j int) bool { return outcome.Left[i].Claim < outcome.Left[j].Claim })
	outcome.Totals = maps.Clone(s.totals)
	return outcome
}

// left returns a holder's attempts without a bill that may have cost tokens.
func (r *Record) left(request, holder string) []Left {
	var list []Left
	for id, c := range r.charges {
		if id.holder != holder || c.final || c.tokens == 0 {
			continue
		}
		list = append(list, Left{
			Request: request,
			Claim:   c.claim,
			Account: r.Account,
			Budget:  r.Budget,
			Target:  r.Target,
			Attempt: id.attempt,
			Cap:     c.limit,
			Worst:   c.tokens,
		})
	}
	return list
}

// forget drops finished records that nobody asked for since before. The
// totals stay.
func (s *state) forget(before time.Time) {
	for request, r := range s.records {
		if !r.Running && !r.Lost && r.touched.Before(before) {
			delete(s.records, request)
		}
	}
}
