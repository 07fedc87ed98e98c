package reclaims

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"time"

	"go.uber.org/zap"

	"github.com/gaplink/gaplink/budget"
	"github.com/gaplink/gaplink/controller/budgets"
	"github.com/gaplink/gaplink/peer"
	"github.com/gaplink/gaplink/store"
)

// versionedPage is a page with the version at which it was read.
type versionedPage struct {
	page    *budget.Page
	version int64
}

// conflictDelay is the delay before pages that changed are read and settled again.
const conflictDelay = 20 * time.Millisecond

// settlePages reclaims or writes off the stranded tokens of dead holders in all
// pages. A page that changed between the read and the write is settled again.
func (c *Controller) settlePages(ctx context.Context, snap snapshot) error {
	left := make(map[int]bool, c.pages)
	for n := range c.pages {
		left[n] = true
	}
	for range pageTries {
		if err := c.settleRound(ctx, snap, left); err != nil {
			return err
		}
		if len(left) == 0 {
			return nil
		}
		time.Sleep(conflictDelay)
	}
	return fmt.Errorf("%d budget pages still conflicted after the last try", len(left))
}

// settleRound reads, settles and writes the remaining pages. The order of the reads
// guarantees that the stranded tokens are never overestimated; see budget.Stranded.
func (c *Controller) settleRound(ctx context.Context, snap snapshot, remaining map[int]bool) error {
	pages, err := c.readPages(ctx, remaining)
	if err != nil {
		return err
	}
	holdings, err := c.holdings(ctx, snap, pages)
	if err != nil {
		return err
	}
	if err := c.verifyUnchanged(ctx, snap); err != nil {
		return err
	}
	charged, err := c.ledgers.FenceAllShards(ctx, snap.dead[0])
	if err != nil {
		return err
	}
	for n, at := range pages {
		done, err := c.settlePage(ctx, n, at, snap, holdings, charged.Totals)
		if err != nil {
			return err
		}
		if done {
			delete(remaining, n)
		}
	}
	return nil
}

func (c *Controller) readPages(ctx context.Context, remaining map[int]bool) (map[int]versionedPage, error) {
	pages := map[int]versionedPage{}
	for n := range remaining {
		page, version, err := budgets.ReadPage(ctx, c.store, n)
		if err != nil {
			return nil, err
		}
		if len(page.Budgets) == 0 {
			delete(remaining, n)
			continue
		}
		pages[n] = versionedPage{page: page, version: version}
	}
	return pages, nil
}

// holdings asks every live router for its holdings of the budgets in pages.
func (c *Controller) holdings(ctx context.Context, snap snapshot, pages map[int]versionedPage) (map[string]map[string]budget.Holding, error) {
	var ids []string
	for _, at := range pages {
		ids = append(ids, at.page.Names()...)
	}
	all := map[string]map[string]budget.Holding{}
	for incarnation, addr := range snap.live {
		held, err := c.holdingsOf(ctx, incarnation, addr, ids)
		if err != nil {
			return nil, err
		}
		for id, h := range held {
			if all[id] == nil {
				all[id] = map[string]budget.Holding{}
			}
			all[id][incarnation] = h
		}
	}
	return all, nil
}

func (c *Controller) holdingsOf(ctx context.Context, incarnation, addr string, ids []string) (map[string]budget.Holding, error) {
	if incarnation == c.self.Incarnation {
		return c.Holdings(ids), nil
	}
	ctx, cancel := context.WithTimeout(ctx, barrierTimeout)
	defer cancel()
	resp, err := peer.Call[peer.HoldingRequest, peer.HoldingAnswer](ctx, c.peers, addr, peer.MethodHolding, &peer.HoldingRequest{Budgets: ids})
	if err != nil {
		return nil, err
	}
	if resp.Incarnation != incarnation {
		return nil, errRouterStateUnknown
	}
	return resp.Holdings, nil
}

// Holdings returns this router's holdings, including the tokens of its bills that
// are not yet recorded.
func (c *Controller) Holdings(ids []string) map[string]budget.Holding {
	held := c.budgets.Holdings(ids)
	for id, tokens := range c.ledgers.UnrecordedTokens() {
		if h, asked := held[id]; asked {
			h.Unrecorded = tokens
			held[id] = h
		}
	}
	return held
}

// verifyUnchanged returns an error if a router has registered or ended since the
// snapshot: such a router might hold tokens that were not counted.
func (c *Controller) verifyUnchanged(ctx context.Context, snap snapshot) error {
	holders, err := c.list(ctx)
	if err != nil {
		return err
	}
	live := maps.Clone(snap.live)
	for _, h := range holders {
		if h.State != open {
			continue
		}
		if _, counted := live[h.Incarnation]; !counted {
			return errRouterStateUnknown
		}
		delete(live, h.Incarnation)
	}
	if len(live) > 0 {
		return errRouterStateUnknown
	}
	return nil
}

// settlePage settles and writes one page. It returns false if the page has changed
// since it was read.
func (c *Controller) settlePage(ctx context.Context, n int, at versionedPage, snap snapshot, holdings map[string]map[string]budget.Holding, charged map[string]int64) (bool, error) {
	stranded := map[string]int64{}
	var sum int64
	for id, r := range at.page.Budgets {
		tokens := budget.Stranded(r.Issued()-r.WrittenOff, holdings[id], charged[id])
		if tokens > 0 {
			stranded[id] = tokens
			sum += tokens
		}
	}
	if sum == 0 && at.page.AllFenced(snap.dead) {
		return true, nil
	}
	if len(snap.dead) == 1 {
		at.page.Reclaim(snap.dead, stranded)
	} else {
		at.page.WriteOff(snap.dead, stranded)
	}
	_, err := c.store.Update(ctx, budget.PageKey(n), at.version, at.page.Encode())
	if errors.Is(err, store.ErrConflict) {
		return false, nil
	}
	if err == nil && sum > 0 {
		c.log.Warn("tokens of dead routers settled", zap.Int("page", n), zap.Int64("tokens", sum), zap.Bool("written_off", len(snap.dead) > 1))
	}
	return err == nil, err
}
