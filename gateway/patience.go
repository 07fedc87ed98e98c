package gateway

import (
	"context"
	"errors"
	"math"
	"sync"
	"time"

	"github.com/gaplink/gaplink/catalog"
)

// errTooSlow cancels an attempt at a server that sends nothing, so that
// another server may be asked.
var errTooSlow = errors.New("the server has sent nothing for too long")

const (
	// patience is the share of the latency objective after which a request that
	// may be repeated is taken from a server that has sent nothing.
	patience = 0.66
	// streamPatience is the same for a stream. A prompt is read anew elsewhere,
	// which costs another server's time and comes late anyway, so only a server that
	// seems to be gone is left: most late first events wait for large prompts.
	streamPatience = 2.0
	// pausePatience is how many of the sheet's longest pauses between two events
	// a stream waits before it goes on elsewhere.
	pausePatience = 3
	// leastPause bounds that time from below.
	leastPause = 600 * time.Millisecond
)

// watchdog cancels an attempt that makes no progress, while the fleet's retries
// leave room for another one. A nil timer never does.
type watchdog struct {
	mu      sync.Mutex
	stopped bool
	timer   *time.Timer
	pause   time.Duration
	// takeRetry takes what another attempt needs, if it can be had. It is not
	// called after stop.
	takeRetry func() bool
	cancel    context.CancelCauseFunc
}

// never is a time after which no timer fires.
const never = time.Duration(math.MaxInt64)

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
	w := &watchdog{
		pause:     max(pausePatience*a.route.Pause, leastPause),
		takeRetry: a.takeRetry,
		cancel:    cancel,
	}
	w.timer = time.AfterFunc(never, w.bark)
	w.timer.Reset(first)
	return w
}

// takeRetry takes the retry and the tokens for the next attempt of the request, so
// that of several that run out of patience together only as many end as can go on
// elsewhere.
func (a *attempt) takeRetry() bool {
	if !a.mayRepeat() {
		return false
	}
	metered := a.reserved > 0 && a.MaxTokensOut > 0
	if metered && !a.g.Budgets.TryReserve(a.account.Name, a.MaxTokensOut) {
		return false
	}
	if !a.g.Retries.Spend(a.service.Name) {
		if metered {
			a.g.Budgets.Settle(a.account.Name, a.MaxTokensOut, 0)
		}
		return false
	}
	a.retryTaken = true
	if metered {
		a.reserved += a.MaxTokensOut
	}
	return true
}

// bark ends the attempt. One that nothing can replace goes on: what its server
// still sends is worth more to the caller than a cut answer.
func (w *watchdog) bark() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped {
		return
	}
	if w.takeRetry() {
		w.stopped = true
		w.cancel(errTooSlow)
		return
	}
	w.timer.Reset(w.pause)
}

// progressed notes an event of the stream.
func (w *watchdog) progressed() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.timer != nil && !w.stopped {
		w.timer.Reset(w.pause)
	}
}

func (w *watchdog) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	if w.timer != nil {
		w.timer.Stop()
	}
}
