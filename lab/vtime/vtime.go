// Package vtime provides a virtual clock for seeded simulations. Events run in the
// order of their virtual times, and a run repeats exactly.
package vtime

import (
	"container/heap"
	"math/rand/v2"
	"time"
)

// event is a function that runs at a virtual time.
type event struct {
	at  time.Time
	seq int // orders events with the same time
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

// Sim is a virtual clock with an event queue and a seeded random source.
type Sim struct {
	// Now is the virtual time.
	Now time.Time
	// Rng is the random source.
	Rng   *rand.Rand
	queue queue
	seq   int
}

// New returns a clock whose random source is determined by seed and stream.
func New(seed, stream uint64) *Sim {
	return &Sim{Now: time.Unix(1_000_000, 0), Rng: rand.New(rand.NewPCG(seed, stream))}
}

// After schedules do to run d after the current virtual time.
func (s *Sim) After(d time.Duration, do func()) {
	s.seq++
	heap.Push(&s.queue, event{at: s.Now.Add(d), seq: s.seq, do: do})
}

// Run executes events up to and including the given time, and advances the clock to it.
func (s *Sim) Run(until time.Time) {
	for len(s.queue) > 0 && !s.queue[0].at.After(until) {
		e := heap.Pop(&s.queue).(event)
		s.Now = e.at
		e.do()
	}
	s.Now = until
}

// Exponential draws a waiting time with the given mean.
func (s *Sim) Exponential(mean time.Duration) time.Duration {
	return time.Duration(s.Rng.ExpFloat64() * float64(mean))
}
