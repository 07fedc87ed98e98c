package link

import (
	"sync"
	"time"
)

const (
	// sampleLifetime is how long a slow call counts as a sign of queueing at the link: a
	// queue of half a second of packets drains soon afterwards.
	sampleLifetime = time.Second
	// baseJitter is the variation of call times without queueing.
	baseJitter = 15 * time.Millisecond
)

// QueueEstimator estimates the queueing delay at the instance's link, as the sum of both directions, from
// the round-trip times of short calls to other instances. The fastest call is assumed to have met no
// queue. It is safe for concurrent use.
type QueueEstimator struct {
	mu      sync.Mutex
	fastest time.Duration
	known   bool
	samples []sample
}

// sample is the round-trip time of one call.
type sample struct {
	at   time.Time
	took time.Duration
}

// Observe records the round-trip time of a call that ended now. For a call without an answer, pass
// the time waited.
func (q *QueueEstimator) Observe(now time.Time, took time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if !q.known || took < q.fastest {
		q.fastest, q.known = took, true
	}
	q.expire(now)
	q.samples = append(q.samples, sample{at: now, took: took})
}

func (q *QueueEstimator) expire(now time.Time) {
	kept := q.samples[:0]
	for _, s := range q.samples {
		if now.Sub(s.at) < sampleLifetime {
			kept = append(kept, s)
		}
	}
	q.samples = kept
}

// Delay returns the longest queueing delay of the last second, 0 if none is known.
func (q *QueueEstimator) Delay(now time.Time) time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.expire(now)
	longest := time.Duration(0)
	for _, s := range q.samples {
		longest = max(longest, s.took)
	}
	return max(longest-q.fastest-baseJitter, 0)
}
