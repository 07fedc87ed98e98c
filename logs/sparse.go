package logs

import (
	"sync"
	"time"
)

// Sparse bounds how often a line is written that many events would write. The zero value has
// written none. It is safe for concurrent use.
type Sparse struct {
	mu        sync.Mutex
	writtenAt time.Time
	leftOut   int64
}

// Due tells whether a line is due, with at least so long between two of them, and how many
// were left out since the last one.
func (s *Sparse) Due(now time.Time, every time.Duration) (leftOut int64, due bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Sub(s.writtenAt) < every {
		s.leftOut++
		return 0, false
	}
	leftOut = s.leftOut
	s.writtenAt, s.leftOut = now, 0
	return leftOut, true
}
