package gateway

import (
	"testing"
	"time"

	"github.com/gaplink/gaplink/clock"
)

// Guards against requests that a stopping router refuses by a run that was longer than others, or is long ago.
func TestShortestRecentRun(t *testing.T) {
	var times runTimes
	if got := times.shortest("r"); got != 0 {
		t.Errorf("%v before a run", got)
	}
	times.add("r", 3*time.Second)
	times.add("r", 2*time.Second)
	times.add("r", 4*time.Second)
	times.add("other", time.Second)
	if got := times.shortest("r"); got != 2*time.Second {
		t.Errorf("%v, not the shortest", got)
	}
	next := func() { times.begun = clock.Now().Add(-runTimeWindow) }
	next()
	times.add("r", 5*time.Second)
	if got := times.shortest("r"); got != 2*time.Second {
		t.Errorf("%v in the next window", got)
	}
	next()
	times.add("r", 6*time.Second)
	if got := times.shortest("r"); got != 5*time.Second {
		t.Errorf("%v in the window after that", got)
	}
	if got := times.shortest("other"); got != 0 {
		t.Errorf("%v of a route without recent runs", got)
	}
}
