package bound_test

import (
	"testing"
	"time"

	"github.com/gaplink/gaplink/bound"
)

// Covers the bounds of deployments of 6, 87 and 300 routers, and stricter and wider ones.
func TestPartsAddUpToTheBound(t *testing.T) {
	for _, b := range []time.Duration{2 * time.Second, 2500 * time.Millisecond, 3 * time.Second, 4 * time.Second, 5 * time.Second, 20 * time.Second} {
		for _, large := range []bool{false, true} {
			p := bound.Divide(b, large)
			if large && b < 2300*time.Millisecond {
				continue // no time for a watch is left
			}
			if p.Sum() > b {
				t.Errorf("%v, large %v: %+v add up to %v", b, large, p, p.Sum())
			}
			if sum := p.Watch + p.Propagation + p.Discovery + p.Delivery; sum != p.Sum() {
				t.Errorf("%v, large %v: the parts are %v, their sum says %v", b, large, sum, p.Sum())
			}
			if p.Retry()+bound.CallTimeout > max(b, 2*bound.CallTimeout) {
				t.Errorf("%v, large %v: a router whose query failed is up to date again only after %v", b, large, p.Retry()+bound.CallTimeout)
			}
		}
	}
}

// In a fleet without faults no router reaches its staleness bound and queries the store
// directly.
func TestUpdatesOfAHealthyFleetAreNeverStale(t *testing.T) {
	const calls = 4 * 10 * time.Millisecond // the store's answer and both questions, with some to spare
	for _, b := range []time.Duration{3 * time.Second, 4 * time.Second, 5 * time.Second, 20 * time.Second} {
		p := bound.Divide(b, true)
		if eldest := p.Watch + bound.AskEvery + p.Ask + calls; eldest >= p.StaleAfter() {
			t.Errorf("%v: updates are up to %v old, and stale from %v on", b, eldest, p.StaleAfter())
		}
		if eldest := p.Watch + bound.AskEvery + calls; eldest >= p.RelayStaleAfter() {
			t.Errorf("%v: updates are up to %v old at relays, and stale from %v on", b, eldest, p.RelayStaleAfter())
		}
	}
}

// The store is not asked without pause, however short the bound is.
func TestShortBoundLeavesAWatch(t *testing.T) {
	if w := bound.Divide(time.Second, true).Watch; w < 500*time.Millisecond {
		t.Errorf("watches of %v", w)
	}
	if w := bound.Divide(time.Hour, true).Watch; w > 30*time.Second {
		t.Errorf("watches of %v, the store allows 30 s", w)
	}
}
