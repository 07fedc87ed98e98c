package retry

// budget bounds the retries of one process for one service to a share of its requests, so that a failing pool is
// not overloaded by a retry storm. It is not safe for concurrent use.
//
// It is a token bucket that begins empty, since a process does not know what an earlier one of its instance has
// spent within the window: a full bucket at each start would allow a whole part of the slack for each kill. Over
// any window the processes of an instance then spend at most what the one running at its begin has, the capacity,
// and what the requests in it earn.
//
// The limits hold for what arrives at servers, which may be long after it was sent. A retry therefore occupies a
// part of the capacity until its attempts can no longer arrive: tokens and pending retries together are at most
// the capacity, so that over any window no more arrive than that and what the requests in it earn.
type budget struct {
	tokens, capacity float64
	filled           bool
	// pending is the number of retries taken whose attempts may still arrive, and abandoned that of the attempts
	// that ended without an answer and may still arrive, maxAbandoned at most by choice.
	pending, abandoned, maxAbandoned int
	// requests and spent count the credited requests and the retries taken.
	requests, spent int64
}

func (b *budget) setCapacity(capacity float64, maxAbandoned int) {
	b.capacity, b.maxAbandoned = capacity, maxAbandoned
	b.tokens = min(b.tokens, b.room())
}

// room returns how many tokens the bucket may hold. While no more retries are pending than may be abandoned, that is one at
// least, so that abandoned attempts do not end all retries.
func (b *budget) room() float64 {
	room := max(b.capacity-float64(b.pending), 0)
	if b.pending <= b.maxAbandoned {
		room = max(room, min(b.capacity, 1))
	}
	return room
}

// fill fills the bucket once, a window after the start of the process: by then the window has no retry of an
// earlier process. What this process has spent counts as taken from the bucket.
func (b *budget) fill() {
	if b.filled || b.capacity == 0 {
		return
	}
	b.filled = true
	b.tokens = min(max(b.tokens, b.capacity-float64(b.spent)), b.room())
}

func (b *budget) credit(tokens float64) {
	b.requests++
	b.tokens = min(b.tokens+tokens, b.room())
}

func (b *budget) left() bool { return b.tokens >= 1 }

func (b *budget) spend() bool {
	if !b.left() {
		return false
	}
	b.tokens--
	b.spent++
	b.pending++
	return true
}
