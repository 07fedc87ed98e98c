// Package clocktest simulates machine suspends in tests that use package clock.
package clocktest

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/gaplink/gaplink/clock"
)

// Machine is the simulated machine of a test. Tests that use one must not run in parallel, since
// it replaces the global suspend time of package clock.
type Machine struct{ suspended atomic.Int64 }

// New returns a machine that has not been suspended. It is removed at the end of the test.
func New(t testing.TB) *Machine {
	m := &Machine{}
	t.Cleanup(clock.Replace(func() time.Duration { return time.Duration(m.suspended.Load()) }))
	return m
}

// Suspend simulates a suspend of duration d, during which the monotonic clock and all timers
// stop.
func (m *Machine) Suspend(d time.Duration) { m.suspended.Add(int64(d)) }
