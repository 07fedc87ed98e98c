// Package reclaims brings back the tokens that a dead router left.
//
// Every router process registers in the store before it holds a token. When
// one is gone, or silent for long, it is fenced: first its registration is
// closed, then every live router refuses its messages and claims, then the
// fence is committed in every ledger shard. After that it can spend nothing,
// dead or merely paused, and what it spent is known: each dispatch was told to
// another process before. What is issued, not held by a live router and not
// charged goes back to its budget.
//
// If several routers die together, the dispatches that one told only to the
// other may be unknown. What they left is then written off: it counts as
// spent.
package reclaims

import (
	"context"
	"encoding/json"
	"errors"
	"sort"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/gaplink/gaplink/clock"
	"github.com/gaplink/gaplink/controller/budgets"
	"github.com/gaplink/gaplink/controller/ledgers"
	"github.com/gaplink/gaplink/controller/members"
	"github.com/gaplink/gaplink/controller/tables"
	"github.com/gaplink/gaplink/engine"
	"github.com/gaplink/gaplink/peer"
	"github.com/gaplink/gaplink/store"
)

const (
	// prefix is where holders are registered.
	prefix = "holders/"
	// role ranks the router that looks for dead ones.
	role      = "reclaim"
	scanEvery = time.Second
	// membersPerScan is how many members may be asked in one scanEvery.
	membersPerScan = 15
	whoTimeout     = 500 * time.Millisecond
	// auditScans is how many scans after a reclaim look again.
	auditScans = 10
	// barrierTimeout bounds the barrier at one router.
	barrierTimeout = 3 * time.Second
	// pageTries is how often a page that changes meanwhile is computed again.
	pageTries = 10
)

// holder is the registration of a router process.
type holder struct {
	Incarnation string `json:"incarnation"`
	Instance    string `json:"instance"`
	State       state  `json:"state"`
}

// state is how far a holder is ended.
type state string

const (
	open state = "open"
	// fencing: it is being fenced, and may not come back.
	fencing state = "fencing"
	// fenced: what it left is settled.
	fenced state = "fenced"
)

// errUnsettled means that the fleet is not in a state to reclaim in.
var errUnsettled = errors.New("a router neither answers nor is known to be gone")

// Controller looks for dead routers when it is ranked first for it.
type Controller struct {
	store   store.Store
	members *members.Controller
	budgets *budgets.Controller
	ledgers *ledgers.Controller
	tables  *tables.Controller
	engines *engine.Client
	peers   *peer.Client
	log     *zap.Logger
	self    holder
	pages   int
	// silentFor is how long a router must not answer to be fenced.
	silentFor time.Duration
	silent    map[string]time.Time
	// silentDead are the instances of incarnations that were fenced for
	// silence and whose attempts are charged their worst case.
	silentDead map[string]string
	// audits are the scans that still look for what an earlier one counted
	// twice, and settled are the holders whose tokens are looked for.
	audits  int
	settled []string
}

// New returns a controller.
func New(incarnation string, pages int, silentFor time.Duration, s store.Store, m *members.Controller, b *budgets.Controller, l *ledgers.Controller, t *tables.Controller, e *engine.Client, p *peer.Client, log *zap.Logger) *Controller {
	return &Controller{
		tables:    t,
		engines:   e,
		store:     s,
		members:   m,
		budgets:   b,
		ledgers:   l,
		peers:     p,
		log:       log,
		self:      holder{Incarnation: incarnation, Instance: m.Self().ID, State: open},
		pages:     pages,
		silentFor: silentFor,
		silent:    map[string]time.Time{},

		silentDead: map[string]string{},
	}
}

// Register makes this process known and learns which others are fenced. The
// router takes no request before it succeeded.
func (c *Controller) Register(ctx context.Context) error {
	value, err := json.Marshal(c.self)
	if err != nil {
		return err
	}
	key := prefix + c.self.Incarnation
	if _, err = c.store.Create(ctx, key, value); err != nil && !errors.Is(err, store.ErrConflict) {
		return err
	}
	holders, err := c.list(ctx)
	if err != nil {
		return err
	}
	for _, h := range holders {
		if h.State != open {
			c.Fence(h.Incarnation)
		}
	}
	return nil
}

