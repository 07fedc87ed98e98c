package ledger

import (
	"fmt"
	"sort"
	"time"
)

// Effect is an action that the caller of a Shard must carry out.
type Effect interface{ effect() }

// Load asks the caller to read all segments of the shard and call Loaded.
type Load struct{ Shard int }

// Append asks the caller to write a segment and call Appended. Version 0 means
// that the segment is created.
type Append struct {
	Shard   int
	Version int64
	Segment *Segment
}

// Reply is the answer to the op submitted with Token.
type Reply struct {
	Token   uint64
	Outcome Outcome
}

func (Load) effect()   {}
func (Append) effect() {}
func (Reply) effect()  {}

// Result is the result of a store call.
type Result int

// The results of a store call.
const (
	Done Result = iota
	// Conflict: the condition of the write did not hold.
	Conflict
	// Unavailable: the call certainly had no effect.
	Unavailable
	// ResultUnknown: the answer was lost; the write may have taken effect.
	ResultUnknown
)

// Config holds the settings of a shard.
type Config struct {
	// Shard is the number of the shard.
	Shard int
	// Owner is the incarnation of this router.
	Owner string
	// MinCommitInterval is the minimum time between two commits.
	MinCommitInterval time.Duration
	// MaxCommitDelay is the minimum time between two commits when only bills are
	// waiting, and the maximum time for which an op that has already been
	// answered stays in memory before it is committed.
	MaxCommitDelay time.Duration
	// SegmentBytes is the estimated size in bytes at which a segment is sealed.
	SegmentBytes int
	// BatchOps is the maximum number of ops in one commit.
	BatchOps int
	// Retention is how long the record of a finished request is kept in memory.
	Retention time.Duration
	// StoreRetry is the delay before the next store call after the store was
	// unavailable.
	StoreRetry time.Duration
}

// DefaultConfig returns the default settings.
func DefaultConfig() Config {
	return Config{
		MinCommitInterval: 20 * time.Millisecond,
		MaxCommitDelay:    80 * time.Millisecond,
		SegmentBytes:      48 << 10,
		BatchOps:          2000,
		Retention:         time.Hour,
		StoreRetry:        200 * time.Millisecond,
	}
}

// queuedOp is an op that is queued for the log.
type queuedOp struct {
	op           Op
	token        uint64
	queuedAt     time.Time
	waiting      bool // the reply is sent when the op is committed
	outcome      Outcome
	answeredDown bool // a claim or fence that was answered StoreDown although its batch may be in the log
	applied      bool // the op has been applied to the state
}

// resetDecision clears the attempt number of a claim whose batch turned out not
// to be in the log, so that the claim is decided again.
func (e *queuedOp) resetDecision() {
	if e.op.Kind == Claim {
		e.op.Attempt = 0
	}
}

// phase is the progress of loading the shard's log.
type phase int

const (
	notLoaded phase = iota
	loading
	ready
)

// Shard is the state machine by which one router acts as owner of a ledger
// shard. Any router may act as owner of any shard; the store's conditional
// updates decide whose commits succeed. A Shard is not safe for concurrent use.
type Shard struct {
	cfg        Config
	phase      phase
	loaded     bool // the log has been read at least once
	state      *state
	segment    *Segment
	version    int64
	pending    []*queuedOp
	inFlight   []*queuedOp
	writing    *Segment // the segment being written
	batchID    string
	batches    int
	lastCommit time.Time
	retryAt    time.Time
	effects    []Effect
}

// NewShard returns a shard whose log has not been read yet.
func NewShard(cfg Config) *Shard {
	return &Shard{cfg: cfg, state: newState()}
}

func (s *Shard) emit(e Effect) { s.effects = append(s.effects, e) }

func (s *Shard) takeEffects() []Effect {
	out := s.effects
	s.effects = nil
	return out
}

// Submit queues or decides an op. The answer is a Reply effect with the same
// token, returned by this call or by a later one.
func (s *Shard) Submit(now time.Time, op Op, token uint64) []Effect {
	e := &queuedOp{op: op, token: token, queuedAt: now, waiting: true}
	if s.loaded && !s.needsCommit(op) {
		s.answerFromMemory(now, e)
	} else {
		s.pending = append(s.pending, e)
	}
	if now.Before(s.retryAt) {
		s.answerStoreDown(now)
	}
	s.advance(now)
	return s.takeEffects()
}

