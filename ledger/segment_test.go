package ledger_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/gaplink/gaplink/ledger"
)

// TestDecodeSegmentAcceptsExactlyOneSegment guards against reading a nil value or
// an empty map as a segment without batches, and against ignoring bytes after a
// segment. Requests in the lost part of a log would be claimed and billed again.
func TestDecodeSegmentAcceptsExactlyOneSegment(t *testing.T) {
	segment := ledger.Segment{Number: 3, Sealed: true, Batches: []ledger.Batch{
		{ID: "b1", Ops: []ledger.Op{{Kind: ledger.Claim, Request: "k/a/1", Claim: "c1", Holder: "r/1", MaxTokens: 40}}},
		{ID: "b2", Ops: []ledger.Op{{Kind: ledger.Bill, Request: "k/a/1", Claim: "c1", Tokens: 12, Answer: []byte("x")}}},
	}}
	whole := segment.Encode()
	for n := range len(whole) {
		if _, err := ledger.DecodeSegment(whole[:n]); err == nil {
			t.Fatalf("segment truncated to %d of %d bytes was decoded", n, len(whole))
		}
	}
	const null, emptyMap = "\xc0", "\x80"
	for _, other := range []string{null, emptyMap, string(whole) + "\xc0", string(whole) + string(whole)} {
		if got, err := ledger.DecodeSegment([]byte(other)); err == nil {
			t.Errorf("%q was decoded as a segment: %+v", other, got)
		}
	}
	first := ledger.Segment{Batches: []ledger.Batch{}}
	for _, s := range []ledger.Segment{segment, first, {}} {
		if got, err := ledger.DecodeSegment(s.Encode()); err != nil || len(got.Batches) != len(s.Batches) {
			t.Errorf("%+v: %+v, %v", s, got, err)
		}
	}
}

// TestIncompleteLogIsNotLoaded guards against loading a log with a missing
// segment. The segment numbers were not checked, and the conditional update fences
// only the last segment, so a not-repeatable request whose claim was in the missing
// segment could run again.
func TestIncompleteLogIsNotLoaded(t *testing.T) {
	now := time.Unix(1000, 0)
	ran := ledger.Op{Kind: ledger.Claim, Request: "k/a/1", Claim: "c1", Holder: "r/1", NotRepeatable: true, Attempt: 1}
	other := ledger.Op{Kind: ledger.Fence, Holder: "r/0"}
	segment := func(n int, sealed bool, op ledger.Op) *ledger.Segment {
		return &ledger.Segment{Number: n, Sealed: sealed, Batches: []ledger.Batch{{ID: fmt.Sprint(n), Ops: []ledger.Op{op}}}}
	}
	first, second, last := segment(0, true, other), segment(1, true, ran), segment(2, false, other)
	open := segment(0, false, other)
	for name, c := range map[string]struct {
		list []*ledger.Segment
		ok   bool
	}{
		"whole":              {[]*ledger.Segment{first, second, last}, true},
		"middle missing":     {[]*ledger.Segment{first, last}, false},
		"first missing":      {[]*ledger.Segment{second, last}, false},
		"first read too old": {[]*ledger.Segment{open, second, last}, false},
		"one twice":          {[]*ledger.Segment{first, first, last}, false},
	} {
		cfg := ledger.DefaultConfig()
		cfg.Owner = "w"
		s := ledger.NewShard(cfg)
		again := ledger.Op{Kind: ledger.Claim, Request: "k/a/1", Claim: "c2", Holder: "r/2", NotRepeatable: true, Durable: true}
		s.Submit(now, again, 1)
		var busy, appended bool
		for _, e := range s.Loaded(now, c.list, 9, ledger.Done) {
			switch e := e.(type) {
			case ledger.Append:
				appended = true
			case ledger.Reply:
				busy = e.Outcome.Decision == ledger.Busy
			}
		}
		if appended || busy != c.ok {
			t.Errorf("%s: appended %t, recognised as running %t", name, appended, busy)
		}
	}
}
