package retryafter_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/gaplink/gaplink/retryafter"
)

var start = time.Unix(1000, 0)

func newRand() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) }

// Guards against a router that keeps callers away though other routers have room.
func TestReturnsAtOnceWhereOthersHaveRoom(t *testing.T) {
	rng := newRand()
	for _, cause := range []retryafter.Cause{retryafter.Isolated, retryafter.Stopping} {
		for range 1000 {
			in := retryafter.Input{Cause: cause, Wait: 5 * time.Second, Rank: 3, Ahead: 500, Rate: 10}
			if got := retryafter.After(rng, in); got <= 0 || got > 50*time.Millisecond {
				t.Fatalf("%v: %v", cause, got)
			}
		}
	}
}

// Guards against returns before there is room, a header of 0, which means that waiting does not help,
// and returns later than the caller honours though there is room earlier.
func TestReturnsAfterThePredictedTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		in := retryafter.Input{
			Cause: rapid.SampledFrom([]retryafter.Cause{retryafter.Tokens, retryafter.Busy, retryafter.RateLimited, retryafter.RetriesSpent, retryafter.Starting}).Draw(t, "cause"),
			Wait:  time.Duration(rapid.IntRange(0, 10_000).Draw(t, "wait")) * time.Millisecond,
			Rate:  rapid.Float64Range(0, 1000).Draw(t, "rate"),
			Ahead: rapid.IntRange(0, 5000).Draw(t, "ahead"),
			Same:  rapid.IntRange(0, 5000).Draw(t, "same"),
			Rank:  rapid.IntRange(-1, 9).Draw(t, "rank"),
			Left:  time.Duration(rapid.IntRange(0, 15_000).Draw(t, "left")) * time.Millisecond,
		}
		got := retryafter.After(newRand(), in)
		if got < in.Wait || got < time.Millisecond || got > in.Wait+4*time.Second {
			t.Fatalf("%v, room in %v", got, in.Wait)
		}
		if third := in.Left / 3; in.Wait < third && got > max(third, time.Millisecond) {
			t.Fatalf("%v, room in %v, honoured up to %v", got, in.Wait, third)
		}
	})
}

// Guards against less urgent callers that take the room before more urgent ones return.
func TestMoreUrgentRanksReturnFirst(t *testing.T) {
	for _, rate := range []float64{0, 100} {
		var latest time.Duration
		for rank, ahead := range []int{0, 50, 100} {
			in := retryafter.Input{Cause: retryafter.Busy, Wait: time.Second, Rate: rate, Ahead: ahead, Same: 49, Rank: rank}
			earliest, last := time.Hour, time.Duration(0)
			rng := newRand()
			for range 500 {
				got := retryafter.After(rng, in)
				earliest, last = min(earliest, got), max(last, got)
			}
			if earliest < latest {
				t.Errorf("rate %v: rank %d from %v, the one before up to %v", rate, rank, earliest, latest)
			}
			if last-earliest < 100*time.Millisecond {
				t.Errorf("rate %v: rank %d returns within %v", rate, rank, last-earliest)
			}
			latest = last
		}
	}
}

// Guards against predictions that ignore the outages met, or end before an outage that has already
// lasted longer than all of them.
func TestRemainingTimeOfAnOutage(t *testing.T) {
	cases := []struct {
		met           []time.Duration
		elapsed, want time.Duration
	}{
		{nil, 0, 5 * time.Second},
		{nil, 4 * time.Second, time.Second},
		{nil, -time.Second, 5 * time.Second},
		{nil, 8 * time.Second, 5 * time.Second},
		{[]time.Duration{6 * time.Second}, 2 * time.Second, 4 * time.Second},
		{[]time.Duration{6 * time.Second, 8 * time.Second}, 2 * time.Second, 5 * time.Second},
		{[]time.Duration{2 * time.Second, 8 * time.Second}, 3 * time.Second, 5 * time.Second},
		{[]time.Duration{2 * time.Second}, 3 * time.Second, 3 * time.Second},
		{[]time.Duration{-time.Second, 0}, 0, 5 * time.Second},
	}
	for _, c := range cases {
		o := retryafter.NewOutages(5 * time.Second)
		for _, length := range c.met {
			o.Met(length)
		}
		if got := o.Remaining(c.elapsed); got != c.want {
			t.Errorf("met %v, lasted %v: %v instead of %v", c.met, c.elapsed, got, c.want)
		}
	}
}

