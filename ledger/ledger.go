// Package ledger decides about claims and billing records.
//
// Requests hash to shards. A shard is an append log of segments in the store,
// written by group commit with conditional updates. The conditional update is
// the fence: two routers that both believe to own a shard cannot both commit,
// and the one that fails reads the log again before it decides anything.
//
// The package is pure: callers pass the time and carry out the effects.
package ledger

import (
	"bytes"
	"errors"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/vmihailenco/msgpack/v5"
)

// OpKind is the kind of a log item.
type OpKind string

// The kinds of log items.
const (
	// Claim asks to run an attempt of a request.
	Claim OpKind = "claim"
	// Bill records what an attempt came to.
	Bill OpKind = "bill"
	// Withdraw takes back a claim that certainly did not run.
	Withdraw OpKind = "withdraw"
	// Fence refuses all further claims of a holder that is taken to be dead,
	// and charges its running attempts at their worst case.
	Fence OpKind = "fence"
)

// Op is one item of the log, and the message that asks for it.
type Op struct {
	Kind OpKind `msgpack:"k"`
	// Request identifies the request: account and idempotency key, or a
	// number of its own.
	Request string `msgpack:"r"`
	// Claim is unique to one caller connection, so that a repeated message
	// is recognised.
	Claim string `msgpack:"c,omitempty"`
	// Holder is the incarnation of the router that serves the connection,
	// and Instance its instance.
	Holder   string `msgpack:"h,omitempty"`
	Instance string `msgpack:"i,omitempty"`
	// Account and Budget say who pays.
	Account string `msgpack:"a,omitempty"`
	Budget  string `msgpack:"b,omitempty"`
	// Target is the model or service.
	Target string `msgpack:"m,omitempty"`
	// Digest is a hash of the body.
	Digest uint64 `msgpack:"d,omitempty"`
	// NotRepeatable marks a request that runs at most once.
	NotRepeatable bool `msgpack:"n,omitempty"`
	// Attempt is the attempt's number.
	Attempt int `msgpack:"t,omitempty"`
	// Worst is the most that the tries of the attempt so far may cost, in
	// tokens. A claim repeated with a higher one allows another try.
	Worst int64 `msgpack:"x,omitempty"`
	// Supersede names a holder that does not run the request any more.
	Supersede string `msgpack:"s,omitempty"`
	// Durable asks that the claim is committed before it is answered.
	Durable bool `msgpack:"-"`
	// Tokens are the tokens served, Code the result.
	Tokens int64 `msgpack:"n2,omitempty"`
	Code   int   `msgpack:"o,omitempty"`
	// Answer is kept for a not-repeatable request if it is small.
	Answer     []byte `msgpack:"w,omitempty"`
	AnswerType string `msgpack:"wt,omitempty"`
}

// Verdict is the decision about an op.
type Verdict string

// The verdicts.
const (
	// Run: the attempt may be dispatched.
	Run Verdict = "run"
	// Busy: another connection runs the request; see Outcome.Holder.
	Busy Verdict = "busy"
	// Finished: the not-repeatable request has its outcome.
	Finished Verdict = "finished"
	// Unresolved: the not-repeatable request was dispatched by a router that
	// is gone, so that nobody knows its outcome.
	Unresolved Verdict = "unresolved"
	// Mismatch: the key was used with another body.
	Mismatch Verdict = "mismatch"
	// Down: the store did not take the claim; it is withdrawn.
	Down Verdict = "down"
	// Recorded: the bill or withdrawal is committed.
	Recorded Verdict = "recorded"
	// Held: the bill is held in memory until the store is back.
	Held Verdict = "held"
	// Fenced: the holder is taken to be dead and must stop.
	Fenced Verdict = "fenced"
)

// Outcome answers an op.
type Outcome struct {
	Verdict Verdict
	// Attempt is the number of the attempt to run.
	Attempt int
	// Holder and Instance name the router that runs a busy request, and Claim
	// the connection.
	Holder, Instance, Claim string
	// Code, Answer and AnswerType are a finished request's.
	Code       int
	Answer     []byte
	AnswerType string
	// Totals answers a Fence: the tokens charged by budget in this shard.
	Totals map[string]int64
	// Left answers a Fence: the holder's attempts that are charged their
	// worst case, since nobody has said what they served.
	Left []Left
}

// Left is an attempt that a dead holder left.
type Left struct {
	Request, Claim          string
	Account, Budget, Target string
	Attempt                 int
	// Cap is the worst case of one try, Worst of all that were claimed.
	Cap, Worst int64
}

// Record is what a shard knows of one request.
type Record struct {
	Account, Budget  string
	Target           string
	Claim            string
	Holder, Instance string
	Digest           uint64
	NotRepeatable    bool
	Attempt          int
	Cap, Worst       int64
	Running          bool
	Billed           bool
	// Lost tells that the only run of a not-repeatable request was left by a
	// dead holder.
	Lost       bool
	Code       int
	Answer     []byte
	AnswerType string
	charges    map[string]charge // by claim, which names one attempt
	touched    time.Time
}

// charge is what an attempt is charged: its bill, or its worst case while
// nothing better is known.
type charge struct {
	tokens  int64
	final   bool
	holder  string
	attempt int
	limit   int64 // the worst case of one try
}

// Batch is one group commit.
type Batch struct {
	// ID is unique, so that a commit whose answer was lost is recognised.
	ID  string `msgpack:"id"`
	Ops []Op   `msgpack:"ops"`
}

// Segment is one store object of a shard's log.
type Segment struct {
	Number  int     `msgpack:"n"`
	Sealed  bool    `msgpack:"s"`
	Batches []Batch `msgpack:"b"`
}

// storedSegment is a segment as it is read: one without a number is none.
type storedSegment struct {
	Number  *int    `msgpack:"n"`
	Sealed  bool    `msgpack:"s"`
	Batches []Batch `msgpack:"b"`
}

// Encode returns the stored form.
func (s *Segment) Encode() []byte {
	value, err := msgpack.Marshal(s)
	if err != nil {
		panic(err) // plain values always encode
	}
	return value
}

// errNoSegment is a value that is no segment, or more than one. Taken as an
// empty or as the first one, it would let requests run and be billed again.
var errNoSegment = errors.New("ledger segment: not one segment")

// DecodeSegment reads a segment from its stored form.
func DecodeSegment(value []byte) (*Segment, error) {
	var s storedSegment
	r := bytes.NewReader(value)
	if err := msgpack.NewDecoder(r).Decode(&s); err != nil {
		return nil, fmt.Errorf("ledger segment: %w", err)
	}
	if s.Number == nil || r.Len() > 0 {
		return nil, errNoSegment
	}
	return &Segment{Number: *s.Number, Sealed: s.Sealed, Batches: s.Batches}, nil
}

// ShardOf returns the shard of a request.
func ShardOf(request string, shards int) int {
	return int(xxhash.Sum64String(request) % uint64(shards))
}

// Role returns the name under which a shard's owner is ranked.
func Role(shard int) string {
	return fmt.Sprintf("ledger/%d", shard)
}

// Prefix returns the store prefix of a shard's segments.
func Prefix(shard int) string {
	return fmt.Sprintf("ledger/%03d/", shard)
}

// SegmentKey returns the store key of a segment.
func SegmentKey(shard, number int) string {
	return fmt.Sprintf("%s%09d", Prefix(shard), number)
}
