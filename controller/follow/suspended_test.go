package follow_test

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/gaplink/gaplink/controller/follow"
	"github.com/gaplink/gaplink/lab/clocktest"
)

// TestSuspensionEndsFreshness: what was the newest before is not so after waking, until
// the store has answered again, which it is asked at once: the watch that stood still with
// the machine would wait out its time first, or stall for good.
func TestSuspensionEndsFreshness(t *testing.T) {
	machine := clocktest.New(t)
	run(t, follow.Watches, func(s *fakeStore, f *follow.Follower, _ *atomic.Int64) {
		time.Sleep(100 * time.Millisecond)
		if !f.Fresh() {
			t.Fatal("not fresh while the store answers")
		}
		machine.Suspend(30 * time.Second)
		if f.Fresh() {
			t.Error("fresh after a suspension of 30 s")
		}
		calls := s.calls.Load()
		f.Resumed()
		if !f.Lost() {
			t.Error("the store counts as reachable before it has answered")
		}
		time.Sleep(400 * time.Millisecond)
		if !f.Fresh() || s.calls.Load() == calls {
			t.Errorf("fresh %v, %d calls within 0.4 s of waking", f.Fresh(), s.calls.Load()-calls)
		}
	})
}
