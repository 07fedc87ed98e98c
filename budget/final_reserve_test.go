package budget_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/gaplink/gaplink/budget"
)

// TestTailLasts: an account that keeps asking for far more than its budget still gets
// small requests served twenty seconds after its budget was nearly spent, and never spends
// more than the budget.
func TestTailLasts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := &network{t: t, now: epoch.Add(time.Hour), page: budget.NewPage(), waiting: map[string]int64{}, limit: 200000, limitVersion: 1, finalReserve: true}
		r := &router{index: 0}
		n.routers = []*router{r}
		n.bootSelfOwner(r)
		servedAt := map[int]int{}
		large := rapid.Int64Range(2000, 6000).Draw(t, "large")
		for i := range 700 { // 10 requests a second, 70 s
			for _, need := range []int64{10, large} {
				n.reserve(r, need)
				n.perform(r, r.agent.Tick(n.at(r)))
				for len(r.storeCalls) > 0 {
					n.answer(r, "done")
				}
				if len(r.running) > 0 {
					servedAt[i/100]++
					n.finish(r, need)
				}
			}
			n.now = n.now.Add(100 * time.Millisecond)
			n.checkSpent()
		}
		if servedAt[2] == 0 || servedAt[3] == 0 {
			t.Fatalf("requests served per ten seconds: %v", servedAt)
		}
	})
}

// TestTailIsSpentWhereTheDemandIs: all callers of an account use one of six routers, and
// its budget is small. It guards against a final reserve that stays unused: on a simulated
// day from 0.64 up to all of the final reserves of ten accounts was unused at the end, 15 to
// 30 s after their budgets were spent. Each router assumed that its own demand was a sixth
// of the fleet's, and a request could take a quarter of what was left, which for a final
// reserve of 2,400 tokens no request could use. All requests were refused meanwhile, and
// with few requests of plain services in the mix the fleet counted as not recovered from
// its last fault.
func TestTailIsSpentWhereTheDemandIs(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const reserveTokens = 4000 // a fiftieth of the budget
		n := &network{t: t, now: epoch.Add(time.Hour), page: budget.NewPage(), waiting: map[string]int64{}, limit: 50 * reserveTokens, limitVersion: 1, finalReserve: true}
		for i := range 6 {
			n.routers = append(n.routers, &router{index: i})
		}
		for _, r := range n.routers {
			n.bootSelfOwner(r)
		}
		r := n.routers[0]
		need := rapid.Int64Range(600, 1400).Draw(t, "need")
		for range 600 { // 10 requests a second, 60 s
			n.reserve(r, need)
			n.perform(r, r.agent.Tick(n.at(r)))
			for len(r.storeCalls) > 0 {
				n.answer(r, "done")
			}
			for len(r.running) > 0 {
				n.finish(r, need)
			}
			n.now = n.now.Add(100 * time.Millisecond)
			n.checkSpent()
		}
		if left := n.limit - n.spent; left > reserveTokens/2 {
			t.Fatalf("%d of a final reserve of %d tokens are unused 40 s after the rest was spent, by requests of %d", left, reserveTokens, need)
		}
	})
}
