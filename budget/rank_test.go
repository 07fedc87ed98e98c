package budget_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/gaplink/gaplink/budget"
)

const (
	urgent = 0
	later  = 2
)

// newRankedRouter returns a network of one router that has served, for a while, five urgent requests of
// 100 tokens and five less urgent ones of 1,000 a second.
func newRankedRouter(t *rapid.T, limit int64, byRank bool) (*network, *router) {
	n := &network{t: t, now: epoch.Add(time.Hour), page: budget.NewPage(), waiting: map[string]int64{}, limit: limit, limitVersion: 1, byRank: byRank}
	r := &router{index: 0}
	n.routers = []*router{r}
	n.bootSelfOwner(r)
	n.mixed(r, 10*time.Second, "done")
	return n, r
}

// mixed has a router serve urgent and less urgent requests, while store calls get the given outcome. It
// returns how many of each were served.
func (n *network) mixed(r *router, d time.Duration, outcome string) (urgentServed, laterServed int) {
	serve := func(need int64, rank int) int {
		n.reserveRanked(r, need, rank)
		n.exchange(outcome)
		served := len(r.running)
		n.settleAll(r)
		return served
	}
	for ; d > 0; d -= 200 * time.Millisecond {
		laterServed += serve(1000, later)
		urgentServed += serve(100, urgent)
		n.wait(4, 50*time.Millisecond, outcome)
	}
	return urgentServed, laterServed
}

// TestUrgentRequestsOutlastAnOutage guards against large less urgent requests that use up in an outage
// what the urgent ones need.
func TestUrgentRequestsOutlastAnOutage(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		served := func(byRank bool) (urgentServed, laterServed int) {
			n, r := newRankedRouter(t, 110000, byRank)
			n.storeLost = true
			return n.mixed(r, 9*time.Second, "unavailable")
		}
		before, _ := served(false)
		now, laterServed := served(true)
		if before > 20 || now != 45 || laterServed == 0 {
			t.Fatalf("of 45 urgent requests %d are served by rank, %d without; %d less urgent ones", now, before, laterServed)
		}
	})
}

// TestLastShareGoesToUrgentRequests guards against the last tokens of a budget going to less urgent
// requests.
func TestLastShareGoesToUrgentRequests(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		served := func(byRank bool) (urgentServed int) {
			n, r := newRankedRouter(t, 200000, byRank)
			n.mixed(r, 23*time.Second, "done")
			urgentServed, _ = n.mixed(r, 14*time.Second, "done")
			n.checkSpent()
			return urgentServed
		}
		before, now := served(false), served(true)
		if now < before+10 {
			t.Fatalf("%d urgent requests are served of the last tokens by rank, %d without", now, before)
		}
	})
}

// TestLargeUrgentRequestIsNotHeldBack guards against a rule that keeps tokens for the rank that asks for
// them.
func TestLargeUrgentRequestIsNotHeldBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n, r := newRankedRouter(t, 1000000, true)
		n.loseStore()
		held := n.held(0)
		n.reserveRanked(r, held, urgent)
		if len(r.running) != 1 {
			t.Fatalf("an urgent request of all %d tokens is refused", held)
		}
	})
}

// TestOneRankChangesNothing guards against requests refused in favour of others where all are of one rank.
func TestOneRankChangesNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rank := rapid.IntRange(0, 9).Draw(t, "rank")
		needs := rapid.SliceOfN(rapid.Int64Range(1, 3000), 100, 100).Draw(t, "needs")
		history := func(byRank bool) string {
			n, r := newSingleRouter(t)
			n.byRank = byRank
			n.bootSelfOwner(r)
			log := ""
			for i, need := range needs {
				n.storeLost = i%40 > 25
				outcome := map[bool]string{false: "done", true: "unavailable"}[n.storeLost]
				n.reserveRanked(r, need, rank)
				n.wait(2, 50*time.Millisecond, outcome)
				log += fmt.Sprint(" ", len(r.running), " ", n.held(0))
				n.settleAll(r)
			}
			return log
		}
		if by, without := history(true), history(false); by != without {
			t.Fatalf("served and held by rank %s, without %s", by, without)
		}
	})
}

