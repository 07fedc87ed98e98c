// Package reclaims returns the tokens of dead routers to their budgets.
//
// Every router process registers in the store before it holds a token. A process
// that is gone, or has not answered for long, is fenced: first its registration is
// closed, then every live router rejects its messages and claims, then the fence
// is committed in every ledger shard. After that the process can spend nothing,
// whether it is dead or only paused, and its spending is known, because each
// dispatch was recorded by another process beforehand. Tokens that are issued, not
// held by a live router and not charged are returned to their budget.
//
// If several routers die together, the dispatches that one recorded only at
// another may be unknown. Their tokens are then written off, that is, counted as
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
	// prefix is the store prefix of the holder registrations.
	prefix = "holders/"
	// role is the role name by which the router that scans for dead ones is ranked.
	role         = "reclaim"
	scanInterval = time.Second
	// membersPerScan is the number of members that may be asked per scanInterval.
	membersPerScan = 15
	whoTimeout     = 500 * time.Millisecond
	// recheckScans is the number of scans after a reclaim that check the pages again.
	recheckScans = 10
	// barrierTimeout bounds one barrier or holdings call to a router.
	barrierTimeout = 3 * time.Second
	// pageTries is the number of rounds in which conflicting pages are settled.
	pageTries = 10
)

// holder is the registration of a router process.
type holder struct {
	Incarnation string `json:"incarnation"`
	Instance    string `json:"instance"`
	State       state  `json:"state"`
}

// state is the state of a holder registration.
type state string

const (
	open state = "open"
	// fencing: the holder is being fenced and may not rejoin.
	fencing state = "fencing"
	// fenced: the tokens of the holder are settled.
	fenced state = "fenced"
)

// errRouterStateUnknown means that tokens cannot be reclaimed now, because the state
// of a router is unknown or has changed.
var errRouterStateUnknown = errors.New("a router does not answer but is not known to be gone, or routers changed during the scan")

// Controller scans for dead routers while this router is ranked first for the role.
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
	// silentFor is how long a router must not answer before it is fenced.
	silentFor   time.Duration
	silentSince map[string]time.Time
	// fencedSilent maps incarnations that were fenced because they did not
	// answer, and whose attempts are charged their worst case, to instances.
	fencedSilent map[string]string
	// rechecksLeft is the number of further scans that look for tokens that an
	// earlier scan counted twice. recheckHolders are the holders concerned.
	rechecksLeft   int
	recheckHolders []string
}

// New returns a controller.
func New(incarnation string, pages int, silentFor time.Duration, s store.Store, m *members.Controller, b *budgets.Controller, l *ledgers.Controller, t *tables.Controller, e *engine.Client, p *peer.Client, log *zap.Logger) *Controller {
	return &Controller{
		tables:      t,
		engines:     e,
		store:       s,
		members:     m,
		budgets:     b,
		ledgers:     l,
		peers:       p,
		log:         log,
		self:        holder{Incarnation: incarnation, Instance: m.Self().ID, State: open},
		pages:       pages,
		silentFor:   silentFor,
		silentSince: map[string]time.Time{},

		fencedSilent: map[string]string{},
	}
}

// Register registers this process in the store, and makes this router reject the holders
// that are registered there as fencing or fenced. The router accepts no requests until
// Register succeeds.
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

// Deregister removes the registration of this process at the end of a planned stop.
func (c *Controller) Deregister(ctx context.Context) {
	key := prefix + c.self.Incarnation
	if o, err := c.store.Get(ctx, key); err == nil {
		_ = c.store.Delete(ctx, key, o.Version)
	}
}

// Fence makes this router reject all messages and claims of an incarnation.
func (c *Controller) Fence(incarnation string) {
	c.budgets.Fence(incarnation)
	c.ledgers.Fence(incarnation)
}

// Barrier fences incarnations on this router and commits the ledger ops that it
// has buffered.
func (c *Controller) Barrier(ctx context.Context, fenced []string) error {
	for _, incarnation := range fenced {
		c.Fence(incarnation)
	}
	return c.ledgers.Barrier(ctx, fenced[0])
}

// Run scans for dead routers until the context is cancelled.
func (c *Controller) Run(ctx context.Context) {
	ticker := time.NewTicker(scanInterval)
	defer ticker.Stop()
	for tick := 0; ; tick++ {
		select {
		case <-ticker.C:
			if tick%c.ticksPerScan() != 0 || c.members.First(clock.Now(), role) != c.self.Instance {
				continue
			}
			if err := c.scan(ctx); err != nil && ctx.Err() == nil {
				c.log.Info("scan for dead routers failed; no tokens reclaimed", zap.Error(err))
			}
		case <-ctx.Done():
			return
		}
	}
}

