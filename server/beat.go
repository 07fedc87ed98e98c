package server

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/gaplink/gaplink/clock"
	"github.com/gaplink/gaplink/link"
	"github.com/gaplink/gaplink/wakeups"
)

// beat is the interval of what a process looks at regularly. All of it shares one timer, since a
// fleet of a thousand routers pays for each time that an idle one wakes.
const beat = link.Window

// runBeats runs what is due at each beat until the context ends.
func (s *Server) runBeats(ctx context.Context) {
	ticker := time.NewTicker(beat)
	defer ticker.Stop()
	suspensions, pauses := clock.NewSuspensions(), clock.NewPauses()
	for begun := clock.Now(); ; {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		wakeups.Note(wakeups.Beat)
		now := clock.Now()
		if slept := suspensions.Since(); slept > 0 {
			s.woke(slept)
		}
		if paused := pauses.Since(beat); paused > 0 {
			s.log.Info("process was paused", zap.Duration("for_ms", paused))
			go s.verdicts.CatchUp(ctx)
			go s.limits.CatchUp(ctx)
		}
		s.endLinkWindow(begun, now)
		s.servers.Tick(ctx, now)
		s.limits.Tick(now)
		begun = now
	}
}
