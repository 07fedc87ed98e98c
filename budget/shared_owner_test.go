package budget_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/gaplink/gaplink/budget"
)

// setSharedOwner configures a router of a large fleet: one router is the owner for all, and
// the others hold tokens only if they have many requests.
func (n *network) setSharedOwner(r *router, cfg *budget.Config) {
	cfg.Owner = func(time.Time, string) string {
		if r.cut {
			return cfg.Self.ID
		}
		return fmt.Sprintf("r%d", n.owner)
	}
	cfg.Running = func(id string) budget.Peer {
		if n.ownerUnknown {
			return budget.Peer{ID: id}
		}
		return budget.Peer{ID: id, Incarnation: n.byID(id).incarnation()}
	}
	if n.manyRouters {
		cfg.SharedOwner = func() bool { return true }
		cfg.Holder = func(holder string) (budget.Peer, bool) {
			id, _, _ := strings.Cut(holder, "/")
			return budget.Peer{ID: id, Incarnation: holder}, n.byID(id).incarnation() == holder
		}
		if n.successors {
			cfg.Lenders = func(time.Time, string) []budget.Peer { return []budget.Peer{{ID: "r1"}, {ID: "r2"}, {ID: "r3"}} }
		}
		cfg.FirstInRank = func(time.Time, string) bool { return r.index == n.owner }
	}
	cfg.Routers = func() int { return 1 }
	cfg.EntryHorizon = 3 * time.Second
	cfg.EntryMinRequests = 4
	cfg.InitialShare = 0.05
	cfg.FinalReserveShare, cfg.FinalReserveTime = 0.02, 15*time.Second
}

// newSharedOwnerNetwork returns a network of three routers whose owner is the first.
func newSharedOwnerNetwork(t *rapid.T, limit int64) *network {
	n := &network{t: t, now: epoch.Add(time.Hour), page: budget.NewPage(), waiting: map[string]int64{}, limit: limit, limitVersion: 1, sharedOwner: true}
	for i := range 3 {
		n.routers = append(n.routers, &router{index: i})
	}
	for _, r := range n.routers {
		n.bootSelfOwner(r)
	}
	return n
}

// TestPooledNeverOverspends drives three routers with one owner through lost, late and
// duplicated messages and writes, changes of the owner, store outages, top-ups, planned
// stops, and deaths of one or all processes.
func TestPooledNeverOverspends(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := newSharedOwnerNetwork(t, 200)
		all := escrowActions(n)
		all["home"] = func(t *rapid.T) { n.owner = rapid.IntRange(0, 2).Draw(t, "home") }
		t.Repeat(all)
	})
}

// exchangeNow answers all store calls and delivers all messages, at most 1000, without advancing the
// time.
func (n *network) exchangeNow() { n.exchangeAtMost(1000) }

func (n *network) exchangeAtMost(messages int) {
	for i := 0; ; i++ {
		if i > messages {
			n.t.Fatalf("messages without end: %+v", n.messages)
		}
		busy := len(n.messages) > 0
		n.deliver(0, "once")
		for _, r := range n.routers {
			busy = busy || len(r.storeCalls) > 0
			n.answer(r, "done")
		}
		if !busy {
			return
		}
	}
}

// advance advances the time in steps of one tick.
func (n *network) advance(d time.Duration) {
	const tick = 50 * time.Millisecond
	for ; d > 0; d -= tick {
		n.now = n.now.Add(tick)
		for _, r := range n.routers {
			n.perform(r, r.agent.Tick(n.at(r)))
		}
		n.exchangeNow()
	}
}

func (n *network) held(i int) int64 { return n.routers[i].agent.Holding(testBudget).Balance }

// TestInitialBalanceIsDrawnBeforeRequests: the owner holds some tokens before the first
// request asks for any, and the other routers hold none.
func TestInitialBalanceIsDrawnBeforeRequests(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := newSharedOwnerNetwork(t, 100000)
		n.advance(time.Second)
		if n.held(0) != 5000 || n.held(1) != 0 {
			t.Fatalf("the owner holds %d of 5000, another router %d", n.held(0), n.held(1))
		}
	})
}

// TestRouterWithFewRequestsHoldsNoTokens: a router with few requests for a budget holds no
// tokens between them; one with many does.
func TestRouterWithFewRequestsHoldsNoTokens(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := newSharedOwnerNetwork(t, 1000000)
		n.advance(time.Second)
		seldom, often := n.routers[1], n.routers[2]
		for range 10 {
			n.reserve(seldom, 100)
			n.exchangeNow()
			if len(seldom.running) == 0 {
				t.Fatal("not granted")
			}
			n.finish(seldom, 40)
			n.exchangeNow()
			for range 20 {
				n.reserve(often, 100)
				n.exchangeNow()
				n.finish(often, 40)
				n.advance(200 * time.Millisecond)
			}
			if n.held(1) != 0 {
				t.Fatalf("%d tokens lie idle at a router with a request in four seconds", n.held(1))
			}
		}
		if n.held(2) < 200 {
			t.Fatalf("a router with five requests a second holds %d tokens ahead", n.held(2))
		}
	})
}

// TestOwnerGrantsWhatItHolds: an owner grants what it holds even when the store has only the
// final reserve of the budget left.
func TestOwnerGrantsWhatItHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := newSharedOwnerNetwork(t, 10000)
		entry := n.routers[1]
		served := int64(0)
		for range 200 { // 500 tokens a second
			n.reserve(entry, 100)
			n.exchangeNow()
			if len(entry.running) > 0 {
				served += 100
				n.finish(entry, 100)
			}
			n.advance(200 * time.Millisecond)
		}
		if served < 9700 {
			t.Fatalf("%d of 10000 tokens served, %d held by the owner", served, n.held(0))
		}
	})
}

// TestOwnerWithoutStoreRedirects: an owner that cannot reach the store, while others can,
// redirects routers that ask for tokens to the successor.
func TestOwnerWithoutStoreRedirects(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := newSharedOwnerNetwork(t, 100000)
		entry := n.routers[1]
		n.reserve(entry, 7000) // more than the owner may hold
		n.deliver(0, "once")
		n.owner = 2 // as the first owner sees it from now on
		for len(n.routers[0].storeCalls) > 0 {
			n.answer(n.routers[0], "unavailable")
		}
		n.exchangeNow()
		if len(entry.running) != 1 {
			t.Fatalf("not served by the successor; waiting: %v", n.waiting)
		}
	})
}

// TestConflictsBackOff: a router whose writes of a page keep conflicting pauses between
// them.
func TestConflictsBackOff(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := newSharedOwnerNetwork(t, 100000)
		owner := n.routers[0]
		n.reserve(owner, 90000)
		writes := 0
		for range 20 { // a second
			for len(owner.storeCalls) > 0 {
				if _, isWrite := owner.storeCalls[0].(budget.WritePage); isWrite {
					writes++
					n.version++ // another router wrote first
				}
				n.answer(owner, "done")
			}
			n.now = n.now.Add(50 * time.Millisecond)
			n.perform(owner, owner.agent.Tick(n.now))
		}
		if writes < 3 || writes > 16 {
			t.Fatalf("%d writes in a second of conflicts", writes)
		}
	})
}