// needsCommit reports whether the op is answered only after it is committed.
func (s *Shard) needsCommit(op Op) bool {
	return op.Kind == Bill || op.Kind == Fence || op.Kind == Claim && op.Durable
}

// answerFromMemory decides an op that need not be durable from the in-memory
// state. An op that changes the state is queued for the next commit.
func (s *Shard) answerFromMemory(now time.Time, e *queuedOp) {
	outcome, log := s.state.apply(now, e.op)
	e.waiting = false
	s.emit(Reply{Token: e.token, Outcome: outcome})
	if log {
		e.op.Attempt = outcome.Attempt
		s.pending = append(s.pending, e)
	}
}

// Tick starts a load or a commit that has become due.
func (s *Shard) Tick(now time.Time) []Effect {
	s.advance(now)
	return s.takeEffects()
}

// EvictFinished removes finished records older than Retention from memory.
func (s *Shard) EvictFinished(now time.Time) {
	s.state.evict(now.Add(-s.cfg.Retention))
}

// Records returns the number of request records in memory.
func (s *Shard) Records() int { return len(s.state.records) }

// Idle reports whether no op is queued or being committed.
func (s *Shard) Idle() bool { return len(s.pending)+len(s.inFlight) == 0 }

// Due returns the time at which Tick next has work to do. The zero time means
// that nothing is scheduled.
func (s *Shard) Due() time.Time {
	if s.inFlight != nil || s.phase == loading || len(s.pending) == 0 {
		return time.Time{}
	}
	due := s.pending[0].queuedAt.Add(s.cfg.MaxCommitDelay)
	switch s.mostUrgent() {
	case Claim, Fence:
		due = s.lastCommit.Add(s.cfg.MinCommitInterval)
	case Bill:
		due = s.lastCommit.Add(s.cfg.MaxCommitDelay)
	}
	return latest(due, s.pending[0].queuedAt, s.lastCommit.Add(s.cfg.MinCommitInterval), s.retryAt)
}

func latest(times ...time.Time) time.Time {
	var t time.Time
	for _, candidate := range times {
		if candidate.After(t) {
			t = candidate
		}
	}
	return t
}

// mostUrgent returns the kind of the most urgent pending op whose caller waits for
// the commit, or "" if no caller waits.
func (s *Shard) mostUrgent() OpKind {
	var kind OpKind
	for _, e := range s.pending {
		if !e.waiting {
			continue
		}
		if e.op.Kind != Bill {
			return e.op.Kind
		}
		kind = Bill
	}
	return kind
}

func (s *Shard) advance(now time.Time) {
	if s.phase == notLoaded && !s.Idle() && !now.Before(s.retryAt) {
		s.phase = loading
		s.emit(Load{Shard: s.cfg.Shard})
		return
	}
	if s.phase != ready || s.writing != nil {
		return
	}
	if due := s.Due(); !due.IsZero() && !now.Before(due) {
		s.commit(now)
	}
}

// commit decides up to BatchOps pending ops and writes them as one batch.
func (s *Shard) commit(now time.Time) {
	take := min(len(s.pending), s.cfg.BatchOps)
	ops := make([]Op, 0, take)
	for _, e := range s.pending[:take] {
		if op, ok := s.decide(now, e); ok {
			ops = append(ops, op)
		}
		s.inFlight = append(s.inFlight, e)
	}
	s.pending = s.pending[take:]
	if len(ops) == 0 {
		s.committed()
		return
	}
	s.batches++
	s.batchID = fmt.Sprintf("%s/%d", s.cfg.Owner, s.batches)
	s.writing = s.extend(Batch{ID: s.batchID, Ops: ops})
	s.lastCommit = now
	s.emit(Append{Shard: s.cfg.Shard, Version: s.version, Segment: s.writing})
}

