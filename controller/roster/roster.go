// Package roster registers this router in the store and tracks the registrations of the others.
//
// A router that starts learns from a seed how large the fleet is and from which routers it gets
// updates. In a small fleet it introduces itself to all others. In a large one it follows their
// registrations, which routers propagate like those of backend servers, and calls few others: the
// work of each router must not grow with the fleet.
//
// No safety property depends on the roster. It is used for borrowing, updates and fair shares.
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
	"github.com/gaplink/gaplink/logs"
	"github.com/gaplink/gaplink/peer"
	"github.com/gaplink/gaplink/store"
	"github.com/gaplink/gaplink/wait"
)

const (
	// Kind is the object kind of router registrations in the store.
	Kind = "routers"
	// Large is the minimum number of routers of a large fleet, in which few routers watch the
	// store for the others, and budgets have owners.
	Large = 16
	// callTimeout bounds a call to another router.
	callTimeout = 500 * time.Millisecond
	// retryBackoffMin is the first delay after a failed registration, with a jitter of half of it
	// either way. It doubles up to retryBackoffMax: nothing waits for the registration, and all
	// routers that started during an outage of the store retry.
	retryBackoffMin = 500 * time.Millisecond
	retryBackoffMax = 8 * time.Second
	// firstStartWait is how long routers wait before they look for each other when the
	// whole fleet starts for the first time: they start within a third of a second, and
	// callers connect many seconds later.
	firstStartWait = 1500 * time.Millisecond
)

// relistAt holds the times after the start at which a router of a small fleet lists the
// registrations again. Lists may be seconds old, so two routers that start together may both be
// missing from each other's first list.
var relistAt = []time.Duration{3 * time.Second, 8 * time.Second}

// Options configures a Controller.
type Options struct {
	// Self is this router.
	Self peer.Router
	// Seeds returns the addresses of routers to ask for the others.
	Seeds func() []string
	// Contacts returns the ids of the routers that send updates to routers of a failure domain.
	Contacts func(domain string) []string
	// FirstStart is set when the whole fleet starts for the first time.
	FirstStart bool
	Store      store.Store
	Members    *members.Controller
	// Calls introduces this router to others.
	Calls Calls
	Log   *zap.Logger
}

// Calls sends requests to the router at an address.
type Calls interface {
	Hello(ctx context.Context, addr string, req *peer.HelloRequest) (*peer.HelloAnswer, error)
}

// NewPeerCalls returns Calls that use the protocol between routers.
func NewPeerCalls(client *peer.Client) Calls { return peerCalls{client} }

type peerCalls struct{ client *peer.Client }

// Hello implements Calls.
func (p peerCalls) Hello(ctx context.Context, addr string, req *peer.HelloRequest) (*peer.HelloAnswer, error) {
	return peer.Call[peer.HelloRequest, peer.HelloAnswer](ctx, p.client, addr, peer.MethodHello, req)
}

// Controller registers this router and tracks the registrations of the others. It is safe for
// concurrent use. It implements follow.Handler and updates.Replica.
type Controller struct {
	Options

	introduced chan struct{}

	mu      sync.Mutex
	version int64 // the version of this router's registration, or 0 if none is known
	// reportedSize is the number of routers that a seed reported. It is used until the registrations
	// have been read.
	reportedSize int
	entries      map[string]changelog.Received // by key
	changes      changelog.Log[changelog.Received]
	// unreadable limits the log lines about registrations that cannot be decoded.
	unreadable logs.RateLimit
}

// New returns a controller.
func New(o Options) *Controller {
	return &Controller{Options: o, introduced: make(chan struct{}), entries: map[string]changelog.Received{}}
}

// Introduced returns a channel that is closed when this router has determined the size of the
// fleet and where to get updates.
func (c *Controller) Introduced() <-chan struct{} { return c.introduced }

// Size returns the known number of routers, at least 1.
func (c *Controller) Size() int {
	c.mu.Lock()
	size := c.reportedSize
	if c.changes.Revision() > 0 {
		size = 0
	}
	c.mu.Unlock()
	return max(c.Members.Live(), size)
}

