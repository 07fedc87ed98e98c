// Package slots lends slots of brittle backend servers among the routers: the owner of a server's slots lends
// those that are no router's part, one for each request, so that all routers together send the server no more
// than it has room for.
//
// The decisions are in package limiter.
package slots

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/gaplink/gaplink/clock"
	"github.com/gaplink/gaplink/limiter"
	"github.com/gaplink/gaplink/peer"
	"github.com/gaplink/gaplink/placement"
)

const (
	// lendTimeout bounds a request for a slot, since a caller waits for it, and returnTimeout the return of
	// one.
	lendTimeout   = 100 * time.Millisecond
	returnTimeout = 2 * time.Second
	// unansweredBackoff is how long an owner that did not answer is not asked.
	unansweredBackoff = time.Second
	// maxWait bounds the time after which a denied router asks again.
	maxWait = 10 * time.Second
	// cleanInterval is the minimum time between two scans for loans of routers that are gone.
	cleanInterval = time.Second
)

// Fleet are the routers.
type Fleet interface {
	// Owner returns the router that lends the slots of a server; false if none is known.
	Owner(server string) (id string, ok bool)
	// Size returns the number of routers that the slots are divided among.
	Size() int
	// Runs reports whether a process of a router is the one that is known to run.
	Runs(router, process string) bool
	// Lend and Return call a router.
	Lend(ctx context.Context, id string, req *peer.LendRequest) (*peer.LendAnswer, error)
	Return(ctx context.Context, id string, req *peer.ReturnRequest) error
}

// Options configures a Controller.
type Options struct {
	// Self is the id of this router, and Process identifies its process.
	Self, Process string
	Fleet         Fleet
	// FleetDiscovered reports whether this router has had time to discover the other routers. Until then it
	// does not take itself for an owner.
	FleetDiscovered func() bool
	Log             *zap.Logger
}

// Counts are event counts since the start.
type Counts struct {
	// Lent and Denied count the requests of this router that got a slot and that did not, and Unanswered the
	// requests for one that a router did not answer.
	Lent, Denied, Unanswered int64
}

// Loan is a slot that this router has.
type Loan struct {
	c          *Controller
	owner      string
	server     placement.Incarnation
	rejections int
}

// Denial is why a request got no slot.
type Denial struct {
	// Until is until when no other slot of the server should be asked for.
	Until time.Time
	// Said is when the server is last known to have said that it is brittle; zero if unknown.
	Said time.Time
}

// Controller borrows slots for this router's requests and lends those that it owns. It is safe for concurrent
// use.
type Controller struct {
	Options

	mu         sync.Mutex
	ledger     *limiter.SlotLedger
	cleanedAt  time.Time
	unanswered map[string]time.Time // by router, until when it is not asked
	counts     Counts
}

// New returns a controller that has lent nothing.
func New(o Options) *Controller {
	return &Controller{Options: o, ledger: limiter.NewSlotLedger(), unanswered: map[string]time.Time{}}
}

// Counts returns the event counts since the start.
func (c *Controller) Counts() Counts {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.counts
}

// Part returns this router's part of a server's slots, and the number of routers. A router that may not know
// all others yet has no part.
func (c *Controller) Part(slots int) (part, routers int) {
	routers = c.Fleet.Size()
	if !c.FleetDiscovered() {
		return 0, routers
	}
	part, _ = limiter.SlotParts(slots, routers)
	return part, routers
}

