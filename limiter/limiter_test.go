package limiter_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/gaplink/gaplink/limiter"
	"github.com/gaplink/gaplink/placement"
)

// Guards against rates that no window can enforce: 0, tiny, very large and fractional ones.
func TestWindowsEnforceAnyRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := limiter.Rate(rapid.OneOf(rapid.Float64Range(0, 60), rapid.SampledFrom([]float64{0, 1e-300, 0.099, 1, 999.9, 1e12, 1e300})).Draw(t, "rate"))
		l, now := limiter.NewLedger(), time.Unix(1000, 0)
		var times []time.Time
		for range 400 {
			ok, wait := l.Grant(now, server, rate, 0)
			if ok {
				times = append(times, now)
			} else if wait <= 0 || wait > 11*time.Second {
				t.Fatalf("denied for %s", wait)
			}
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
		}
		if n := maxInWindow(times, countWindow); float64(n) > max(float64(rate), 0.1)*countWindow.Seconds()+1 || rate >= 1 && n > allowed(rate) {
			t.Fatalf("%d permits in %s at %g a second", n, countWindow, float64(rate))
		}
		if n := maxInWindow(times, time.Second); float64(n) > max(float64(rate), 0.1)+1 {
			t.Fatalf("%d permits in a second at %g a second", n, float64(rate))
		}
	})
}

// Guards against permits that are no longer counted when a rate changes.
func TestLedgerHoldsWhileTheRateChanges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l, now := limiter.NewLedger(), time.Unix(1000, 0)
		highest := limiter.Rate(0)
		var times []time.Time
		for range 300 {
			rate := limiter.Rate(rapid.Float64Range(0.3, 30).Draw(t, "rate"))
			highest = max(highest, rate)
			if ok, _ := l.Grant(now, server, rate, 0); ok {
				times = append(times, now)
				for _, w := range rate.Windows() {
					if n := within(times, now, w.Length); n > w.Requests {
						t.Fatalf("permit %d in %s at %g a second", n, w.Length, float64(rate))
					}
				}
			}
			l.Expire(now)
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond)
		}
		if n := maxInWindow(times, countWindow); highest >= 1 && n > allowed(highest) {
			t.Fatalf("%d permits in %s at %g a second at the most", n, countWindow, float64(highest))
		}
	})
}

// Guards against requests of several ranks that together exceed the rate.
func TestRanksTogetherKeepTheRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := limiter.Rate(rapid.Float64Range(0.1, 12).Draw(t, "rate"))
		l, now := limiter.NewLedger(), time.Unix(1000, 0)
		var times []time.Time
		for range 300 {
			rank := limiter.Rank(rapid.IntRange(0, 2).Draw(t, "rank"))
			l.Ask(now, server, rank)
			if ok, _ := l.Grant(now, server, rate, rank); ok {
				times = append(times, now)
				for _, w := range rate.Windows() {
					if n := within(times, now, w.Length); n > w.Requests {
						t.Fatalf("permit %d in %s at %g a second", n, w.Length, float64(rate))
					}
				}
			}
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond)
		}
	})
}

// within returns the number of times in a window that ends now.
func within(times []time.Time, now time.Time, window time.Duration) (n int) {
	for _, at := range times {
		if now.Sub(at) < window {
			n++
		}
	}
	return n
}

// Guards against shares that add up to more than the rate, or that leave most of it unused.
func TestSharesAddUpToTheRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := limiter.Rate(rapid.Float64Range(0.1, 900).Draw(t, "rate"))
		s := rate.Split(rapid.IntRange(1, 400).Draw(t, "routers"))
		if s.Owners < 1 || s.Owners > limiter.MaxOwners {
			t.Fatalf("%d owners", s.Owners)
		}
		if sum := limiter.Rate(s.Owners) * s.Share; sum > rate*1.000001 || sum < 0.8*rate {
			t.Fatalf("%d owners with %g each, of %g", s.Owners, float64(s.Share), float64(rate))
		}
	})
}

// answered returns an observation of an answer, with the times in milliseconds.
func answered(sent, received int, rate limiter.Rate) limiter.Observation {
	at := func(ms int) time.Time { return time.Unix(1000, 0).Add(time.Duration(ms) * time.Millisecond) }
	return limiter.Observation{Server: server, Named: rate > 0, Rate: rate, Sent: at(sent), Received: at(received)}
}

// Guards against an old answer, observed here or reported by another router, that ends a limit
// or restores one that has ended.
func TestAnswersThatOvertakeEachOther(t *testing.T) {
	for _, c := range []struct {
		name    string
		answers []limiter.Observation
		want    limiter.Rate // 0: no limit
	}{
		{"begins", []limiter.Observation{answered(0, 10, 2)}, 2},
		{"never named", []limiter.Observation{answered(0, 10, 0)}, 0},
		{"changes", []limiter.Observation{answered(0, 10, 2), answered(20, 30, 3)}, 3},
		{"an older value comes late", []limiter.Observation{answered(20, 30, 3), answered(0, 10, 2)}, 3},
		{"ends", []limiter.Observation{answered(0, 10, 2), answered(10, 30, 0)}, 0},
		{"made before it was named", []limiter.Observation{answered(20, 30, 2), answered(0, 10, 0)}, 2},
		{"perhaps made before it was named", []limiter.Observation{answered(0, 30, 2), answered(20, 40, 0)}, 2},
		{"reported again after it ended", []limiter.Observation{answered(0, 10, 2), answered(20, 30, 0), answered(0, 10, 2)}, 0},
		{"begins again", []limiter.Observation{answered(0, 10, 2), answered(20, 30, 0), answered(40, 50, 1)}, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			table := limiter.NewTable()
			for _, o := range c.answers {
				table.Observe(o)
			}
			if got, limited := table.Limit(server); limited != (c.want > 0) || limited && got != c.want {
				t.Errorf("limit %g, limited %v; want %g", float64(got), limited, float64(c.want))
			}
		})
	}
}

// Guards against a limit that is applied to the next process of a server.
func TestNewProcessHasNoLimit(t *testing.T) {
	table := limiter.NewTable()
	table.Observe(answered(0, 10, 2))
	if _, limited := table.Limit(placement.Incarnation{ID: server.ID, Started: 9}); limited {
		t.Error("the new process has the limit of the previous one")
	}
}

// Guards against observations that are lost or reordered on the way to another router.
func TestReportsKeepTheNewest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0).Add(time.Minute)
		direct, received := limiter.NewTable(), limiter.NewTable()
		var report limiter.Report
		end := 0
		for range rapid.IntRange(1, 12).Draw(t, "answers") {
			sent := end + rapid.IntRange(1, 50).Draw(t, "gap")
			end = sent + rapid.IntRange(1, 50).Draw(t, "took")
			o := answered(sent, end, limiter.Rate(rapid.IntRange(0, 3).Draw(t, "rate")))
			direct.Observe(o)
			if one := limiter.NewReport(now, o); rapid.Bool().Draw(t, "swapped") {
				report = one.Merged(report)
			} else {
				report = report.Merged(one)
			}
		}
		for _, r := range report.Aged(time.Second).Observations {
			received.Observe(r.At(now.Add(time.Second)))
		}
		want, limited := direct.Limit(server)
		if got, ok := received.Limit(server); ok != limited || ok && got != want {
			t.Fatalf("told %g (%v), want %g (%v)", float64(got), ok, float64(want), limited)
		}
	})
}
