package budgets

import (
	"context"
	"time"

	"github.com/gaplink/gaplink/budget"
	"github.com/gaplink/gaplink/result"
)

const (
	// reserveTimeout bounds how long a reservation waits for an answer.
	reserveTimeout = 3 * time.Second
	// exhaustedRetryAfter and unreachableRetryAfter are the retry delays given to the caller, the
	// latter where the end of the outage is not predicted.
	exhaustedRetryAfter   = 5 * time.Second
	unreachableRetryAfter = 4 * time.Second
	// unansweredRetryAfter is the retry delay after a router did not answer a request
	// for tokens. By then, another router has taken its place.
	unansweredRetryAfter = 300 * time.Millisecond
)

// reservationResult is the outcome of a waiting reservation.
type reservationResult struct {
	ok    bool
	cause budget.Cause
}

// Reserve reserves tokens of a budget for a request of the most urgent rank; see ReserveRanked.
func (c *Controller) Reserve(ctx context.Context, id string, tokens int64) error {
	return c.ReserveRanked(ctx, id, tokens, 0)
}

// ReserveRanked reserves tokens of a budget for a request of a rank, 0 being the most urgent,
// waiting for an answer if needed. The error gives the reason for a refusal.
func (c *Controller) ReserveRanked(ctx context.Context, id string, tokens int64, rank int) error {
	ch := make(chan reservationResult, 1)
	var token uint64
	granted := false
	c.withAgent(func(now time.Time, a *budget.Agent) []budget.Effect {
		var effects []budget.Effect
		token, granted, effects = a.ReserveRanked(now, id, tokens, rank)
		if !granted {
			c.waiting[token] = ch
		}
		return effects
	})
	if granted {
		return nil
	}
	return c.await(ctx, id, tokens, token, ch)
}

// TryReserve reserves tokens that this router holds, without waiting.
func (c *Controller) TryReserve(id string, tokens int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.agent.TryReserve(agentTime(), id, tokens)
}

func (c *Controller) await(ctx context.Context, id string, tokens int64, token uint64, ch chan reservationResult) error {
	timer := time.NewTimer(reserveTimeout)
	defer timer.Stop()
	select {
	case got := <-ch:
		return c.reservationError(id, got)
	case <-timer.C:
	case <-ctx.Done():
	}
	if c.cancel(id, token) {
		return result.New(result.BudgetUnreachable, "budget %s: no answer in time", id).After(c.timeoutRetryAfter())
	}
	got := <-ch
	if got.ok && ctx.Err() != nil {
		c.Settle(id, tokens, 0)
		return c.reservationError(id, reservationResult{cause: budget.Unreachable})
	}
	return c.reservationError(id, got)
}

// timeoutRetryAfter returns the retry delay after a reservation timed out: short if
// another router can take the place of one that did not answer, and longer if the
// store is unavailable.
func (c *Controller) timeoutRetryAfter() time.Duration {
	if c.storeLost != nil && c.storeLost() {
		return c.unreachableAfter()
	}
	return unansweredRetryAfter
}

// SetStoreRemaining sets the prediction of the time until the store answers again; the function
// returns 0 if there is none.
func (c *Controller) SetStoreRemaining(remaining func() time.Duration) { c.storeRemaining = remaining }

// unreachableAfter returns the retry delay while neither the store nor a holder answers.
func (c *Controller) unreachableAfter() time.Duration {
	if c.storeRemaining == nil {
		return unreachableRetryAfter
	}
	if remaining := c.storeRemaining(); remaining > 0 {
		return remaining
	}
	return unreachableRetryAfter
}

// cancel withdraws a waiting reservation. It returns false if the answer has already
// arrived.
func (c *Controller) cancel(id string, token uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, waits := c.waiting[token]; !waits {
		return false
	}
	delete(c.waiting, token)
	c.agent.Cancel(id, token)
	return true
}

func (c *Controller) reservationError(id string, got reservationResult) error {
	switch {
	case got.ok:
		return nil
	case got.cause == budget.Unknown:
		return result.New(result.UnknownBudget, "budget %s does not exist", id)
	case got.cause == budget.Exhausted:
		return result.New(result.BudgetExhausted, "budget %s cannot cover the request", id).After(exhaustedRetryAfter)
	default:
		return result.New(result.BudgetUnreachable, "budget %s: neither the store nor a holder answers", id).After(c.unreachableAfter())
	}
}

// Settle ends a reservation of reserved tokens, of which actual were served; the rest
// returns to the balance.
func (c *Controller) Settle(id string, reserved, actual int64) {
	c.withAgent(func(now time.Time, a *budget.Agent) []budget.Effect {
		return a.Settle(now, id, reserved, actual)
	})
}