// Borrow gets a slot of a server for a request. Without a loan it returns why.
func (c *Controller) Borrow(ctx context.Context, server placement.Incarnation, need placement.SlotLoan) (*Loan, Denial) {
	owner, ok := c.ownerOf(server)
	if !ok {
		return nil, c.denied(0, time.Time{})
	}
	answer, err := c.ask(ctx, owner, &peer.LendRequest{
		Server: server, Borrower: c.borrower(), Slots: need.Slots, SaidAgo: clock.Since(need.Said),
	})
	switch {
	case err != nil && ctx.Err() != nil:
		return nil, c.denied(0, time.Time{})
	case err != nil:
		return nil, c.notAnswered(owner, server, err)
	case !answer.Lent:
		return nil, c.denied(answer.Wait, clock.Now().Add(-max(answer.SaidAgo, 0)))
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts.Lent++
	return &Loan{c: c, owner: owner, server: server, rejections: need.Rejections}, Denial{}
}

// ownerOf returns the owner of a server's slots, unless it is unknown or has not answered recently.
func (c *Controller) ownerOf(server placement.Incarnation) (string, bool) {
	owner, ok := c.Fleet.Owner(server.ID)
	if owner == c.Self && !c.FleetDiscovered() {
		return "", false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return owner, ok && !clock.Now().Before(c.unanswered[owner])
}

// denied returns a denial after which to wait for about a time.
func (c *Controller) denied(wait time.Duration, said time.Time) Denial {
	c.mu.Lock()
	c.counts.Denied++
	c.mu.Unlock()
	wait = min(max(wait, limiter.SlotWait(c.Fleet.Size())), maxWait)
	return Denial{Until: clock.Now().Add(wait/2 + rand.N(wait)), Said: said}
}

func (c *Controller) notAnswered(owner string, server placement.Incarnation, cause error) Denial {
	until := clock.Now().Add(unansweredBackoff)
	c.mu.Lock()
	c.counts.Unanswered++
	c.unanswered[owner] = until
	c.mu.Unlock()
	c.Log.Info("owner of a brittle server's slots does not answer", zap.String("router", owner), zap.String("server", server.ID), zap.Error(cause))
	return Denial{Until: until}
}

// ask asks a router, which may be this one, for a slot.
func (c *Controller) ask(ctx context.Context, owner string, req *peer.LendRequest) (*peer.LendAnswer, error) {
	if owner == c.Self {
		return c.OnLend(ctx, req)
	}
	ctx, cancel := context.WithTimeout(ctx, lendTimeout)
	defer cancel()
	return c.Fleet.Lend(ctx, owner, req)
}

// Return returns the slot when its request has ended; rejected reports that the server rejected it for want
// of room. A nil loan returns nothing.
func (l *Loan) Return(rejected bool) {
	if l == nil {
		return
	}
	req := &peer.ReturnRequest{Server: l.server, Borrower: l.c.borrower(), Rejected: rejected, Rejections: l.rejections}
	if l.owner == l.c.Self {
		_, _ = l.c.OnReturn(context.Background(), req)
		return
	}
	go l.c.giveBack(l.owner, req)
}

// giveBack returns a slot to another router. If that fails, the loan ends by its time.
func (c *Controller) giveBack(owner string, req *peer.ReturnRequest) {
	ctx, cancel := context.WithTimeout(context.Background(), returnTimeout)
	defer cancel()
	if err := c.Fleet.Return(ctx, owner, req); err != nil {
		c.Log.Debug("cannot return a slot", zap.String("router", owner), zap.String("server", req.Server.ID), zap.Error(err))
	}
}

// OnLend handles a request for a slot.
func (c *Controller) OnLend(_ context.Context, req *peer.LendRequest) (*peer.LendAnswer, error) {
	routers := c.Fleet.Size()
	_, slots := limiter.SlotParts(req.Slots, routers)
	c.mu.Lock()
	defer c.mu.Unlock()
	now := clock.Now()
	c.clean(now)
	lent, said := c.ledger.Lend(now, req.Server, req.Borrower, slots, now.Add(-max(req.SaidAgo, 0)))
	return &peer.LendAnswer{Lent: lent, Wait: limiter.SlotWait(routers), SaidAgo: now.Sub(said)}, nil
}

// OnReturn handles the return of a slot.
func (c *Controller) OnReturn(_ context.Context, req *peer.ReturnRequest) (*peer.Empty, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ledger.Return(clock.Now(), req.Server, req.Borrower, req.Rejected, req.Rejections)
	return &peer.Empty{}, nil
}

// clean ends the loans of routers that are gone. The caller holds c.mu.
func (c *Controller) clean(now time.Time) {
	if now.Sub(c.cleanedAt) < cleanInterval {
		return
	}
	c.cleanedAt = now
	c.ledger.EndLoans(now, func(b limiter.Borrower) bool { return c.Fleet.Runs(b.Router, b.Process) })
}

// borrower returns this process as a borrower.
func (c *Controller) borrower() limiter.Borrower {
	return limiter.Borrower{Router: c.Self, Process: c.Process}
}
