// Package ledger decides claims and records bills for requests.
//
// Requests are hashed to shards. A shard is an append-only log of segments in
// the store, written by group commit with conditional updates. The conditional
// update fences concurrent owners: if two routers both act as owner of a shard,
// only one commit succeeds, and the other router reads the log again before it
// decides anything.
//
// The package does no I/O and reads no clock: callers pass the time and carry
// out the returned effects.
package ledger

import (
	"bytes"
	"errors"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/vmihailenco/msgpack/v5"
)

// OpKind is the kind of a log entry.
type OpKind string

// The kinds of log entries.
const (
	// Claim asks to run an attempt of a request.
	Claim OpKind = "claim"
	// Bill records the result of an attempt and the tokens it served.
	Bill OpKind = "bill"
	// Withdraw cancels a claim whose attempt was certainly not dispatched.
	Withdraw OpKind = "withdraw"
	// Fence rejects all further claims of a holder that is presumed dead, and
	// charges its running attempts at their worst case.
	Fence OpKind = "fence"
)

// Op is one log entry, and also the message that requests it.
type Op struct {
	Kind OpKind `msgpack:"k"`
	// Request identifies the request: account and idempotency key, or a
	// generated unique ID.
	Request string `msgpack:"r"`
	// Claim is unique to one caller connection, so that a repeated message
	// can be deduplicated.
	Claim string `msgpack:"c,omitempty"`
	// Holder is the incarnation of the router that serves the connection,
	// and Instance is that router's instance.
	Holder   string `msgpack:"h,omitempty"`
	Instance string `msgpack:"i,omitempty"`
	// Account and Budget are charged for the request.
	Account string `msgpack:"a,omitempty"`
	Budget  string `msgpack:"b,omitempty"`
	// Target is the model or service.
	Target string `msgpack:"m,omitempty"`
	// Digest is a hash of the request body.
	Digest uint64 `msgpack:"d,omitempty"`
	// NotRepeatable marks a request that runs at most once.
	NotRepeatable bool `msgpack:"n,omitempty"`
	// Attempt is the number of the attempt.
	Attempt int `msgpack:"t,omitempty"`
	// MaxTokens is the maximum cost, in tokens, of all tries of the attempt so
	// far. Repeating a claim with a higher value allows another try.
	MaxTokens int64 `msgpack:"x,omitempty"`
	// PerTry is the maximum cost of one try in tokens. 0 means that MaxTokens is that of one try, as
	// in logs of releases without this field.
	PerTry int64 `msgpack:"p,omitempty"`
	// SupersededHolder names a holder that no longer runs the request.
	SupersededHolder string `msgpack:"s,omitempty"`
	// Durable requires that the claim is committed before it is answered.
	Durable bool `msgpack:"-"`
	// Tokens is the number of tokens served, and Code the result.
	Tokens int64 `msgpack:"n2,omitempty"`
	Code   int   `msgpack:"o,omitempty"`
	// Answer is the response body, kept for a not-repeatable request if it is
	// small.
	Answer     []byte `msgpack:"w,omitempty"`
	AnswerType string `msgpack:"wt,omitempty"`
}

// Decision is how an op was decided.
type Decision string

// The decisions.
const (
	// Run: the attempt may be dispatched.
	Run Decision = "run"
	// Busy: another connection runs the request; see Outcome.Holder.
	Busy Decision = "busy"
	// Finished: the not-repeatable request has completed.
	Finished Decision = "finished"
	// OutcomeUnknown: the not-repeatable request was dispatched by a router that
	// is gone, so its outcome is unknown.
	OutcomeUnknown Decision = "unresolved"
	// Mismatch: the idempotency key was used with a different body.
	Mismatch Decision = "mismatch"
	// StoreDown: the store did not accept the claim or fence; a claim is withdrawn.
	StoreDown Decision = "down"
	// Recorded: the bill or withdrawal is committed.
	Recorded Decision = "recorded"
	// Buffered: the bill is buffered in memory until the store is available again.
	Buffered Decision = "held"
	// Fenced: the holder is presumed dead and must stop.
	Fenced Decision = "fenced"
)

