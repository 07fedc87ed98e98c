package registry

import (
	"time"

	"go.uber.org/zap"

	"github.com/gaplink/gaplink/logs"
	"github.com/gaplink/gaplink/store"
)

// unreadableLogEvery is the least time between two log lines about registrations
// that cannot be read: who writes them may do so many times a second.
const unreadableLogEvery = time.Second

// unreadable counts the registrations that could not be read.
type unreadable struct {
	count int64
	lines logs.Sparse
}

// note counts a version of a registration and logs it, unless a line was written
// just now.
func (u *unreadable) note(log *zap.Logger, now time.Time, o store.Object, cause error) {
	u.count++
	leftOut, due := u.lines.Due(now, unreadableLogEvery)
	if !due {
		return
	}
	log.Error("registration is not readable; it names no server", zap.String("key", o.Key), zap.Int64("version", o.Version),
		zap.Int64("lines_left_out", leftOut), zap.Error(cause))
}
