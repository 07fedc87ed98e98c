package budget_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// newBusyFleet returns a network of three routers of which the last two each serve ten requests of 100
// tokens a second, every other one less urgent.
func newBusyFleet(t *rapid.T, limit int64, largeFleet bool) *network {
	n := newSharedOwnerNetwork(t, limit)
	n.manyRouters, n.byRank = largeFleet, largeFleet
	n.scarceWithin = 12 * time.Second
	for _, r := range n.routers {
		n.bootSelfOwner(r)
	}
	n.advance(12 * time.Second)
	n.serveFleet(10 * time.Second)
	return n
}

// serveFleet has the last two routers serve requests and returns how many were refused.
func (n *network) serveFleet(d time.Duration) (refused int) {
	for ; d > 0; d -= 200 * time.Millisecond {
		for i := range 4 {
			r := n.routers[1+i/2]
			n.reserveRanked(r, 100, 2*(i%2))
			n.exchangeNow()
			if len(r.running) == 0 {
				refused++
			}
			n.settleAll(r)
			n.exchangeNow()
		}
		n.advance(200 * time.Millisecond)
	}
	return refused
}

// TestUrgentRequestsOutlastOwnerAndStore guards against an ordinary router that holds too little for its
// urgent requests while it can reach neither the owner nor the store.
func TestUrgentRequestsOutlastOwnerAndStore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		served := func(largeFleet bool) (requests int) {
			n := newBusyFleet(t, 1000000, largeFleet)
			n.storeLost = true
			r := n.routers[1]
			n.routers[0].cut = true
			for range 45 { // 9 s
				n.reserveRanked(r, 100, later)
				n.exchange("unavailable")
				n.settleAll(r)
				n.reserveRanked(r, 100, urgent)
				n.exchange("unavailable")
				requests += len(r.running)
				n.settleAll(r)
				n.wait(4, 50*time.Millisecond, "unavailable")
			}
			return requests
		}
		before, now := served(false), served(true)
		if now < before+15 {
			t.Fatalf("%d of 45 urgent requests are served, %d without the rules of a large fleet", now, before)
		}
	})
}

// TestNearlyUsedUpBudgetIsHeldShort guards against a twentieth of a budget being lost when all routers lose
// power shortly before its end.
func TestNearlyUsedUpBudgetIsHeldShort(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		most := func(largeFleet bool) (held int64, refused int) {
			n := newBusyFleet(t, 200000, largeFleet)
			for n.limit-n.spent >= n.limit/5 {
				n.serveFleet(time.Second)
			}
			n.serveFleet(3 * time.Second)
			for n.limit-n.spent > n.limit/15 {
				refused += n.serveFleet(200 * time.Millisecond)
				held = max(held, n.heldByAll())
			}
			n.checkSpent()
			return held, refused
		}
		before, _ := most(false)
		now, refused := most(true)
		if now >= 6000 || refused > 0 {
			t.Fatalf("%d of 200000 tokens are held near the end, %d without the rules of a large fleet; %d requests are refused", now, before, refused)
		}
	})
}
