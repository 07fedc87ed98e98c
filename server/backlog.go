package server

import (
	"time"

	"go.uber.org/zap"

	"github.com/gaplink/gaplink/clock"
	"github.com/gaplink/gaplink/logs"
	"github.com/gaplink/gaplink/upstream"
)

// backlogDivisor divides the memory limit to give what callers and servers that read slowly may hold
// together.
const backlogDivisor = 8

// slowReaderLogInterval is the minimum time between two log lines about slow readers.
const slowReaderLogInterval = time.Second

// newBacklog returns the backlog of a process with the given memory limit in MB.
func newBacklog(memoryMB int64, log *zap.Logger) *upstream.Backlog {
	limit := memoryMB << 20 / backlogDivisor
	var lines logs.RateLimit
	return upstream.NewBacklog(limit, func(bytes, sum int64) {
		if suppressed, allowed := lines.Allow(clock.Now(), slowReaderLogInterval); allowed {
			log.Warn("slow reader reset", zap.Int64("bytes", bytes), zap.Int64("of_bytes", sum), zap.Int64("limit", limit), zap.Int64("lines_left_out", suppressed))
		}
	})
}
