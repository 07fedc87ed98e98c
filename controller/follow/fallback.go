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

// isDue tells whether a fallback watcher may make a call. One that the store answers goes on; the
// others try at random times within the bound on a change, whatever the size of the fleet: the
// store may answer this router alone.
func (f *Follower) isDue(now time.Time) bool {
	if f.Fresh() {
		return true
	}
	if f.Prober != nil {
		return f.Prober()
	}
	if f.due.IsZero() {
		f.draw(now)
	}
	return !now.Before(f.due) || f.Answered().After(f.drawn)
}

// draw draws when a fallback watcher tries the store.
func (f *Follower) draw(now time.Time) {
	in := f.drawWait()
	f.drawn, f.due = now, now.Add(in)
	f.tries++
	f.Log.Info("no update source; querying the store directly", zap.Duration("in_ms", in), zap.Int("try", f.tries),
		f.ageField())
}

// ageField returns the age of the state, for the log.
func (f *Follower) ageField() zap.Field {
	if f.AsOf().IsZero() {
		return zap.String("age_ms", "unknown")
	}
	return zap.Duration("age_ms", clock.Since(f.AsOf()))
}

// drawWait draws how long a fallback watcher waits until it tries the store.
func (f *Follower) drawWait() time.Duration {
	switch {
	case f.tries > 0 && f.IsRelay():
		return drawnAwayPause() // others wait for its updates
	case f.tries > 0:
		half := f.Bound().Retry() / 2
		return half + rand.N(half)
	case f.since() == 0:
		return rand.N(f.startSpread())
	default:
		return rand.N(bound.ProbeWithin)
	}
}

// startSpread returns the time over which the routers of the fleet spread their first calls.
func (f *Follower) startSpread() time.Duration {
	if f.Fleet == nil || f.IsRelay() {
		return startWithin
	}
	return max(startWithin, time.Duration(f.Fleet())*startEach)
}

// updatedMeanwhile waits for updates of other routers, and tells whether they came: when an outage
// ends, the store answers all routers of a fleet at the same time.
func (f *Follower) updatedMeanwhile(ctx context.Context) bool {
	if f.IsRelay() {
		return false
	}
	_ = wait.For(ctx, bound.YieldFor)
	return f.Role() == Idle
}

// probe probes the store. A probe that gets no answer is given up and sent again once the store
// answers another call: an outage that has ended would hold it until its timeout.
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
		case <-time.After(lookEvery):
			if f.Answered().After(begun) {
				giveUp()
				return f.Probe(ctx)
			}
		}
	}
}

// waitUntilAnswered waits for d, or until the store answers another call of this process.
func (f *Follower) waitUntilAnswered(ctx context.Context, d time.Duration) {
	begun := clock.Now()
	for ctx.Err() == nil && clock.Since(begun) < d && !f.Answered().After(begun) {
		_ = wait.For(ctx, min(lookEvery, d-clock.Since(begun)))
	}
}

// drawnAwayPause returns awayPause, more or less a half.
func drawnAwayPause() time.Duration {
	return time.Duration((0.5 + rand.Float64()) * float64(awayPause))
}

// noteSource tells the handler, once, that this router has no source of updates.
func (f *Follower) noteSource(role Role) {
	lacksSource := role == Fallback
	if lacksSource && !f.noSource {
		f.Handler.Lost()
	}
	f.noSource = lacksSource
}
