// Package spread propagates what a router observes to the other routers: to all of them in
// a small fleet, and in a large one to those from which the others regularly ask for
// updates.
package spread

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/gaplink/gaplink/clock"
	"github.com/gaplink/gaplink/wait"
)

const (
	// sendEvery gathers the reports that are made within a moment.
	sendEvery = 20 * time.Millisecond
	// callTimeout bounds a call to another router.
	callTimeout = 400 * time.Millisecond
	// resendEvery is how often a report is sent again to a router that did not take it, and
	// resendFor until when. A router that is away for longer asks when it is back.
	resendEvery = 500 * time.Millisecond
	resendFor   = time.Minute
	// askAtMost is how many routers are asked for what they know before this one goes on
	// without.
	askAtMost = 3
	// logged bounds the reports that are held for routers that ask for updates.
	logged = 256
	// beat is how often the process checks whether it was paused.
	beat = 250 * time.Millisecond
)

// Report is what is propagated.
type Report[R any] interface {
	// IsEmpty tells whether it holds nothing.
	IsEmpty() bool
	// Aged returns the report as it reads so much later.
	Aged(by time.Duration) R
	// Merged returns a report that holds this one and a later one.
	Merged(later R) R
}

// Fleet are the other routers.
type Fleet[R any] interface {
	// Report sends a report to a router. If all is set, it asks for all that the router
	// knows.
	Report(ctx context.Context, id string, r R, all bool) (R, error)
	// Listeners are the routers that get each report.
	Listeners() []string
	// Peers are the routers that may be asked, the best first.
	Peers() []string
}

// Options are what a spreader works with.
type Options[R Report[R]] struct {
	// Fleet may be nil: there are no other routers then.
	Fleet Fleet[R]
	// Receive takes what another router reports.
	Receive func(R)
	// Snapshot returns all that this router knows.
	Snapshot func() R
	// Trim bounds a report that waits for a router; nil: it is not bounded.
	Trim func(R) R
	// What names the reports in the log.
	What string
	Log  *zap.Logger
}

// dated is a report and when it was made.
type dated[R Report[R]] struct {
	report R
	at     time.Time
}

// now returns the report as it reads now.
func (d dated[R]) now() R { return d.report.Aged(clock.Since(d.at)) }

// Spreader is safe for concurrent use.
type Spreader[R Report[R]] struct {
	Options[R]

	mu     sync.Mutex
	outbox dated[R]
	wake   chan struct{} // there is something in the outbox
	// queues are the reports that wait for routers, by id. A router to which reports are
	// being delivered has one, empty or not.
	queues map[string]dated[R]
	// log are the last reports, and last is the number of the last one.
	log  []dated[R]
	last int64
}

// New returns a spreader.
func New[R Report[R]](o Options[R]) *Spreader[R] {
	return &Spreader[R]{Options: o, wake: make(chan struct{}, 1), queues: map[string]dated[R]{}}
}

// Run sends reports until the context ends. Unless the owner calls CatchUp after a pause of the
// process, NoticePauses does.
func (s *Spreader[R]) Run(ctx context.Context) { s.sendAll(ctx) }

// Send sends a report to the other routers.
func (s *Spreader[R]) Send(r R) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.add(r)
	s.outbox = dated[R]{s.outbox.now().Merged(r), clock.Now()}
	select {
	case s.wake <- struct{}{}:
	default: // it is awake already
	}
}

// Note holds a report of another router for those that ask this one for updates.
func (s *Spreader[R]) Note(r R) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.add(r)
}

// add puts a report into the log. It is called under the lock.
func (s *Spreader[R]) add(r R) {
	s.log = append(s.log, dated[R]{r, clock.Now()})
	s.last++
	if len(s.log) > logged {
		s.log = s.log[1:]
	}
}

// Since returns the reports after number seq of the log, and the number of the last one.
// Without that part of the log it returns all that this router knows.
func (s *Spreader[R]) Since(seq int64) (R, int64) {
	r, last, ok := s.since(seq)
	if !ok {
		r = s.Snapshot()
	}
	return r, last
}