// TestOwnerHoldsBackDrawsByRank guards against an owner that grants its last tokens to less urgent
// requests of other routers while the store is lost.
func TestOwnerHoldsBackDrawsByRank(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := newSharedOwnerNetwork(t, 150000)
		n.byRank, n.manyRouters = true, true
		for _, r := range n.routers {
			n.bootSelfOwner(r)
		}
		n.advance(12 * time.Second)
		n.mixed(n.routers[0], 10*time.Second, "done")
		n.storeLost = true
		n.now = n.now.Add(releaseWithin)
		n.wait(1, 50*time.Millisecond, "unavailable")
		entry := n.routers[1]
		ask := func(need int64, rank int) bool {
			n.reserveRanked(entry, need, rank)
			n.wait(2, 50*time.Millisecond, "unavailable")
			served := len(entry.running) > 0
			n.settleAll(entry)
			return served
		}
		need := n.held(0) - 500
		if need < 1000 {
			t.Fatalf("the owner holds only %d tokens", n.held(0))
		}
		if ask(need, later) {
			t.Error("a less urgent request gets nearly all that the owner holds")
		}
		if !ask(need, urgent) {
			t.Error("an urgent request of the same size is refused")
		}
	})
}

// TestLengthOfOutagesIsRemembered guards against tokens kept for longer than outages last.
func TestLengthOfOutagesIsRemembered(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n, r := newRankedRouter(t, 110000, true)
		n.storeLost = true
		_, first := n.mixed(r, 2*time.Second, "unavailable")
		n.storeLost = false
		n.raise(20000, func() bool { return true }) // what was spent since the outage began
		n.mixed(r, 2*time.Second, "done")
		n.storeLost = true
		_, second := n.mixed(r, 2*time.Second, "unavailable")
		if second <= first {
			t.Fatalf("%d less urgent requests are served in a second outage of 2 s, %d in the first", second, first)
		}
	})
}

// TestSmallRequestsDoNotYieldToLargeOnes guards against small less urgent requests being refused at the
// end of a budget although all of them together take less than one urgent request.
func TestSmallRequestsDoNotYieldToLargeOnes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := &network{t: t, now: epoch.Add(time.Hour), page: budget.NewPage(), waiting: map[string]int64{}, limit: 100000, limitVersion: 1, byRank: true}
		r := &router{index: 0}
		n.routers = []*router{r}
		n.bootSelfOwner(r)
		refused := 0
		for n.limit-n.spent > 2000 {
			n.reserveRanked(r, 1000, urgent)
			n.exchange("done")
			n.settleAll(r)
			n.reserveRanked(r, 10, later)
			n.exchange("done")
			if len(r.running) == 0 {
				refused++
			}
			n.settleAll(r)
			n.wait(4, 50*time.Millisecond, "done")
		}
		if refused > 0 {
			t.Fatalf("%d small requests are refused while large ones are served", refused)
		}
	})
}

// TestOldPageHoldsNothingBack guards against requests refused for the last share of a budget by a copy of
// the page from before other routers returned tokens.
func TestOldPageHoldsNothingBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n, r := newRankedRouter(t, 100000, true)
		for n.limit-n.spent > 1500 {
			n.mixed(r, 200*time.Millisecond, "done")
		}
		n.page.Budgets[testBudget].Settled -= 50000 // returned by another router
		n.limit += 50000
		n.version++
		n.now = n.now.Add(6 * time.Second)
		n.reserveRanked(r, 1000, later)
		n.exchange("done")
		if len(r.running) == 0 {
			t.Fatalf("a request of 1000 tokens is refused with %d free", n.free())
		}
	})
}
