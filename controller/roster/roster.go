// Package roster registers this router in the store and keeps the registrations of the others.
//
// A router that starts learns from a seed how large the fleet is and from which routers it gets
// updates. In a small fleet it greets all others. In a large one it follows their registrations,
// which routers propagate as those of backend servers, and calls few: what each does for the fleet
// must not grow with the fleet.
//
// Nothing rests on the roster for safety. It serves borrowing, updates and fair shares.
package roster

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/gaplink/gaplink/changelog"
	"github.com/gaplink/gaplink/clock"
	"github.com/gaplink/gaplink/controller/members"
	"github.com/gaplink/gaplink/peer"
	"github.com/gaplink/gaplink/store"
	"github.com/gaplink/gaplink/wait"
)

const (
	// Kind is the kind of the registrations in the store.
	Kind = "routers"
	// Large is the number of routers from which a fleet is large: few routers watch the store
	// for the others, and budgets have owners.
	Large = 16
	// callTimeout bounds a call to another router.
	callTimeout = 500 * time.Millisecond
	// retryFirst is the pause after a failed registration, more or less a half. It
	// doubles up to retryLongest: nobody waits for it, and while the store is away all
	// that have started ask.
	retryFirst   = 500 * time.Millisecond
	retryLongest = 8 * time.Second
	// firstStartWait is how long routers that all start for the first time wait before
	// they look for each other: they start within a third of a second, and callers come
	// many seconds later.
	firstStartWait = 1500 * time.Millisecond
)

// refreshAt is when, after the start, the registrations of a small fleet are listed again. Lists
// may be seconds old, so that of two routers that start together neither may see the other in its
// first one.
var refreshAt = []time.Duration{3 * time.Second, 8 * time.Second}

// Options are what a controller works with.
type Options struct {
	// Self is this router.
	Self peer.Router
	// Seeds are the addresses of routers to ask for the others.
	Seeds func() []string
	// Contacts returns the routers from which routers of a failure domain get updates.
	Contacts func(domain string) []string
	// FirstStart tells that the whole fleet starts for the first time.
	FirstStart bool
	Store      store.Store
	Members    *members.Controller
	// Calls introduces this router to others.
	Calls Calls
	Log   *zap.Logger
}

// Calls calls the router at an address.
type Calls interface {
	Hello(ctx context.Context, addr string, req *peer.HelloRequest) (*peer.HelloAnswer, error)
}

// Over returns calls over the protocol between routers.
func Over(client *peer.Client) Calls { return overPeers{client} }

type overPeers struct{ client *peer.Client }

// Hello implements Calls.
func (p overPeers) Hello(ctx context.Context, addr string, req *peer.HelloRequest) (*peer.HelloAnswer, error) {
	return peer.Call[peer.HelloRequest, peer.HelloAnswer](ctx, p.client, addr, peer.MethodHello, req)
}

// Controller keeps this router registered, and what is known of the others. It is safe for
// concurrent use. It implements follow.Handler and updates.Replica.
type Controller struct {
	Options

	introduced chan struct{}

	mu      sync.Mutex
	version int64 // of this router's registration, as far as known; 0: it is not
	// told is the number of routers that a seed told before their registrations were read.
	told    int
	entries map[string]changelog.Received // by key
	changes changelog.Log[changelog.Received]
}

// New returns a controller.
func New(o Options) *Controller {
	return &Controller{Options: o, introduced: make(chan struct{}), entries: map[string]changelog.Received{}}
}

// Introduced is closed when this router knows the size of the fleet and whom to ask for updates.
func (c *Controller) Introduced() <-chan struct{} { return c.introduced }

// Size returns the number of routers, as far as known, at least 1.
func (c *Controller) Size() int {
	c.mu.Lock()
	told := c.told
	if c.changes.Revision() > 0 {
		told = 0
	}
	c.mu.Unlock()
	return max(c.Members.Live(), told)
}

