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

// pageAt is a page as it was read.
type pageAt struct {
	page    *budget.Page
	version int64
}

// conflictPause is the wait before pages that changed are computed again.
const conflictPause = 20 * time.Millisecond

// settlePages takes back, or writes off, what the dead left in all pages. A
// page that changed between the reading and the writing is computed again.
func (c *Controller) settlePages(ctx context.Context, now census) error {
	left := make(map[int]bool, c.pages)
	for n := range c.pages {
		left[n] = true
	}
	for range pageTries {
		if err := c.settleRound(ctx, now, left); err != nil {
			return err
		}
		if len(left) == 0 {
			return nil
		}
		time.Sleep(conflictPause)
	}
	return fmt.Errorf("%d budget pages keep changing", len(left))
}

// settleRound computes and writes the pages that are left. The order of the
// readings is what makes the computed rest safe; see budget.Stranded.
func (c *Controller) settleRound(ctx context.Context, now census, left map[int]bool) error {
	pages, err := c.readPages(ctx, left)
	if err != nil {
		return err
	}
	holdings, err := c.holdings(ctx, now, pages)
	if err != nil {
		return err
	}
	if err := c.unchanged(ctx, now); err != nil {
		return err
	}
	charged, err := c.ledgers.FenceAllShards(ctx, now.dead[0])
	if err != nil {
		return err
	}
	for n, at := range pages {
		done, err := c.settlePage(ctx, n, at, now, holdings, charged.Totals)
		if err != nil {
			return err
		}
		if done {
			delete(left, n)
		}
	}
	return nil
}

func (c *Controller) readPages(ctx context.Context, left map[int]bool) (map[int]pageAt, error) {
	pages := map[int]pageAt{}
	for n := range left {
		page, version, err := budgets.ReadPage(ctx, c.store, n)
		if err != nil {
			return nil, err
		}
		if len(page.Budgets) == 0 {
			delete(left, n)
			continue
		}
		pages[n] = pageAt{page: page, version: version}
	}
	return pages, nil
}

// holdings asks every live router what it holds of the pages' budgets.
func (c *Controller) holdings(ctx context.Context, now census, pages map[int]pageAt) (map[string]map[string]budget.Holding, error) {
	var ids []string
	for _, at := range pages {
		ids = append(ids, at.page.Names()...)
	}
	all := map[string]map[string]budget.Holding{}
	for incarnation, addr := range now.live {
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
		return nil, errUnsettled
	}
	return resp.Holdings, nil
}

// Holdings returns what this router holds, with what its unrecorded bills
// spent.
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

// unchanged makes sure that no router has registered or ended since the
// census: one that did might hold tokens that were not counted.
func (c *Controller) unchanged(ctx context.Context, now census) error {
	holders, err := c.list(ctx)
	if err != nil {
		return err
	}
	live := maps.Clone(now.live)
	for _, h := range holders {
		if h.State != open {
			continue
		}
		if _, counted := live[h.Incarnation]; !counted {
			return errUnsettled
		}
		delete(live, h.Incarnation)
	}
	if len(live) > 0 {
		return errUnsettled
	}
	return nil
}

// settlePage writes one page; false means that it changed meanwhile.
func (c *Controller) settlePage(ctx context.Context, n int, at pageAt, now census, holdings map[string]map[string]budget.Holding, charged map[string]int64) (bool, error) {
	stranded := map[string]int64{}
	var sum int64
	for id, r := range at.page.Budgets {
		tokens := budget.Stranded(r.Issued()-r.WrittenOff, holdings[id], charged[id])
		if tokens > 0 {
			stranded[id] = tokens
			sum += tokens
		}
	}
	if sum == 0 && at.page.Knows(now.dead) {
		return true, nil
	}
	if len(now.dead) == 1 {
		at.page.Reclaim(now.dead, stranded)
	} else {
		at.page.WriteOff(now.dead, stranded)
	}
	_, err := c.store.Update(ctx, budget.PageKey(n), at.version, at.page.Encode())
	if errors.Is(err, store.ErrConflict) {
		return false, nil
	}
	if err == nil && sum > 0 {
		c.log.Warn("tokens of dead routers settled", zap.Int("page", n), zap.Int64("tokens", sum), zap.Bool("written_off", len(now.dead) > 1))
	}
	return err == nil, err
}
