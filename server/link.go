package server

import (
	"errors"
	"sync"
	"syscall"
	"time"

	"go.uber.org/zap"

	"github.com/gaplink/gaplink/clock"
	"github.com/gaplink/gaplink/link"
)

// bytesPerMbit converts a link's capacity.
const bytesPerMbit = 1e6 / 8

// congestedDialTimeout bounds the opening of a connection while the router's
// own link is full: what waits there is about a second's worth.
const congestedDialTimeout = 1500 * time.Millisecond

// starvedWindow is how long a window takes whose end had to wait for processor time.
const starvedWindow = link.Window + 150*time.Millisecond

// linkState is what the router goes by while its link is full.
type linkState struct {
	mu    sync.Mutex
	guard link.Guard
	away  bool // as observed last
	// starved tells that the last window ended late, since the process had no turn.
	starved bool
	// observedAt is when the last window ended; zero: none has.
	observedAt time.Time
	// noFilesUntil is until when the process counts as out of descriptors.
	noFilesUntil time.Time
	// troubledAt is when the router was busy last, and unansweredFrom when the last question
	// began to which nobody answered although the router was not busy.
	troubledAt, unansweredFrom time.Time
}

// Away tells whether the router should get no new connections.
func (l *linkState) Away() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.guard.Away(clock.Now())
}

// Full tells whether the link is full now.
func (l *linkState) Full() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.guard.Full()
}

// Busy tells whether the link is full, the processor time or the descriptors are used up, or
// the process was paused just now, so that what this router hears and sends is late.
func (l *linkState) Busy() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.busy(clock.Now())
}

// busy is Busy. A process that was paused may serve requests before its timers fire. It is
// called under the lock.
func (l *linkState) busy(now time.Time) bool {
	overdue := !l.observedAt.IsZero() && now.Sub(l.observedAt) >= starvedWindow
	return l.guard.Full() || l.starved || overdue || now.Before(l.noFilesUntil)
}

// HasAskedSince tells whether this router has asked another one after a moment, and after it was
// busy last, and got no answer.
func (l *linkState) HasAskedSince(moment time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.unansweredFrom.After(l.troubledAt) && l.unansweredFrom.After(moment)
}

// noFilesFor is how long one call without a descriptor counts: some questions to others.
const noFilesFor = time.Second

// failed takes how a question to another router has failed that began at a time. While this
// router is busy that says nothing of the others.
func (l *linkState) failed(begun time.Time, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := clock.Now()
	switch {
	case errors.Is(err, syscall.EMFILE):
		l.noFilesUntil = now.Add(noFilesFor)
		l.troubledAt = now
	case !l.busy(now):
		l.unansweredFrom = begun
	}
}

// questionFailed takes how a question to another router has failed that began at a time.
func (s *Server) questionFailed(begun time.Time, err error) {
	s.descriptors.failed(err)
	s.link.failed(begun, err)
}

// observe takes the load of a window and how long that was, and tells whether Away has
// changed.
func (l *linkState) observe(now time.Time, load link.Load, window time.Duration) (changed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.guard.Observe(now, load)
	l.starved = window >= starvedWindow
	l.observedAt = now
	if l.busy(now) {
		l.troubledAt = now
	}
	was := l.away
	l.away = l.guard.Away(now)
	return was != l.away
}

// endLinkWindow ends a window of the meter, which began at a time, and tells the guard of its load.
func (s *Server) endLinkWindow(begun, now time.Time) {
	if s.settings.Link.Mbps == 0 {
		return
	}
	load := s.meter.Tick(now)
	if s.link.observe(now, load, now.Sub(begun)) {
		s.log.Info("link load", zap.Bool("full", s.link.Away()), zap.Float64("in", load.In), zap.Float64("out", load.Out), zap.Int64("in_flight", s.gateway.InFlight()))
	}
}

// linkWait is how long requests and answers wait at the router's link together, while that
// is full. Calls take long for other reasons too, of which callers' bytes know nothing.
func (s *Server) linkWait() time.Duration {
	if !s.link.Full() {
		return 0
	}
	return s.queue.Wait(clock.Now())
}
