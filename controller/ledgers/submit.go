package ledgers

import (
	"context"
	"sync"

	"go.uber.org/zap"

	"github.com/gaplink/gaplink/clock"
	"github.com/gaplink/gaplink/ledger"
	"github.com/gaplink/gaplink/peer"
)

// submitTo submits an op to one router as owner of shard n.
func (c *Controller) submitTo(ctx context.Context, id string, n int, op ledger.Op) (ledger.Outcome, error) {
	ctx, cancel := context.WithTimeout(ctx, submitTimeout)
	defer cancel()
	if id == c.members.Self().ID {
		return c.Submit(ctx, n, op)
	}
	addr, ok := c.members.Addr(id)
	if !ok {
		return ledger.Outcome{}, peer.ErrNotSent
	}
	req := &peer.LedgerRequest{Shard: n, Op: op, Durable: op.Durable}
	resp, err := peer.Call[peer.LedgerRequest, peer.LedgerAnswer](ctx, c.peers, addr, peer.MethodLedger, req)
	if err != nil {
		c.members.ReportFailure(id, err)
		return ledger.Outcome{}, err
	}
	c.members.ReportSuccess(id)
	return resp.Outcome, nil
}

// submit submits an op to the owners in rank order until one answers.
func (c *Controller) submit(ctx context.Context, op ledger.Op) (outcome ledger.Outcome, owner string, err error) {
	n := ledger.ShardOf(op.Request, c.shardCount)
	err = errNoOwner
	for _, id := range c.owners(n) {
		outcome, err = c.submitTo(ctx, id, n, op)
		if err == nil {
			return outcome, id, nil
		}
		if ctx.Err() != nil {
			return outcome, "", err
		}
	}
	return outcome, "", err
}

func (c *Controller) owners(n int) []string {
	ranked := c.members.Rank(clock.Now(), ledger.OwnerRole(n))
	if len(ranked) == 0 {
		return []string{c.members.Self().ID}
	}
	return ranked[:min(len(ranked), maxSubmitTries)]
}

// Claim requests permission to run a request. Each dispatch is recorded outside this
// process beforehand, in the log or in the memory of the shard's owner, so that
// the spent tokens of a router that dies can be distinguished from the unspent ones.
func (c *Controller) Claim(ctx context.Context, op ledger.Op) (ledger.Outcome, error) {
	owners := c.owners(ledger.ShardOf(op.Request, c.shardCount))
	if owners[0] == c.members.Self().ID {
		op.Durable = true
	}
	outcome, owner, err := c.submit(ctx, op)
	if err == nil && owner == c.members.Self().ID && !op.Durable {
		return c.claimAtOtherOwner(ctx, op)
	}
	if err == nil && outcome.Decision == ledger.StoreDown && !op.NotRepeatable {
		return c.claimAtOtherOwner(ctx, op)
	}
	return outcome, err
}

// claimAtOtherOwner records the claim of a repeatable request in another router's
// memory.
func (c *Controller) claimAtOtherOwner(ctx context.Context, op ledger.Op) (ledger.Outcome, error) {
	op.Durable = false
	n := ledger.ShardOf(op.Request, c.shardCount)
	err := errNoOwner
	for _, id := range c.owners(n) {
		if id == c.members.Self().ID {
			continue
		}
		var outcome ledger.Outcome
		outcome, err = c.submitTo(ctx, id, n, op)
		if err == nil {
			return outcome, nil
		}
	}
	return ledger.Outcome{}, err
}

// Record submits a bill. It returns after the bill is committed, after an owner
// buffers it while the store is down, or after the submission fails. A bill that
// only this router has buffered is first offered to other owners. Bills that are not
// committed are resubmitted periodically.
func (c *Controller) Record(ctx context.Context, op ledger.Op) {
	key := op.Holder + "/" + op.Request + "/" + op.Claim
	c.mu.Lock()
	c.bills[key] = op
	c.mu.Unlock()
	outcome, owner, err := c.submit(ctx, op)
	if err != nil {
		c.log.Warn("bill not recorded; it will be resubmitted", zap.String("request", op.Request), zap.Error(err))
		return
	}
	if outcome.Decision == ledger.Recorded {
		c.mu.Lock()
		delete(c.bills, key)
		c.mu.Unlock()
		return
	}
	if owner == c.members.Self().ID {
		c.replicateBill(ctx, op)
	}
}

// UnrecordedTokens returns the tokens of bills not known to be committed, by
// budget. This includes buffered bills, because the next owner of the shard may not
// have them.
func (c *Controller) UnrecordedTokens() map[string]int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	tokens := map[string]int64{}
	for _, op := range c.bills {
		tokens[op.Budget] += op.Tokens
	}
	return tokens
}

// Fence makes this router reject all further claims of an incarnation.
func (c *Controller) Fence(incarnation string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.fenced[incarnation] = true
}

// Barrier commits all ops that this router has buffered for any shard, by
// committing a fence after them.
func (c *Controller) Barrier(ctx context.Context, incarnation string) error {
	for n, sh := range c.shards {
		sh.mu.Lock()
		idle := sh.shard.Idle()
		sh.mu.Unlock()
		if idle {
			continue
		}
		outcome, err := c.Submit(ctx, n, ledger.Op{Kind: ledger.Fence, Holder: incarnation})
		if err != nil {
			return err
		}
		if outcome.Decision != ledger.Recorded {
			return errNoOwner
		}
	}
	return nil
}

