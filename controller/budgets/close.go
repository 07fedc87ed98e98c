package budgets

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/gaplink/gaplink/budget"
)

// StartClose starts returning all balances to the store: unused tokens now, and
// reserved ones as their requests end.
func (c *Controller) StartClose() {
	c.withAgent(func(now time.Time, a *budget.Agent) []budget.Effect { return a.Close(now) })
}

// Close returns all balances to the store. It waits until all are returned or the
// context is cancelled.
func (c *Controller) Close(ctx context.Context) {
	c.StartClose()
	ticker := time.NewTicker(activeTickInterval)
	defer ticker.Stop()
	for !c.sealIfClosed() {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			c.log.Warn("budgets not returned; their tokens stay issued until an operator closes the holder")
			return
		}
	}
	c.closeInPages(ctx)
}

// sealIfClosed reports whether all balances are returned, and if so seals the agent
// under the same lock. Tokens received in between would be returned after other
// routers had reclaimed them.
func (c *Controller) sealIfClosed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.agent.Closed() {
		return false
	}
	c.agent.Seal()
	return true
}

// closeInPages closes this holder in all pages that it drew tokens from, so that no
// record of it remains.
func (c *Controller) closeInPages(ctx context.Context) {
	c.mu.Lock()
	holder, pages := c.agent.UsedPages()
	c.mu.Unlock()
	for _, n := range pages {
		if err := CloseHolder(ctx, c.store, n, holder); err != nil {
			c.log.Info("could not close this holder in a budget page", zap.Int("page", n), zap.Error(err))
		}
	}
}