// Outcome is the answer to an op.
type Outcome struct {
	Decision Decision
	// Attempt is the number of the attempt to run.
	Attempt int
	// Holder and Instance identify the router that runs a busy request, and
	// Claim identifies the caller connection.
	Holder, Instance, Claim string
	// Code, Answer and AnswerType are the result of a finished request.
	Code       int
	Answer     []byte
	AnswerType string
	// Totals is set for a Fence: the tokens charged in this shard, by budget.
	Totals map[string]int64
	// Unbilled is set for a Fence: the holder's attempts that are charged their
	// worst case because no bill has reported what they served.
	Unbilled []UnbilledAttempt
}

// UnbilledAttempt is an attempt of a fenced holder for which no bill was recorded.
type UnbilledAttempt struct {
	Request, Claim          string
	Account, Budget, Target string
	Attempt                 int
	// MaxPerTry is the maximum cost of one try in tokens, and MaxTokens that of all
	// claimed tries.
	MaxPerTry, MaxTokens int64
}

// Tries returns the number of tries that the attempt may have made, or 0 if it is unknown because
// the cost of one try is.
func (u UnbilledAttempt) Tries() int64 {
	if u.MaxPerTry <= 0 {
		return 0
	}
	return max(u.MaxTokens/u.MaxPerTry, 1)
}

// Record is the state of one request in a shard.
type Record struct {
	Account, Budget      string
	Target               string
	Claim                string
	Holder, Instance     string
	Digest               uint64
	NotRepeatable        bool
	Attempt              int
	MaxPerTry, MaxTokens int64
	Running              bool
	Billed               bool
	// OutcomeUnknown is set when the holder of a not-repeatable request was fenced while
	// the request was running, so that its outcome is unknown.
	OutcomeUnknown bool
	Code           int
	Answer         []byte
	AnswerType     string
	charges        map[string]charge // by claim; a claim identifies one attempt
	lastUsed       time.Time
}

// charge is the amount charged for an attempt: its billed tokens, or its worst
// case until a bill is recorded.
type charge struct {
	tokens    int64
	final     bool
	holder    string
	attempt   int
	maxPerTry int64 // the maximum cost of one try, in tokens
}

// Batch is one group commit.
type Batch struct {
	// ID is unique, so that a commit whose answer was lost can be found when
	// the log is read again.
	ID  string `msgpack:"id"`
	Ops []Op   `msgpack:"ops"`
}

// Segment is one store object of a shard's log.
type Segment struct {
	Number  int     `msgpack:"n"`
	Sealed  bool    `msgpack:"s"`
	Batches []Batch `msgpack:"b"`
}

// storedSegment is the decoding form of Segment. Its Number is a pointer so that
// a value without a number can be rejected.
type storedSegment struct {
	Number  *int    `msgpack:"n"`
	Sealed  bool    `msgpack:"s"`
	Batches []Batch `msgpack:"b"`
}

// Encode returns the segment in its stored form.
func (s *Segment) Encode() []byte {
	value, err := msgpack.Marshal(s)
	if err != nil {
		panic(err) // plain values always encode
	}
	return value
}

// errNotOneSegment reports a stored value that is not exactly one segment. Reading
// such a value as an empty segment, or as only the first of several, would let
// requests run and be billed again.
var errNotOneSegment = errors.New("ledger segment: value is not exactly one segment")

// DecodeSegment decodes a segment from its stored form. It rejects truncated
// values and trailing bytes.
func DecodeSegment(value []byte) (*Segment, error) {
	var s storedSegment
	r := bytes.NewReader(value)
	if err := msgpack.NewDecoder(r).Decode(&s); err != nil {
		return nil, fmt.Errorf("ledger segment: %w", err)
	}
	if s.Number == nil || r.Len() > 0 {
		return nil, errNotOneSegment
	}
	return &Segment{Number: *s.Number, Sealed: s.Sealed, Batches: s.Batches}, nil
}

// ShardOf returns the number of the shard that a request hashes to.
func ShardOf(request string, shards int) int {
	return int(xxhash.Sum64String(request) % uint64(shards))
}

// OwnerRole returns the role name by which routers are ranked as owners of a shard.
func OwnerRole(shard int) string {
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
