package gateway

import (
	"context"
	"errors"
	"math"
	"sync"
	"time"

	"github.com/gaplink/gaplink/catalog"
	"github.com/gaplink/gaplink/clock"
)

// errTooSlow is the cause with which an attempt is cancelled when its server sends nothing, so
// that another server can be tried.
var errTooSlow = errors.New("timed out waiting for the server to send data")

const (
	// silenceTimeoutShare is the share of the latency objective after which a repeatable
	// request is cancelled at a server that has sent nothing.
	silenceTimeoutShare = 0.66
	// streamSilenceTimeoutShare is the same for a stream. Another server would have to read
	// the prompt again, which costs that server's time and is late anyway, so only a server
	// that seems to have failed is abandoned: most late first events are due to large prompts.
	streamSilenceTimeoutShare = 2.0
	// pauseTimeoutFactor multiplies the route's latency objective between two events
	// (EventObjective); a stream that pauses longer is resumed at another server if a retry can be
	// reserved.
	pauseTimeoutFactor = 3
	// minPauseTimeout is the lower bound on that pause timeout. A server that works may send nothing for
	// a second or so; its request must not go on elsewhere meanwhile.
	minPauseTimeout = 1600 * time.Millisecond
	// deniedInterval is the time until an attempt that the retry budget does not allow to give up is looked at again: soon,
	// since retries become free as servers answer.
	deniedInterval = 250 * time.Millisecond
)

// watchdog cancels an attempt that makes no progress, if the router's retry budget for the
// service and the account's token budget allow another one. With a nil timer it never fires.
type watchdog struct {
	mu      sync.Mutex
	stopped bool
	// progressAt is when the attempt began or data of the response last arrived.
	progressAt   time.Time
	timer        *time.Timer
	pauseTimeout time.Duration
	// mayAbandon reports whether the retry budget allows to give the attempt up; nil: it does.
	mayAbandon func() bool
	// reserveRetry reserves what another attempt needs and reports whether it could. It is not
	// called after stop.
	reserveRetry func() bool
	cancel       context.CancelCauseFunc
}

// never is the initial delay of a timer that must not fire before it is reset.
const never = time.Duration(math.MaxInt64)

// startWatchdog starts the watchdog of an attempt that may be followed by another.
func (a *attempt) startWatchdog(cancel context.CancelCauseFunc) *watchdog {
	w := &watchdog{progressAt: clock.Now(), mayAbandon: a.mayAbandon, reserveRetry: a.reserveRetry, cancel: cancel}
	if a.isLast || !a.route.MayRepeat() || a.route.LatencyObjective == 0 {
		return w
	}
	share := silenceTimeoutShare
	if a.route.Kind == catalog.Stream {
		share = streamSilenceTimeoutShare
	}
	first := time.Duration(share * float64(a.route.LatencyObjective))
	w.pauseTimeout = max(pauseTimeoutFactor*a.route.EventObjective, minPauseTimeout)
	w.timer = time.AfterFunc(never, w.onTimeout)
	w.timer.Reset(first)
	return w
}

// reserveRetry reserves the retry and the tokens for the request's next attempt, so that of
// several attempts that time out together only as many are cancelled as can be retried.
func (a *attempt) reserveRetry() bool {
	if a.isLast || !a.mayRepeat() || a.stream.version.Load() != nil && !a.canGoOn(a.tried) {
		return false
	}
	metered := a.reserved > 0 && a.MaxTokensOut > 0
	if metered && !a.g.Budgets.TryReserve(a.account.Name, a.MaxTokensOut) {
		return false
	}
	if !a.retries.Abandon(clock.Now(), a.arrivals+1) {
		if metered {
			a.g.Budgets.Settle(a.account.Name, a.MaxTokensOut, 0)
		}
		return false
	}
	a.tokensReserved = true
	if metered {
		a.reserved += a.MaxTokensOut
	}
	return true
}

// onTimeout cancels the attempt. An attempt that cannot be retried continues: what its server
// still sends is worth more to the caller than a truncated response.
func (w *watchdog) onTimeout() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped {
		return
	}
	if w.mayAbandon != nil && !w.mayAbandon() {
		w.timer.Reset(deniedInterval)
		return
	}
	if w.reserveRetry() {
		w.stopped = true
		w.cancel(errTooSlow)
		return
	}
	w.timer.Reset(w.pauseTimeout)
}

// recordProgress restarts the timeout after an event of the stream.
func (w *watchdog) recordProgress() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.progressAt = clock.Now()
	if w.timer != nil && !w.stopped {
		w.timer.Reset(w.pauseTimeout)
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
