package retry_test

import (
	"math/rand/v2"
	"testing"
	"time"

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
	b := retry.NewBudgets(time.Time{}, func() retry.Limits { return retry.Limits{Ratio: 0.2, Slack: 10, Routers: 1} })
	spent := 0
	for range 1000 {
		r := b.Begin(time.Now(), "s")
		if r.Pay(time.Now(), 1) {
			spent++
		}
		r.End()
	}
	if spent > 210 {
		t.Fatalf("%d retries for 1000 requests", spent)
	}
}

// TestReturnAfter guards against refused callers that come back before a server takes requests, at
// the same moment, or the less urgent ones first.
func TestReturnAfter(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	const callers = 400
	for _, wait := range []time.Duration{-time.Second, 0, 100 * time.Millisecond, 2 * time.Second} {
		var means [6]time.Duration
		for priority := range means {
			inFirstTenth := 0
			const spread = 250 * time.Millisecond
			for range callers {
				after := retry.ReturnAfter(rng, wait, priority-1)
				if after < wait || after < 0 || after > max(wait, 0)+spread+time.Second {
					t.Fatalf("priority %d, %s to wait: %s", priority-1, wait, after)
				}
				means[priority] += after / callers
				if after < max(wait, 0)+spread/10 {
					inFirstTenth++
				}
			}
			if inFirstTenth > callers/5 {
				t.Errorf("%s to wait: %d of %d callers return in the first tenth of the time", wait, inFirstTenth, callers)
			}
		}
		if means[1] >= means[2] || means[2] >= means[3] || means[3] >= means[4] {
			t.Errorf("%s to wait: by priority %v", wait, means)
		}
	}
}
