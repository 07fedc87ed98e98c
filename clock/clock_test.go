package clock_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/gaplink/gaplink/clock"
	"github.com/gaplink/gaplink/lab/clocktest"
)

// TestAgesCountSuspensions, which the steady clock does not.
func TestAgesCountSuspensions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		machine := clocktest.New(t)
		heard := clock.Now()
		until := heard.Add(10 * time.Second)
		time.Sleep(time.Second)
		machine.Suspend(30 * time.Second)
		if age := clock.Since(heard); age != 31*time.Second {
			t.Errorf("the age is %s", age)
		}
		if left := clock.Until(until); left != -21*time.Second {
			t.Errorf("%s are left", left)
		}
		if steady := time.Since(heard); steady != time.Second {
			t.Errorf("the steady clock says %s", steady)
		}
	})
}

// Guards against a suspension that is missed or told twice.
func TestEachSuspensionIsToldOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		machine := clocktest.New(t)
		suspensions := clock.NewSuspensions()
		for _, d := range []time.Duration{2 * time.Second, 5 * time.Second} {
			time.Sleep(time.Second)
			if slept := suspensions.Since(); slept != 0 {
				t.Errorf("told of %v without a suspension", slept)
			}
			machine.Suspend(d)
			if slept := suspensions.Since(); slept != d {
				t.Errorf("told of %v, it was %v", slept, d)
			}
		}
	})
}

// A process is paused by a stop of its own or of its machine; one that is late for want of
// processor time is not.
func TestPausesAreTold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const due = 250 * time.Millisecond
		machine := clocktest.New(t)
		pauses := clock.NewPauses()
		for name, step := range map[string]struct {
			pause func()
			told  bool
		}{
			"in time":   {func() { time.Sleep(due) }, false},
			"late":      {func() { time.Sleep(900 * time.Millisecond) }, false},
			"stopped":   {func() { time.Sleep(2 * time.Second) }, true},
			"suspended": {func() { time.Sleep(due); machine.Suspend(time.Second) }, true},
		} {
			step.pause()
			if got := pauses.Since(due); got > 0 != step.told {
				t.Errorf("%s: told of %v", name, got)
			}
		}
	})
}

// TestKernelClocks: the machine of the test was not suspended since its process started,
// and time never runs back.
func TestKernelClocks(t *testing.T) {
	if !clock.Known() {
		t.Fatal("the kernel does not tell of suspensions")
	}
	last := clock.Now()
	for end := time.Now().Add(100 * time.Millisecond); time.Now().Before(end); {
		now := clock.Now()
		if now.Before(last) {
			t.Fatalf("%s back", last.Sub(now))
		}
		last = now
	}
	if d := clock.Suspended(); d != 0 {
		t.Errorf("suspended for %s", d)
	}
}

func BenchmarkNow(b *testing.B) {
	for b.Loop() {
		_ = clock.Now()
	}
}
