package router

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/gaplink/gaplink/clock"
)

// pauseDetector detects that the process was paused. The configuration may be stale after a
// pause, so the router refuses requests until the configuration is confirmed.
type pauseDetector struct {
	verifyCurrent func(context.Context) bool
	started       time.Time
	lastTick      atomic.Int64 // time of the last tick, in nanoseconds since started
	unconfirmed   atomic.Bool  // the configuration is not yet confirmed after a pause
}

const (
	// pauseThreshold is the longest gap between ticks that does not count as a pause.
	pauseThreshold     = 3 * time.Second
	pauseCheckInterval = 100 * time.Millisecond
)

func newPauseDetector(verifyCurrent func(context.Context) bool) *pauseDetector {
	return &pauseDetector{verifyCurrent: verifyCurrent, started: clock.Now()}
}

func (p *pauseDetector) gapExceeded(now time.Time) bool {
	return now.Sub(p.started)-time.Duration(p.lastTick.Load()) > pauseThreshold
}

// paused reports whether the last tick is too old or the configuration is not yet
// confirmed after a pause. The order of the two reads matters: tick sets unconfirmed
// before it updates lastTick.
func (p *pauseDetector) paused(now time.Time) bool {
	return p.gapExceeded(now) || p.unconfirmed.Load()
}

func (p *pauseDetector) run(ctx context.Context) {
	ticker := time.NewTicker(pauseCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			p.tick(ctx, clock.Now())
		case <-ctx.Done():
			return
		}
	}
}

func (p *pauseDetector) tick(ctx context.Context, now time.Time) {
	if p.gapExceeded(now) {
		p.unconfirmed.Store(true)
	}
	p.lastTick.Store(int64(now.Sub(p.started)))
	if p.unconfirmed.Load() && p.verifyCurrent(ctx) {
		p.unconfirmed.Store(false)
	}
}
