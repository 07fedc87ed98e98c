package soak

import (
	"fmt"
	"testing"
	"time"
)

// streamAnswer is what a caller got of a stream: the events after from, up to the given one.
func streamAnswer(id, version string, from, last int, claim Claim) Answer {
	body := ""
	for _, event := range markedPieces(id, version, from, last) {
		body += event
	}
	return Answer{At: time.Now(), Status: 200, Claim: claim, Signed: true, ID: id, Body: body}
}

// Guards against an oracle that misses a stream that goes on at another version, over its caller's tries.
func TestMixedVersionsAreDetected(t *testing.T) {
	for _, mixed := range []int{0, 1, 3} {
		o := NewOracle(time.Now(), DefaultBounds())
		for i := range 20 {
			first, second, version := fmt.Sprint("a", i), fmt.Sprint("b", i), "v1"
			if i < mixed {
				version = "v2"
			}
			o.Sent(Request{ID: first, Events: 6})
			o.Answered(first, streamAnswer(first, "v1", 0, 3, Cut))
			o.Sent(Request{ID: second, Events: 6, From: 3, FirstTry: first})
			o.Answered(second, streamAnswer(second, version, 3, 5, Cut))
		}
		if got := len(o.Violations()); got != mixed || o.Streams().Mixed != mixed {
			t.Errorf("%d mixed streams: %d violations, %+v", mixed, got, o.Streams())
		}
	}
}

// Guards against an oracle that misses streams that do not go on.
func TestStreamsThatDoNotGoOnAreDetected(t *testing.T) {
	for _, goOn := range []int{9, 12} {
		o := NewOracle(time.Now().Add(-time.Minute), DefaultBounds())
		o.Serves(0, "v1")
		o.Serves(1, "v2")
		for i := range 20 {
			first, second := fmt.Sprint("a", i), fmt.Sprint("b", i)
			o.Sent(Request{ID: first, Events: 6})
			o.Answered(first, streamAnswer(first, "v1", 0, 3, Cut))
			o.Sent(Request{ID: second, Events: 6, From: 3, FirstTry: first})
			answer := Answer{At: time.Now(), Status: 503}
			if i < goOn {
				answer = streamAnswer(second, "v1", 3, 6, Cut)
			}
			o.Answered(second, answer)
		}
		o.CheckStreamsGoOn(time.Now())
		if got := len(o.Violations()); (got > 0) != (goOn < 10) {
			t.Errorf("%d of 20 go on: %d violations", goOn, got)
		}
	}
}
