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
			c.log.Error("budget page is not readable", zap.Int("page", n), zap.Error(err))
			outcome = budget.Unavailable
		}
	}
	c.with(func(now time.Time, a *budget.Agent) []budget.Effect {
		return a.PageRead(now, n, o.Version, page, outcome)
	})
}

func (c *Controller) write(w budget.WritePage) {
	o, err := store.Put(context.Background(), c.store, budget.PageKey(w.Page), w.Version, w.Value.Encode())
	outcome := classify(err)
	c.with(func(now time.Time, a *budget.Agent) []budget.Effect {
		return a.PageWritten(now, w.Page, o.Version, outcome, c.current(w.Page, o, outcome))
	})
	c.logWrite(w, o.Version, err)
}

// current returns the page that a conflict showed, nil if it did not.
func (c *Controller) current(n int, o store.Object, outcome budget.StoreResult) *budget.Page {
	if outcome != budget.Conflict || o.Version == 0 {
		return nil
	}
	page, err := budget.DecodePage(o.Value)
	if err != nil {
		c.log.Error("budget page is not readable", zap.Int("page", n), zap.Error(err))
		return nil
	}
	return page
}

// logWrite tells of a write of a page: what this router holds, and what the
// page has left.
func (c *Controller) logWrite(w budget.WritePage, version int64, err error) {
	if err != nil {
		c.log.Info("budget page not written", zap.Int("page", w.Page), zap.Int64("read_version", w.Version), zap.Error(err))
		return
	}
	c.log.Info("budget page written", zap.Int("page", w.Page), zap.Int64("version", version),
		zap.Stringer("budgets", written{page: w.Value, held: c.Holdings(nil)}))
}

// written prints, for each budget, what this router holds and has reserved for
// running requests, what the store has free, and the limit.
type written struct {
	page *budget.Page
	held map[string]budget.Holding
}

// String implements fmt.Stringer.
func (w written) String() string {
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
		return budget.Lost
	}
}
