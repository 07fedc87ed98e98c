package retry_test

import (
	"testing"
	"time"

	"github.com/gaplink/gaplink/retry"
)

// TestCapacityFollowsTheLimits guards against a part of the fleet's slack that stays as it was at the first use: before the
// fleet was known, before it grew, before the operator lowered the slack; or that grows because others do not answer.
func TestCapacityFollowsTheLimits(t *testing.T) {
	now := time.Unix(1e9, 0)
	l := retry.Limits{Ratio: 1, Slack: 100, Window: 10 * time.Second}
	b := retry.NewBudgets(now, func() retry.Limits { return l })
	expect := func(what string, tokens float64) {
		t.Helper()
		if got := b.Status(now, "s").Tokens; got != tokens {
			t.Errorf("%s: %g tokens, want %g", what, got, tokens)
		}
	}
	earn := func() {
		for range 1000 {
			b.Begin(now, "s")
		}
	}
	earn()
	expect("before the fleet is known", 0)
	l.Routers = 10
	expect("nothing was earned", 0)
	earn()
	expect("in the first window, beside a process that drains", 5)
	now = now.Add(l.Window)
	expect("a window after the start", 8)
	l.Routers = 20
	expect("the fleet has grown", 4)
	l.Routers = 5
	earn()
	expect("others do not answer", 4)
	l.Routers, l.Slack = 20, 50
	expect("the slack was lowered", 2)
	now = now.Add(l.Window + time.Second)
	l.Routers = 10
	expect("the fleet has shrunk, nothing was earned", 2)
	earn()
	expect("earned since", 4)
	b.Drain()
	expect("drains", 2)
	l.Slack = 9
	expect("fewer retries than routers", 0)
}

// TestBucketIsFilledOnce guards against a process that gets its part of the slack again and again, or in addition to
// what it has spent since its start.
func TestBucketIsFilledOnce(t *testing.T) {
	now := time.Unix(1e9, 0)
	l := retry.Limits{Ratio: 1, Slack: 100, Window: 10 * time.Second, Routers: 10}
	b := retry.NewBudgets(now, func() retry.Limits { return l })
	r, paid := b.Begin(now, "s"), 0
	spend := func() (n int) {
		for r.Pay(now, paid+1) {
			paid++
			n++
		}
		r.End() // all of them have arrived
		return n
	}
	for range 9 {
		b.Begin(now, "s")
	}
	if n := spend(); n != 5 {
		t.Errorf("%d retries in the first window", n)
	}
	now = now.Add(l.Window)
	if n := spend(); n != 3 {
		t.Errorf("%d more a window after the start, want the 3 that are left of 8", n)
	}
	now = now.Add(l.Window)
	if n := spend(); n != 0 {
		t.Errorf("%d more a window later", n)
	}
}
