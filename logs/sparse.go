package logs

import "time"

// Sparse bounds how often a line is written that many events would write. The zero value has
// written none. It is not safe for concurrent use.
type Sparse struct {
	writtenAt time.Time
	leftOut   int64
}

// Due tells whether a line is due, with at least so long between two of them, and how many
// were left out since the last one.
func (s *Sparse) Due(now time.Time, every time.Duration) (leftOut int64, due bool) {
	if now.Sub(s.writtenAt) < every {
		s.leftOut++
		return 0, false
	}
	leftOut = s.leftOut
	*s = Sparse{writtenAt: now}
	return leftOut, true
}
