package estimate_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/gaplink/gaplink/estimate"
)

var noon = time.Unix(1000, 0)

const usual = 35 * time.Millisecond

var reference = estimate.Reference{Own: usual.Seconds(), Shared: usual.Seconds()}

// update updates a speed from own intervals alone.
func update(s *estimate.Speed, now time.Time, own *estimate.Intervals) (changed bool) {
	return s.Update(now, own.Sample(now), estimate.Sample{}, reference)
}

// Guards against a server that stays normal for a whole stream after it has become slow, and against
// one that stays slow after it has recovered.
func TestChangeOfSpeedIsFollowedWithinAFewEvents(t *testing.T) {
	var own estimate.Intervals
	var speed estimate.Speed
	now := noon
	events := func(interval time.Duration, until bool) int {
		for n := 1; n <= 50; n++ {
			now = now.Add(interval)
			own.Add(now, interval, 0)
			update(&speed, now, &own)
			if speed.Slow() == until {
				return n
			}
		}
		return 51
	}
	for range 20 {
		now = now.Add(usual)
		own.Add(now, usual, 0)
	}
	if n := events(5*usual/2, true); n > 7 {
		t.Errorf("slow after %d events", n)
	}
	if n := events(usual, false); n > 15 { // at least 500 ms
		t.Errorf("normal after %d events", n)
	}
}

// Guards against reports of other routers that need several rounds to take effect.
func TestOneReportTurnsAnUnusedServerSlow(t *testing.T) {
	var speed estimate.Speed
	report := estimate.Reported(5*usual/2, 30, 0, 500*time.Millisecond)
	if !speed.Update(noon, estimate.Sample{}, report, reference) || !speed.Slow() {
		t.Error("not slow after one report")
	}
}

// Guards against flapping: the classes of servers of equal speed must not change by late events.
func TestNoiseChangesNoClass(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	var own estimate.Intervals
	var speed estimate.Speed
	changes, now := 0, noon
	for range 5000 {
		interval := usual + time.Duration(rng.IntN(10))*time.Millisecond
		if rng.IntN(5) == 0 {
			interval += 200 * time.Millisecond
		}
		now = now.Add(interval)
		own.Add(now, interval, 0)
		if update(&speed, now, &own) {
			changes++
		}
	}
	if changes > 2 {
		t.Errorf("%d changes of class by noise in 5,000 events", changes)
	}
}

// Guards against a server that is avoided because its batch is full, and not because it is slow.
func TestFullBatchIsNotSlow(t *testing.T) {
	var own estimate.Intervals
	for range 9 {
		own.Add(noon, time.Duration(float64(usual)*estimate.BatchFactor(30)), 30)
	}
	var speed estimate.Speed
	update(&speed, noon, &own)
	if f := speed.Factor(); math.Abs(f-1) > 0.01 {
		t.Errorf("factor %.2f with a full batch", f)
	}
}

// Guards against guesses about servers that no one has observed, or not for long.
func TestUnobservedServerIsTheMedian(t *testing.T) {
	var never estimate.Speed
	if never.Slow() || never.Factor() != 1 {
		t.Errorf("unobserved server: slow %v, factor %v", never.Slow(), never.Factor())
	}
	var own estimate.Intervals
	for range 9 {
		own.Add(noon, 3*usual, 0)
	}
	var speed estimate.Speed
	update(&speed, noon.Add(20*time.Second), &own)
	if f := speed.Factor(); f != 1 {
		t.Errorf("factor %.2f twenty seconds after the last event", f)
	}
}

// Guards against a server that is always slow and is tried anew whenever it was not used for a while.
func TestServerThatIsAlwaysSlowStaysSlowUnused(t *testing.T) {
	var speed estimate.Speed
	now := noon
	for range 400 {
		now = now.Add(50 * time.Millisecond)
		speed.Update(now, estimate.Sample{Seconds: 2.4 * usual.Seconds(), Weight: 9}, estimate.Sample{}, reference)
	}
	for range 400 {
		now = now.Add(50 * time.Millisecond)
		speed.Update(now, estimate.Sample{}, estimate.Sample{}, reference)
	}
	if !speed.Slow() || speed.Factor() < 2 {
		t.Errorf("slow %v, factor %.2f after 20 s without use", speed.Slow(), speed.Factor())
	}
}

// Guards against changes of class in quick succession and outside the thresholds, whatever is observed.
func TestClassChangesKeepTheirDistance(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var speed estimate.Speed
		now, last := noon, time.Time{}
		for range rapid.IntRange(1, 60).Draw(t, "updates") {
			now = now.Add(time.Duration(rapid.IntRange(1, 700).Draw(t, "ms")) * time.Millisecond)
			factor := rapid.Float64Range(0.4, 4).Draw(t, "factor")
			sample := estimate.Sample{Seconds: factor * usual.Seconds(), Weight: 9}
			if !speed.Update(now, sample, estimate.Sample{}, reference) {
				continue
			}
			if !last.IsZero() && now.Sub(last) < 500*time.Millisecond {
				t.Fatalf("two changes within %v", now.Sub(last))
			}
			if speed.Slow() && factor < 1.4-1e-9 || !speed.Slow() && factor >= 1.15 {
				t.Fatalf("slow %v at factor %.2f", speed.Slow(), factor)
			}
			last = now
		}
	})
}

// Guards against waits for other prompts that are taken for reading time.
func TestReadingTimeIsThatOfAnIdleServer(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	var reading estimate.Reading
	for range 2000 {
		tokens := int64(800 + rng.IntN(3000))
		wait := usual + time.Duration(tokens)*time.Second/51000
		if rng.IntN(2) == 0 {
			wait += time.Duration(rng.IntN(200)) * time.Millisecond
		}
		reading.Add(wait, tokens, usual.Seconds(), 1)
	}
	if rate := 1 / reading.PerToken() / 1000; rate < 40 || rate > 60 {
		t.Errorf("%.1f tokens per ms, the model reads 51", rate)
	}
}
