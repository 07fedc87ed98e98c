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

// bytesPerMbit converts Mbit/s to bytes per second.
const bytesPerMbit = 1e6 / 8

// saturatedDialTimeout bounds opening a connection while the router's own link is saturated, when
// about a second of traffic is queued there.
const saturatedDialTimeout = 1500 * time.Millisecond

// starvedWindow is the window length from which its timer counts as delayed by a lack of CPU time.
const starvedWindow = link.Window + 150*time.Millisecond

// linkOptions are the dependencies of a linkState.
type linkOptions struct {
	// LinkLoads returns the link loads of the other routers of the failure domain by ID, without
	// those that are unknown; nil: all are.
	LinkLoads func() map[string]link.Load
}

// linkState tracks whether this router's link is saturated, whether it is busy, and whether other
// routers leave its calls unanswered.
type linkState struct {
	linkOptions
	mu      sync.Mutex
	shedder link.Shedder
	full    bool // link.Shedder.Full at the end of the last window
	// starved is set if the last window ended late for lack of CPU time.
	starved bool
	// observedAt is the end of the last window; zero before the first one ends.
	observedAt time.Time
	// descriptorsOutUntil is the time until which the process counts as out of file descriptors.
	descriptorsOutUntil time.Time
	// lastBusyAt is the last time that the router was busy. unansweredFrom is the start of the
	// last call to another router that failed while this router was not busy.
	lastBusyAt, unansweredFrom time.Time
}

// Shedding reports whether the router should receive no new connections.
func (l *linkState) Shedding() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.shedder.Shedding(clock.Now())
}

// Saturated reports whether the link was saturated in the last window.
func (l *linkState) Saturated() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.shedder.Saturated()
}

// Busy reports whether the link is saturated, CPU time or file descriptors are exhausted, or the
// process was paused just now, so that its messages are late in both directions.
func (l *linkState) Busy() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.busy(clock.Now())
}

// busy implements Busy; the caller holds the lock. It also compares the time since the last window,
// because a process that resumes from a pause may serve requests before its timers fire.
func (l *linkState) busy(now time.Time) bool {
	overdue := !l.observedAt.IsZero() && now.Sub(l.observedAt) >= starvedWindow
	return l.shedder.Saturated() || l.starved || overdue || now.Before(l.descriptorsOutUntil)
}

// UnansweredSince reports whether a call to another router that began after the given time, and
// after this router was last busy, got no answer.
func (l *linkState) UnansweredSince(t time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.unansweredFrom.After(l.lastBusyAt) && l.unansweredFrom.After(t)
}

// descriptorsOutPeriod is how long the process counts as out of file descriptors after a call failed
// for lack of one; several calls to other routers fall into it.
const descriptorsOutPeriod = time.Second

// recordFailure records the error of a call to another router that began at the given time. While
// this router is busy, a failure says nothing about the other router.
func (l *linkState) recordFailure(start time.Time, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := clock.Now()
	switch {
	case errors.Is(err, syscall.EMFILE):
		l.descriptorsOutUntil = now.Add(descriptorsOutPeriod)
		l.lastBusyAt = now
	case !l.busy(now):
		l.unansweredFrom = start
	}
}

// peerCallFailed handles the error of a call to another router that began at the given time.
func (s *Server) peerCallFailed(start time.Time, err error) {
	s.descriptors.handleError(err)
	s.link.recordFailure(start, err)
}

// observe records the load and the length of a window, and what is known of the failure domain if
// that matters. It reports whether Shedding has changed.
func (l *linkState) observe(now time.Time, load link.Load, window time.Duration, domain *link.Domain) (changed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.shedder.Observe(now, load, domain)
	l.starved = window >= starvedWindow
	l.observedAt = now
	if l.busy(now) {
		l.lastBusyAt = now
	}
	was := l.full
	l.full = l.shedder.Full(now)
	return was != l.full
}

// endLinkWindow ends the meter's window that began at the given time and records its load.
func (s *Server) endLinkWindow(start, now time.Time) {
	if s.settings.Link.Mbps == 0 {
		return
	}
	load := s.meter.Tick(now)
	if s.link.observe(now, load, now.Sub(start), s.linkDomain()) {
		s.log.Info("link load", s.linkFields(now)...)
	}
}

// linkFields describes the last window: the load, bytes per second by purpose, and the account of
// callers with the most bytes.
func (s *Server) linkFields(now time.Time) []zap.Field {
	u := s.meter.Usage()
	full, shedding := s.link.state(now)
	account, share := u.Heaviest()
	fields := []zap.Field{
		zap.Bool("full", full), zap.Float64("in", u.Load.In), zap.Float64("out", u.Load.Out), zap.Int64("in_flight", s.gateway.InFlight()),
		zap.Bool("shedding", shedding), zap.String("account", account), zap.Float64("share", share),
	}
	for _, p := range link.Purposes {
		fields = append(fields, zap.Int64(p.String()+"_in", u.Rates[p].In), zap.Int64(p.String()+"_out", u.Rates[p].Out))
	}
	return fields
}

// state reports whether the link is full, and whether the router sheds.
func (l *linkState) state(now time.Time) (full, shedding bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.shedder.Full(now), l.shedder.Shedding(now)
}

// linkDomain returns what this router knows of the links in its failure domain; nil if decisions
// about a saturated link are switched off.
func (s *Server) linkDomain() *link.Domain {
	if !s.current().Load.Entry {
		return nil
	}
	d := &link.Domain{Self: s.settings.Instance.ID, Size: s.members.DomainSize(s.settings.Instance.Domain)}
	if s.link.LinkLoads != nil {
		d.Loads = s.link.LinkLoads()
	}
	return d
}

// linkDelay returns the queueing delay of a request and its response together at the router's link.
// It is 0 unless the link is saturated: calls between routers may be slow for other reasons, which
// don't delay callers.
func (s *Server) linkDelay() time.Duration {
	if !s.link.Saturated() {
		return 0
	}
	return s.queue.Delay(clock.Now())
}

// entryDelay returns linkDelay if decisions about a saturated link are switched on, else 0.
func (s *Server) entryDelay() time.Duration {
	if !s.current().Load.Entry {
		return 0
	}
	return s.linkDelay()
}

// entrySaturated reports whether the link is saturated and decisions about that are switched on.
func (s *Server) entrySaturated() bool { return s.current().Load.Entry && s.link.Saturated() }
