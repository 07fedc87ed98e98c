package ledger

import (
	"maps"
	"sort"
	"time"
)

// state is the result of replaying a log: one record per request, the tokens
// charged per budget, and the fenced holders.
type state struct {
	records map[string]*Record
	totals  map[string]int64
	fenced  map[string]bool
}

func newState() *state {
	return &state{records: map[string]*Record{}, totals: map[string]int64{}, fenced: map[string]bool{}}
}

// apply decides an op, updates the state, and returns the outcome and whether the
// op belongs in the log.
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
		return s.applyAccepted(now, op)
	}
	if s.fenced[op.Holder] {
		return Outcome{Decision: Fenced}, false
	}
	r, known := s.record(op)
	r.lastUsed = now
	switch {
	case !known:
		return s.startAttempt(r, op, r.Attempt+1), true
	case r.Digest != op.Digest || r.NotRepeatable != op.NotRepeatable:
		return Outcome{Decision: Mismatch}, false
	case r.Running && r.Claim == op.Claim:
		return r.extend(op)
	case r.Running && op.SupersededHolder != r.Holder:
		return Outcome{Decision: Busy, Holder: r.Holder, Instance: r.Instance, Claim: r.Claim}, false
	case r.NotRepeatable && (r.Running || r.OutcomeUnknown):
		return Outcome{Decision: OutcomeUnknown}, false
	case r.NotRepeatable && r.Billed:
		return Outcome{Decision: Finished, Code: r.Code, Answer: r.Answer, AnswerType: r.AnswerType}, false
	default:
		return s.startAttempt(r, op, r.Attempt+1), true
	}
}

// applyAccepted applies a claim that a shard owner has already accepted, read
// from the log or still queued for it. The claim may arrive after the bill of the
// same attempt, or after its holder was fenced.
func (s *state) applyAccepted(now time.Time, op Op) (Outcome, bool) {
	r, _ := s.record(op)
	r.lastUsed = now
	outcome := Outcome{Decision: Run, Attempt: op.Attempt}
	if c, settled := r.charges[op.Claim]; settled {
		return outcome, s.raise(r, op, c)
	}
	if r.Running && r.Claim == op.Claim {
		return r.extend(op)
	}
	if !s.fenced[op.Holder] {
		return s.startAttempt(r, op, op.Attempt), true
	}
	s.charge(r, op.Claim, worstCase(op.Holder, op.Attempt, op.MaxTokens, op.perTry()))
	r.Attempt = max(r.Attempt, op.Attempt)
	r.OutcomeUnknown = r.NotRepeatable
	return outcome, true
}

// raise raises the worst case of a settled attempt without a bill to that of a claim which allowed it
// another try, and reports whether it did.
func (s *state) raise(r *Record, op Op, c charge) bool {
	if c.final || op.MaxTokens <= c.tokens {
		return false
	}
	s.charge(r, op.Claim, worstCase(c.holder, c.attempt, op.MaxTokens, c.maxPerTry))
	return true
}

// perTry returns the maximum cost of one try of a claim, in tokens.
func (op Op) perTry() int64 {
	if op.PerTry > 0 {
		return op.PerTry
	}
	return op.MaxTokens
}

// extend answers a repeated claim. A claim with a higher worst case, which allows
// another try, belongs in the log.
func (r *Record) extend(op Op) (Outcome, bool) {
	more := op.MaxTokens > r.MaxTokens
	r.MaxTokens = max(r.MaxTokens, op.MaxTokens)
	return Outcome{Decision: Run, Attempt: r.Attempt}, more
}

// startAttempt makes the op's claim the running attempt. The tokens served by a
// superseded attempt are unknown, so that attempt is charged its worst case until
// its bill arrives.
func (s *state) startAttempt(r *Record, op Op, attempt int) Outcome {
	if r.Running {
		s.chargeRunning(r)
	}
	r.Attempt = max(r.Attempt, attempt)
	r.Running = true
	r.Claim = op.Claim
	r.Holder = op.Holder
	r.Instance = op.Instance
	r.MaxPerTry = op.perTry()
	r.MaxTokens = op.MaxTokens
	return Outcome{Decision: Run, Attempt: attempt}
}

// charge sets the charge of an attempt and updates the total of its budget.
func (s *state) charge(r *Record, claim string, c charge) {
	s.totals[r.Budget] += c.tokens - r.charges[claim].tokens
	r.charges[claim] = c
}

// chargeRunning charges the running attempt its worst case.
func (s *state) chargeRunning(r *Record) {
	s.charge(r, r.Claim, worstCase(r.Holder, r.Attempt, r.MaxTokens, r.MaxPerTry))
}

func worstCase(holder string, attempt int, maxTokens, limit int64) charge {
	return charge{tokens: maxTokens, holder: holder, attempt: attempt, maxPerTry: limit}
}

// bill adds an attempt to the single billing record of the request. A repeated
// message changes nothing.
func (s *state) bill(now time.Time, op Op) (Outcome, bool) {
	r, _ := s.record(op)
	if r.charges[op.Claim].final {
		return Outcome{Decision: Recorded}, false
	}
	s.charge(r, op.Claim, charge{tokens: op.Tokens, final: true, holder: op.Holder, attempt: op.Attempt})
	r.Billed = true
	r.OutcomeUnknown = false
	r.Code = op.Code
	r.Answer = op.Answer
	r.AnswerType = op.AnswerType
	r.lastUsed = now
	if r.Claim == op.Claim {
		r.Running = false
	}
	r.Attempt = max(r.Attempt, op.Attempt)
	return Outcome{Decision: Recorded}, true
}

// withdraw ends a claim whose attempt was certainly not dispatched.
func (s *state) withdraw(op Op) (Outcome, bool) {
	r, ok := s.records[op.Request]
	if !ok || !r.Running || r.Claim != op.Claim {
		return Outcome{Decision: Recorded}, false
	}
	r.Running = false
	return Outcome{Decision: Recorded}, true
}

// fence fences a holder. Its running attempts are charged their worst case, and a
// not-repeatable one is never run again.
func (s *state) fence(op Op) Outcome {
	s.fenced[op.Holder] = true
	outcome := Outcome{Decision: Recorded}
	for request, r := range s.records {
		if r.Running && r.Holder == op.Holder {
			s.chargeRunning(r)
			r.Running = false
			r.OutcomeUnknown = r.NotRepeatable
		}
		outcome.Unbilled = append(outcome.Unbilled, r.unbilled(request, op.Holder)...)
	}
	sort.Slice(outcome.Unbilled, func(i, j int) bool { return outcome.Unbilled[i].Claim < outcome.Unbilled[j].Claim })
	outcome.Totals = maps.Clone(s.totals)
	return outcome
}

// unbilled returns the attempts of a holder that have no bill and may have cost
// tokens.
func (r *Record) unbilled(request, holder string) []UnbilledAttempt {
	var list []UnbilledAttempt
	for claim, c := range r.charges {
		if c.holder != holder || c.final || c.tokens == 0 {
			continue
		}
		list = append(list, UnbilledAttempt{
			Request:   request,
			Claim:     claim,
			Account:   r.Account,
			Budget:    r.Budget,
			Target:    r.Target,
			Attempt:   c.attempt,
			MaxPerTry: c.maxPerTry,
			MaxTokens: c.tokens,
		})
	}
	return list
}

// evict deletes finished records that were last used before the given time. The
// totals are kept.
func (s *state) evict(before time.Time) {
	for request, r := range s.records {
		if !r.Running && !r.OutcomeUnknown && r.lastUsed.Before(before) {
			delete(s.records, request)
		}
	}
}
