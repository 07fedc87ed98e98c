package retry

// budget bounds the retries of one process for one service to a share of its requests, so that a failing pool is
// not overloaded by a retry storm. It is not safe for concurrent use.
//
// It is a token bucket that begins empty, since a process does not know what an earlier one of its instance has
// spent within the window: a full bucket at each start would allow a whole part of the slack for each kill. Over
// any window the processes of an instance then spend at most what the one running at its begin has, the capacity,
// and what the requests in it earn.
type budget struct {
	tokens, capacity float64
	filled           bool
	// requests and spent count the credited requests and the retries taken.
	requests, spent int64
}

func (b *budget) setCapacity(capacity float64) {
	b.capacity = capacity
	b.tokens = min(b.tokens, capacity)
}

// fill fills the bucket once, a window after the start of the process: by then the window has no retry of an
// earlier process. What this process has spent counts as taken from the bucket.
func (b *budget) fill() {
	if b.filled || b.capacity == 0 {
		return
	}
	b.filled = true
	b.tokens = max(b.tokens, b.capacity-float64(b.spent))
}

func (b *budget) credit(tokens float64) {
	b.requests++
	b.tokens = min(b.tokens+tokens, b.capacity)
}

func (b *budget) left() bool { return b.tokens >= 1 }

func (b *budget) spend() bool {
	if !b.left() {
		return false
	}
	b.tokens--
	b.spent++
	return true
}
