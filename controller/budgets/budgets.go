// Package budgets runs the budget agent of a router and carries out its effects:
// store reads and writes, and messages to other routers.
package budgets

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/gaplink/gaplink/budget"
	"github.com/gaplink/gaplink/clock"
	"github.com/gaplink/gaplink/logs"
	"github.com/gaplink/gaplink/membership"
	"github.com/gaplink/gaplink/peer"
	"github.com/gaplink/gaplink/store"
	"github.com/gaplink/gaplink/wakeups"
)

const (
	// activeTickInterval applies while the agent waits for an answer, quietTickInterval while it
	// only holds tokens, and idleTickInterval while it holds none.
	activeTickInterval = 50 * time.Millisecond
	quietTickInterval  = 500 * time.Millisecond
	idleTickInterval   = 10 * time.Second
)

// Members provides the membership view of the other routers.
type Members interface {
	// Self returns the member entry of this router.
	Self() membership.Member
	// First returns the instance ranked first for a role.
	First(now time.Time, role string) string
	// Addr returns the address on which an instance listens for other routers.
	Addr(id string) (string, bool)
	// ReportFailure and ReportSuccess report the result of a call to an instance.
	ReportFailure(id string, cause error)
	ReportSuccess(id string)
	// ReportRestart reports that an instance runs a different process than the known one.
	ReportRestart(id string)
}

// Controller runs the agent. It is safe for concurrent use.
type Controller struct {
	store   store.Store
	members Members
	peers   *peer.Client
	log     *zap.Logger

	mu       sync.Mutex
	agent    *budget.Agent
	waiting  map[uint64]chan reservationResult
	onFenced func()
	// tickInterval is the time from the last tick to the next one. wake makes Run read the
	// interval again after it became shorter.
	tickInterval time.Duration
	wake         chan struct{}
	decisionLogs map[string]*logs.RateLimit // rate limits of the log lines about decisions, by message
	// storeLost reports whether the store does not answer. It may be nil.
	storeLost func() bool
	// storeRemaining predicts the time until the store answers again. It may be nil.
	storeRemaining func() time.Duration
}

// ownerByPage makes one router the owner of all budgets of a page, so that one
// write renews all of them.
func ownerByPage(pages int, m Members) func(time.Time, string) string {
	rankKeys := make([]string, pages)
	for n := range rankKeys {
		rankKeys[n] = budget.RankKey(n)
	}
	return func(_ time.Time, id string) string { // the membership view uses another clock than the budgets
		return m.First(clock.Now(), rankKeys[budget.PageOf(id, pages)])
	}
}

// agentTime returns the agent's time, by which held budgets age. Other ages include the time
// for which the machine was suspended. The age of an escrow must not include it: escrows are released, and
// reclaimed by the next process, by the machine's monotonic clock, which restarts after a power
// loss and advances only while tokens can be used.
func agentTime() time.Time { return time.Now() }

// New returns a controller. Without cfg.Owner, the member ranked first for a
// page's role is the owner of the page's budgets. onFenced is called when this holder
// learns that it has been fenced.
func New(cfg budget.Config, s store.Store, m Members, p *peer.Client, log *zap.Logger, onFenced func()) *Controller {
	if cfg.Owner == nil {
		cfg.Owner = ownerByPage(cfg.Pages, m)
	}
	return &Controller{
		store:    s,
		members:  m,
		peers:    p,
		log:      log,
		agent:    budget.NewAgent(cfg),
		waiting:  map[uint64]chan reservationResult{},
		wake:     make(chan struct{}, 1),
		onFenced: onFenced,

		decisionLogs: newDecisionLogs(),

		storeLost: cfg.StoreLost,
	}
}

// Run ticks the agent until the context is cancelled.
func (c *Controller) Run(ctx context.Context) {
	timer := time.NewTimer(c.nextTick())
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
			wakeups.Count(wakeups.Budgets)
			c.withAgent(func(now time.Time, a *budget.Agent) []budget.Effect { return a.Tick(now) })
		case <-c.wake:
		case <-ctx.Done():
			return
		}
		timer.Reset(c.nextTick())
	}
}

