package ledger_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/gaplink/gaplink/ledger"
)

// TestSegmentIsWholeOrNone: a nil and an empty map were read as a segment
// without batches, and bytes behind a segment were not looked at. What is lost
// of a log is claimed and billed anew.
func TestSegmentIsWholeOrNone(t *testing.T) {
	segment := ledger.Segment{Number: 3, Sealed: true, Batches: []ledger.Batch{
		{ID: "b1", Ops: []ledger.Op{{Kind: ledger.Claim, Request: "k/a/1", Claim: "c1", Holder: "r/1", Worst: 40}}},
		{ID: "b2", Ops: []ledger.Op{{Kind: ledger.Bill, Request: "k/a/1", Claim: "c1", Tokens: 12, Answer: []byte("x")}}},
	}}
	whole := segment.Encode()
	for n := range len(whole) {
		if _, err := ledger.DecodeSegment(whole[:n]); err == nil {
			t.Fatalf("cut at %d of %d", n, len(whole))
		}
	}
	const null, emptyMap = "\xc0", "\x80"
	for _, other := range []string{null, emptyMap, string(whole) + "\xc0", string(whole) + string(whole)} {
		if got, err := ledger.DecodeSegment([]byte(other)); err == nil {
			t.Errorf("%q is a segment: %+v", other, got)
		}
	}
	first := ledger.Segment{Batches: []ledger.Batch{}}
	for _, s := range []ledger.Segment{segment, first, {}} {
		if got, err := ledger.DecodeSegment(s.Encode()); err != nil || len(got.Batches) != len(s.Batches) {
			t.Errorf("%+v: %+v, %v", s, got, err)
		}
	}
}

// TestLogWithAHoleIsNotRead: a shard read a list of segments that lacked one as
// the whole log, and let a request that runs at most once run again if its claim
// was in the missing one; the conditional update fences only the last segment.
// Nothing checked the numbers.
func TestLogWithAHoleIsNotRead(t *testing.T) {
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
				busy = e.Outcome.Verdict == ledger.Busy
			}
		}
		if appended || busy != c.ok {
			t.Errorf("%s: appended %t, known to run %t", name, appended, busy)
		}
	}
}
