package ledger

import (
	"fmt"
	"sort"
	"time"
)

// Effect is something the caller of a Shard must do.
type Effect interface{ effect() }

// Load reads all segments of the shard and calls Loaded.
type Load struct{ Shard int }

// Append writes a segment (a create for version 0) and calls Appended.
type Append struct {
	Shard   int
	Version int64
	Segment *Segment
}

// Reply answers the op submitted under Token.
type Reply struct {
	Token   uint64
	Outcome Outcome
}

func (Load) effect()   {}
func (Append) effect() {}
func (Reply) effect()  {}

// Result is what a store call came to.
type Result int

// The results of a store call.
const (
	Done Result = iota
	Conflict
	Unavailable
	Lost
)

// Config are the settings of a shard.
type Config struct {
	// Shard is its number.
	Shard int
	// Owner is the incarnation of this router.
	Owner string
	// Spacing is the least time between two commits.
	Spacing time.Duration
	// Linger is the least time between two commits for bills alone, and how
	// long a claim that nobody waits for may stay in memory.
	Linger time.Duration
	// SegmentBytes seals a segment that has grown so large.
	SegmentBytes int
	// BatchOps bounds one commit.
	BatchOps int
	// Retention is how long a finished request's record is kept in memory.
	Retention time.Duration
	// StoreRetry is the pause after the store was unavailable.
	StoreRetry time.Duration
}

// DefaultConfig returns the settings used when an operator names none.
func DefaultConfig() Config {
	return Config{
		Spacing:      20 * time.Millisecond,
		Linger:       80 * time.Millisecond,
		SegmentBytes: 48 << 10,
		BatchOps:     2000,
		Retention:    time.Hour,
		StoreRetry:   200 * time.Millisecond,
	}
}

// entry is an op on its way into the log.
type entry struct {
	op      Op
	token   uint64
	at      time.Time
	waiting bool // its reply is due at the commit
	outcome Outcome
	dead    bool // a claim that was answered Down
	applied bool // the op is part of the state
}

// undecide forgets the decision about a claim that is not in the log after
// all: it is decided anew.
func (e *entry) undecide() {
	if e.op.Kind == Claim {
		e.op.Attempt = 0
	}
}

// phase is how far the shard's log is known here.
type phase int

const (
	cold phase = iota
	loading
	ready
)

// Shard is one router's side of a ledger shard. Any router may act for any
// shard; only the store decides whose commits stand. It is not safe for
// concurrent use.
type Shard struct {
	cfg     Config
	phase   phase
	loaded  bool // the log was read at least once
	state   *state
	segment *Segment
	version int64
	pending []*entry
	flight  []*entry
	next    *Segment // the segment in flight
	batchID string
	batches int
	lastAt  time.Time
	retryAt time.Time
	out     []Effect
}

// NewShard returns a shard whose log is not yet read.
func NewShard(cfg Config) *Shard {
	return &Shard{cfg: cfg, state: newState()}
}

func (s *Shard) emit(e Effect) { s.out = append(s.out, e) }

func (s *Shard) drain() []Effect {
	out := s.out
	s.out = nil
	return out
}

// Submit asks for an op. The answer is a Reply effect with the token, now or
// later.
func (s *Shard) Submit(now time.Time, op Op, token uint64) []Effect {
	e := &entry{op: op, token: token, at: now, waiting: true}
	if s.loaded && !s.waits(op) {
		s.answerNow(now, e)
	} else {
		s.pending = append(s.pending, e)
	}
	if now.Before(s.retryAt) {
		s.storeDown(now)
	}
	s.advance(now)
	return s.drain()
}

// waits tells whether the op is answered only when it is committed.
func (s *Shard) waits(op Op) bool {
	return op.Kind == Bill || op.Kind == Fence || op.Kind == Claim && op.Durable
}

// answerNow decides a soft op on the state in memory; its item goes into the
// log with the next commit.
func (s *Shard) answerNow(now time.Time, e *entry) {
	outcome, log := s.state.apply(now, e.op)
	e.waiting = false
	s.emit(Reply{Token: e.token, Outcome: outcome})
	if log {
		e.op.Attempt = outcome.Attempt
		s.pending = append(s.pending, e)
	}
}

// Tick starts what has become due.
func (s *Shard) Tick(now time.Time) []Effect {
	s.advance(now)
	return s.drain()
}

// Forget drops old finished records from memory.
func (s *Shard) Forget(now time.Time) {
	s.state.forget(now.Add(-s.cfg.Retention))
}

