package budget_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/gaplink/gaplink/budget"
)

// newFleetOf returns a network of some routers with the rules of a large fleet, in which the router
// numbered owner owns the budget. Each router borrows from the successors r1 to r3.
func newFleetOf(t *rapid.T, routers, owner int, limit int64) *network {
	n := &network{t: t, now: epoch.Add(time.Hour), page: budget.NewPage(), waiting: map[string]int64{}, limit: limit, limitVersion: 1, sharedOwner: true, manyRouters: true, owner: owner, successors: true}
	for i := range routers {
		n.routers = append(n.routers, &router{index: i})
	}
	for _, r := range n.routers {
		n.bootSelfOwner(r)
	}
	n.advance(12 * time.Second)
	return n
}

// TestLargestRecordedHolderIsAsked guards against a refusal while a router that is no successor holds
// the tokens: the page records which routers have them.
func TestLargestRecordedHolderIsAsked(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := newFleetOf(t, 12, 11, 300000)
		n.traffic(n.routers[11], 10*time.Second)
		held := n.held(11)
		n.owner = 0
		rest := n.free() - 10
		n.page.Budgets[testBudget].Settled += rest // spent by routers that have left
		n.spent += rest
		n.version++
		need := rapid.Int64Range(held/4, held/2).Draw(t, "need")
		n.reserve(n.routers[0], need)
		n.exchangeNow()
		n.advance(200 * time.Millisecond)
		if len(n.routers[0].running) == 0 {
			t.Fatalf("a request of %d tokens is refused while a router holds %d", need, held)
		}
		n.checkSpent()
	})
}

// TestHoldersAreAskedByWhatTheyHold guards against the limit of routers that are asked being used up by
// holders of little.
func TestHoldersAreAskedByWhatTheyHold(t *testing.T) {
	now := epoch.Add(time.Hour)
	cfg := budget.DefaultConfig()
	cfg.Pages, cfg.Started = 1, epoch
	cfg.Self = budget.Peer{ID: "self", Incarnation: "self/1"}
	cfg.Owner = func(time.Time, string) string { return "self" }
	cfg.SharedOwner = func() bool { return true }
	cfg.Holder = func(holder string) (budget.Peer, bool) {
		return budget.Peer{ID: holder, Incarnation: holder}, holder != "gone"
	}
	page := budget.NewPage()
	record := &budget.Record{Limit: 1000, Settled: 0, Holders: map[string]int64{}}
	page.Budgets[testBudget] = record
	hold := func(holder string, escrow, issued int64) {
		page.Ops[holder] = 1
		record.Holders[holder] = issued
		page.Escrows[holder] = budget.Escrow{Parts: map[string]budget.Withheld{testBudget: {Tokens: escrow}}}
	}
	for i := range 9 {
		hold(fmt.Sprintf("little %d", i), int64(i), 50)
	}
	hold("much", 100, 100)
	hold("gone", 300, 300)
	hold("spent", 0, 150)
	a := budget.NewAgent(cfg)
	_, _, effects := a.Reserve(now, testBudget, 500)
	if _, reads := effects[len(effects)-1].(budget.ReadPage); !reads {
		t.Fatalf("want a read of the page, got %+v", effects)
	}
	var asked []string
	ask := func(effects []budget.Effect) {
		for _, e := range effects {
			if send, ok := e.(budget.Send); ok && send.Message.Kind == budget.Borrow {
				asked = append(asked, send.Message.To.ID)
			}
		}
	}
	ask(a.PageRead(now, 0, 1, page, budget.Done))
	for i := 0; i < len(asked); i++ {
		ask(a.Undelivered(now, budget.Message{Kind: budget.Borrow, Budget: testBudget, To: budget.Peer{ID: asked[i]}}, true))
	}
	want := "[much little 8 little 7 little 6 little 5 little 4 little 3 little 2]"
	if got := fmt.Sprint(asked); got != want {
		t.Fatalf("asked %s, want %s", got, want)
	}
}
