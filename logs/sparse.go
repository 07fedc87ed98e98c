package logs

import (
	"sync"
	"time"
)

// Sparse limits the rate of a log line that many events would write. The zero value is ready to
// use. It is safe for concurrent use.
type Sparse struct {
	mu         sync.Mutex
	writtenAt  time.Time
	suppressed int64
}

// Due reports whether a line may be written, with at least the duration every between two lines, and
// returns the number of lines suppressed since the last one.
func (s *Sparse) Due(now time.Time, every time.Duration) (suppressed int64, due bool) {
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
