package server

import (
	"testing"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sys/unix"

	"github.com/gaplink/gaplink/budget"
	"github.com/gaplink/gaplink/lab/clocktest"
)

// Escrows must use one clock in a process and its successor, and one that restarts at a power loss.
// With a clock that continues over a power loss, tokens that were already used would be reclaimed;
// with two different clocks, tokens released while the machine was suspended.
func TestEscrowsUseTheMonotonicClock(t *testing.T) {
	machine := clocktest.New(t)
	s := &Server{log: zap.NewNop()}
	var cfg budget.Config
	s.escrowConfig(&cfg)
	machine.Suspend(7 * time.Second)
	var monotonic unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &monotonic); err != nil {
		t.Fatal(err)
	}
	if off := cfg.Uptime(time.Now()) - time.Duration(monotonic.Nano()); off.Abs() > time.Second {
		t.Errorf("the uptime differs from the monotonic clock by %s", off)
	}
}
