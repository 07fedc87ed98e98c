package budget_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestStopReturnsAtOnce: a stopping router returns its balance without waiting for the
// minimum interval between two writes, even while a request is still running.
func TestStopReturnsAtOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n, r := newSingleRouter(t)
		n.reserve(r, 100)
		n.perform(r, r.agent.Close(n.at(r)))
		for range 5 { // a quarter of a second
			for len(r.storeCalls) > 0 {
				n.answer(r, "done")
			}
			n.now = n.now.Add(50 * time.Millisecond)
			n.perform(r, r.agent.Tick(n.at(r)))
		}
		if held := r.agent.Holding(testBudget).Balance; held != 0 {
			t.Fatalf("%d tokens still held", held)
		}
		if issued := n.page.Budgets[testBudget].Issued(); issued != n.spent+100 {
			t.Fatalf("%d tokens issued, %d spent and 100 reserved", issued, n.spent)
		}
	})
}

// TestStopWithoutStoreHandsOver: while the store is unavailable, a stopping router hands
// its usable tokens to another one.
func TestStopWithoutStoreHandsOver(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n, r := newSingleRouter(t)
		successor := &router{index: 1}
		n.routers = append(n.routers, successor)
		n.bootSelfOwner(successor)
		n.rebootWithLenders(r)
		held := r.agent.Holding(testBudget).Balance
		n.now = n.now.Add(releaseWithin)
		n.storeLost = true
		n.perform(r, r.agent.Close(n.at(r)))
		for len(n.messages) > 0 {
			n.deliver(0, "once")
		}
		if got := successor.agent.Holding(testBudget).Balance; got != held || held == 0 {
			t.Fatalf("the other router holds %d of %d tokens", got, held)
		}
	})
}

// rebootWithLenders restarts the router with the others as lenders and lets it draw.
func (n *network) rebootWithLenders(r *router) {
	n.now = n.now.Add(time.Minute)
	n.bootSelfOwner(r)
	n.serve(r, 40)
}
