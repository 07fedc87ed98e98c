// Package policy compares ways to share prepaid budgets out, on the real
// decision code in virtual time, seeded, so that a run repeats exactly.
//
// It is a bench of decisions, with fakes at the interfaces: the store is a map
// of pages behind a delay, and a message is an event.
package policy

import (
	"container/heap"
	"math/rand/v2"
	"time"
)

// event is something that happens at a virtual time.
type event struct {
	at  time.Time
	seq int // keeps events of the same time in order
	do  func()
}

type queue []event

func (q queue) Len() int { return len(q) }

func (q queue) Less(i, j int) bool {
	if q[i].at.Equal(q[j].at) {
		return q[i].seq < q[j].seq
	}
	return q[i].at.Before(q[j].at)
}

func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

func (q *queue) Push(x any) { *q = append(*q, x.(event)) }

func (q *queue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// sim is a virtual clock with a queue of events.
type sim struct {
	now   time.Time
	queue queue
	seq   int
	rng   *rand.Rand
}

func newSim(seed uint64) *sim {
	return &sim{now: time.Unix(1_000_000, 0), rng: rand.New(rand.NewPCG(seed, 11))}
}

// after schedules an event.
func (s *sim) after(d time.Duration, do func()) {
	s.seq++
	heap.Push(&s.queue, event{at: s.now.Add(d), seq: s.seq, do: do})
}

// run carries events out until the given time.
func (s *sim) run(until time.Time) {
	for len(s.queue) > 0 && !s.queue[0].at.After(until) {
		e := heap.Pop(&s.queue).(event)
		s.now = e.at
		e.do()
	}
	s.now = until
}

// exponential draws a waiting time with the given mean.
func (s *sim) exponential(mean time.Duration) time.Duration {
	return time.Duration(s.rng.ExpFloat64() * float64(mean))
}
