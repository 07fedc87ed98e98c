package follow_test

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/gaplink/gaplink/controller/follow"
	"github.com/gaplink/gaplink/lab/clocktest"
)

// TestSuspensionEndsFreshness checks that the state received before a suspension of the machine does
// not count as current until the store has answered again, and that the store is called at once. The
// suspended watch would otherwise continue until its timeout, or stall forever.
func TestSuspensionEndsFreshness(t *testing.T) {
	machine := clocktest.New(t)
	run(t, follow.Watcher, func(s *fakeStore, f *follow.Follower, _ *atomic.Int64) {
		time.Sleep(100 * time.Millisecond)
		if !f.StoreFresh() {
			t.Fatal("not fresh while the store answers")
		}
		machine.Suspend(30 * time.Second)
		if f.StoreFresh() {
			t.Error("fresh after a suspension of 30 s")
		}
		calls := s.calls.Load()
		f.Resumed()
		if !f.StoreLost() {
			t.Error("the store counts as reachable before it has answered")
		}
		time.Sleep(400 * time.Millisecond)
		if !f.StoreFresh() || s.calls.Load() == calls {
			t.Errorf("fresh %v, %d calls within 0.4 s after the suspension", f.StoreFresh(), s.calls.Load()-calls)
		}
	})
}
