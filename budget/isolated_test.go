package budget_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// newLargeFleet returns a network whose first router is the owner, with the rules of a large
// fleet, after the first router has been up for longer than the time of careful draws.
func newLargeFleet(t *rapid.T, limit int64) *network {
	n := newSharedOwnerNetwork(t, limit)
	n.manyRouters = true
	for _, r := range n.routers {
		n.bootSelfOwner(r)
	}
	n.advance(12 * time.Second)
	return n
}

// request has a router serve one request completely.
func (n *network) request(r *router, need int64) {
	n.reserve(r, need)
	n.exchangeNow()
	n.finish(r, need)
	n.exchangeNow()
}

// traffic has a router serve five requests of 100 tokens each second.
func (n *network) traffic(r *router, d time.Duration) {
	for ; d > 0; d -= 200 * time.Millisecond {
		n.request(r, 100)
		n.advance(200 * time.Millisecond)
	}
}

// isolate restarts the third router while it can reach the store but no router, and has it
// serve a burst.
func (n *network) isolate() *router {
	r := n.routers[2]
	r.cut = true
	n.crash(r)
	n.advance(time.Second)
	for range 50 {
		n.request(r, 100)
	}
	return r
}

// TestIsolatedRouterDrawsForItself guards against a router that restarts while it cannot reach
// the other routers and draws for the whole fleet. On a simulated day it drew a tenth of a
// budget and used 0.5% of that in twenty seconds.
func TestIsolatedRouterDrawsForItself(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := newLargeFleet(t, 300000)
		r := n.isolate()
		if held := n.held(2); held > 10000 {
			t.Fatalf("%d tokens of %d are held after 50 requests of 100", held, n.limit)
		}
		n.traffic(r, 12*time.Second)
		if held := n.held(2); held > 3000 {
			t.Fatalf("%d tokens are held at a demand of 500 a second", held)
		}
	})
}

// TestStartingOwnerDrawsForItself guards against a router that has just started and draws for the whole
// fleet before it knows the routers that are ranked before it. Later it draws ahead as before.
func TestStartingOwnerDrawsForItself(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := newLargeFleet(t, 300000)
		owner := n.routers[0]
		n.crash(owner)
		n.traffic(owner, 8*time.Second)
		if held := n.held(0); held > 2000 {
			t.Fatalf("%d tokens are held 8 s after the start, at a demand of 500 a second", held)
		}
		n.traffic(owner, 10*time.Second)
		if held := n.held(0); held < 4000 {
			t.Fatalf("only %d tokens are held 18 s after the start", held)
		}
	})
}

// TestIsolatedRouterReturnsItsBurst guards against what an isolated router drew for a burst staying
// there when the burst is over and the owner can be reached again.
func TestIsolatedRouterReturnsItsBurst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := newLargeFleet(t, 300000)
		r := n.isolate()
		n.traffic(r, time.Duration(rapid.IntRange(0, 12).Draw(t, "seconds"))*time.Second)
		r.cut = false
		n.traffic(r, 12*time.Second)
		if held := n.held(2); held > 3200 {
			t.Fatalf("%d tokens are held at a demand of 500 a second", held)
		}
		n.checkSpent()
	})
}

// TestFormerOwnerReturnsItsSurplus guards against tokens that stay at a router that is the owner no
// longer. It serves requests all the time, so that it is never idle and always keeps a buffer.
func TestFormerOwnerReturnsItsSurplus(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := newLargeFleet(t, 300000)
		former := n.routers[0]
		n.traffic(former, 10*time.Second)
		if n.held(0) < 4000 {
			t.Fatalf("the owner holds only %d tokens", n.held(0))
		}
		n.owner = 1
		n.traffic(former, 3*time.Second)
		if held := n.held(0); held > 3200 { // twice the demand of 3 s
			t.Fatalf("%d tokens are held 3 s after the router ceased to be the owner", held)
		}
		n.checkSpent()
	})
}

// TestSurplusGoesToTheStoreWithoutAnOwner guards against a surplus that stays where it is because the
// owner cannot be reached, or because its process is not known, while the store answers.
func TestSurplusGoesToTheStoreWithoutAnOwner(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := newLargeFleet(t, 300000)
		former := n.routers[0]
		n.traffic(former, 10*time.Second)
		n.ownerUnknown = rapid.Bool().Draw(t, "owner unknown")
		n.owner, n.routers[1].cut = 1, !n.ownerUnknown
		n.advance(4 * time.Second)
		if held := n.held(0); held > 3200 {
			t.Fatalf("%d tokens are held", held)
		}
		n.checkSpent()
	})
}

// TestOwnerKnownLaterGetsTheSurplus guards against an owner whose process was unknown once and is
// never looked up again.
func TestOwnerKnownLaterGetsTheSurplus(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := newLargeFleet(t, 300000)
		n.traffic(n.routers[0], 10*time.Second)
		n.ownerUnknown, n.owner, n.storeLost = true, 1, true
		n.busyWithoutStore(n.routers[0], time.Second)
		n.ownerUnknown = false
		n.busyWithoutStore(n.routers[0], 10*time.Second)
		if held := n.held(0); held > 3200 {
			t.Fatalf("%d tokens are held", held)
		}
	})
}

