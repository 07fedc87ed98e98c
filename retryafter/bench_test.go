package retryafter_test

import (
	"testing"
	"time"

	"github.com/gaplink/gaplink/retryafter"
)

// A refusal costs a router under a microsecond and no allocation beyond that of its answer.
func BenchmarkPlan(b *testing.B) {
	p := retryafter.NewPlanner(newRand())
	now := start
	for range 200 {
		now = now.Add(10 * time.Millisecond)
		p.Ended(now, "svc")
	}
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(time.Millisecond)
		p.Plan(now, retryafter.Refusal{Cause: retryafter.Busy, Key: "svc", Rank: 1, Left: 5 * time.Second})
	}
}
