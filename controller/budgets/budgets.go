// Package budgets runs the budget agent: it carries its effects to the store
// and to other routers.
package budgets

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/gaplink/gaplink/budget"
	"github.com/gaplink/gaplink/clock"
	"github.com/gaplink/gaplink/membership"
	"github.com/gaplink/gaplink/peer"
	"github.com/gaplink/gaplink/result"
	"github.com/gaplink/gaplink/store"
)

const (
	tickEvery = 50 * time.Millisecond
	// sendTimeout bounds a message to another router: one that does not take it
	// by then is passed over for a while.
	sendTimeout = 150 * time.Millisecond
	// waitAtMost bounds how long a reservation may wait for an answer.
	waitAtMost = 3 * time.Second
	// exhaustedRetry and unreachableRetry are when to come back.
	exhaustedRetry   = 5 * time.Second
	unreachableRetry = 4 * time.Second
	// unansweredRetry is the same when a router was asked for tokens and has not
	// answered: another one takes its place by then.
	unansweredRetry = 300 * time.Millisecond
)

// errOtherProcess means that the message was for an earlier process of the
// instance, which has certainly not taken it.
var errOtherProcess = errors.New("another process runs at the instance")

// errNoGrant means that a router took a question for tokens and has not
// answered it, or is closing.
var errNoGrant = errors.New("no answer to a question for tokens")

// answer is the outcome of a waiting reservation.
type answer struct {
	ok    bool
	cause budget.Cause
}

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
		onStop:  onStop,

		storeLost: cfg.StoreLost,
	}
}

// Run ticks the agent until the context ends.
func (c *Controller) Run(ctx context.Context) {
	ticker := time.NewTicker(tickEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			c.with(func(now time.Time, a *budget.Agent) []budget.Effect { return a.Tick(now) })
		case <-ctx.Done():
			return
		}
	}
}

