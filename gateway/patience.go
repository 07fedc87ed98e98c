package gateway

import (
	"context"
	"errors"
	"time"

	"github.com/gaplink/gaplink/catalog"
)

// errTooSlow cancels an attempt at a server that sends nothing, so that
// another server may be asked.
var errTooSlow = errors.New("the server has sent nothing for too long")

const (
	// pausePatience is how many of the sheet's longest pauses between two events
	// a stream waits before it goes on elsewhere.
	pausePatience = 3
	// leastPause bounds that time from below.
	leastPause = 600 * time.Millisecond
)

// watchdog cancels an attempt that makes no progress. A nil timer never does.
type watchdog struct {
	timer *time.Timer
	pause time.Duration
}

// impatient starts the watchdog of an attempt that another could replace.
func (a *attempt) impatient(cancel context.CancelCauseFunc) *watchdog {
	if a.last || !a.route.MayRepeat() || a.route.Objective == 0 {
		return &watchdog{}
	}
	share := patience
	if a.route.Kind == catalog.Stream {
		share = streamPatience
	}
	first := time.Duration(share * float64(a.route.Objective))
	return &watchdog{
		timer: time.AfterFunc(first, func() { cancel(errTooSlow) }),
		pause: max(pausePatience*a.route.Pause, leastPause),
	}
}

// progressed notes an event of the stream.
func (w *watchdog) progressed() {
	if w.timer != nil {
		w.timer.Reset(w.pause)
	}
}

func (w *watchdog) stop() {
	if w.timer != nil {
		w.timer.Stop()
	}
}
