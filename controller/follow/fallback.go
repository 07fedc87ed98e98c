package follow

import (
	"context"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"github.com/gaplink/gaplink/bound"
	"github.com/gaplink/gaplink/clock"
	"github.com/gaplink/gaplink/wait"
)

// isDue reports whether a fallback watcher may make a call. A watcher that the store answers
// continues; the others call it at random times within the bound on a change, whatever the size of
// the fleet, because the store may answer only this router.
func (f *Follower) isDue(now time.Time) bool {
	if f.StoreFresh() {
		return true
	}
	if f.ProbedElsewhere != nil {
		return f.ProbedElsewhere()
	}
	if f.nextCallAt.IsZero() {
		f.schedule(now)
	}
	return !now.Before(f.nextCallAt) || f.Answered().After(f.scheduledAt)
}

// schedule sets a random time for a fallback watcher's next call.
func (f *Follower) schedule(now time.Time) {
	in := f.randomDelay()
	f.scheduledAt, f.nextCallAt = now, now.Add(in)
	f.attempts++
	f.Log.Info("no update source; querying the store directly", zap.Duration("in_ms", in), zap.Int("try", f.attempts),
		f.ageField())
}

// ageField returns a log field with the age of the state.
func (f *Follower) ageField() zap.Field {
	if f.AsOf().IsZero() {
		return zap.String("age_ms", "unknown")
	}
	return zap.Duration("age_ms", clock.Since(f.AsOf()))
}

// randomDelay returns a random delay before a fallback watcher's next call.
func (f *Follower) randomDelay() time.Duration {
	switch {
	case f.attempts > 0 && f.IsRelay():
		return jitteredOutagePause() // others wait for its updates
	case f.attempts > 0:
		half := f.Bound().Retry() / 2
		return half + rand.N(half)
	case f.knownRevision() == 0:
		return rand.N(f.startSpread())
	default:
		return rand.N(bound.ProbeWithin)
	}
}

// startSpread returns the time over which the starting routers of the fleet spread their first
// calls.
func (f *Follower) startSpread() time.Duration {
	if f.Fleet == nil || f.IsRelay() {
		return minStartSpread
	}
	return max(minStartSpread, time.Duration(f.Fleet())*startSpreadPerRouter)
}

// yield waits for updates from other routers and reports whether they arrived: when an outage ends,
// the store answers all routers of a fleet at the same time.
func (f *Follower) yield(ctx context.Context) bool {
	if f.IsRelay() {
		return false
	}
	_ = wait.For(ctx, bound.YieldFor)
	return f.Role() == Idle
}

// probe probes the store. An unanswered probe is cancelled and sent again once the store answers
// another call; otherwise a probe sent during an outage would last until its timeout.
func (f *Follower) probe(ctx context.Context) error {
	begun := clock.Now()
	first, giveUp := context.WithCancel(ctx)
	defer giveUp()
	ended := make(chan error, 1)
	go func() { ended <- f.Probe(first) }()
	for {
		select {
		case err := <-ended:
			return err
		case <-time.After(pollInterval):
			if f.Answered().After(begun) {
				giveUp()
				return f.Probe(ctx)
			}
		}
	}
}

// waitUntilAnswered waits for d or until the store answers another call of this process.
func (f *Follower) waitUntilAnswered(ctx context.Context, d time.Duration) {
	begun := clock.Now()
	for ctx.Err() == nil && clock.Since(begun) < d && !f.Answered().After(begun) {
		_ = wait.For(ctx, min(pollInterval, d-clock.Since(begun)))
	}
}

// jitteredOutagePause returns outagePause with a jitter of half of it either way.
func jitteredOutagePause() time.Duration {
	return time.Duration((0.5 + rand.Float64()) * float64(outagePause))
}

// noteSource reports to the handler, once, that this router has no source of updates.
func (f *Follower) noteSource(role Role) {
	lacksSource := role == Fallback
	if lacksSource && !f.noSourceReported {
		f.Handler.StoreLost()
	}
	f.noSourceReported = lacksSource
}
