package budgets

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/gaplink/gaplink/budget"
)

// StartClose starts returning all balances, now and as requests end.
func (c *Controller) StartClose() {
	c.with(func(now time.Time, a *budget.Agent) []budget.Effect { return a.Close(now) })
}

// Close returns all balances to the store; it waits until that is done or the
// context ends.
func (c *Controller) Close(ctx context.Context) {
	c.StartClose()
	ticker := time.NewTicker(tickEvery)
	defer ticker.Stop()
	for !c.closed() {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			c.log.Warn("budgets not returned; they stay issued until an operator closes the holder")
			return
		}
	}
	c.fold(ctx)
}

// closed tells whether all is returned, and if so seals the agent in the same
// step: what came in between would be returned after others reclaimed it.
func (c *Controller) closed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.agent.Closed() {
		return false
	}
	c.agent.Seal()
	return true
}

// fold closes this holder in the pages that it drew from, so that no record
// of it stays behind.
func (c *Controller) fold(ctx context.Context) {
	c.mu.Lock()
	holder, pages := c.agent.Touched()
	c.mu.Unlock()
	for _, n := range pages {
		if err := CloseHolder(ctx, c.store, n, holder); err != nil {
			c.log.Info("holder not closed", zap.Int("page", n), zap.Error(err))
		}
	}
}
