package server

import (
	"time"

	"github.com/gaplink/gaplink/clock"
	"github.com/gaplink/gaplink/peer"
)

// stale tells whether a request sent now could go by servers, a configuration or evacuations that
// are older than the operator's bounds, although another router or the store may know better.
func (s *Server) stale() bool {
	bounds := peer.Ages{
		Config:    s.settings.Bounds.Apply.Std(),
		Servers:   s.settings.Bounds.Leave.Std(),
		Evacuated: s.settings.Bounds.Evacuate.Std(),
	}
	age, outdated := outdated(s.updates.Ages(), bounds, s.linkWait())
	if !outdated {
		return false
	}
	return situation{
		busy:         s.link.Busy(),
		asked:        s.hasAskedSince(age),
		lostAtRelays: s.updates.StoreLostAtRelays(),
	}.stale()
}

// outdated tells whether a kind of objects is older than its bound by the time that a request
// has waited at the link, and the least age of those that are. A bound of 0 holds always.
func outdated(ages, bounds peer.Ages, wait time.Duration) (least time.Duration, is bool) {
	for _, kind := range []struct{ age, bound time.Duration }{
		{ages.Config, bounds.Config}, {ages.Servers, bounds.Servers}, {ages.Evacuated, bounds.Evacuated},
	} {
		if kind.bound == 0 || kind.age != peer.Unheard && kind.age+wait <= kind.bound {
			continue
		}
		if !is || least == peer.Unheard || kind.age != peer.Unheard && kind.age < least {
			least = kind.age
		}
		is = true
	}
	return least, is
}

// hasAskedSince tells whether this router has asked the store and the other routers since what
// it knows had an age of 0, and none answered.
func (s *Server) hasAskedSince(age time.Duration) bool {
	var known time.Time
	if age != peer.Unheard {
		known = clock.Now().Add(-age)
	}
	return s.callLost() && (s.link.HasAskedSince(known) || s.isAlone())
}

// isAlone tells whether this router knows no other one.
func (s *Server) isAlone() bool { return len(s.members.Members()) == 1 }

// situation is that of a router whose knowledge is outdated.
type situation struct {
	// busy: its link is full, its processor time or its descriptors are used up, or it was
	// paused just now, so that silence says nothing of the others.
	busy bool
	// asked: it has asked all others since, and got no answer.
	asked bool
	// lostAtRelays: it hears others, which say that the store answers none of them.
	lostAtRelays bool
}

// stale tells whether callers are better off elsewhere. A router that is cut off, or hears that
// all are, knows as little, but others know no more, and it may be all that its callers reach.
func (s situation) stale() bool {
	return !s.lostAtRelays && (s.busy || !s.asked)
}
