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
			charges:       map[string]charge{},
		}
		s.records[op.Request] = r
	}
	return r, known
}

func (s *state) claim(now time.Time, op Op) (Outcome, bool) {
	if op.Attempt > 0 {
		return s.accepted(now, op)
	}
	if s.fenced[op.Holder] {
		return Outcome{Verdict: Fenced}, false
	}
	r, known := s.record(op)
	r.touched = now
	switch {
	case !known:
		return s.start(r, op, r.Attempt+1), true
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
		return s.start(r, op, r.Attempt+1), true
	}
}

// accepted brings in a claim that a shard owner has accepted before: from the
// log, or from memory on its way there. It may come after the attempt's own
// bill, or after its holder was fenced.
func (s *state) accepted(now time.Time, op Op) (Outcome, bool) {
	r, _ := s.record(op)
	r.touched = now
	outcome := Outcome{Verdict: Run, Attempt: op.Attempt}
	if _, settled := r.charges[op.Claim]; settled {
		return outcome, false
	}
	if r.Running && r.Claim == op.Claim {
		return r.extend(op)
	}
	if !s.fenced[op.Holder] {
		return s.start(r, op, op.Attempt), true
	}
	s.charge(r, op.Claim, worstCase(op.Holder, op.Attempt, op.Worst, op.Worst))
	r.Attempt = max(r.Attempt, op.Attempt)
	r.Lost = r.NotRepeatable
	return outcome, true
}

// extend answers a repeated claim; one with a higher worst case, for another
// try, belongs into the log.
func (r *Record) extend(op Op) (Outcome, bool) {
	more := op.Worst > r.Worst
	r.Worst = max(r.Worst, op.Worst)
	return Outcome{Verdict: Run, Attempt: r.Attempt}, more
}

// start makes the op the running attempt. What a superseded attempt served is
// not known, so it is charged its worst case until its bill comes.
func (s *state) start(r *Record, op Op, attempt int) Outcome {
	if r.Running {
		s.chargeRunning(r)
	}
	r.Attempt = max(r.Attempt, attempt)
	r.Running = true
	r.Claim = op.Claim
	r.Holder = op.Holder
	r.Instance = op.Instance
	r.Cap = op.Worst
	r.Worst = op.Worst
	return Outcome{Verdict: Run, Attempt: attempt}
}

// charge sets what an attempt is charged.
func (s *state) charge(r *Record, claim string, c charge) {
	s.totals[r.Budget] += c.tokens - r.charges[claim].tokens
	r.charges[claim] = c
}

// chargeRunning charges the running attempt its worst case.
func (s *state) chargeRunning(r *Record) {
	s.charge(r, r.Claim, worstCase(r.Holder, r.Attempt, r.Worst, r.Cap))
}

func worstCase(holder string, attempt int, worst, limit int64) charge {
	return charge{tokens: worst, holder: holder, attempt: attempt, limit: limit}
}

// bill adds an attempt to the request's one billing record; a repeated
// message changes nothing.
func (s *state) bill(now time.Time, op Op) (Outcome, bool) {
	r, _ := s.record(op)
	if r.charges[op.Claim].final {
		return Outcome{Verdict: Recorded}, false
	}
	s.charge(r, op.Claim, charge{tokens: op.Tokens, final: true, holder: op.Holder, attempt: op.Attempt})
	r.Billed = true
	r.Lost = false
	r.Code = op.Code
	r.Answer = op.Answer
	r.AnswerType = op.AnswerType
	r.touched = now
	if r.Claim == op.Claim {
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

// fence ends a holder. Its running attempts are charged; a not-repeatable one
// is never run again.
func (s *state) fence(op Op) Outcome {
	s.fenced[op.Holder] = true
	outcome := Outcome{Verdict: Recorded}
	for request, r := range s.records {
		if r.Running && r.Holder == op.Holder {
			s.chargeRunning(r)
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
	for claim, c := range r.charges {
		if c.holder != holder || c.final || c.tokens == 0 {
			continue
		}
		list = append(list, Left{
			Request: request,
			Claim:   claim,
			Account: r.Account,
			Budget:  r.Budget,
			Target:  r.Target,
			Attempt: c.attempt,
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
