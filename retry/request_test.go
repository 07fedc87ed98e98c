package retry_test

import (
	"testing"
	"time"

	"github.com/gaplink/gaplink/placement"
	"github.com/gaplink/gaplink/retry"
)

var (
	lateStart = time.Unix(1e9, 0)
	pathA     = retry.Path{Server: placement.Incarnation{ID: "a"}}
	pathB     = retry.Path{Server: placement.Incarnation{ID: "b"}}
)

// lateBudgets returns the budgets of one router, which may hold 8 retries, 4 of them for abandoned attempts.
func lateBudgets() *retry.Budgets {
	return retry.NewBudgets(lateStart.Add(-time.Hour), func() retry.Limits {
		return retry.Limits{Ratio: 1, Slack: 10, Window: fleetWindow, Routers: 1}
	})
}

// abandonOne begins a request, abandons its attempt at a and has b answer the retry. It reports whether it could.
func abandonOne(b *retry.Budgets, now time.Time) bool {
	r := b.Begin(now, "s")
	defer r.End()
	r.Sent()
	if !r.Abandon(now, 1) {
		return false
	}
	r.Unanswered(now, pathA, now)
	r.Sent()
	r.Answered(now, pathB, now)
	return true
}

// TestAbandonedAttemptsOccupyTheBudget guards against retries that are earned anew while the attempts before them may still
// arrive: at a server that is frozen, until it answers or its process is gone, but not for good.
func TestAbandonedAttemptsOccupyTheBudget(t *testing.T) {
	for name, settle := range map[string]func(b *retry.Budgets, now time.Time) time.Time{
		"the server answers": func(b *retry.Budgets, now time.Time) time.Time {
			b.Answered(now, pathA, now)
			return now.Add(300 * time.Millisecond)
		},
		"its process is gone": func(b *retry.Budgets, now time.Time) time.Time {
			b.Gone(pathA.Server)
			return now
		},
		"it never goes on": func(_ *retry.Budgets, now time.Time) time.Time { return now.Add(36 * time.Second) },
	} {
		t.Run(name, func(t *testing.T) {
			b, now := lateBudgets(), lateStart
			abandoned := 0
			for range 100 {
				if abandonOne(b, now) {
					abandoned++
				}
				now = now.Add(100 * time.Millisecond)
			}
			if s := b.Status(now, "s"); abandoned != 4 || s.Pending != 4 || s.Abandoned != 4 || s.Tokens > 4 {
				t.Fatalf("%d attempts abandoned, %+v", abandoned, s)
			}
			b.Answered(now, pathB, now)
			b.Answered(now, pathA, lateStart.Add(-time.Second)) // the answer to what was sent before
			b.Answered(now, retry.Path{Server: pathA.Server, Router: "r"}, now)
			if s := b.Status(now.Add(time.Second), "s"); s.Pending != 4 {
				t.Errorf("answers that tell nothing: %+v", s)
			}
			now = settle(b, now)
			if s := b.Status(now, "s"); s.Pending != 0 || s.Abandoned != 0 {
				t.Errorf("after the server is settled: %+v", s)
			}
			if !abandonOne(b, now) {
				t.Error("no attempt may be abandoned any more")
			}
		})
	}
}

// TestAnsweredAttemptsOccupyNothing guards against a budget that loses retries for good: for refused attempts, for those that
// were never sent, for a stream that is resumed after its first event, and for a retry that was paid for in vain.
func TestAnsweredAttemptsOccupyNothing(t *testing.T) {
	for name, play := range map[string]func(b *retry.Budgets, r *retry.Request){
		"refused twice": func(_ *retry.Budgets, r *retry.Request) {
			r.Sent()
			r.Answered(lateStart, pathA, lateStart)
			r.Pay(lateStart, 1)
			r.Sent()
			r.Answered(lateStart, pathB, lateStart)
		},
		"retry not sent": func(_ *retry.Budgets, r *retry.Request) {
			r.Sent()
			r.Answered(lateStart, pathA, lateStart)
			r.Pay(lateStart, 1)
			r.Sent()
			r.NotSent()
		},
		"stream given up after its first event": func(_ *retry.Budgets, r *retry.Request) {
			r.Sent()
			r.Answered(lateStart, pathA, lateStart)
			r.Abandon(lateStart, 1)
			r.Sent()
			r.Answered(lateStart, pathB, lateStart)
		},
		"answered while it was given up": func(_ *retry.Budgets, r *retry.Request) {
			r.Sent()
			r.Abandon(lateStart, 1)
			r.Answered(lateStart, pathA, lateStart)
		},
		"one attempt, unanswered": func(_ *retry.Budgets, r *retry.Request) {
			r.Sent()
			r.Unanswered(lateStart, pathA, lateStart)
		},
	} {
		t.Run(name, func(t *testing.T) {
			b := lateBudgets()
			r := b.Begin(lateStart, "s")
			play(b, r)
			r.End()
			if s := b.Status(lateStart, "s"); s.Pending != 0 || s.Abandoned != 0 {
				t.Errorf("%+v", s)
			}
		})
	}
}
