package link_test

import (
	"testing"
	"time"

	"github.com/gaplink/gaplink/link"
)

// The fastest call gives the base round-trip time; time beyond it counts as queueing delay, and the
// sample expires after a second.
func TestQueueingDelayIsTheExcessOverTheFastestCall(t *testing.T) {
	now := time.Unix(1000, 0)
	var q link.QueueEstimator
	if w := q.Delay(now); w != 0 {
		t.Fatalf("%v without any call", w)
	}
	q.Observe(now, 4*time.Millisecond)
	q.Observe(now, 12*time.Millisecond)
	if w := q.Delay(now); w != 0 {
		t.Errorf("%v with calls of usual duration", w)
	}
	q.Observe(now.Add(200*time.Millisecond), 319*time.Millisecond)
	if w := q.Delay(now.Add(time.Second)); w != 300*time.Millisecond {
		t.Errorf("a wait of %v, want 300 ms", w)
	}
	if w := q.Delay(now.Add(1300 * time.Millisecond)); w != 0 {
		t.Errorf("%v a second later", w)
	}
}
