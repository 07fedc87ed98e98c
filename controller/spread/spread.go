// Package spread propagates what a router observes to the other routers: to all of them in a
// small fleet, and in a large one to the relays, which the others regularly ask for updates.
package spread

import (
	"context"
	"errors"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/gaplink/gaplink/clock"
	"github.com/gaplink/gaplink/wait"
)

const (
	// batchInterval is the time over which reports are batched before they are sent.
	batchInterval = 20 * time.Millisecond
	// callTimeout bounds a call to another router.
	callTimeout = 400 * time.Millisecond
	// resendInterval is the delay before a report is sent again to a router that did not
	// accept it, and resendTimeout is when this ends. A router that is unreachable for longer
	// catches up when it is back.
	resendInterval = 500 * time.Millisecond
	resendTimeout  = time.Minute
	// maxUnanswered is how many routers may leave a request for a snapshot unanswered before this one proceeds
	// without, and maxPeersAsked how many are asked at once after one that has not caught up itself.
	maxUnanswered = 3
	maxPeersAsked = 5
	// maxLogged bounds the reports that are kept for routers that ask for updates.
	maxLogged = 256
	// pauseCheckInterval is how often the process checks whether it was paused.
	pauseCheckInterval = 250 * time.Millisecond
)

// Report is the type of the propagated reports.
type Report[R any] interface {
	// IsEmpty reports whether the report is empty.
	IsEmpty() bool
	// Aged returns the report as of a later time.
	Aged(by time.Duration) R
	// Merged returns a report with the contents of this one and of a later one.
	Merged(later R) R
}

// ErrIncomplete is returned with the state of a router that may not know all reports itself.
var ErrIncomplete = errors.New("the router has not caught up itself")

// Fleet are the other routers.
type Fleet[R any] interface {
	// Report sends a report to a router, and asks for its complete state if all is set. With ErrIncomplete it
	// returns a state that may lack reports of others.
	Report(ctx context.Context, id string, r R, all bool) (R, error)
	// Listeners returns the routers that receive each report.
	Listeners() []string
	// Peers returns the routers that may be asked, in order of preference.
	Peers() []string
}

// Options configures a Spreader.
type Options[R Report[R]] struct {
	// Fleet may be nil if there are no other routers.
	Fleet Fleet[R]
	// Receive applies the report of another router.
	Receive func(R)
	// Snapshot returns the complete state of this router.
	Snapshot func() R
	// Trim bounds a report that is queued for a router, and reports whether it has dropped anything: the router is then
	// sent a snapshot as well. nil: it is not bounded.
	Trim func(R) (trimmed R, dropped bool)
	// Informed reports whether relays have sent this router their reports; nil: none do.
	Informed func() bool
	// Name identifies the reports in the log.
	Name string
	Log  *zap.Logger
}

// timestamped is a report and when it was made.
type timestamped[R Report[R]] struct {
	report R
	at     time.Time
}

// queue holds what is queued for a router.
type queue[R Report[R]] struct {
	timestamped[R]
	// snapshot is set if a snapshot is to be sent after the report.
	snapshot bool
}

// now returns the report as of now.
func (d timestamped[R]) now() R { return d.report.Aged(clock.Since(d.at)) }

// Spreader batches, sends and logs reports. It is safe for concurrent use.
type Spreader[R Report[R]] struct {
	Options[R]

	mu     sync.Mutex
	outbox timestamped[R]
	wake   chan struct{} // signals that the outbox is not empty
	// queues holds the reports queued for routers, by id. A router with a delivery in progress
	// has one, empty or not.
	queues map[string]queue[R]
	// log holds the latest reports, and last is the number of the last one.
	log  []timestamped[R]
	last int64
	// complete is set if this router knows the reports that were made before it started or was paused.
	complete bool
}

// New returns a spreader.
func New[R Report[R]](o Options[R]) *Spreader[R] {
	return &Spreader[R]{Options: o, wake: make(chan struct{}, 1), queues: map[string]queue[R]{}}
}

// Run sends reports until the context ends. It does not detect pauses of the process: the
// owner either calls CatchUp after a pause or runs DetectPauses.
func (s *Spreader[R]) Run(ctx context.Context) { s.sendAll(ctx) }

// Send sends a report to the other routers.
func (s *Spreader[R]) Send(r R) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.appendLog(r)
	s.outbox = timestamped[R]{s.outbox.now().Merged(r), clock.Now()}
	select {
	case s.wake <- struct{}{}:
	default: // a wake-up is already pending
	}
}

// Record logs a report of another router for those that ask this one for updates.
func (s *Spreader[R]) Record(r R) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.appendLog(r)
}

// appendLog appends a report to the log. The caller holds s.mu.
func (s *Spreader[R]) appendLog(r R) {
	s.log = append(s.log, timestamped[R]{r, clock.Now()})
	s.last++
	if len(s.log) > maxLogged {
		s.log = s.log[1:]
	}
}

// Since returns the reports after number seq of the log, and the number of the last one. If
// the log no longer reaches back to seq, it returns a snapshot instead.
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

// sendAll sends the contents of the outbox to all listeners, in batches.
func (s *Spreader[R]) sendAll(ctx context.Context) {
	for {
		select {
		case <-s.wake:
		case <-ctx.Done():
			return
		}
		_ = wait.For(ctx, batchInterval)
		r := s.takeOutbox()
		if s.Fleet == nil || r.IsEmpty() {
			continue
		}
		for _, id := range s.Fleet.Listeners() {
			if s.enqueue(id, r, false) {
				go s.deliver(ctx, id)
			}
		}
	}
}