// Deregister removes the registration at the end of a planned stop.
func (c *Controller) Deregister(ctx context.Context) {
	key := prefix + c.self.Incarnation
	if o, err := c.store.Get(ctx, key); err == nil {
		_ = c.store.Delete(ctx, key, o.Version)
	}
}

// Fence accepts nothing more from an incarnation here.
func (c *Controller) Fence(incarnation string) {
	c.budgets.Fence(incarnation)
	c.ledgers.Fence(incarnation)
}

// Barrier is this router's part of a fence.
func (c *Controller) Barrier(ctx context.Context, fenced []string) error {
	for _, incarnation := range fenced {
		c.Fence(incarnation)
	}
	return c.ledgers.Barrier(ctx, fenced[0])
}

// Run looks for dead routers until the context ends.
func (c *Controller) Run(ctx context.Context) {
	ticker := time.NewTicker(scanEvery)
	defer ticker.Stop()
	for tick := 0; ; tick++ {
		select {
		case <-ticker.C:
			if tick%c.every() != 0 || c.members.First(clock.Now(), role) != c.self.Instance {
				continue
			}
			if err := c.scan(ctx); err != nil && ctx.Err() == nil {
				c.log.Info("nothing reclaimed", zap.Error(err))
			}
		case <-ctx.Done():
			return
		}
	}
}

// every returns at which tick to scan: a large fleet is asked less often, so
// that the asking router spends the same on it.
func (c *Controller) every() int {
	return len(c.members.Members())/membersPerScan + 1
}

func (c *Controller) list(ctx context.Context) ([]holder, error) {
	objects, _, err := c.store.List(ctx, prefix)
	if err != nil {
		return nil, err
	}
	holders := make([]holder, 0, len(objects))
	for _, o := range objects {
		var h holder
		if err := json.Unmarshal(o.Value, &h); err != nil {
			return nil, err
		}
		holders = append(holders, h)
	}
	return holders, nil
}

// census is what is known of the open holders.
type census struct {
	live map[string]string // address by incarnation
	dead []string          // incarnations
	// gone are those of the dead whose instance runs another process. The
	// others are merely silent: they may still be serving their callers.
	gone map[string]bool
}

// scan fences dead holders and reclaims what they left.
func (c *Controller) scan(ctx context.Context) error {
	holders, err := c.list(ctx)
	if err != nil {
		return err
	}
	now, err := c.take(ctx, holders)
	if err != nil {
		return err
	}
	if len(now.dead) == 0 {
		if err := c.billSilent(ctx); err != nil {
			return err
		}
		return c.audit(ctx, now)
	}
	c.log.Warn("fencing dead routers", zap.Strings("incarnations", now.dead))
	if err := c.fence(ctx, now); err != nil {
		return err
	}
	if err := c.settlePages(ctx, now); err != nil {
		return err
	}
	c.audits, c.settled = 0, nil
	if len(now.dead) == 1 {
		c.audits, c.settled = auditScans, now.dead
	}
	return c.forget(ctx, now.dead)
}

// audit looks again for tokens of a holder that was settled lately. While
// requests end between the readings, their tokens count as held and as charged
// both, and the rest comes out too small; it never comes out too large.
func (c *Controller) audit(ctx context.Context, now census) error {
	if c.audits == 0 {
		return nil
	}
	c.audits--
	now.dead = c.settled
	return c.settlePages(ctx, now)
}

// take asks all open holders. A holder is dead if its instance runs another
// process, or has not answered for long.
func (c *Controller) take(ctx context.Context, holders []holder) (census, error) {
	now := census{live: map[string]string{}, gone: map[string]bool{}}
	var mu sync.Mutex
	var wg sync.WaitGroup
	unsettled := false
	for _, h := range holders {
		switch h.State {
		case fenced:
			continue
		case fencing:
			mu.Lock()
			now.dead = append(now.dead, h.Incarnation)
			mu.Unlock()
			continue
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			addr, answering := c.who(ctx, h.Instance)
			mu.Lock()
			defer mu.Unlock()
			switch {
			case answering == h.Incarnation:
				now.live[h.Incarnation] = addr
				delete(c.silent, h.Incarnation)
			case answering != "":
				now.gone[h.Incarnation] = true
				now.dead = append(now.dead, h.Incarnation)
			case c.silentLong(h.Incarnation):
				c.silentDead[h.Incarnation] = h.Instance
				now.dead = append(now.dead, h.Incarnation)
			default:
				unsettled = true
			}
		}()
	}
	wg.Wait()
	sort.Strings(now.dead)
	if unsettled && len(now.dead) > 0 {
		return census{}, errUnsettled
	}
	return now, nil
}