// Known returns the known number of routers, at least 1. Unlike Size it includes those that do not answer.
func (c *Controller) Known() int {
	c.mu.Lock()
	registered := len(c.entries)
	c.mu.Unlock()
	return max(registered, c.Members.Listed(), c.Size())
}

// IsLarge reports whether the fleet is large. A fleet of unknown size counts as large, since the
// requests that each router makes in a small fleet would overload a large one.
func (c *Controller) IsLarge() bool {
	select {
	case <-c.introduced:
		return c.Size() >= Large
	default:
		return true
	}
}

// Run registers the router and introduces it to the others. It returns when both are done or the
// context ends.
func (c *Controller) Run(ctx context.Context) {
	begun := clock.Now()
	if c.FirstStart {
		c.registerWithRetry(ctx) // first, so that the others find it
		_ = wait.For(ctx, clock.Until(begun.Add(firstStartWait)))
	}
	c.introduce(ctx)
	if ctx.Err() != nil {
		return
	}
	close(c.introduced)
	c.Log.Info("fleet known", zap.Int("routers", c.Size()), zap.Bool("large", c.IsLarge()), zap.Duration("after_ms", clock.Since(begun)))
	c.registerWithRetry(ctx)
	for _, after := range relistAt {
		if wait.For(ctx, clock.Until(begun.Add(after))) != nil || c.IsLarge() {
			return
		}
		if err := c.readStore(ctx, c.listStale); err != nil {
			c.Log.Info("cannot list registrations of routers again", zap.Error(err))
		}
		c.helloAll(ctx)
	}
}

// registerWithRetry registers the router, and retries until it succeeds or the context ends.
func (c *Controller) registerWithRetry(ctx context.Context) {
	pause := retryBackoffMin
	for ctx.Err() == nil {
		err := c.register(ctx)
		if err == nil {
			return
		}
		c.Log.Warn("cannot register router; retrying", zap.Error(err))
		_ = wait.For(ctx, time.Duration((0.5+rand.Float64())*float64(pause)))
		pause = min(2*pause, retryBackoffMax)
	}
}

// setOwnVersion records the version of this instance's registration if its contents are up to date.
func (c *Controller) setOwnVersion(r peer.Router, version int64) {
	if r.Addr != c.Self.Addr || r.Domain != c.Self.Domain || r.LinkMbps != c.Self.LinkMbps {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.version = version
}

// ownVersion returns the version of this instance's registration, or 0 if none is valid.
func (c *Controller) ownVersion() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.version
}

func (c *Controller) key() string { return keyOf(c.Self.ID) }

// register writes the registration, unless an earlier process at the same address has written the
// same one.
func (c *Controller) register(ctx context.Context) error {
	if c.ownVersion() > 0 {
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
	c.setOwnVersion(c.Self, made.Version)
	return nil
}

// replace overwrites an earlier registration if its contents differ.
func (c *Controller) replace(ctx context.Context, value []byte) (store.Object, error) {
	old, err := c.Store.Get(ctx, c.key())
	if err != nil {
		return store.Object{}, err
	}
	if r, err := decode(c.key(), old.Value); err == nil {
		if c.setOwnVersion(r, old.Version); c.ownVersion() > 0 {
			return old, nil
		}
	}
	return c.Store.Update(ctx, c.key(), old.Version, value)
}

// Leave removes the registration.
func (c *Controller) Leave(ctx context.Context) {
	err := c.remove(ctx, c.ownVersion())
	if errors.Is(err, store.ErrConflict) || errors.Is(err, store.ErrNotFound) {
		err = c.removeNewest(ctx)
	}
	if err != nil {
		c.Log.Info("cannot remove router registration; other routers will notice failed calls", zap.Error(err))
	}
}

// errNotRegistered is returned when no registration was written.
var errNotRegistered = errors.New("router is not registered")

func (c *Controller) remove(ctx context.Context, version int64) error {
	if version == 0 {
		return errNotRegistered
	}
	return c.Store.Delete(ctx, c.key(), version)
}

// removeNewest removes the registration at its current version, since the known version may
// come from a stale list.
func (c *Controller) removeNewest(ctx context.Context) error {
	old, err := c.Store.Get(ctx, c.key())
	if err != nil {
		return err
	}
	return c.remove(ctx, old.Version)
}
