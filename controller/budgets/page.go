package budgets

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"time"

	"go.uber.org/zap"

	"github.com/gaplink/gaplink/budget"
	"github.com/gaplink/gaplink/store"
)

func (c *Controller) read(n int) {
	o, err := c.store.Get(context.Background(), budget.PageKey(n))
	var page *budget.Page
	outcome := classify(err)
	if err == nil {
		page, err = budget.DecodePage(o.Value)
		if err != nil {
			c.log.Error("cannot decode budget page", zap.Int("page", n), zap.Error(err))
			outcome = budget.Unavailable
		}
	}
	c.withAgent(func(now time.Time, a *budget.Agent) []budget.Effect {
		return a.PageRead(now, n, o.Version, page, outcome)
	})
}

func (c *Controller) write(w budget.WritePage) {
	o, err := store.Put(context.Background(), c.store, budget.PageKey(w.Page), w.Version, w.Value.Encode())
	outcome := classify(err)
	c.withAgent(func(now time.Time, a *budget.Agent) []budget.Effect {
		return a.PageWritten(now, w.Page, o.Version, outcome, c.conflictingPage(w.Page, o, outcome))
	})
	c.logWrite(w, o.Version, err)
}

// conflictingPage returns the stored page that came with a conflict, or nil if none
// did.
func (c *Controller) conflictingPage(n int, o store.Object, outcome budget.StoreResult) *budget.Page {
	if outcome != budget.Conflict || o.Version == 0 {
		return nil
	}
	page, err := budget.DecodePage(o.Value)
	if err != nil {
		c.log.Error("cannot decode budget page", zap.Int("page", n), zap.Error(err))
		return nil
	}
	return page
}

// logWrite logs the result of a page write, with this router's holdings and the free
// tokens of each budget.
func (c *Controller) logWrite(w budget.WritePage, version int64, err error) {
	if err != nil {
		c.log.Info("budget page not written", zap.Int("page", w.Page), zap.Int64("read_version", w.Version), zap.Error(err))
		return
	}
	c.log.Info("budget page written", zap.Int("page", w.Page), zap.Int64("version", version),
		zap.Stringer("budgets", pageSummary{page: w.Value, held: c.Holdings(nil)}))
}

// pageSummary formats, for each budget, the tokens that this router holds and has
// reserved for running requests, the free tokens in the store, and the limit.
type pageSummary struct {
	page *budget.Page
	held map[string]budget.Holding
}

// String implements fmt.Stringer.
func (w pageSummary) String() string {
	var b strings.Builder
	for _, id := range w.page.Names() {
		r, h := w.page.Budgets[id], w.held[id]
		fmt.Fprintf(&b, "%s=%d+%d/%d/%d ", id, h.Balance, h.Reserved, r.Free(), r.Limit)
	}
	return strings.TrimSpace(b.String())
}

func classify(err error) budget.StoreResult {
	switch {
	case err == nil:
		return budget.Done
	case errors.Is(err, store.ErrNotFound):
		return budget.Missing
	case errors.Is(err, store.ErrConflict):
		return budget.Conflict
	case errors.Is(err, store.ErrUnavailable):
		return budget.Unavailable
	default:
		return budget.ResultUnknown
	}
}
