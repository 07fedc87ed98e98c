package bound_test

import (
	"testing"
	"time"

	"github.com/gaplink/gaplink/bound"
)

// Covers the bounds of deployments with 6, 87 and 300 routers, and shorter and longer ones.
func TestPartsAddUpToTheBound(t *testing.T) {
	for _, b := range []time.Duration{2 * time.Second, 2500 * time.Millisecond, 3 * time.Second, 4 * time.Second, 5 * time.Second, 20 * time.Second} {
		for _, large := range []bool{false, true} {
			p := bound.Divide(b, large)
			if large && b < 2300*time.Millisecond {
				continue // leaves no time for a watch
			}
			if p.Sum() > b {
				t.Errorf("%v, large %v: the parts %+v add up to %v", b, large, p, p.Sum())
			}
			if sum := p.Watch + p.Propagation + p.Discovery + p.Delivery; sum != p.Sum() {
				t.Errorf("%v, large %v: the parts add up to %v, but Sum returns %v", b, large, sum, p.Sum())
			}
			if p.Retry()+bound.CallTimeout > max(b, 2*bound.CallTimeout) {
				t.Errorf("%v, large %v: a router whose query failed is up to date again only after %v", b, large, p.Retry()+bound.CallTimeout)
			}
		}
	}
}

// Guards against direct queries of the store in a healthy fleet: without faults no router may
// reach its staleness bound.
func TestUpdatesInAHealthyFleetAreNotStale(t *testing.T) {
	const callTime = 4 * 10 * time.Millisecond // the store's response and both polls, with a margin
	for _, b := range []time.Duration{3 * time.Second, 4 * time.Second, 5 * time.Second, 20 * time.Second} {
		p := bound.Divide(b, true)
		if maxAge := p.Watch + bound.RequestInterval + p.RequestInterval + callTime; maxAge >= p.StaleAfter() {
			t.Errorf("%v: updates are up to %v old and become stale at %v", b, maxAge, p.StaleAfter())
		}
		if maxAge := p.Watch + bound.RequestInterval + callTime; maxAge >= p.RelayStaleAfter() {
			t.Errorf("%v: updates at relays are up to %v old and become stale at %v", b, maxAge, p.RelayStaleAfter())
		}
	}
}

// Guards against continuous polling of the store with a short bound, and against a watch that is
// longer than the store allows.
func TestWatchStaysWithinItsLimits(t *testing.T) {
	if w := bound.Divide(time.Second, true).Watch; w < 500*time.Millisecond {
		t.Errorf("the watch waits %v, want at least 500 ms", w)
	}
	if w := bound.Divide(time.Hour, true).Watch; w > 30*time.Second {
		t.Errorf("the watch waits %v, but the store allows 30 s", w)
	}
}
