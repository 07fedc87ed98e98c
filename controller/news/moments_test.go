package news

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestMomentsNeverGetNewerOnTheWay: news pass through some routers, each of which keeps them
// for a while, is asked, and answers late. No router takes them for newer than they are, nor
// for older by more than the questions took.
func TestMomentsNeverGetNewerOnTheWay(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := func(what string, most time.Duration) time.Duration {
			return time.Duration(rapid.Int64Range(0, int64(most)).Draw(t, what))
		}
		told := time.Unix(1000, 0)
		now, moments := told, Moments{Config: told, Servers: told}
		questions := time.Duration(0)
		for range rapid.IntRange(1, 5).Draw(t, "routers") {
			asked := now.Add(draw("kept", 3*time.Second))
			answered := asked.Add(draw("question", time.Second))
			now = answered.Add(draw("answer", time.Second))
			moments = momentsOf(moments.ages(answered), asked)
			questions += answered.Sub(asked)
		}
		if moments.Servers.After(told) || moments.Config.After(told) {
			t.Fatalf("%v old news pass for %v old", now.Sub(told), now.Sub(moments.Servers))
		}
		if lost := told.Sub(moments.Servers); lost > questions {
			t.Fatalf("news pass for %v older than they are, questions took %v", lost, questions)
		}
		if !moments.Emptied.IsZero() {
			t.Fatalf("what nobody has heard of was told at %v", moments.Emptied)
		}
	})
}

// TestWithin: a kind that is not followed has no limit, and one that was never heard of is
// never new enough.
func TestWithin(t *testing.T) {
	now := time.Unix(1000, 0)
	limits := Moments{Config: now.Add(-3 * time.Second), Servers: now.Add(-2 * time.Second)}.ages(now)
	limits.Emptied = 0
	for name, c := range map[string]struct {
		known Moments
		want  bool
	}{
		"new":                  {Moments{Config: now, Servers: now}, true},
		"at the limits":        {Moments{Config: now.Add(-3 * time.Second), Servers: now.Add(-2 * time.Second)}, true},
		"one kind too old":     {Moments{Config: now, Servers: now.Add(-2001 * time.Millisecond)}, false},
		"one kind never heard": {Moments{Servers: now}, false},
	} {
		if got := within(c.known.ages(now), limits); got != c.want {
			t.Errorf("%s: %v", name, got)
		}
	}
}
