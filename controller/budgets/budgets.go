// Package budgets runs the budget agent: it carries its effects to the store
// and to other routers.
package budgets

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/gaplink/gaplink/budget"
	"github.com/gaplink/gaplink/clock"
	"github.com/gaplink/gaplink/membership"
	"github.com/gaplink/gaplink/peer"
	"github.com/gaplink/gaplink/store"
	"github.com/gaplink/gaplink/wakeups"
)

const (
	// tickEvery is how often the agent is ticked while it waits for something, quietEvery while
	// it only holds tokens, and idleEvery while it holds none.
	tickEvery  = 50 * time.Millisecond
	quietEvery = 500 * time.Millisecond
	idleEvery  = 10 * time.Second
)

// Members is what the controller knows of the other routers.
type Members interface {
	// Self is this router.
	Self() membership.Member
	// First returns the instance that is ranked first for a role.
	First(now time.Time, role string) string
	// Addr returns where an instance listens for other routers.
	Addr(id string) (string, bool)
	// Failed and Reached tell how a call to an instance ended.
	Failed(id string, cause error)
	Reached(id string)
	// Restarted tells that another process than the known one runs at an instance.
	Restarted(id string)
}

// Controller runs the agent. It is safe for concurrent use.
type Controller struct {
	store   store.Store
	members Members
	peers   *peer.Client
	log     *zap.Logger

	mu      sync.Mutex
	agent   *budget.Agent
	waiting map[uint64]chan answer
	onStop  func()
	// tickAfter is the time between the last tick and the next one, and busy wakes Run for a
	// shorter one.
	tickAfter time.Duration
	busy      chan struct{}
	// storeLost tells whether the store does not answer; it may be nil.
	storeLost func() bool
}

// homeOfPage makes one router the home of all budgets of a page, so that one
// write renews them.
func homeOfPage(pages int, m Members) func(time.Time, string) string {
	roles := make([]string, pages)
	for n := range roles {
		roles[n] = budget.Role(n)
	}
	return func(_ time.Time, id string) string { // the time of the budgets is not that of the view
		return m.First(clock.Now(), roles[budget.PageOf(id, pages)])
	}
}

// steady returns the time by which budgets are held. Other ages count the time for which
// the machine was suspended; escrows must not: they are released, and taken back by the
// next process, by the clock of the machine that starts anew at a loss of power and that
// ran while tokens could be used.
func steady() time.Time { return time.Now() }

// New returns a controller; without cfg.Home the first member for a page's role
// is the home of its budgets. onStop is called when this holder finds itself
// fenced.
func New(cfg budget.Config, s store.Store, m Members, p *peer.Client, log *zap.Logger, onStop func()) *Controller {
	if cfg.Home == nil {
		cfg.Home = homeOfPage(cfg.Pages, m)
	}
	return &Controller{
		store:   s,
		members: m,
		peers:   p,
		log:     log,
		agent:   budget.NewAgent(cfg),
		waiting: map[uint64]chan answer{},
		busy:    make(chan struct{}, 1),
		onStop:  onStop,

		storeLost: cfg.StoreLost,
	}
}

// Run ticks the agent until the context ends.
func (c *Controller) Run(ctx context.Context) {
	timer := time.NewTimer(c.untilTick())
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
			wakeups.Note(wakeups.Budgets)
			c.with(func(now time.Time, a *budget.Agent) []budget.Effect { return a.Tick(now) })
		case <-c.busy:
		case <-ctx.Done():
			return
		}
		timer.Reset(c.untilTick())
	}
}

// untilTick returns the time until the agent is to be ticked.
func (c *Controller) untilTick() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tickAfter = c.agentDue()
	return c.tickAfter
}

// agentDue returns how long the agent need not be ticked. It is called under the lock.
func (c *Controller) agentDue() time.Duration {
	switch {
	case c.agent.IsWaiting():
		return tickEvery
	case c.agent.IsIdle():
		return idleEvery
	default:
		return quietEvery
	}
}

// with calls the agent under the lock and carries the effects out.
func (c *Controller) with(call func(time.Time, *budget.Agent) []budget.Effect) {
	c.mu.Lock()
	effects := call(steady(), c.agent)
	c.resolve(effects)
	c.hasten()
	c.mu.Unlock()
	for _, e := range effects {
		c.perform(e)
	}
}

// hasten has the agent ticked sooner if there is more to do than at the last tick. It is called
// under the lock.
func (c *Controller) hasten() {
	due := c.agentDue()
	if due >= c.tickAfter {
		return
	}
	c.tickAfter = due
	select {
	case c.busy <- struct{}{}:
	default: // Run is awake already
	}
}

// resolve hands answers to waiting reservations. It is called under the lock.
func (c *Controller) resolve(effects []budget.Effect) {
	for _, e := range effects {
		r, ok := e.(budget.Resolve)
		if !ok {
			continue
		}
		if ch, waits := c.waiting[r.Token]; waits {
			delete(c.waiting, r.Token)
			ch <- answer{ok: r.OK, cause: r.Cause}
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
		c.members.Failed(e.ID, errNoGrant)
	case budget.AskAgain:
		c.with(func(now time.Time, a *budget.Agent) []budget.Effect { return a.AskAgain(now, e.Budget) })
	case budget.TakenBack:
		c.log.Info("tokens of an earlier process taken back", zap.String("holder", e.Holder),
			zap.Duration("age_ms", e.Age), zap.Any("tokens", e.Tokens))
	case budget.GivenUp:
		c.log.Warn("tokens of an earlier process given up: its clock may have started anew", zap.String("holder", e.Holder),
			zap.Duration("steady_age_ms", e.Steady), zap.Duration("time_of_day_age_ms", e.OfDay), zap.Any("tokens", e.Tokens))
	case budget.Stop:
		c.onStop()
	}
}

// SetLimits takes the budgets of a configuration.
func (c *Controller) SetLimits(limits map[string]budget.Limit) {
	c.with(func(now time.Time, a *budget.Agent) []budget.Effect { return a.SetLimits(now, limits) })
}

// Holdings returns what this router holds of the named budgets, or of all
// that it used if none is named.
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

// Seen returns what a decision over a budget goes by now.
func (c *Controller) Seen(id string) budget.Seen {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.agent.Seen(steady(), id)
}

// Fence makes messages of an incarnation void.
func (c *Controller) Fence(incarnation string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.agent.Fence(incarnation)
}
