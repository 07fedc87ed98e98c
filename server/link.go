package server

import (
	"context"
	"errors"
	"sync"
	"syscall"
	"time"

	"go.uber.org/zap"

	"github.com/gaplink/gaplink/clock"
	"github.com/gaplink/gaplink/link"
	"github.com/gaplink/gaplink/peer"
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
	// noFilesUntil is until when the process counts as out of descriptors.
	noFilesUntil time.Time
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

// Busy tells whether the link is full, or the processor time or the descriptors are used
// up, so that what this router hears and sends is late.
func (l *linkState) Busy() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.guard.Full() || l.starved || clock.Now().Before(l.noFilesUntil)
}

// noFilesFor is how long one call without a descriptor counts: some questions to others.
const noFilesFor = time.Second

// failed takes how a question to another router has failed.
func (l *linkState) failed(err error) {
	if !errors.Is(err, syscall.EMFILE) {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.noFilesUntil = clock.Now().Add(noFilesFor)
}

// observe takes the load of a window and how long that was, and tells whether Away has
// changed.
func (l *linkState) observe(now time.Time, load link.Load, window time.Duration) (changed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.guard.Observe(now, load)
	l.starved = window >= starvedWindow
	was := l.away
	l.away = l.guard.Away(now)
	return was != l.away
}

// watchLink ends the meter's windows and tells the guard of their load.
func (s *Server) watchLink(ctx context.Context) {
	if s.settings.Link.Mbps == 0 {
		return
	}
	ticker := time.NewTicker(link.Window)
	defer ticker.Stop()
	ended := clock.Now()
	for {
		select {
		case <-ticker.C:
			now := clock.Now()
			load := s.meter.Tick(now)
			window := now.Sub(ended)
			ended = now
			if s.link.observe(now, load, window) {
				s.log.Info("link load", zap.Bool("full", s.link.Away()), zap.Float64("in", load.In), zap.Float64("out", load.Out), zap.Int64("in_flight", s.gateway.InFlight()))
			}
		case <-ctx.Done():
			return
		}
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

// stale tells whether a request sent now could reach a server that left longer ago than the
// bound allows, through a fault of this router.
func (s *Server) stale() bool {
	now := situation{busy: s.link.Busy()}
	if !now.busy {
		return false // asked for at each request, and mostly so
	}
	now.toldLost = s.news.ToldLost()
	now.age = s.news.Ages().Servers
	now.wait = s.linkWait()
	return now.stale(s.settings.Bounds.Leave.Std())
}

// situation is what tells whether a router is stale.
type situation struct {
	// busy: its link is full, or its processor time or its descriptors are used up.
	busy bool
	// toldLost: it hears others, which say that the store answers none of them.
	toldLost bool
	// age is that of what it knows of the servers, and wait how long what it sends waits
	// at its link.
	age, wait time.Duration
}

// stale tells whether callers are better off elsewhere. One that is cut off, or hears that
// all are, knows as little, but others know no more, and it may be all that its callers
// reach.
func (s situation) stale(within time.Duration) bool {
	if !s.busy || s.toldLost {
		return false
	}
	return s.age == peer.Unheard || s.age+s.wait > within
}
