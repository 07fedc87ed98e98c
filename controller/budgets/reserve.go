package budgets

import (
	"context"
	"time"

	"github.com/gaplink/gaplink/budget"
	"github.com/gaplink/gaplink/result"
)

const (
	// waitAtMost bounds how long a reservation may wait for an answer.
	waitAtMost = 3 * time.Second
	// exhaustedRetry and unreachableRetry are when to come back.
	exhaustedRetry   = 5 * time.Second
	unreachableRetry = 4 * time.Second
	// unansweredRetry is the same when a router was asked for tokens and has not
	// answered: another one takes its place by then.
	unansweredRetry = 300 * time.Millisecond
)

// answer is the outcome of a waiting reservation.
type answer struct {
	ok    bool
	cause budget.Cause
}

// Reserve takes tokens from a budget, or fails with the reason.
func (c *Controller) Reserve(ctx context.Context, id string, tokens int64) error {
	ch := make(chan answer, 1)
	var token uint64
	granted := false
	c.with(func(now time.Time, a *budget.Agent) []budget.Effect {
		var effects []budget.Effect
		token, granted, effects = a.Reserve(now, id, tokens)
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

// TryReserve takes tokens that this router holds, without waiting.
func (c *Controller) TryReserve(id string, tokens int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.agent.TryReserve(steady(), id, tokens)
}

func (c *Controller) await(ctx context.Context, id string, tokens int64, token uint64, ch chan answer) error {
	timer := time.NewTimer(waitAtMost)
	defer timer.Stop()
	select {
	case got := <-ch:
		return refusal(id, got)
	case <-timer.C:
	case <-ctx.Done():
	}
	if c.cancel(id, token) {
		return result.New(result.BudgetUnreachable, "budget %s: no answer in time", id).After(c.unanswered())
	}
	got := <-ch
	if got.ok && ctx.Err() != nil {
		c.Settle(id, tokens, 0)
		return refusal(id, answer{cause: budget.Unreachable})
	}
	return refusal(id, got)
}

// unanswered is when to come back after a reservation that got no answer in
// time: soon if another router takes the place of one that did not answer, and
// later if what is missing is the store.
func (c *Controller) unanswered() time.Duration {
	if c.storeLost != nil && c.storeLost() {
		return unreachableRetry
	}
	return unansweredRetry
}

// cancel withdraws a waiting reservation; false means that its answer is
// already there.
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

func refusal(id string, got answer) error {
	switch {
	case got.ok:
		return nil
	case got.cause == budget.Unknown:
		return result.New(result.UnknownBudget, "budget %s does not exist", id)
	case got.cause == budget.Exhausted:
		return result.New(result.BudgetExhausted, "budget %s cannot cover the request", id).After(exhaustedRetry)
	default:
		return result.New(result.BudgetUnreachable, "budget %s: neither the store nor a holder answers", id).After(unreachableRetry)
	}
}

// Settle ends a reservation of which actual tokens were served.
func (c *Controller) Settle(id string, reserved, actual int64) {
	c.with(func(now time.Time, a *budget.Agent) []budget.Effect {
		return a.Settle(now, id, reserved, actual)
	})
}
