package reclaims

import (
	"context"
	"strconv"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/gaplink/gaplink/ledger"
	"github.com/gaplink/gaplink/result"
	"github.com/gaplink/gaplink/table"
)

const (
	// askTimeout bounds the question to one model engine.
	askTimeout = 500 * time.Millisecond
	// askAtOnce bounds the questions in flight.
	askAtOnce = 32
)

// billLeft bills the attempts that a fenced router left, where model engines
// can tell what they served. An attempt that no engine knows stays charged its
// worst case: a paused router may still send it.
func (c *Controller) billLeft(ctx context.Context, incarnation string, left []ledger.UnbilledAttempt) {
	slots := make(chan struct{}, askAtOnce)
	var wg sync.WaitGroup
	for _, l := range left {
		wg.Add(1)
		slots <- struct{}{}
		go func() {
			defer wg.Done()
			defer func() { <-slots }()
			c.billOne(ctx, incarnation, l)
		}()
	}
	wg.Wait()
}

func (c *Controller) billOne(ctx context.Context, incarnation string, l ledger.UnbilledAttempt) {
	served, found := c.served(ctx, l)
	if found == 0 {
		return
	}
	tries := l.Worst / l.MaxPerTry
	served += (tries - found) * l.MaxPerTry
	op := ledger.Op{
		Kind:    ledger.Bill,
		Request: l.Request,
		Claim:   l.Claim,
		Holder:  incarnation,
		Account: l.Account,
		Budget:  l.Budget,
		Attempt: l.Attempt,
		Tokens:  min(served, l.Worst),
		Code:    int(result.BackendCut),
	}
	if err := c.ledgers.CommitBill(ctx, op); err != nil {
		c.log.Info("attempt of a dead router not billed", zap.String("request", l.Request), zap.Error(err))
	}
}

// served cancels the tries of an attempt at all engines of its model, and sums
// what they served. found is the number of tries that an engine knew.
func (c *Controller) served(ctx context.Context, l ledger.UnbilledAttempt) (tokens, found int64) {
	for try := int64(1); try <= l.Worst/l.MaxPerTry; try++ {
		id := l.Claim + "." + strconv.FormatInt(try, 10)
		if n, ok := c.servedTry(ctx, l.Target, id); ok {
			tokens += n
			found++
		}
	}
	return tokens, found
}

func (c *Controller) servedTry(ctx context.Context, target, attempt string) (int64, bool) {
	for _, p := range c.tables.State().Pools {
		if p.Kind != table.Model || p.Target != target {
			continue
		}
		for _, server := range p.Servers {
			if n, err := c.ask(ctx, server.Addr, attempt); err == nil {
				return n, true
			}
		}
	}
	return 0, false
}

func (c *Controller) ask(ctx context.Context, addr, attempt string) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	return c.engines.Cancel(ctx, addr, attempt)
}