func (s *Spreader[R]) takeOutbox() R {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.outbox.now()
	s.outbox = timestamped[R]{}
	return r
}

// enqueue adds a report to those queued for a router, with a snapshot if one is to follow, and reports whether no
// delivery to it is in progress.
func (s *Spreader[R]) enqueue(id string, r R, snapshot bool) (first bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	before, busy := s.queues[id]
	waiting, dropped := before.now().Merged(r), false
	if s.Trim != nil {
		waiting, dropped = s.Trim(waiting)
	}
	s.queues[id] = queue[R]{timestamped[R]{waiting, clock.Now()}, snapshot || before.snapshot || dropped}
	return !busy
}

// dequeue takes the reports queued for a router, and reports whether a snapshot is to follow. If there is neither, its
// delivery ends.
func (s *Spreader[R]) dequeue(id string) (r R, snapshot, more bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	waiting := s.queues[id]
	r, snapshot = waiting.now(), waiting.snapshot
	if r.IsEmpty() && !snapshot {
		delete(s.queues, id)
		return r, false, false
	}
	s.queues[id] = queue[R]{}
	return r, snapshot, true
}

// deliver sends a router its queued reports until there are none. It retries for
// resendTimeout, since a router that does not answer may be paused or partitioned for a while.
func (s *Spreader[R]) deliver(ctx context.Context, id string) {
	end := clock.Now().Add(resendTimeout)
	for {
		r, snapshot, more := s.dequeue(id)
		if !more {
			return
		}
		sentAt := clock.Now()
		err := s.report(ctx, id, r, snapshot)
		if err == nil {
			continue
		}
		s.enqueue(id, r.Aged(clock.Since(sentAt)), snapshot)
		if clock.Now().After(end) || ctx.Err() != nil {
			s.abandon(id, err)
			return
		}
		_ = wait.For(ctx, resendInterval)
	}
}

// abandon drops the reports queued for a router.
func (s *Spreader[R]) abandon(id string, cause error) {
	s.mu.Lock()
	delete(s.queues, id)
	s.mu.Unlock()
	s.Log.Info("report not delivered", zap.String("report", s.Name), zap.String("router", id), zap.Error(cause))
}

// report sends a report, and then a snapshot if it is wanted.
func (s *Spreader[R]) report(ctx context.Context, id string, r R, snapshot bool) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if !r.IsEmpty() {
		if _, err := s.Fleet.Report(ctx, id, r, false); err != nil {
			return err
		}
	}
	if !snapshot {
		return nil
	}
	_, err := s.Fleet.Report(ctx, id, s.Snapshot(), false)
	return err
}

// IsComplete reports whether this router knows the reports that were made before it started or was paused: it has the
// state of one that knows them, or of all that receive each report, or relays have sent it theirs.
func (s *Spreader[R]) IsComplete() bool {
	if s.Informed != nil && s.Informed() {
		return true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.complete
}

// setComplete sets what IsComplete returns.
func (s *Spreader[R]) setComplete(complete bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.complete = complete
}

// CatchUp asks other routers for their state, one after the other until one answers. If that one has not caught up itself,
// it asks all others at once, up to maxPeersAsked.
func (s *Spreader[R]) CatchUp(ctx context.Context) {
	if s.Fleet == nil {
		return
	}
	s.setComplete(false)
	peers := s.Fleet.Peers()
	for i, id := range peers[:min(len(peers), maxUnanswered)] {
		switch err := s.catchUpFrom(ctx, id); {
		case err == nil:
			s.setComplete(true)
			return
		case errors.Is(err, ErrIncomplete):
			s.setComplete(s.catchUpFromAll(ctx, id, peers[i+1:]))
			return
		}
	}
	s.setComplete(s.allIn(nil))
}

// catchUpFromAll receives the states of routers, besides that of one which has not caught up itself. It reports whether
// one of them has, or all that receive each report have answered.
func (s *Spreader[R]) catchUpFromAll(ctx context.Context, first string, others []string) bool {
	var mu sync.Mutex
	answered, complete := map[string]bool{first: true}, false
	var all sync.WaitGroup
	for _, id := range others[:min(len(others), maxPeersAsked)] {
		all.Go(func() {
			err := s.catchUpFrom(ctx, id)
			mu.Lock()
			defer mu.Unlock()
			complete = complete || err == nil
			answered[id] = err == nil || errors.Is(err, ErrIncomplete)
		})
	}
	all.Wait()
	return complete || s.allIn(answered)
}

// catchUpFrom receives the state of a router.
func (s *Spreader[R]) catchUpFrom(ctx context.Context, id string) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var nothing R
	all, err := s.Fleet.Report(ctx, id, nothing, true)
	if err != nil && !errors.Is(err, ErrIncomplete) {
		s.Log.Info("router did not return its reports", zap.String("report", s.Name), zap.String("router", id), zap.Error(err))
		return err
	}
	s.Receive(all)
	return err
}

// allIn reports whether all routers that receive each report have answered.
func (s *Spreader[R]) allIn(answered map[string]bool) bool {
	for _, id := range s.Fleet.Listeners() {
		if !answered[id] {
			return false
		}
	}
	return true
}

// DetectPauses calls CatchUp whenever the process or its machine was paused, until the context
// ends: reports sent during the pause may be lost.
func (s *Spreader[R]) DetectPauses(ctx context.Context) {
	pauses := clock.NewPauses()
	for ctx.Err() == nil {
		_ = wait.For(ctx, pauseCheckInterval)
		if paused := pauses.Since(pauseCheckInterval); paused > 0 {
			s.Log.Info("process was paused", zap.Duration("for_ms", paused))
			s.CatchUp(ctx)
		}
	}
}
