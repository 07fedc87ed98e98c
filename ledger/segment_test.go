package ledger_test

import (
	"testing"

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