// nextTick updates and returns the time until the next tick.
func (c *Controller) nextTick() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tickInterval = c.intervalNeeded()
	return c.tickInterval
}

// intervalNeeded returns the longest interval that the agent allows until its next tick. The
// caller holds the lock.
func (c *Controller) intervalNeeded() time.Duration {
	switch {
	case c.agent.IsWaiting():
		return activeTickInterval
	case c.agent.IsIdle():
		return idleTickInterval
	default:
		return quietTickInterval
	}
}

// withAgent calls the agent under the lock and then carries out the returned effects.
func (c *Controller) withAgent(call func(time.Time, *budget.Agent) []budget.Effect) {
	c.mu.Lock()
	effects := call(agentTime(), c.agent)
	c.resolve(effects)
	c.shortenTick()
	c.mu.Unlock()
	for _, e := range effects {
		c.perform(e)
	}
}

// shortenTick brings the next tick forward if the agent now needs a shorter interval. The caller
// holds the lock.
func (c *Controller) shortenTick() {
	due := c.intervalNeeded()
	if due >= c.tickInterval {
		return
	}
	c.tickInterval = due
	select {
	case c.wake <- struct{}{}:
	default: // Run has already been woken
	}
}

// resolve delivers answers to waiting reservations. The caller holds the lock.
func (c *Controller) resolve(effects []budget.Effect) {
	for _, e := range effects {
		r, ok := e.(budget.Resolve)
		if !ok {
			continue
		}
		if ch, waits := c.waiting[r.Token]; waits {
			delete(c.waiting, r.Token)
			ch <- reservationResult{ok: r.OK, cause: r.Cause}
		}
	}
}

func (c *Controller) perform(e budget.Effect) {
	switch e := e.(type) {
	case budget.Send:
		go c.send(e.Message)
	case budget.ReadPage:
		go c.read(e.Page)
	case budget.WritePage:
		go c.write(e)
	case budget.Suspect:
		c.members.ReportFailure(e.ID, errNoGrant)
	case budget.AskSuccessor:
		c.withAgent(func(now time.Time, a *budget.Agent) []budget.Effect { return a.AskSuccessor(now, e.Budget) })
	case budget.EscrowReclaimed:
		c.log.Info("tokens of an earlier process taken back", zap.String("holder", e.Holder),
			zap.Duration("age_ms", e.Age), zap.Any("tokens", e.Tokens))
	case budget.EscrowForfeited:
		c.log.Warn("tokens of an earlier process counted as spent: its clock may have restarted", zap.String("holder", e.Holder),
			zap.Duration("steady_age_ms", e.Monotonic), zap.Duration("time_of_day_age_ms", e.WallClock), zap.Any("tokens", e.Tokens))
	case budget.HolderFenced:
		c.onFenced()
	default:
		c.logDecision(e)
	}
}

// SetLimits applies the budget limits of a configuration.
func (c *Controller) SetLimits(limits map[string]budget.Limit) {
	c.withAgent(func(now time.Time, a *budget.Agent) []budget.Effect { return a.SetLimits(now, limits) })
}

// Holdings returns this router's holdings of the named budgets, or of all budgets
// that it has used if none is named.
func (c *Controller) Holdings(ids []string) map[string]budget.Holding {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(ids) == 0 {
		return c.agent.Holdings()
	}
	held := make(map[string]budget.Holding, len(ids))
	for _, id := range ids {
		held[id] = c.agent.Holding(id)
	}
	return held
}

// DecisionInput returns the current data on which a decision about a budget is based.
func (c *Controller) DecisionInput(id string) budget.DecisionInput {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.agent.DecisionInput(agentTime(), id)
}

// MovesBeyondUsable returns how many messages were to carry tokens that were not usable, since the start.
func (c *Controller) MovesBeyondUsable() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.agent.MovesBeyondUsable()
}

// Fence rejects all further messages of an incarnation.
func (c *Controller) Fence(incarnation string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.agent.Fence(incarnation)
}
