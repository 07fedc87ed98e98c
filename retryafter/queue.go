package retryafter

import (
	"cmp"
	"slices"
	"time"
)

const (
	// maxWaiters and maxWaiterBytes bound the requests that a router holds.
	maxWaiters     = 64
	maxWaiterBytes = 4 << 20
	// targetDivisor divides the objective of a request to give the time that it may wait without a
	// prediction that holds, as the delay target of CoDel: up to then, a refused request that comes
	// back can still be served in good time.
	targetDivisor = 4
	// waitDivisor divides the objective to give the longest predicted wait for which a request is
	// held: a server needs the rest to answer.
	waitDivisor = 2
)

// Room is what a held request waits for: the cause of its refusal and, for busy servers, the service.
type Room struct {
	Cause Cause
	Key   string
}

// Waiter is a request that is held until there is room for it.
type Waiter struct {
	Room
	// Rank is the urgency of the request, 0 first.
	Rank int
	// Bytes is the memory that the request takes while it is held.
	Bytes int64
	// Arrived is when the request arrived, and Objective the time in which its response must begin.
	Arrived   time.Time
	Objective time.Duration
	// At is when room is predicted.
	At time.Time
	// Timed is set if room appears at that time without a further event.
	Timed bool
}

// end returns when the request must have been answered.
func (w *Waiter) end() time.Time { return w.Arrived.Add(w.Objective) }

// tooLate reports whether room is predicted too late for the request.
func (w *Waiter) tooLate() bool { return w.At.After(w.Arrived.Add(w.Objective / waitDivisor)) }

// dropAt returns when the request is refused unless there is room: when the prediction has failed and
// the delay target is reached.
func (w *Waiter) dropAt() time.Time {
	target := w.Arrived.Add(w.Objective / targetDivisor)
	if w.At.After(target) {
		return w.At
	}
	return target
}

// before orders waiters by rank and, within a rank, by the time that remains.
func (w *Waiter) before(other *Waiter) int {
	return cmp.Or(cmp.Compare(ClampRank(w.Rank), ClampRank(other.Rank)), w.end().Compare(other.end()))
}

// Queue holds requests for which room is predicted within their objectives. It is bounded in number
// and bytes; a more urgent request displaces the least urgent ones. It is not safe for concurrent use.
type Queue struct {
	waiters []*Waiter // in the order of before
	bytes   int64
	// failed holds, for each kind of room, until when no request is held after a failed prediction.
	failed map[Room]time.Time
}

// NewQueue returns an empty queue.
func NewQueue() *Queue { return &Queue{failed: map[Room]time.Time{}} }

// Len returns the number of requests that are held, and Bytes their memory.
func (q *Queue) Len() int     { return len(q.waiters) }
func (q *Queue) Bytes() int64 { return q.bytes }

// Waits reports whether requests wait for room of a kind.
func (q *Queue) Waits(room Room) bool {
	return slices.ContainsFunc(q.waiters, func(w *Waiter) bool { return w.Room == room })
}

// Ahead returns the number of waiters to count when the room for a request is predicted: those that get
// it first. For a timed one these are all, since Hold then gives the earlier times to the more urgent.
func (q *Queue) Ahead(w *Waiter) int {
	ahead := 0
	for _, other := range q.waiters {
		if other.Room == w.Room && other.Timed == w.Timed && (w.Timed || other.before(w) <= 0) {
			ahead++
		}
	}
	return ahead
}

// Hold adds a request if room is predicted early enough, and returns the waiters that it displaces,
// which must be refused. It returns false if the request must be refused itself.
func (q *Queue) Hold(now time.Time, w *Waiter) (displaced []*Waiter, ok bool) {
	times := q.times(w)
	if w.Timed {
		w.At = times[w]
	}
	if w.Objective <= 0 || w.tooLate() || !now.Before(w.dropAt()) || now.Before(q.failed[w.Room]) {
		return nil, false
	}
	keep := len(q.waiters)
	bytes := q.bytes
	for keep >= maxWaiters || bytes+w.Bytes > maxWaiterBytes {
		if keep == 0 || q.waiters[keep-1].before(w) <= 0 {
			return nil, false
		}
		keep--
		bytes -= q.waiters[keep].Bytes
	}
	displaced = slices.Clone(q.waiters[keep:])
	q.waiters = slices.Delete(q.waiters, keep, len(q.waiters))
	at, _ := slices.BinarySearchFunc(q.waiters, w, (*Waiter).before)
	q.waiters = slices.Insert(q.waiters, at, w)
	q.bytes = bytes + w.Bytes
	for other, at := range times {
		other.At = at
	}
	return append(displaced, q.take((*Waiter).tooLate)...), true
}

// times returns the times of room of the timed waiters with a new one among them, the earliest for the
// most urgent.
func (q *Queue) times(w *Waiter) map[*Waiter]time.Time {
	if !w.Timed {
		return nil
	}
	var order []*Waiter
	for _, other := range q.waiters {
		if other.Timed && other.Room == w.Room {
			order = append(order, other)
		}
	}
	order = append(order, w)
	slices.SortStableFunc(order, (*Waiter).before)
	times := make([]time.Time, 0, len(order))
	for _, o := range order {
		times = append(times, o.At)
	}
	slices.SortFunc(times, time.Time.Compare)
	byWaiter := make(map[*Waiter]time.Time, len(order))
	for i, o := range order {
		byWaiter[o] = times[i]
	}
	return byWaiter
}

// Release removes and returns the first n waiters for room that has appeared.
func (q *Queue) Release(room Room, n int) []*Waiter {
	delete(q.failed, room)
	return q.take(func(w *Waiter) bool {
		if w.Timed || w.Room != room || n == 0 {
			return false
		}
		n--
		return true
	})
}

// Due removes and returns the waiters whose predicted time of room has come and needs no event.
func (q *Queue) Due(now time.Time) []*Waiter {
	return q.take(func(w *Waiter) bool { return w.Timed && !now.Before(w.At) })
}

// Expired removes and returns the waiters whose prediction has failed; they must be refused. Until
// room has been seen, or for the objective of such a request, no other is held for the same room.
func (q *Queue) Expired(now time.Time) []*Waiter {
	for room, until := range q.failed {
		if !now.Before(until) {
			delete(q.failed, room)
		}
	}
	expired := q.take(func(w *Waiter) bool { return !now.Before(w.dropAt()) })
	for _, w := range expired {
		q.failed[w.Room] = now.Add(w.Objective)
	}
	return expired
}

// Remove removes a waiter, if it is still held.
func (q *Queue) Remove(w *Waiter) { q.take(func(other *Waiter) bool { return other == w }) }

// All removes and returns all waiters.
func (q *Queue) All() []*Waiter { return q.take(func(*Waiter) bool { return true }) }

// take removes and returns the waiters for which a condition holds, in order.
func (q *Queue) take(taken func(*Waiter) bool) (all []*Waiter) {
	q.waiters = slices.DeleteFunc(q.waiters, func(w *Waiter) bool {
		if !taken(w) {
			return false
		}
		all = append(all, w)
		q.bytes -= w.Bytes
		return true
	})
	return all
}