// decide applies a waiting op and reports whether it belongs in the log. An op
// that changes nothing is not logged. A repeated bill is still answered only
// with the batch, because the original bill may be in that batch.
func (s *Shard) decide(now time.Time, e *queuedOp) (Op, bool) {
	if !e.waiting {
		return e.op, !e.answeredDown
	}
	outcome, log := s.state.apply(now, e.op)
	e.outcome = outcome
	e.applied = log
	if !log && e.op.Kind == Claim {
		e.waiting = false
		s.emit(Reply{Token: e.token, Outcome: outcome})
	}
	if !log {
		return Op{}, false
	}
	if e.op.Kind == Claim {
		e.op.Attempt = outcome.Attempt
	}
	return e.op, true
}

// extend returns the segment to write: the current segment with one batch added,
// or a new segment if the current one is sealed. The commit that fills a segment
// also seals it, so that the router which creates the next segment has read the
// whole log before it.
func (s *Shard) extend(b Batch) *Segment {
	next := &Segment{Batches: []Batch{b}}
	if s.segment != nil {
		next.Number = s.segment.Number + 1
	}
	if s.segment != nil && !s.segment.Sealed {
		next.Number = s.segment.Number
		next.Batches = append(append([]Batch(nil), s.segment.Batches...), b)
	} else {
		s.version = 0
	}
	next.Sealed = s.size(next) >= s.cfg.SegmentBytes
	return next
}

// size estimates the encoded size of a segment in bytes.
func (s *Shard) size(seg *Segment) int {
	const opBytes = 120
	n := 0
	for _, b := range seg.Batches {
		for _, op := range b.Ops {
			n += opBytes + len(op.Answer)
		}
	}
	return n
}

// Appended processes the result of an Append.
func (s *Shard) Appended(now time.Time, version int64, result Result) []Effect {
	switch result {
	case Done:
		s.segment, s.version = s.writing, version
		s.committed()
	case Unavailable:
		s.rollBack(now)
	default:
		// Conflict: another router commits to this shard. ResultUnknown: the batch may
		// be in the log. Reading the log resolves both.
		s.phase = loading
		s.emit(Load{Shard: s.cfg.Shard})
	}
	s.advance(now)
	return s.takeEffects()
}

// committed sends the replies for the batch in flight.
func (s *Shard) committed() {
	for _, e := range s.inFlight {
		s.reply(e)
	}
	s.inFlight = nil
	s.writing = nil
}

// reply answers a committed entry whose reply is still pending.
func (s *Shard) reply(e *queuedOp) {
	if !e.waiting {
		return
	}
	e.waiting = false
	s.emit(Reply{Token: e.token, Outcome: e.outcome})
}

// rollBack requeues a batch that was certainly not written. Waiting claims are
// answered StoreDown and withdrawn; bills are buffered.
func (s *Shard) rollBack(now time.Time) {
	s.retryAt = now.Add(s.cfg.StoreRetry)
	s.pending = append(s.inFlight, s.pending...)
	s.inFlight = nil
	s.writing = nil
	s.answerStoreDown(now)
}

// answerStoreDown answers every pending entry that waits for the store.
func (s *Shard) answerStoreDown(now time.Time) {
	kept := s.pending[:0]
	for _, e := range s.pending {
		if s.answerEntryStoreDown(now, e) {
			kept = append(kept, e)
		}
	}
	s.pending = kept
}

// answerEntryStoreDown answers one entry while the store is unavailable. It
// reports whether the entry stays pending.
func (s *Shard) answerEntryStoreDown(now time.Time, e *queuedOp) bool {
	if !e.waiting {
		return true
	}
	e.waiting = false
	if e.op.Kind == Fence {
		s.emit(Reply{Token: e.token, Outcome: Outcome{Decision: StoreDown}})
		return false
	}
	if e.op.Kind != Claim {
		s.emit(Reply{Token: e.token, Outcome: Outcome{Decision: Buffered}})
		if !e.applied {
			_, e.applied = s.state.apply(now, e.op)
		}
		return e.applied // a repeated bill is buffered only once
	}
	if e.op.Kind == Claim && !e.op.Durable {
		return s.claimFromMemory(now, e)
	}
	s.emit(Reply{Token: e.token, Outcome: Outcome{Decision: StoreDown}})
	s.state.withdraw(Op{Request: e.op.Request, Claim: e.op.Claim})
	return false
}

