package updates

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestRelayedTimestampsNeverGetNewer relays updates through several routers, each of which keeps
// them for a while and answers requests late. No router may regard them as newer than they are, nor
// as older by more than the requests took.
func TestRelayedTimestampsNeverGetNewer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := func(what string, most time.Duration) time.Duration {
			return time.Duration(rapid.Int64Range(0, int64(most)).Draw(t, what))
		}
		known := time.Unix(1000, 0)
		now, passed := known, Timestamps{Config: known, Servers: known}
		requestTime := time.Duration(0)
		for range rapid.IntRange(1, 5).Draw(t, "routers") {
			asked := now.Add(draw("kept", 3*time.Second))
			answered := asked.Add(draw("question", time.Second))
			now = answered.Add(draw("answer", time.Second))
			passed = timestampsOf(passed.ages(answered), asked)
			requestTime += answered.Sub(asked)
		}
		if passed.Servers.After(known) || passed.Config.After(known) {
			t.Fatalf("an update %v old counts as %v old", now.Sub(known), now.Sub(passed.Servers))
		}
		if lost := known.Sub(passed.Servers); lost > requestTime {
			t.Fatalf("an update counts as %v older than it is, requests took %v", lost, requestTime)
		}
		if !passed.Evacuated.IsZero() {
			t.Fatalf("an unknown kind has the time %v", passed.Evacuated)
		}
	})
}

// TestWithinLimits checks that a kind that is not followed has no limit, and that an unknown kind
// always exceeds its limit.
func TestWithinLimits(t *testing.T) {
	now := time.Unix(1000, 0)
	limits := Timestamps{Config: now.Add(-3 * time.Second), Servers: now.Add(-2 * time.Second)}.ages(now)
	limits.Evacuated = 0
	for name, c := range map[string]struct {
		known Timestamps
		want  bool
	}{
		"new":              {Timestamps{Config: now, Servers: now}, true},
		"at the limits":    {Timestamps{Config: now.Add(-3 * time.Second), Servers: now.Add(-2 * time.Second)}, true},
		"one kind too old": {Timestamps{Config: now, Servers: now.Add(-2001 * time.Millisecond)}, false},
		"one kind unknown": {Timestamps{Servers: now}, false},
	} {
		if got := withinLimits(c.known.ages(now), limits); got != c.want {
			t.Errorf("%s: %v", name, got)
		}
	}
}