// Guards against outages of long ago that determine predictions for ever, and unbounded state.
func TestOldestOutageIsForgotten(t *testing.T) {
	o := retryafter.NewOutages(time.Second)
	o.Met(time.Hour)
	for range 16 {
		o.Met(2 * time.Second)
	}
	if got := o.Remaining(0); got != 2*time.Second {
		t.Errorf("%v remaining", got)
	}
	if got := o.Longest(); got != 2*time.Second {
		t.Errorf("longest %v", got)
	}
}

// Guards against an outage of the store that counts as lasting while nobody observes it.
func TestStoreOutageIsLearned(t *testing.T) {
	p := retryafter.NewPlanner(newRand())
	if got := p.StoreRemaining(start); got != 0 {
		t.Fatalf("%v though the store answers", got)
	}
	for ms := 0; ms <= 7000; ms += 500 {
		p.ObserveStore(start.Add(time.Duration(ms)*time.Millisecond), true)
	}
	later := start.Add(time.Minute)
	p.ObserveStore(later, false)
	if got := p.StoreRemaining(later); got != 0 {
		t.Errorf("%v though the store answers", got)
	}
	if got := p.LongestOutage(); got != 7500*time.Millisecond {
		t.Errorf("learned %v", got)
	}
	p.ObserveStore(later, true)
	if got := p.StoreRemaining(later.Add(3 * time.Second)); got != 4500*time.Millisecond {
		t.Errorf("%v remaining", got)
	}
}

// Guards against callers refused in one moment that come back in one: the room admits them one
// after another at the rate of ends.
func TestReturnsAreSpreadByTheRateOfEnds(t *testing.T) {
	p := retryafter.NewPlanner(newRand())
	now := start
	for range 200 { // 100 ends per second for two seconds
		now = now.Add(10 * time.Millisecond)
		p.Ended(now, "svc")
	}
	var counts [4]int // returns by quarters of a second
	for range 50 {
		after, in := p.Plan(now, retryafter.Refusal{Cause: retryafter.Busy, Key: "svc", Wait: time.Second, Left: time.Minute})
		if in.Rate < 45 || in.Rate > 55 {
			t.Fatalf("room for %v/s", in.Rate)
		}
		counts[min(int((after-time.Second)/(250*time.Millisecond)), 3)]++
	}
	for quarter, n := range counts[:3] {
		if n < 5 || n > 35 {
			t.Errorf("%d return in quarter %d of a second: %v", n, quarter, counts)
		}
	}
}

// Guards against a busy period that is predicted from nothing though earlier ones were met.
func TestBusyPeriodsAreLearned(t *testing.T) {
	p := retryafter.NewPlanner(newRand())
	refusal := retryafter.Refusal{Cause: retryafter.Busy, Key: "svc"}
	now := start
	if _, in := p.Plan(now, refusal); in.Wait != 250*time.Millisecond {
		t.Fatalf("first prediction %v", in.Wait)
	}
	for range 30 {
		now = now.Add(100 * time.Millisecond)
		p.Plan(now, refusal)
	}
	now = now.Add(time.Minute)
	if _, in := p.Plan(now, refusal); in.Wait != 3*time.Second {
		t.Errorf("prediction %v after a period of 3 s", in.Wait)
	}
}

// Guards against unbounded state: an account or a service that is refused costs memory.
func TestStateOfThePlannerIsBounded(t *testing.T) {
	p := retryafter.NewPlanner(newRand())
	for i := range 10_000 {
		now := start.Add(time.Duration(i) * time.Millisecond)
		p.Plan(now, retryafter.Refusal{Cause: retryafter.Busy, Key: fmt.Sprint(i)})
		p.Ended(now, fmt.Sprint(i))
	}
	if episodes, ends := p.Sizes(); episodes > 64 || ends > 64 {
		t.Errorf("%d episodes, %d rates", episodes, ends)
	}
}

// Guards against long times stated where nearly all requests find room, because a few have been refused
// for a long time.
func TestFewRefusalsAreNoLastingLackOfRoom(t *testing.T) {
	for every, most := range map[int]time.Duration{50: 250 * time.Millisecond, 2: time.Hour} {
		p := retryafter.NewPlanner(newRand())
		var longest time.Duration
		for i := range 1000 { // 100 requests per second for 10 s
			now := start.Add(time.Duration(i) * 10 * time.Millisecond)
			if i%every != 0 {
				p.Ended(now, "svc")
				continue
			}
			_, in := p.Plan(now, retryafter.Refusal{Cause: retryafter.Busy, Key: "svc"})
			if i > 200 {
				longest = max(longest, in.Wait)
			}
		}
		if longest > most || every == 2 && longest < 2*time.Second {
			t.Errorf("one of %d refused: told to wait up to %v", every, longest)
		}
	}
}
