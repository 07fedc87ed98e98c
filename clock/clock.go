// Package clock is the clock of ages, leases and deadlines, but for those of budgets,
// which must stand still with the steady clock (see controller/budgets).
//
// Go's time.Since, Sub of two time.Now and all timers go by the steady clock, which
// stands still while a machine is suspended: after a minute of that, what was heard a
// minute ago would count as new, a lease that has lapsed as held, and a caller that has
// left as waiting. The time of day goes on, but it is set by seconds either way. So ages
// are taken here, by the steady clock plus the time for which the machine was suspended.
//
// Only what is told to others, or kept, is taken from time.Now. Timers still stand still
// with the machine: Suspensions tells when it has woken.
package clock

import (
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// lookEvery is for how long the time suspended is taken without a look at the
	// kernel's clocks, which costs three system calls: after waking a process may go by
	// the old time for so long. Each event of a stream asks for the time.
	lookEvery = 20 * time.Millisecond
	// leastSuspension is what counts as one: two clocks are never read at the same
	// moment, and a difference below this would make time stand or run back.
	leastSuspension = 100 * time.Millisecond
)

// Now returns the present moment for ages: the difference of two of them counts the
// time suspended. Its time of day is of no use.
func Now() time.Time { return time.Now().Add(Suspended()) }

// Since returns the age of a moment that Now returned.
func Since(t time.Time) time.Duration { return Now().Sub(t) }

// Until returns how long it is until a moment by Now.
func Until(t time.Time) time.Duration { return t.Sub(Now()) }

// Suspended returns for how long the machine was suspended since the process started.
func Suspended() time.Duration {
	if source := replaced.Load(); source != nil {
		return (*source)()
	}
	return kernel.suspended()
}

// replaced is the source that tests set.
var replaced atomic.Pointer[func() time.Duration]

// Replace sets another source of the time suspended, for tests, until restore is called.
func Replace(source func() time.Duration) (restore func()) {
	replaced.Store(&source)
	return func() { replaced.Store(nil) }
}

// kernelClocks reads the time suspended from the kernel's clocks.
type kernelClocks struct {
	started time.Time
	// looked is when they were read last, in nanoseconds from started, and total what
	// was found.
	looked, total atomic.Int64

	mu sync.Mutex
	// atStart is the difference of the clocks when the process started.
	atStart time.Duration
	known   bool
}

var kernel = newKernelClocks()

func newKernelClocks() *kernelClocks {
	k := &kernelClocks{started: time.Now()}
	k.atStart, k.known = difference()
	return k
}

func (k *kernelClocks) suspended() time.Duration {
	now := time.Since(k.started)
	last := time.Duration(k.looked.Load())
	if age := now - last; age < 0 || age >= lookEvery {
		k.look(now)
	}
	return time.Duration(k.total.Load())
}

// look reads the clocks. Others go by what was found before meanwhile.
func (k *kernelClocks) look(now time.Duration) {
	if !k.mu.TryLock() {
		return
	}
	defer k.mu.Unlock()
	k.looked.Store(int64(now))
	diff, ok := difference()
	if !ok || !k.known {
		return // a kernel without these clocks; nothing is known of suspensions
	}
	if total := diff - k.atStart; total >= time.Duration(k.total.Load())+leastSuspension {
		k.total.Store(int64(total))
	}
}

// Known tells whether the kernel tells for how long the machine was suspended.
func Known() bool { return kernel.known }

// difference returns by how much the clock that counts suspensions is ahead of the steady
// one. A thread that loses its turn between the two readings would make it too large, so
// that it is read again.
func difference() (time.Duration, bool) {
	const tries, close = 3, time.Millisecond
	least := time.Duration(1<<63 - 1)
	for range tries {
		before, err1 := read(unix.CLOCK_MONOTONIC)
		with, err2 := read(unix.CLOCK_BOOTTIME)
		after, err3 := read(unix.CLOCK_MONOTONIC)
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

func read(id int32) (time.Duration, error) {
	var t unix.Timespec
	if err := unix.ClockGettime(id, &t); err != nil {
		return 0, err
	}
	return time.Duration(t.Nano()), nil
}

// Suspensions tells of each suspension of the machine once. It is not safe for concurrent use.
type Suspensions struct{ before time.Duration }

// NewSuspensions returns a Suspensions that tells of those from now on.
func NewSuspensions() *Suspensions { return &Suspensions{before: Suspended()} }

// Since returns for how long the machine was suspended since the last call.
func (s *Suspensions) Since() time.Duration {
	now := Suspended()
	slept := now - s.before
	s.before = now
	return slept
}

// pauseFor is how much later than it is due a call counts as after a pause of the process: a busy
// machine is late by tenths of a second.
const pauseFor = 750 * time.Millisecond

// Pauses tells of each pause of the process, or of its machine. It is not safe for concurrent use.
type Pauses struct{ last time.Time }

// NewPauses returns a Pauses that tells of those from now on.
func NewPauses() *Pauses { return &Pauses{last: Now()} }

// Since returns for how long the process was paused since the last call, which was due a time ago;
// 0: it was not.
func (p *Pauses) Since(due time.Duration) time.Duration {
	now := Now()
	since := now.Sub(p.last)
	p.last = now
	if since <= due+pauseFor {
		return 0
	}
	return since
}
