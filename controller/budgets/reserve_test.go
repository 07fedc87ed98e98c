package budgets

import (
	"errors"
	"testing"
	"time"

	"github.com/gaplink/gaplink/budget"
	"github.com/gaplink/gaplink/result"
)

// Guards against a retry delay that ignores the predicted end of an outage, and against one of 0,
// which means that waiting does not help, where nothing is predicted.
func TestRetryDelayFollowsThePredictedEndOfTheOutage(t *testing.T) {
	const predicted = 1700 * time.Millisecond
	remaining := func(d time.Duration) func() time.Duration { return func() time.Duration { return d } }
	for name, c := range map[string]struct {
		predict func() time.Duration
		lost    bool
		cause   budget.Cause
		want    time.Duration
	}{
		"predicted":              {remaining(predicted), true, budget.Unreachable, predicted},
		"no prediction":          {remaining(0), true, budget.Unreachable, unreachableRetryAfter},
		"no predictor":           {nil, true, budget.Unreachable, unreachableRetryAfter},
		"exhausted":              {remaining(predicted), true, budget.Exhausted, exhaustedRetryAfter},
		"unanswered, store lost": {remaining(predicted), true, "", predicted},
		"unanswered":             {remaining(0), false, "", unansweredRetryAfter},
	} {
		t.Run(name, func(t *testing.T) {
			controller := &Controller{storeLost: func() bool { return c.lost }}
			controller.SetStoreRemaining(c.predict)
			if c.cause == "" {
				if got := controller.timeoutRetryAfter(); got != c.want {
					t.Errorf("%v instead of %v", got, c.want)
				}
				return
			}
			var refused *result.Error
			err := controller.reservationError("b", reservationResult{cause: c.cause})
			if !errors.As(err, &refused) || refused.RetryAfter != c.want {
				t.Errorf("%+v instead of %v", refused, c.want)
			}
		})
	}
}
