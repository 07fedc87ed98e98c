package server

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/gaplink/gaplink/clock"
	"github.com/gaplink/gaplink/link"
	"github.com/gaplink/gaplink/wakeups"
)

// tickInterval is the interval of the process's periodic checks. They share one timer because each
// wake-up of an idle process is paid for a thousandfold in a fleet of a thousand routers.
const tickInterval = link.Window

// runTicks runs the periodic checks until ctx is done.
func (s *Server) runTicks(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	suspensions, pauses := clock.NewSuspensions(), clock.NewPauses()
	for windowStart := clock.Now(); ; {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		wakeups.Count(wakeups.Tick)
		now := clock.Now()
		if suspended := suspensions.Since(); suspended > 0 {
			s.handleResume(suspended)
		}
		if paused := pauses.Since(tickInterval); paused > 0 {
			s.log.Info("process was paused", zap.Duration("for_ms", paused))
			go s.verdicts.CatchUp(ctx)
			go s.limits.CatchUp(ctx)
		}
		s.endLinkWindow(windowStart, now)
		s.servers.Tick(ctx, now)
		s.origins.Tick()
		s.paths.Tick(ctx, now)
		s.limits.Tick(now)
		windowStart = now
	}
}
