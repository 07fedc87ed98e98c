package clock_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/gaplink/gaplink/clock"
	"github.com/gaplink/gaplink/lab/clocktest"
)

// Ages must include suspended time, which the monotonic clock excludes.
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
		if monotonic := time.Since(heard); monotonic != time.Second {
			t.Errorf("the monotonic clock shows %s", monotonic)
		}
	})
}

// Guards against a suspension that is missed or reported twice.
func TestEachSuspensionIsReportedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		machine := clocktest.New(t)
		suspensions := clock.NewSuspensions()
		for _, d := range []time.Duration{2 * time.Second, 5 * time.Second} {
			time.Sleep(time.Second)
			if slept := suspensions.Since(); slept != 0 {
				t.Errorf("reported %v without a suspension", slept)
			}
			machine.Suspend(d)
			if slept := suspensions.Since(); slept != d {
				t.Errorf("reported %v, it was %v", slept, d)
			}
		}
	})
}

// A stopped process or a suspended machine counts as a pause; a delay for lack of CPU time does not.
func TestPausesAreReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const due = 250 * time.Millisecond
		machine := clocktest.New(t)
		pauses := clock.NewPauses()
		for name, step := range map[string]struct {
			pause    func()
			reported bool
		}{
			"in time":   {func() { time.Sleep(due) }, false},
			"late":      {func() { time.Sleep(900 * time.Millisecond) }, false},
			"stopped":   {func() { time.Sleep(2 * time.Second) }, true},
			"suspended": {func() { time.Sleep(due); machine.Suspend(time.Second) }, true},
		} {
			step.pause()
			if got := pauses.Since(due); got > 0 != step.reported {
				t.Errorf("%s: reported %v", name, got)
			}
		}
	})
}

// The kernel's clocks must show no suspension of the machine since the start of the test process,
// and time must not go back.
func TestKernelClocks(t *testing.T) {
	if !clock.SuspensionsKnown() {
		t.Fatal("the kernel's clocks do not show suspensions")
	}
	last := clock.Now()
	for end := time.Now().Add(100 * time.Millisecond); time.Now().Before(end); {
		now := clock.Now()
		if now.Before(last) {
			t.Fatalf("time went back by %s", last.Sub(now))
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