// ticksPerScan returns the number of ticks between two scans. A large fleet is
// scanned less often, so that the load on the scanning router stays the same.
func (c *Controller) ticksPerScan() int {
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

// snapshot is the classification of all holders in one scan.
type snapshot struct {
	live map[string]string // addresses by incarnation
	dead []string          // incarnations
	// gone contains the dead whose instance runs a different process. The other
	// dead only do not answer and may still be serving their callers.
	gone map[string]bool
}

// scan fences dead holders and reclaims their tokens.
func (c *Controller) scan(ctx context.Context) error {
	holders, err := c.list(ctx)
	if err != nil {
		return err
	}
	snap, err := c.classify(ctx, holders)
	if err != nil {
		return err
	}
	if len(snap.dead) == 0 {
		if err := c.billFencedSilent(ctx); err != nil {
			return err
		}
		return c.recheck(ctx, snap)
	}
	c.log.Warn("fencing dead routers", zap.Strings("incarnations", snap.dead))
	if err := c.fence(ctx, snap); err != nil {
		return err
	}
	if err := c.settlePages(ctx, snap); err != nil {
		return err
	}
	c.rechecksLeft, c.recheckHolders = 0, nil
	if len(snap.dead) == 1 {
		c.rechecksLeft, c.recheckHolders = recheckScans, snap.dead
	}
	return c.markFenced(ctx, snap.dead)
}

// recheck settles the pages again for holders that were settled recently. Tokens of
// requests that end between the reads are counted both as held and as charged, so
// the amount reclaimed can be too small but never too large.
func (c *Controller) recheck(ctx context.Context, snap snapshot) error {
	if c.rechecksLeft == 0 {
		return nil
	}
	c.rechecksLeft--
	snap.dead = c.recheckHolders
	return c.settlePages(ctx, snap)
}

// classify queries the instances of all open holders. A holder is dead if its
// instance runs a different process, or has not answered for silentFor.
func (c *Controller) classify(ctx context.Context, holders []holder) (snapshot, error) {
	snap := snapshot{live: map[string]string{}, gone: map[string]bool{}}
	var mu sync.Mutex
	var wg sync.WaitGroup
	unsettled := false
	for _, h := range holders {
		switch h.State {
		case fenced:
			continue
		case fencing:
			mu.Lock()
			snap.dead = append(snap.dead, h.Incarnation)
			mu.Unlock()
			continue
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			addr, answering := c.processAt(ctx, h.Instance)
			mu.Lock()
			defer mu.Unlock()
			switch {
			case answering == h.Incarnation:
				snap.live[h.Incarnation] = addr
				delete(c.silentSince, h.Incarnation)
			case answering != "":
				snap.gone[h.Incarnation] = true
				snap.dead = append(snap.dead, h.Incarnation)
			case c.silentTooLong(h.Incarnation):
				c.fencedSilent[h.Incarnation] = h.Instance
				snap.dead = append(snap.dead, h.Incarnation)
			default:
				unsettled = true
			}
		}()
	}
	wg.Wait()
	sort.Strings(snap.dead)
	if unsettled && len(snap.dead) > 0 {
		return snapshot{}, errRouterStateUnknown
	}
	return snap, nil
}

func (c *Controller) silentTooLong(incarnation string) bool {
	since, known := c.silentSince[incarnation]
	if !known {
		c.silentSince[incarnation] = clock.Now()
		return false
	}
	return clock.Since(since) >= c.silentFor
}

// processAt returns the address of an instance and the incarnation that runs there,
// or an empty incarnation if none answers.
func (c *Controller) processAt(ctx context.Context, instance string) (addr, incarnation string) {
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

// fence closes the registrations of the dead, then calls Barrier on all live
// routers, then commits the fence in all ledger shards.
func (c *Controller) fence(ctx context.Context, snap snapshot) error {
	for _, incarnation := range snap.dead {
		if err := c.setState(ctx, incarnation, fencing); err != nil {
			return err
		}
	}
	for incarnation, addr := range snap.live {
		if err := c.barrier(ctx, incarnation, addr, snap.dead); err != nil {
			return err
		}
	}
	for _, incarnation := range snap.dead {
		charges, err := c.ledgers.FenceAllShards(ctx, incarnation)
		if err != nil {
			return err
		}
		if snap.gone[incarnation] {
			c.billUnbilled(ctx, incarnation, charges.Unbilled)
		}
	}
	return nil
}

// billFencedSilent bills the attempts of routers that were fenced because they did
// not answer, once their instance runs a different process. Billing cancels the
// attempts at the engines, and a router that was only partitioned or paused may
// still be streaming them.
func (c *Controller) billFencedSilent(ctx context.Context) error {
	for incarnation, instance := range c.fencedSilent {
		_, answering := c.processAt(ctx, instance)
		if answering == "" || answering == incarnation {
			continue
		}
		charges, err := c.ledgers.FenceAllShards(ctx, incarnation)
		if err != nil {
			return err
		}
		c.billUnbilled(ctx, incarnation, charges.Unbilled)
		delete(c.fencedSilent, incarnation)
		c.rechecksLeft, c.recheckHolders = recheckScans, []string{incarnation}
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

// setState updates the state of a registration.
func (c *Controller) setState(ctx context.Context, incarnation string, to state) error {
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

// markFenced marks the dead as fenced after their tokens were settled.
func (c *Controller) markFenced(ctx context.Context, dead []string) error {
	for _, incarnation := range dead {
		if err := c.setState(ctx, incarnation, fenced); err != nil {
			return err
		}
		delete(c.silentSince, incarnation)
	}
	return nil
}
