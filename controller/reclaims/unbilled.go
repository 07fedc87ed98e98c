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
	// cancelTimeout bounds one cancel call to a model engine.
	cancelTimeout = 500 * time.Millisecond
	// maxConcurrentBills bounds the attempts that are billed at the same time.
	maxConcurrentBills = 32
)

// billUnbilled bills the unbilled attempts of a fenced router for which model engines
// report the tokens served. An attempt that no engine knows stays charged its
// worst case, because a paused router may still send it.
func (c *Controller) billUnbilled(ctx context.Context, incarnation string, left []ledger.UnbilledAttempt) {
	slots := make(chan struct{}, maxConcurrentBills)
	var wg sync.WaitGroup
	for _, l := range left {
		wg.Add(1)
		slots <- struct{}{}
		go func() {
			defer wg.Done()
			defer func() { <-slots }()
			c.billAttempt(ctx, incarnation, l)
		}()
	}
	wg.Wait()
}

func (c *Controller) billAttempt(ctx context.Context, incarnation string, l ledger.UnbilledAttempt) {
	served, found := c.cancelTries(ctx, l)
	if found == 0 {
		return
	}
	served += (l.Tries() - found) * l.MaxPerTry
	op := ledger.Op{
		Kind:    ledger.Bill,
		Request: l.Request,
		Claim:   l.Claim,
		Holder:  incarnation,
		Account: l.Account,
		Budget:  l.Budget,
		Attempt: l.Attempt,
		Tokens:  min(served, l.MaxTokens),
		Code:    int(result.BackendCut),
	}
	if err := c.ledgers.CommitBill(ctx, op); err != nil {
		c.log.Info("could not bill an attempt of a dead router", zap.String("request", l.Request), zap.Error(err))
	}
}

// cancelTries cancels the tries of an attempt at all engines of its model and
// returns the sum of the tokens served. found is the number of tries that an engine
// knew.
func (c *Controller) cancelTries(ctx context.Context, l ledger.UnbilledAttempt) (tokens, found int64) {
	for try := int64(1); try <= l.Tries(); try++ {
		id := l.Claim + "." + strconv.FormatInt(try, 10)
		if n, ok := c.cancelTry(ctx, l.Target, id); ok {
			tokens += n
			found++
		}
	}
	return tokens, found
}

func (c *Controller) cancelTry(ctx context.Context, target, attempt string) (int64, bool) {
	for _, p := range c.tables.State().Pools {
		if p.Kind != table.Model || p.Target != target {
			continue
		}
		for _, server := range p.Servers {
			if n, err := c.cancelAt(ctx, server.Addr, attempt); err == nil {
				return n, true
			}
		}
	}
	return 0, false
}

func (c *Controller) cancelAt(ctx context.Context, addr, attempt string) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, cancelTimeout)
	defer cancel()
	return c.engines.Cancel(ctx, addr, attempt)
}