// with calls the agent under the lock and carries the effects out.
func (c *Controller) with(call func(time.Time, *budget.Agent) []budget.Effect) {
	c.mu.Lock()
	effects := call(steady(), c.agent)
	c.resolve(effects)
	c.mu.Unlock()
	for _, e := range effects {
		c.perform(e)
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

// send delivers a message once. A message to this router itself stays here.
func (c *Controller) send(m budget.Message) {
	if m.To.ID == c.members.Self().ID {
		_ = c.Receive(m)
		return
	}
	err := c.deliver(m)
	if err == nil {
		c.members.Reached(m.To.ID)
		return
	}
	certain := errors.Is(err, peer.ErrNotSent)
	if errors.Is(err, errOtherProcess) {
		certain = true // the instance is well; only its process is another
	} else {
		c.members.Failed(m.To.ID, err)
	}
	c.with(func(now time.Time, a *budget.Agent) []budget.Effect { return a.Undelivered(now, m, certain) })
}

func (c *Controller) deliver(m budget.Message) error {
	addr, ok := c.members.Addr(m.To.ID)
	if !ok {
		return peer.ErrNotSent
	}
	ctx, cancel := context.WithTimeout(context.Background(), c.peers.Timeout(sendTimeout))
	defer cancel()
	_, err := peer.Call[peer.BudgetMessage, peer.Empty](ctx, c.peers, addr, peer.MethodBudget, &peer.BudgetMessage{Message: m})
	if result.From(err).Code == result.WrongIncarnation {
		return errOtherProcess
	}
	return err
}

// Receive takes a message from another router. It fails with WrongIncarnation
// when the message is for an earlier process of this instance.
func (c *Controller) Receive(m budget.Message) error {
	accepted := true
	c.with(func(now time.Time, a *budget.Agent) []budget.Effect {
		accepted = a.Accepts(m)
		return a.Receive(now, m)
	})
	if !accepted {
		return result.New(result.WrongIncarnation, "meant for %s", m.To.Incarnation)
	}
	return nil
}

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

// Reserve takes tokens from a budget, or fails with the reason.
func (c *Controller) Reserve(ctx context.Context, id string, tokens int64) error {
	ch := make(chan answer, 1)
	var token uint64
	granted := false
	c.with(func(now time.Time, a *budget.Agent) []budget.Effect {
		var effects []budget.Effect
		token, granted, effects = a.Reserve(now, id, tokens)
		if !granted {
			c.waiting[token] = ch
		}
		return effects
	})
	if granted {
		return nil
	}
	return c.await(ctx, id, tokens, token, ch)
}

// TryReserve takes tokens that this router holds, without waiting.
func (c *Controller) TryReserve(id string, tokens int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.agent.TryReserve(steady(), id, tokens)
}

func (c *Controller) await(ctx context.Context, id string, tokens int64, token uint64, ch chan answer) error {
	timer := time.NewTimer(waitAtMost)
	defer timer.Stop()
	select {
	case got := <-ch:
		return refusal(id, got)
	case <-timer.C:
	case <-ctx.Done():
	}
	if c.cancel(id, token) {
		return result.New(result.BudgetUnreachable, "budget %s: no answer in time", id).After(c.unanswered())
	}
	got := <-ch
	if got.ok && ctx.Err() != nil {
		c.Settle(id, tokens, 0)
		return refusal(id, answer{cause: budget.Unreachable})
	}
	return refusal(id, got)
}

// unanswered is when to come back after a reservation that got no answer in
// time: soon if another router takes the place of one that did not answer, and
// later if what is missing is the store.
func (c *Controller) unanswered() time.Duration {
	if c.storeLost != nil && c.storeLost() {
		return unreachableRetry
	}
	return unansweredRetry
}

// cancel withdraws a waiting reservation; false means that its answer is
// already there.
func (c *Controller) cancel(id string, token uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, waits := c.waiting[token]; !waits {
		return false
	}
	delete(c.waiting, token)
	c.agent.Cancel(id, token)
	return true
}

func refusal(id string, got answer) error {
	switch {
	case got.ok:
		return nil
	case got.cause == budget.Unknown:
		return result.New(result.UnknownBudget, "budget %s does not exist", id)
	case got.cause == budget.Exhausted:
		return result.New(result.BudgetExhausted, "budget %s cannot cover the request", id).After(exhaustedRetry)
	default:
		return result.New(result.BudgetUnreachable, "budget %s: neither the store nor a holder answers", id).After(unreachableRetry)
	}
}

// SetLimits takes the budgets of a configuration.
func (c *Controller) SetLimits(limits map[string]budget.Limit) {
	c.with(func(now time.Time, a *budget.Agent) []budget.Effect { return a.SetLimits(now, limits) })
}

// Settle ends a reservation of which actual tokens were served.
func (c *Controller) Settle(id string, reserved, actual int64) {
	c.with(func(now time.Time, a *budget.Agent) []budget.Effect {
		return a.Settle(now, id, reserved, actual)
	})
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

// StartClose starts returning all balances, now and as requests end.
func (c *Controller) StartClose() {
	c.with(func(now time.Time, a *budget.Agent) []budget.Effect { return a.Close(now) })
}

// Close returns all balances to the store; it waits until that is done or the
// context ends.
func (c *Controller) Close(ctx context.Context) {
	c.StartClose()
	ticker := time.NewTicker(tickEvery)
	defer ticker.Stop()
	for !c.closed() {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			c.log.Warn("budgets not returned; they stay issued until an operator closes the holder")
			return
		}
	}
	c.fold(ctx)
}

// closed tells whether all is returned, and if so seals the agent in the same
// step: what came in between would be returned after others reclaimed it.
func (c *Controller) closed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.agent.Closed() {
		return false
	}
	c.agent.Seal()
	return true
}

// fold closes this holder in the pages that it drew from, so that no record
// of it stays behind.
func (c *Controller) fold(ctx context.Context) {
	c.mu.Lock()
	holder, pages := c.agent.Touched()
	c.mu.Unlock()
	for _, n := range pages {
		if err := CloseHolder(ctx, c.store, n, holder); err != nil {
			c.log.Info("holder not closed", zap.Int("page", n), zap.Error(err))
		}
	}
}
