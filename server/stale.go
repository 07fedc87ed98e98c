package server

import (
	"time"

	"github.com/gaplink/gaplink/clock"
	"github.com/gaplink/gaplink/peer"
)

// stale reports whether a request sent now might be routed by servers, a configuration or
// evacuations older than the operator's bounds while another router or the store may have newer
// ones.
func (s *Server) stale() bool {
	limits := s.current().Bounds
	bounds := peer.Ages{
		Config:    limits.Apply.Std(),
		Servers:   limits.Leave.Std(),
		Evacuated: limits.Evacuate.Std(),
	}
	age, outdated := outdated(s.updates.Ages(), bounds, s.linkDelay())
	if !outdated {
		return false
	}
	return staleness{
		busy:         s.link.Busy(),
		unanswered:   s.unansweredSince(age),
		lostAtRelays: s.updates.StoreLostAtRelays(),
	}.stale()
}

// serversCurrent reports whether the registrations of backend servers are as new as the operator's bound demands.
func (s *Server) serversCurrent() bool {
	_, exceeded := outdated(s.updates.Ages(), peer.Ages{Servers: s.current().Bounds.Leave.Std()}, 0)
	return !exceeded
}

// outdated reports whether a kind of objects exceeds its bound once a request has waited at the
// link, and returns the least age of those that do. A bound of 0 is never exceeded.
func outdated(ages, bounds peer.Ages, wait time.Duration) (leastAge time.Duration, exceeded bool) {
	for _, kind := range []struct{ age, bound time.Duration }{
		{ages.Config, bounds.Config}, {ages.Servers, bounds.Servers}, {ages.Evacuated, bounds.Evacuated},
	} {
		if kind.bound == 0 || kind.age != peer.UnknownAge && kind.age+wait <= kind.bound {
			continue
		}
		if !exceeded || leastAge == peer.UnknownAge || kind.age != peer.UnknownAge && kind.age < leastAge {
			leastAge = kind.age
		}
		exceeded = true
	}
	return leastAge, exceeded
}

// unansweredSince reports whether this router has called both the store and the other routers since
// its data of the given age was current, and got no answer.
func (s *Server) unansweredSince(age time.Duration) bool {
	var known time.Time
	if age != peer.UnknownAge {
		known = clock.Now().Add(-age)
	}
	return s.lastStoreCallFailed() && (s.link.UnansweredSince(known) || s.isAlone())
}

// isAlone reports whether this router's list contains no other router.
func (s *Server) isAlone() bool { return len(s.members.Members()) == 1 }

// staleness describes a router whose data exceeds a staleness bound.
type staleness struct {
	// busy is set if the link is saturated, CPU time or file descriptors are exhausted, or the
	// process was paused just now, so that missing answers say nothing about the others.
	busy bool
	// unanswered is set if calls to the store and the other routers since then got no answer.
	unanswered bool
	// lostAtRelays is set if other routers report that the store answers none of them.
	lostAtRelays bool
}

// stale reports whether callers should use another router. A router that is partitioned from the
// store and all others, or learns that the store answers none of them, goes on serving: the others
// have no newer data, and it may be the only router that its callers reach.
func (s staleness) stale() bool {
	return !s.lostAtRelays && (s.busy || !s.unanswered)
}
