package retryafter_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/gaplink/gaplink/retryafter"
)

// refuseMany refuses requests 0 to n-1 of an account, to come back after a second.
func refuseMany(r *retryafter.Refusals, now time.Time, account string, n int) {
	for i := range n {
		r.Refused(now, account, uint64(i), time.Second, time.Minute)
	}
}

// Guards against callers that gain a better place by coming back early, and against callers that
// came back in time, or honoured the time as far as they do, and count as early.
func TestEarlyReturnIsToldTheRemainingTime(t *testing.T) {
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	for name, c := range map[string]struct {
		refusals int
		left     time.Duration
		request  uint64
		now      time.Time
		want     time.Duration
	}{
		"early":                    {8, time.Minute, 0, at(400), 600 * time.Millisecond},
		"in time":                  {8, time.Minute, 0, at(1000), 0},
		"a request that took long": {8, time.Minute, 0, at(960), 0},
		"few refusals":             {7, time.Minute, 0, at(400), 0},
		"another request":          {8, time.Minute, 99, at(400), 0},
		"a third of the time left": {8, 1200 * time.Millisecond, 0, at(400), 0},
		"earlier than that":        {8, 1200 * time.Millisecond, 0, at(300), 100 * time.Millisecond},
		"after it is forgotten":    {8, time.Minute, 0, at(30_000), 0},
	} {
		r := retryafter.NewRefusals()
		for i := range c.refusals {
			r.Refused(start, "a", uint64(i), time.Second, c.left)
		}
		if got := r.Arrived(c.now, "a", c.request); got.Remaining != c.want {
			t.Errorf("%s: %v remaining instead of %v", name, got.Remaining, c.want)
		}
		if got := r.Arrived(c.now, "b", c.request); got != (retryafter.Return{}) {
			t.Errorf("%s: another account %+v", name, got)
		}
	}
}

// Guards against obedient accounts that are limited, and disobedient ones that are not, or stay so for
// ever.
func TestAccountsThatReturnEarlyAreLimited(t *testing.T) {
	for share, limited := range map[int]bool{0: false, 40: false, 60: true, 100: true} {
		r := retryafter.NewRefusals()
		refuseMany(r, start, "a", 100)
		var got retryafter.Return
		for i := range 100 {
			request := uint64(i)
			if i%100 >= share {
				request += 1000 // not refused before
			}
			got = r.Arrived(start.Add(100*time.Millisecond), "a", request)
		}
		if got.Limited != limited {
			t.Errorf("%d%% early returns: limited %v", share, got.Limited)
		}
		if got = r.Arrived(start.Add(31*time.Second), "a", 5000); got.Limited {
			t.Errorf("%d%% early returns: limited after half a minute", share)
		}
	}
	r := retryafter.NewRefusals()
	refuseMany(r, start, "a", 10)
	for i := range 15 {
		if got := r.Arrived(start.Add(time.Millisecond), "a", uint64(i%10)); got.Limited {
			t.Fatal("limited after a few requests")
		}
	}
}

// Guards against unbounded memory, and against the newest refusals being forgotten.
func TestRefusalsAreBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := retryafter.NewRefusals()
		now := start
		for i := range rapid.IntRange(1, 3000).Draw(t, "refusals") {
			now = now.Add(time.Duration(rapid.IntRange(0, 100).Draw(t, "ms")) * time.Millisecond)
			account := fmt.Sprint(rapid.IntRange(0, 2000).Draw(t, "account"))
			r.Refused(now, account, uint64(i), time.Second, 0)
			if !r.Knows(account) || r.Len() > 1024 || r.Accounts() > r.Len() {
				t.Fatalf("%d refusals of %d accounts, the last one known: %v", r.Len(), r.Accounts(), r.Knows(account))
			}
		}
		r.Arrived(now.Add(30*time.Second), "0", 0)
		if r.Len() != 0 || r.Accounts() != 0 {
			t.Fatalf("%d refusals of %d accounts after half a minute", r.Len(), r.Accounts())
		}
	})
}