func (c *Controller) silentLong(incarnation string) bool {
	since, known := c.silent[incarnation]
	if !known {
		c.silent[incarnation] = clock.Now()
		return false
	}
	return clock.Since(since) >= c.silentFor
}

// who asks an instance which process runs there; empty if none answers.
func (c *Controller) who(ctx context.Context, instance string) (addr, incarnation string) {
	addr, ok := c.members.Addr(instance)
	if !ok {
		return "", ""
	}
	if instance == c.self.Instance {
		return addr, c.self.Incarnation
	}
	ctx, cancel := context.WithTimeout(ctx, whoTimeout)
	defer cancel()
	resp, err := peer.Call[peer.Empty, peer.WhoAnswer](ctx, c.peers, addr, peer.MethodWho, &peer.Empty{})
	if err != nil {
		return addr, ""
	}
	return addr, resp.Incarnation
}

// fence closes the registrations, then raises the barrier at all live
// routers, then commits the fence in all shards.
func (c *Controller) fence(ctx context.Context, now census) error {
	for _, incarnation := range now.dead {
		if err := c.mark(ctx, incarnation, fencing); err != nil {
			return err
		}
	}
	for incarnation, addr := range now.live {
		if err := c.barrier(ctx, incarnation, addr, now.dead); err != nil {
			return err
		}
	}
	for _, incarnation := range now.dead {
		charges, err := c.ledgers.FenceAllShards(ctx, incarnation)
		if err != nil {
			return err
		}
		if now.gone[incarnation] {
			c.billLeft(ctx, incarnation, charges.Unbilled)
		}
	}
	return nil
}

// billSilent bills what routers left that were fenced for silence, once their
// instance runs another process. Asking the engines cancels an attempt, and a
// router that was only cut off or paused may still be streaming it.
func (c *Controller) billSilent(ctx context.Context) error {
	for incarnation, instance := range c.silentDead {
		_, answering := c.who(ctx, instance)
		if answering == "" || answering == incarnation {
			continue
		}
		charges, err := c.ledgers.FenceAllShards(ctx, incarnation)
		if err != nil {
			return err
		}
		c.billLeft(ctx, incarnation, charges.Unbilled)
		delete(c.silentDead, incarnation)
		c.audits, c.settled = auditScans, []string{incarnation}
	}
	return nil
}

func (c *Controller) barrier(ctx context.Context, incarnation, addr string, dead []string) error {
	ctx, cancel := context.WithTimeout(ctx, barrierTimeout)
	defer cancel()
	if incarnation == c.self.Incarnation {
		return c.Barrier(ctx, dead)
	}
	_, err := peer.Call[peer.BarrierRequest, peer.Empty](ctx, c.peers, addr, peer.MethodBarrier, &peer.BarrierRequest{Fenced: dead})
	return err
}

// mark moves a registration's state on.
func (c *Controller) mark(ctx context.Context, incarnation string, to state) error {
	key := prefix + incarnation
	o, err := c.store.Get(ctx, key)
	if err != nil {
		return err
	}
	var h holder
	if err := json.Unmarshal(o.Value, &h); err != nil {
		return err
	}
	if h.State == to {
		return nil
	}
	h.State = to
	value, err := json.Marshal(h)
	if err != nil {
		return err
	}
	_, err = c.store.Update(ctx, key, o.Version, value)
	return err
}

// forget marks the dead as settled.
func (c *Controller) forget(ctx context.Context, dead []string) error {
	for _, incarnation := range dead {
		if err := c.mark(ctx, incarnation, fenced); err != nil {
			return err
		}
		delete(c.silent, incarnation)
	}
	return nil
}
