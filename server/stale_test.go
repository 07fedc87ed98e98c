package server

import (
	"testing"
	"time"

	"github.com/gaplink/gaplink/peer"
)

// Guards against a router that uses stale data although others may have newer data, and against one
// that rejects all callers although no other has.
func TestRouterIsStaleWhileOthersMayHaveNewerData(t *testing.T) {
	for name, c := range map[string]struct {
		staleness
		stale bool
	}{
		"has not asked yet":             {staleness{}, true},
		"cut off":                       {staleness{unanswered: true}, false},
		"all are cut off":               {staleness{lostAtRelays: true}, false},
		"busy":                          {staleness{busy: true}, true},
		"busy, questions without reply": {staleness{busy: true, unanswered: true}, true},
		"busy while all are cut off":    {staleness{busy: true, lostAtRelays: true}, false},
	} {
		if got := c.staleness.stale(); got != c.stale {
			t.Errorf("%s: stale %v", name, got)
		}
	}
}

// Guards against a kind of objects whose bound is not enforced, and against a bound that leaves out
// the queueing delay of a request at the link.
func TestEachKindHasItsBound(t *testing.T) {
	bounds := peer.Ages{Config: 4 * time.Second, Servers: 3 * time.Second, Evacuated: 2 * time.Second}
	known := peer.Ages{Config: time.Second, Servers: time.Second, Evacuated: time.Second}
	with := func(change func(*peer.Ages)) peer.Ages {
		a := known
		change(&a)
		return a
	}
	unknownAges := peer.Ages{Config: peer.UnknownAge, Servers: peer.UnknownAge, Evacuated: peer.UnknownAge}
	noEvacuations := peer.Ages{Config: 4 * time.Second, Servers: 3 * time.Second}
	for name, c := range map[string]struct {
		ages, bounds peer.Ages
		wait         time.Duration
		least        time.Duration
		outdated     bool
	}{
		"all is known":          {known, bounds, 0, 0, false},
		"configuration":         {with(func(a *peer.Ages) { a.Config = 5 * time.Second }), bounds, 0, 5 * time.Second, true},
		"servers":               {with(func(a *peer.Ages) { a.Servers = 3100 * time.Millisecond }), bounds, 0, 3100 * time.Millisecond, true},
		"evacuations":           {with(func(a *peer.Ages) { a.Evacuated = 3 * time.Second }), bounds, 0, 3 * time.Second, true},
		"no evacuations":        {with(func(a *peer.Ages) { a.Evacuated = peer.UnknownAge }), noEvacuations, 0, 0, false},
		"waits at the link":     {known, bounds, 1500 * time.Millisecond, time.Second, true},
		"nothing is known":      {unknownAges, bounds, 0, peer.UnknownAge, true},
		"two, the newer counts": {peer.Ages{Config: 9 * time.Second, Servers: 5 * time.Second}, noEvacuations, 0, 5 * time.Second, true},
		"one unheard, one old":  {peer.Ages{Config: peer.UnknownAge, Servers: 5 * time.Second}, noEvacuations, 0, 5 * time.Second, true},
	} {
		if least, is := outdated(c.ages, c.bounds, c.wait); least != c.least || is != c.outdated {
			t.Errorf("%s: outdated %v, least age %v", name, is, least)
		}
	}
}