// busyWithoutStore has a router serve five requests of 100 tokens each second while the store is
// unavailable.
func (n *network) busyWithoutStore(r *router, d time.Duration) {
	for ; d > 0; d -= 200 * time.Millisecond {
		n.reserve(r, 100)
		n.wait(4, 50*time.Millisecond, "unavailable")
		n.finish(r, 100)
	}
}

// TestConflictsDelayTheReturn guards against a return that is dropped when other routers keep
// writing the page first.
func TestConflictsDelayTheReturn(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := newLargeFleet(t, 300000)
		former := n.routers[0]
		n.traffic(former, 10*time.Second)
		n.ownerUnknown, n.owner = true, 1
		conflicts := rapid.IntRange(1, 40).Draw(t, "conflicts")
		for step := range 400 { // 20 s
			n.now = n.now.Add(50 * time.Millisecond)
			if step%4 == 0 {
				n.reserve(former, 100)
				n.finish(former, 100)
			}
			n.perform(former, former.agent.Tick(n.at(former)))
			for len(former.storeCalls) > 0 {
				if conflicts > 0 {
					n.version++ // another router wrote first
					conflicts--
				}
				n.answer(former, "done")
			}
		}
		if held := n.held(0); held > 3200 {
			t.Fatalf("%d tokens are held", held)
		}
		n.checkSpent()
	})
}

// TestQueuedReturnGoesToTheOwner guards against tokens that wait for a write of the page, which other routers keep
// writing first, although the owner can be reached again.
func TestQueuedReturnGoesToTheOwner(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := newLargeFleet(t, 300000)
		former := n.routers[0]
		n.traffic(former, 10*time.Second)
		n.ownerUnknown, n.owner = true, 1
		for step := range 400 { // 20 s
			n.now = n.now.Add(50 * time.Millisecond)
			n.ownerUnknown = step < 20
			if step%4 == 0 {
				n.reserve(former, 100)
				n.finish(former, 100)
			}
			for _, r := range n.routers[:2] {
				n.perform(r, r.agent.Tick(n.at(r)))
			}
			for len(n.messages) > 0 {
				n.deliver(0, "once")
			}
			for len(former.storeCalls) > 0 {
				n.version++ // another router wrote first
				n.answer(former, "done")
			}
		}
		if held, queued := n.held(0), former.agent.Holding(testBudget).Writing; held+queued > 3200 {
			t.Fatalf("%d tokens are held and %d wait for the store", held, queued)
		}
		n.checkSpent()
	})
}

// TestLostReturnIsRepeated guards against a surplus that is lost on the way, because the message that
// moves it got no answer and no further message follows.
func TestLostReturnIsRepeated(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := newLargeFleet(t, 300000)
		n.traffic(n.routers[0], 10*time.Second)
		n.owner = 1
		n.now = n.now.Add(releaseWithin) // all of the balance is usable and goes in one message
		before := n.heldByAll() + n.free()
		for len(n.messages) == 0 {
			n.now = n.now.Add(50 * time.Millisecond)
			n.perform(n.routers[0], n.routers[0].agent.Tick(n.now))
		}
		for len(n.messages) > 0 {
			m := n.messages[0]
			n.messages = n.messages[1:]
			n.undelivered(m, false)
		}
		n.advance(3 * time.Second)
		if after := n.heldByAll() + n.free(); after < before {
			t.Fatalf("%d tokens are held by nobody", before-after)
		}
	})
}

// TestLargeFleetNeverOverspends is TestPooledNeverOverspends with the rules of a large fleet
// routers that cannot reach the others, and requests of several ranks.
func TestLargeFleetNeverOverspends(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := newSharedOwnerNetwork(t, 200)
		n.manyRouters, n.byRank = true, true
		for _, r := range n.routers {
			n.bootSelfOwner(r)
		}
		all := escrowActions(n)
		all["reserve ranked"] = func(t *rapid.T) {
			n.reserveRanked(n.routers[rapid.IntRange(0, 2).Draw(t, "router")], rapid.Int64Range(1, 9).Draw(t, "need"), rapid.IntRange(0, 3).Draw(t, "rank"))
		}
		pick := rapid.IntRange(0, 2)
		all["home"] = func(t *rapid.T) { n.owner = pick.Draw(t, "home") }
		all["cut"] = func(t *rapid.T) {
			r := n.routers[pick.Draw(t, "router")]
			r.cut = !r.cut
		}
		all["owner unknown"] = func(*rapid.T) { n.ownerUnknown = !n.ownerUnknown }
		all["undelivered"] = func(*rapid.T) {
			if len(n.messages) > 0 {
				m := n.messages[0]
				n.messages = n.messages[1:]
				n.undelivered(m, false)
			}
		}
		t.Repeat(all)
	})
}
