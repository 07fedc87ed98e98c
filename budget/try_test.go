package budget_test

import (
	"testing"

	"pgregory.net/rapid"
)

// TestTryReserveLeavesNoTrace: tokens that are reserved without waiting and returned
// unused change neither the balance nor the demand estimate, which determines how many
// tokens a router holds in advance.
func TestTryReserveLeavesNoTrace(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tried := rapid.IntRange(150, 300).Draw(t, "tried")
		held := func(tries int) int64 {
			n, r := newSingleRouter(t)
			for range tries {
				if r.agent.TryReserve(n.at(r), testBudget, 50) {
					n.perform(r, r.agent.Settle(n.at(r), testBudget, 50, 0))
				}
			}
			n.serve(r, 20)
			return r.agent.Holding(testBudget).Balance
		}
		if with, without := held(tried), held(0); with != without {
			t.Fatalf("%d tokens held after %d tries, %d without", with, tried, without)
		}
	})
}
