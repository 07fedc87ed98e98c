package logs

import (
	"sync"
	"time"
)

// RateLimit limits the rate of a log line that many events would write. The zero value is
// ready to use. It is safe for concurrent use.
type RateLimit struct {
	mu         sync.Mutex
	writtenAt  time.Time
	suppressed int64
}

// Allow reports whether a line may be written, with at least the duration every between
// two lines, and returns the number of lines suppressed since the last one.
func (s *RateLimit) Allow(now time.Time, every time.Duration) (suppressed int64, allowed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Sub(s.writtenAt) < every {
		s.suppressed++
		return 0, false
	}
	suppressed = s.suppressed
	s.writtenAt, s.suppressed = now, 0
	return suppressed, true
}
