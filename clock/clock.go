// Package clock provides the time for ages, leases and deadlines, except those of budgets,
// which must use the monotonic clock, as that stops during a suspension (see controller/budgets).
//
// Go's time.Since, the difference of two time.Now and all timers use the monotonic clock, which
// stops while the machine is suspended: after a suspension of a minute, data received a minute ago
// would count as new, an expired lease as held, and a caller that has disconnected as waiting. The
// wall clock continues, but it can be adjusted by seconds in either direction. This package therefore
// adds the time for which the machine was suspended to the monotonic clock.
//
// Use time.Now only for times that are stored or sent to other processes. Timers still stop during a
// suspension; Suspensions reports when the machine has resumed.
package clock

import (
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// readInterval is how long the suspended time is cached, since reading the kernel's
	// clocks takes three system calls and each event of a stream needs the time. After the
	// machine resumes, a process may use the old value for that long.
	readInterval = 20 * time.Millisecond
	// minSuspension is the shortest suspension that is counted: two clocks are never read
	// at the same instant, and counting smaller differences could make time stop or go back.
	minSuspension = 100 * time.Millisecond
)

// Now returns the current time for computing ages: the difference of two such times includes
// suspended time. Its wall-clock reading is meaningless.
func Now() time.Time { return time.Now().Add(Suspended()) }

// Since returns the time elapsed since t, which must come from Now.
func Since(t time.Time) time.Duration { return Now().Sub(t) }

// Until returns the duration until t by Now.
func Until(t time.Time) time.Duration { return t.Sub(Now()) }

// Suspended returns the total time that the machine was suspended since the process started.
func Suspended() time.Duration {
	if source := testSource.Load(); source != nil {
		return (*source)()
	}
	return kernel.suspended()
}

// testSource is the source set by Replace; nil if there is none.
var testSource atomic.Pointer[func() time.Duration]

// Replace replaces the source of the suspended time, for tests, until restore is called.
func Replace(source func() time.Duration) (restore func()) {
	testSource.Store(&source)
	return func() { testSource.Store(nil) }
}

// kernelClocks derives the suspended time from the kernel's clocks.
type kernelClocks struct {
	started time.Time
	// readAt is the time of the last reading, and total the suspended time found by it, both in
	// nanoseconds; readAt counts from started.
	readAt, total atomic.Int64

	mu sync.Mutex
	// atStart is the difference of the clocks at the start of the process.
	atStart time.Duration
	known   bool
}

var kernel = newKernelClocks()

func newKernelClocks() *kernelClocks {
	k := &kernelClocks{started: time.Now()}
	k.atStart, k.known = clockDifference()
	return k
}

func (k *kernelClocks) suspended() time.Duration {
	now := time.Since(k.started)
	last := time.Duration(k.readAt.Load())
	if age := now - last; age < 0 || age >= readInterval {
		k.update(now)
	}
	return time.Duration(k.total.Load())
}

// update reads the clocks. Concurrent callers use the previous value meanwhile.
func (k *kernelClocks) update(now time.Duration) {
	if !k.mu.TryLock() {
		return
	}
	defer k.mu.Unlock()
	k.readAt.Store(int64(now))
	diff, ok := clockDifference()
	if !ok || !k.known {
		return // the kernel lacks these clocks, so suspensions are unknown
	}
	if total := diff - k.atStart; total >= time.Duration(k.total.Load())+minSuspension {
		k.total.Store(int64(total))
	}
}

// SuspensionsKnown reports whether the kernel's clocks show how long the machine was suspended.
func SuspensionsKnown() bool { return kernel.known }

// clockDifference returns the lead of CLOCK_BOOTTIME, which counts suspended time, over
// CLOCK_MONOTONIC. If the thread is preempted between the readings the result would be too large,
// so they are repeated.
func clockDifference() (time.Duration, bool) {
	const tries, close = 3, time.Millisecond
	least := time.Duration(1<<63 - 1)
	for range tries {
		before, err1 := readClock(unix.CLOCK_MONOTONIC)
		with, err2 := readClock(unix.CLOCK_BOOTTIME)
		after, err3 := readClock(unix.CLOCK_MONOTONIC)
		if err1 != nil || err2 != nil || err3 != nil {
			return 0, false
		}
		least = min(least, with-before)
		if after-before < close {
			break
		}
	}
	return least, true
}

func readClock(id int32) (time.Duration, error) {
	var t unix.Timespec
	if err := unix.ClockGettime(id, &t); err != nil {
		return 0, err
	}
	return time.Duration(t.Nano()), nil
}

// Suspensions reports each suspension of the machine once. It is not safe for concurrent use.
type Suspensions struct{ before time.Duration }

// NewSuspensions returns a Suspensions that reports suspensions from now on.
func NewSuspensions() *Suspensions { return &Suspensions{before: Suspended()} }

// Since returns how long the machine was suspended since the last call.
func (s *Suspensions) Since() time.Duration {
	now := Suspended()
	suspended := now - s.before
	s.before = now
	return suspended
}

// minPause is the delay of a periodic call from which it counts as a pause of the process: on a busy
// machine calls are late by tenths of a second.
const minPause = 750 * time.Millisecond

// Pauses reports each pause of the process or its machine. It is not safe for concurrent use.
type Pauses struct{ last time.Time }

// NewPauses returns a Pauses that reports pauses from now on.
func NewPauses() *Pauses { return &Pauses{last: Now()} }

// Since returns the time since the last call if the process was paused in between, else 0. due is
// the interval at which the caller intends to call Since.
func (p *Pauses) Since(due time.Duration) time.Duration {
	now := Now()
	since := now.Sub(p.last)
	p.last = now
	if since <= due+minPause {
		return 0
	}
	return since
}
