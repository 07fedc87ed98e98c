package budget_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/gaplink/gaplink/budget"
)

// TestFormerOwnerIsNotCountedTwice guards against a new owner that holds too few tokens. The
// page still records the demand that the former owner served; the same demand now reaches
// the new owner. Counting it twice, the new owner held half of its target or less, and ran
// out of tokens within a second of an outage of nine seconds that began a few seconds
// after the change of the owner.
func TestFormerOwnerIsNotCountedTwice(t *testing.T) {
	held := func(t *rapid.T, former int64) int64 {
		n := &network{t: t, now: epoch.Add(time.Hour), page: budget.NewPage(), waiting: map[string]int64{}, limit: 30000, limitVersion: 1}
		n.scarceWithin = 12 * time.Second
		r := &router{index: 0}
		n.routers = []*router{r}
		n.bootSelfOwner(r)
		n.serve(r, 10)
		if former > 0 {
			n.page.Escrows["r9/1"] = budget.Escrow{Boot: "other", Parts: map[string]budget.Withheld{testBudget: {Demand: former}}}
			n.version++
		}
		n.serve(r, 100)
		return r.agent.Holding(testBudget).Balance
	}
	rapid.Check(t, func(t *rapid.T) {
		alone := held(t, 0)
		if with := held(t, rapid.Int64Range(1, 5000).Draw(t, "former demand")); with < alone {
			t.Fatalf("%d tokens held, %d without a former owner", with, alone)
		}
	})
}
