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

// This file is when a router looks for the store that others should follow for it.

// isDue tells whether a deputy may make a call. One that the store answers goes on; the
// others try at moments drawn by chance, which the bound on a change limits and the size
// of the fleet does not: the store may answer this router alone, and what others find it
// may not be told.
func (f *Follower) isDue(now time.Time) bool {
	if f.Fresh() {
		return true
	}
	if f.Scout != nil {
		return f.Scout()
	}
	if f.due.IsZero() {
		f.draw(now)
	}
	return !now.Before(f.due) || f.Answered().After(f.drawn)
}

// draw draws when a deputy tries the store.
func (f *Follower) draw(now time.Time) {
	in := f.drawWait()
	f.drawn, f.due = now, now.Add(in)
	f.tries++
	f.Log.Info("nobody tells what is new; looking for the store", zap.Duration("in_ms", in), zap.Int("try", f.tries),
		f.ageField())
}

// ageField is the age of what is known, for the log.
func (f *Follower) ageField() zap.Field {
	if f.AsOf().IsZero() {
		return zap.String("age_ms", "unknown")
	}
	return zap.Duration("age_ms", clock.Since(f.AsOf()))
}

// drawWait draws how long a deputy waits until it tries the store.
func (f *Follower) drawWait() time.Duration {
	switch {
	case f.tries > 0 && f.Relays():
		return drawnAwayPause() // others wait for what this router finds
	case f.tries > 0:
		half := f.Bound().Retry() / 2
		return half + rand.N(half)
	case f.since() == 0:
		return rand.N(startWithin)
	default:
		return rand.N(bound.ProbeWithin)
	}
}

// toldMeanwhile waits for others to tell what is new, since when an outage ends the store
// answers all routers of a fleet at the same moment.
func (f *Follower) toldMeanwhile(ctx context.Context) bool {
	if f.Relays() {
		return false
	}
	_ = wait.For(ctx, bound.YieldFor)
	return f.Part() == Rests
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

// drawnAwayPause is awayPause, more or less a half.
func drawnAwayPause() time.Duration {
	return time.Duration((0.5 + rand.Float64()) * float64(awayPause))
}

// doubt tells the handler, once, when nobody tells this router what is new and it
// does not ask either.
func (f *Follower) doubt(part Part) {
	doubts := part == Deputy
	if doubts && !f.doubted {
		f.Handler.Lost()
	}
	f.doubted = doubts
}