func (s *Spreader[R]) since(seq int64) (r R, last int64, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	missed := s.last - seq
	if missed < 0 || missed > int64(len(s.log)) {
		return r, s.last, false
	}
	for _, one := range s.log[int64(len(s.log))-missed:] {
		r = r.Merged(one.now())
	}
	return r, s.last, true
}

// sendAll delivers what is in the outbox to all listeners.
func (s *Spreader[R]) sendAll(ctx context.Context) {
	for {
		select {
		case <-s.wake:
		case <-ctx.Done():
			return
		}
		_ = wait.For(ctx, sendEvery)
		r := s.takeOutbox()
		if s.Fleet == nil || r.IsEmpty() {
			continue
		}
		for _, id := range s.Fleet.Listeners() {
			if s.queue(id, r) {
				go s.deliver(ctx, id)
			}
		}
	}
}

func (s *Spreader[R]) takeOutbox() R {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.outbox.now()
	s.outbox = dated[R]{}
	return r
}

// queue adds a report to those that wait for a router, and tells whether nobody delivers
// to it yet.
func (s *Spreader[R]) queue(id string, r R) (first bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	before, busy := s.queues[id]
	waiting := before.now().Merged(r)
	if s.Trim != nil {
		waiting = s.Trim(waiting)
	}
	s.queues[id] = dated[R]{waiting, clock.Now()}
	return !busy
}

// next takes what waits for a router. If nothing does, its delivery is over.
func (s *Spreader[R]) next(id string) (R, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.queues[id].now()
	if r.IsEmpty() {
		delete(s.queues, id)
		return r, false
	}
	s.queues[id] = dated[R]{}
	return r, true
}

// deliver sends a router what waits for it until nothing does. One that does not answer may
// be paused, or cut off for a while.
func (s *Spreader[R]) deliver(ctx context.Context, id string) {
	end := clock.Now().Add(resendFor)
	for {
		r, more := s.next(id)
		if !more {
			return
		}
		begun := clock.Now()
		err := s.report(ctx, id, r)
		if err == nil {
			continue
		}
		s.queue(id, r.Aged(clock.Since(begun)))
		if clock.Now().After(end) || ctx.Err() != nil {
			s.abandon(id, err)
			return
		}
		_ = wait.For(ctx, resendEvery)
	}
}

// abandon drops what waits for a router.
func (s *Spreader[R]) abandon(id string, cause error) {
	s.mu.Lock()
	delete(s.queues, id)
	s.mu.Unlock()
	s.Log.Info("report not delivered", zap.String("report", s.What), zap.String("router", id), zap.Error(cause))
}

func (s *Spreader[R]) report(ctx context.Context, id string, r R) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, err := s.Fleet.Report(ctx, id, r, false)
	return err
}

// CatchUp asks other routers for all that they know, one after the other until one answers.
func (s *Spreader[R]) CatchUp(ctx context.Context) {
	if s.Fleet == nil {
		return
	}
	var nothing R
	peers := s.Fleet.Peers()
	for _, id := range peers[:min(len(peers), askAtMost)] {
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		all, err := s.Fleet.Report(callCtx, id, nothing, true)
		cancel()
		if err == nil {
			s.Receive(all)
			return
		}
		s.Log.Info("router not asked for its reports", zap.String("report", s.What), zap.String("router", id), zap.Error(err))
	}
}

// NoticePauses catches up whenever the process or its machine was paused, until the context ends:
// reports that were sent meanwhile may be lost.
func (s *Spreader[R]) NoticePauses(ctx context.Context) {
	pauses := clock.NewPauses()
	for ctx.Err() == nil {
		_ = wait.For(ctx, beat)
		if paused := pauses.Since(beat); paused > 0 {
			s.Log.Info("process was paused", zap.Duration("for_ms", paused))
			s.CatchUp(ctx)
		}
	}
}
