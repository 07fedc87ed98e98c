package retry_test

import (
	"testing"

	"github.com/gaplink/gaplink/retry"
)

func TestAllowed(t *testing.T) {
	cases := []struct {
		name          string
		failure       retry.Failure
		notRepeatable bool
		want          bool
	}{
		{"never dispatched", retry.Failure{}, true, true},
		{"refused by the server", retry.Failure{Dispatched: true, Refused: true}, true, true},
		{"may have run, not repeatable", retry.Failure{Dispatched: true}, true, false},
		{"may have run, repeatable", retry.Failure{Dispatched: true}, false, true},
		{"the caller has seen a part", retry.Failure{Dispatched: true, Answered: true}, false, false},
	}
	for _, c := range cases {
		if got := retry.Allowed(c.failure, c.notRepeatable); got != c.want {
			t.Errorf("%s: got %t", c.name, got)
		}
	}
}

func TestBudgetBoundsRetries(t *testing.T) {
	b := retry.NewBudget(0.2, retry.DefaultBurst)
	spent := 0
	for range 1000 {
		b.Request()
		if b.Spend() {
			spent++
		}
	}
	if spent > 210 {
		t.Fatalf("%d retries for 1000 requests", spent)
	}
}