// claimFromMemory decides a claim that need not be durable from memory while the
// log cannot be read.
func (s *Shard) claimFromMemory(now time.Time, e *queuedOp) bool {
	outcome, log := s.state.apply(now, e.op)
	e.op.Attempt = outcome.Attempt
	s.emit(Reply{Token: e.token, Outcome: outcome})
	return log
}

// Loaded processes the result of a Load: all segments of the shard and the
// version of the last one.
func (s *Shard) Loaded(now time.Time, segments []*Segment, version int64, result Result) []Effect {
	sort.Slice(segments, func(i, j int) bool { return segments[i].Number < segments[j].Number })
	if result != Done || !IsCompleteLog(segments) {
		s.loadFailed(now)
		return s.takeEffects()
	}
	s.rebuild(now, segments, version)
	s.phase = ready
	s.loaded = true
	s.advance(now)
	return s.takeEffects()
}

// IsCompleteLog reports whether segments, sorted by number, are numbered from 0
// without gaps and all but the last are sealed. The ops of a missing segment
// would be decided again, and the conditional update of the last segment would
// not detect that.
func IsCompleteLog(segments []*Segment) bool {
	last := len(segments) - 1
	for i, seg := range segments {
		if seg.Number != i || !seg.Sealed && i < last {
			return false
		}
	}
	return true
}

// loadFailed answers all waiting entries and schedules another load. A batch
// whose write result is unknown stays in flight.
func (s *Shard) loadFailed(now time.Time) {
	s.phase = notLoaded
	s.retryAt = now.Add(s.cfg.StoreRetry)
	s.withdrawInFlight()
	s.answerStoreDown(now)
}

// withdrawInFlight answers the waiting entries of a batch whose write result is
// unknown: bills as buffered, claims and fences as StoreDown. It queues a
// withdrawal for each claim in case the batch is in the log.
func (s *Shard) withdrawInFlight() {
	for _, e := range s.inFlight {
		if !e.waiting {
			continue
		}
		e.waiting = false
		if e.op.Kind == Bill {
			s.emit(Reply{Token: e.token, Outcome: Outcome{Decision: Buffered}})
			continue
		}
		s.emit(Reply{Token: e.token, Outcome: Outcome{Decision: StoreDown}})
		e.answeredDown = true
		if e.op.Kind == Fence {
			continue
		}
		withdrawal := e.op
		withdrawal.Kind = Withdraw
		s.pending = append(s.pending, &queuedOp{op: withdrawal, queuedAt: e.queuedAt})
	}
}

// rebuild replays the log and requeues or decides again the ops that are not in
// it.
func (s *Shard) rebuild(now time.Time, segments []*Segment, version int64) {
	s.state = newState()
	s.segment, s.version = nil, version
	found := false
	for _, seg := range segments {
		s.segment = seg
		for _, b := range seg.Batches {
			found = found || s.writing != nil && b.ID == s.batchID
			s.replay(now, b)
		}
	}
	if s.writing != nil {
		s.resolveInFlight(found)
	}
	s.reapplyPending(now)
}

func (s *Shard) replay(now time.Time, b Batch) {
	for _, op := range b.Ops {
		s.state.apply(now, op)
	}
}

// resolveInFlight answers the batch in flight if it was found in the log. Otherwise it
// requeues the ops, except those that were already answered StoreDown.
func (s *Shard) resolveInFlight(found bool) {
	if found {
		s.committed()
		return
	}
	back := make([]*queuedOp, 0, len(s.inFlight)+len(s.pending))
	for _, e := range s.inFlight {
		if !e.answeredDown {
			back = append(back, e)
		}
	}
	s.pending = append(back, s.pending...)
	s.inFlight = nil
	s.writing = nil
}

// reapplyPending applies the ops that were already answered to the rebuilt state,
// and decides the ops that waited only for the log to be loaded.
func (s *Shard) reapplyPending(now time.Time) {
	pending := s.pending
	s.pending = nil
	for _, e := range pending {
		e.applied = false
		switch {
		case !e.waiting:
			if _, log := s.state.apply(now, e.op); log {
				s.pending = append(s.pending, e)
			}
		case s.needsCommit(e.op):
			e.resetDecision()
			s.pending = append(s.pending, e)
		default:
			s.answerFromMemory(now, e)
		}
	}
}