// Charges is the result of a fence over all shards.
type Charges struct {
	// Totals holds the tokens charged in all shards, by budget.
	Totals map[string]int64
	// Unbilled lists the fenced holder's attempts that are charged their worst case.
	Unbilled []ledger.UnbilledAttempt
}

// FenceAllShards commits a fence in every shard and returns the charges.
func (c *Controller) FenceAllShards(ctx context.Context, incarnation string) (Charges, error) {
	all := Charges{Totals: map[string]int64{}}
	for n := range c.shardCount {
		outcome, err := c.fenceShard(ctx, n, incarnation)
		if err != nil {
			return all, err
		}
		for id, tokens := range outcome.Totals {
			all.Totals[id] += tokens
		}
		all.Unbilled = append(all.Unbilled, outcome.Unbilled...)
	}
	return all, nil
}

func (c *Controller) fenceShard(ctx context.Context, n int, incarnation string) (ledger.Outcome, error) {
	op := ledger.Op{Kind: ledger.Fence, Holder: incarnation}
	for _, id := range c.owners(n) {
		outcome, err := c.submitTo(ctx, id, n, op)
		if err == nil && outcome.Decision == ledger.Recorded {
			return outcome, nil
		}
	}
	return ledger.Outcome{}, errNoOwner
}

// CommitBill commits the bill of an unbilled attempt of a fenced holder. It returns
// an error if the bill is not committed.
func (c *Controller) CommitBill(ctx context.Context, op ledger.Op) error {
	outcome, _, err := c.submit(ctx, op)
	if err == nil && outcome.Decision != ledger.Recorded {
		err = errNoOwner
	}
	return err
}

// replicateBill submits a buffered bill to the next owner in rank, so that the bill
// is not lost if only this router dies.
func (c *Controller) replicateBill(ctx context.Context, op ledger.Op) {
	n := ledger.ShardOf(op.Request, c.shardCount)
	for _, id := range c.owners(n) {
		if id == c.members.Self().ID {
			continue
		}
		if _, err := c.submitTo(ctx, id, n, op); err == nil {
			return
		}
	}
}

// resubmit submits again the bills that are not known to be committed. An unavailable shard does
// not delay the bills of the others.
func (c *Controller) resubmit() {
	byShard := map[int]map[string]ledger.Op{}
	c.mu.Lock()
	for key, op := range c.bills {
		n := ledger.ShardOf(op.Request, c.shardCount)
		if byShard[n] == nil {
			byShard[n] = map[string]ledger.Op{}
		}
		byShard[n][key] = op
	}
	c.mu.Unlock()
	var shards sync.WaitGroup
	for n, bills := range byShard {
		shards.Go(func() { c.resubmitTo(n, bills) })
	}
	shards.Wait()
}

// resubmitTo submits bills of one shard until one is not recorded.
func (c *Controller) resubmitTo(n int, bills map[string]ledger.Op) {
	for key, op := range bills {
		outcome, _, err := c.submit(context.Background(), op)
		if err != nil || outcome.Decision != ledger.Recorded {
			c.log.Debug("bills of a shard stay unrecorded for now", zap.Int("shard", n), zap.Int("bills", len(bills)), zap.String("decision", string(outcome.Decision)), zap.Error(err))
			return
		}
		c.mu.Lock()
		delete(c.bills, key)
		c.mu.Unlock()
	}
}

// Unrecorded returns the number of bills not known to be committed.
func (c *Controller) Unrecorded() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.bills)
}

// Withdraw cancels, in the background, a claim whose attempt was not dispatched.
func (c *Controller) Withdraw(op ledger.Op) {
	c.goTask(func() {
		if _, _, err := c.submit(context.Background(), op); err != nil {
			c.log.Warn("could not withdraw claim", zap.String("request", op.Request), zap.Error(err))
		}
	})
}

// Running reports whether the holder named in a Busy outcome still serves the
// request. A holder that does not answer is presumed gone.
func (c *Controller) Running(ctx context.Context, outcome ledger.Outcome, request string) bool {
	if outcome.Holder == c.incarnation {
		return c.IsServing(c.incarnation, outcome.Claim)
	}
	addr, ok := c.members.Addr(outcome.Instance)
	if !ok {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, runningTimeout)
	defer cancel()
	req := &peer.RunningRequest{Incarnation: outcome.Holder, Claim: outcome.Claim}
	resp, err := peer.Call[peer.RunningRequest, peer.RunningAnswer](ctx, c.peers, addr, peer.MethodRunning, req)
	if err != nil {
		c.log.Info("holder of a running request does not answer", zap.String("request", request), zap.String("holder", outcome.Instance))
		return false
	}
	return resp.Running
}

// IsServing reports whether this process has the given incarnation and serves the claim.
func (c *Controller) IsServing(incarnation, claim string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return incarnation == c.incarnation && c.running[claim]
}

// MarkServing marks a claim as being served by this router.
func (c *Controller) MarkServing(claim string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.running[claim] = true
}

// UnmarkServing marks a claim as no longer being served.
func (c *Controller) UnmarkServing(claim string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.running, claim)
}

// Self returns this router's incarnation and instance.
func (c *Controller) Self() (incarnation, instance string) {
	return c.incarnation, c.members.Self().ID
}
