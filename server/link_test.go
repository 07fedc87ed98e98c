package server

import (
	"testing"
	"time"

	"github.com/gaplink/gaplink/link"
)

// TestRouterWithoutProcessorTimeIsBusy: the pattern is a router of a fifth of a core with
// many callers whose timers fired up to 3.2 s late; what it knew was as old, with a link that
// was nearly empty.
func TestRouterWithoutProcessorTimeIsBusy(t *testing.T) {
	var l linkState
	now := time.Now()
	for _, c := range []struct {
		load   link.Load
		window time.Duration
		busy   bool
	}{
		{link.Load{In: 0.1}, link.Window, false},
		{link.Load{In: 0.1}, link.Window + 20*time.Millisecond, false},
		{link.Load{In: 0.1}, link.Window + 400*time.Millisecond, true},
		{link.Load{In: 0.1}, link.Window, false},
		{link.Load{Out: 0.9}, link.Window, true},
	} {
		l.observe(now, c.load, c.window)
		if l.Busy() != c.busy {
			t.Errorf("busy %v after a window of %v at %+v", l.Busy(), c.window, c.load)
		}
	}
}
