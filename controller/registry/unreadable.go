package registry

import (
	"time"

	"go.uber.org/zap"

	"github.com/gaplink/gaplink/logs"
	"github.com/gaplink/gaplink/store"
)

// unreadableLogInterval is the minimum time between two log lines about registrations
// that cannot be decoded: a faulty writer may write many per second.
const unreadableLogInterval = time.Second

// unreadable counts the registrations that could not be decoded.
type unreadable struct {
	count int64
	lines logs.RateLimit
}

// record counts a version of a registration and logs it, unless a line was written
// within unreadableLogInterval.
func (u *unreadable) record(log *zap.Logger, now time.Time, o store.Object, cause error) {
	u.count++
	leftOut, allowed := u.lines.Allow(now, unreadableLogInterval)
	if !allowed {
		return
	}
	log.Error("cannot decode server registration; the server is not used", zap.String("key", o.Key), zap.Int64("version", o.Version),
		zap.Int64("lines_left_out", leftOut), zap.Error(cause))
}