// IsLarge tells whether the fleet is large. One whose size is not known counts as large: what a
// router does for itself in a small fleet would be too much for a large one.
func (c *Controller) IsLarge() bool {
	select {
	case <-c.introduced:
		return c.Size() >= Large
	default:
		return true
	}
}

// Run registers the router and introduces it to the others, until both are done or the context
// ends.
func (c *Controller) Run(ctx context.Context) {
	begun := clock.Now()
	if c.FirstStart {
		c.registerAtLast(ctx) // first, so that the others find it
		_ = wait.For(ctx, clock.Until(begun.Add(firstStartWait)))
	}
	c.introduce(ctx)
	if ctx.Err() != nil {
		return
	}
	close(c.introduced)
	c.Log.Info("fleet known", zap.Int("routers", c.Size()), zap.Bool("large", c.IsLarge()), zap.Duration("after_ms", clock.Since(begun)))
	c.registerAtLast(ctx)
	for _, after := range refreshAt {
		if wait.For(ctx, clock.Until(begun.Add(after))) != nil || c.IsLarge() {
			return
		}
		if err := c.readStore(ctx, c.listStale); err != nil {
			c.Log.Info("registrations of routers not listed again", zap.Error(err))
		}
		c.greetAll(ctx)
	}
}

// registerAtLast registers the router, however often that takes.
func (c *Controller) registerAtLast(ctx context.Context) {
	pause := retryFirst
	for ctx.Err() == nil {
		err := c.register(ctx)
		if err == nil {
			return
		}
		c.Log.Warn("not registered yet", zap.Error(err))
		_ = wait.For(ctx, time.Duration((0.5+rand.Float64())*float64(pause)))
		pause = min(2*pause, retryLongest)
	}
}

// found notes this instance's registration, if it still says where to call.
func (c *Controller) found(r peer.Router, version int64) {
	if r.Addr != c.Self.Addr || r.Domain != c.Self.Domain || r.LinkMbps != c.Self.LinkMbps {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.version = version
}

// known returns the version of this instance's registration, 0 if there is none that
// holds.
func (c *Controller) known() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.version
}

func (c *Controller) key() string { return keyOf(c.Self.ID) }

// register writes the registration, unless one of an earlier process at the same address is there.
func (c *Controller) register(ctx context.Context) error {
	if c.known() > 0 {
		return nil
	}
	value, err := json.Marshal(c.Self)
	if err != nil {
		return err
	}
	made, err := c.Store.Create(ctx, c.key(), value)
	if errors.Is(err, store.ErrConflict) {
		made, err = c.replace(ctx, value)
	}
	if err != nil {
		return err
	}
	c.found(c.Self, made.Version)
	return nil
}

// replace writes the registration over an earlier one that says something else.
func (c *Controller) replace(ctx context.Context, value []byte) (store.Object, error) {
	old, err := c.Store.Get(ctx, c.key())
	if err != nil {
		return store.Object{}, err
	}
	if r, err := decode(old.Value); err == nil {
		if c.found(r, old.Version); c.known() > 0 {
			return old, nil
		}
	}
	return c.Store.Update(ctx, c.key(), old.Version, value)
}

// Leave removes the registration.
func (c *Controller) Leave(ctx context.Context) {
	err := c.remove(ctx, c.known())
	if errors.Is(err, store.ErrConflict) || errors.Is(err, store.ErrNotFound) {
		err = c.removeNewest(ctx)
	}
	if err != nil {
		c.Log.Info("registration not removed; others find out by calling", zap.Error(err))
	}
}

// errNotRegistered means that no registration was written.
var errNotRegistered = errors.New("not registered")

func (c *Controller) remove(ctx context.Context, version int64) error {
	if version == 0 {
		return errNotRegistered
	}
	return c.Store.Delete(ctx, c.key(), version)
}

// removeNewest removes the registration whatever its version, as after a list that
// was old.
func (c *Controller) removeNewest(ctx context.Context) error {
	old, err := c.Store.Get(ctx, c.key())
	if err != nil {
		return err
	}
	return c.remove(ctx, old.Version)
}