// Records returns the number of requests known here.
func (s *Shard) Records() int { return len(s.state.records) }

// Idle tells whether nothing waits to be committed.
func (s *Shard) Idle() bool { return len(s.pending)+len(s.flight) == 0 }

// Due returns when Tick has something to do next; the zero time means never.
func (s *Shard) Due() time.Time {
	if s.flight != nil || s.phase == loading || len(s.pending) == 0 {
		return time.Time{}
	}
	due := s.pending[0].at.Add(s.cfg.Linger)
	switch s.awaited() {
	case Claim, Fence:
		due = s.lastAt.Add(s.cfg.Spacing)
	case Bill:
		due = s.lastAt.Add(s.cfg.Linger)
	}
	return latest(due, s.pending[0].at, s.lastAt.Add(s.cfg.Spacing), s.retryAt)
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

// awaited returns the most urgent kind of op that somebody waits for; empty if
// nobody waits.
func (s *Shard) awaited() OpKind {
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
	if s.phase == cold && !s.Idle() && !now.Before(s.retryAt) {
		s.phase = loading
		s.emit(Load{Shard: s.cfg.Shard})
		return
	}
	if s.phase != ready || s.next != nil {
		return
	}
	if due := s.Due(); !due.IsZero() && !now.Before(due) {
		s.commit(now)
	}
}

// commit decides all pending ops on the state and writes their batch.
func (s *Shard) commit(now time.Time) {
	take := min(len(s.pending), s.cfg.BatchOps)
	ops := make([]Op, 0, take)
	for _, e := range s.pending[:take] {
		if op, ok := s.decide(now, e); ok {
			ops = append(ops, op)
		}
		s.flight = append(s.flight, e)
	}
	s.pending = s.pending[take:]
	if len(ops) == 0 {
		s.committed()
		return
	}
	s.batches++
	s.batchID = fmt.Sprintf("%s/%d", s.cfg.Owner, s.batches)
	s.next = s.extend(Batch{ID: s.batchID, Ops: ops})
	s.lastAt = now
	s.emit(Append{Shard: s.cfg.Shard, Version: s.version, Segment: s.next})
}

// decide applies a waiting op; one that changes nothing stays out of the log.
// A repeated bill is answered with the batch all the same, since the first
// one may be in it.
func (s *Shard) decide(now time.Time, e *entry) (Op, bool) {
	if !e.waiting {
		return e.op, !e.dead
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

// extend returns the segment to write: the present one with one batch more,
// or the next one after a sealed one. The commit that fills a segment seals
// it, so that whoever creates the next one knows the whole log before it.
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

// size estimates a segment's encoded bytes.
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

// Appended takes the answer of an Append.
func (s *Shard) Appended(now time.Time, version int64, result Result) []Effect {
	switch result {
	case Done:
		s.segment, s.version = s.next, version
		s.committed()
	case Unavailable:
		s.rollBack(now)
	default:
		// Conflict: another router commits here. Lost: the batch may be in
		// the log. Both are settled by reading the log.
		s.phase = loading
		s.emit(Load{Shard: s.cfg.Shard})
	}
	s.advance(now)
	return s.drain()
}

// committed answers the batch in flight.
func (s *Shard) committed() {
	for _, e := range s.flight {
		s.reply(e)
	}
	s.flight = nil
	s.next = nil
}

// reply answers a committed entry that still waits.
func (s *Shard) reply(e *entry) {
	if !e.waiting {
		return
	}
	e.waiting = false
	s.emit(Reply{Token: e.token, Outcome: e.outcome})
}

// rollBack puts a batch that certainly was not written back. Claims that wait
// for it are answered Down and withdrawn; bills are held.
func (s *Shard) rollBack(now time.Time) {
	s.retryAt = now.Add(s.cfg.StoreRetry)
	s.pending = append(s.flight, s.pending...)
	s.flight = nil
	s.next = nil
	s.storeDown(now)
}

// storeDown answers everything that waits for the store.
func (s *Shard) storeDown(now time.Time) {
	kept := s.pending[:0]
	for _, e := range s.pending {
		if s.holdDown(now, e) {
			kept = append(kept, e)
		}
	}
	s.pending = kept
}

// holdDown answers one entry while the store is down; false drops it.
func (s *Shard) holdDown(now time.Time, e *entry) bool {
	if !e.waiting {
		return true
	}
	e.waiting = false
	if e.op.Kind == Fence {
		s.emit(Reply{Token: e.token, Outcome: Outcome{Verdict: Down}})
		return false
	}
	if e.op.Kind != Claim {
		s.emit(Reply{Token: e.token, Outcome: Outcome{Verdict: Held}})
		if !e.applied {
			_, e.applied = s.state.apply(now, e.op)
		}
		return e.applied // a repeated bill is held once
	}
	if e.op.Kind == Claim && !e.op.Durable {
		return s.softWhileDown(now, e)
	}
	s.emit(Reply{Token: e.token, Outcome: Outcome{Verdict: Down}})
	s.state.withdraw(Op{Request: e.op.Request, Claim: e.op.Claim})
	return false
}

// softWhileDown answers a repeatable claim from memory when the log cannot be
// read.
func (s *Shard) softWhileDown(now time.Time, e *entry) bool {
	outcome, log := s.state.apply(now, e.op)
	e.op.Attempt = outcome.Attempt
	s.emit(Reply{Token: e.token, Outcome: outcome})
	return log
}

// Loaded takes the answer of a Load: all segments of the shard and the
// version of the last one.
func (s *Shard) Loaded(now time.Time, segments []*Segment, version int64, result Result) []Effect {
	sort.Slice(segments, func(i, j int) bool { return segments[i].Number < segments[j].Number })
	if result != Done || !IsWholeLog(segments) {
		s.loadFailed(now)
		return s.drain()
	}
	s.rebuild(now, segments, version)
	s.phase = ready
	s.loaded = true
	s.advance(now)
	return s.drain()
}

// IsWholeLog tells whether segments in the order of their numbers are a log from
// its start, each but the last sealed. What is missing before the last one would
// be decided anew, and the conditional update of the last would not notice.
func IsWholeLog(segments []*Segment) bool {
	last := len(segments) - 1
	for i, seg := range segments {
		if seg.Number != i || !seg.Sealed && i < last {
			return false
		}
	}
	return true
}

// loadFailed keeps a lost batch as it is, answers what waits, and tries again
// later.
func (s *Shard) loadFailed(now time.Time) {
	s.phase = cold
	s.retryAt = now.Add(s.cfg.StoreRetry)
	s.withdrawFlight()
	s.storeDown(now)
}

// withdrawFlight answers the claims of a batch of unknown fate Down, and
// queues their withdrawal in case the batch is in the log.
func (s *Shard) withdrawFlight() {
	for _, e := range s.flight {
		if !e.waiting {
			continue
		}
		e.waiting = false
		if e.op.Kind == Bill {
			s.emit(Reply{Token: e.token, Outcome: Outcome{Verdict: Held}})
			continue
		}
		s.emit(Reply{Token: e.token, Outcome: Outcome{Verdict: Down}})
		e.dead = true
		if e.op.Kind == Fence {
			continue
		}
		withdrawal := e.op
		withdrawal.Kind = Withdraw
		s.pending = append(s.pending, &entry{op: withdrawal, at: e.at})
	}
}

// rebuild replays the log and decides again what is not in it.
func (s *Shard) rebuild(now time.Time, segments []*Segment, version int64) {
	s.state = newState()
	s.segment, s.version = nil, version
	found := false
	for _, seg := range segments {
		s.segment = seg
		for _, b := range seg.Batches {
			found = found || s.next != nil && b.ID == s.batchID
			s.replay(now, b)
		}
	}
	if s.next != nil {
		s.resolveFlight(found)
	}
	s.reapplySoft(now)
}

func (s *Shard) replay(now time.Time, b Batch) {
	for _, op := range b.Ops {
		s.state.apply(now, op)
	}
}

// resolveFlight settles the batch in flight once the log is known.
func (s *Shard) resolveFlight(found bool) {
	if found {
		s.committed()
		return
	}
	back := make([]*entry, 0, len(s.flight)+len(s.pending))
	for _, e := range s.flight {
		if !e.dead {
			back = append(back, e)
		}
	}
	s.pending = append(back, s.pending...)
	s.flight = nil
	s.next = nil
}

// reapplySoft brings the already answered ops back into the state, and
// decides the soft ones that waited for the log.
func (s *Shard) reapplySoft(now time.Time) {
	pending := s.pending
	s.pending = nil
	for _, e := range pending {
		e.applied = false
		switch {
		case !e.waiting:
			if _, log := s.state.apply(now, e.op); log {
				s.pending = append(s.pending, e)
			}
		case s.waits(e.op):
			e.undecide()
			s.pending = append(s.pending, e)
		default:
			s.answerNow(now, e)
		}
	}
}
