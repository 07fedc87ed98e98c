// Package paths observes how this router reaches backend servers.
package paths

import (
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/gaplink/gaplink/clock"
	"github.com/gaplink/gaplink/placement"
	"github.com/gaplink/gaplink/reach"
)

// reportInterval is the minimum time between two log lines about the same group.
const reportInterval = 5 * time.Second

// Options are the dependencies of a controller.
type Options struct {
	// StoreAnswered returns when the store last answered this router; zero if it never has.
	StoreAnswered func() time.Time
	Log           *zap.Logger
}

// Controller observes how this router reaches backend servers. It is safe for concurrent use, and
// implements upstream.Paths.
type Controller struct {
	Options

	mu       sync.Mutex
	tracker  *reach.Tracker
	seen     map[reach.Group]bool
	reported map[reach.Group]time.Time
}

// New returns a controller without observations.
func New(o Options) *Controller {
	return &Controller{Options: o, tracker: reach.New(), seen: map[reach.Group]bool{}, reported: map[reach.Group]time.Time{}}
}

// Connected implements upstream.Paths.
func (c *Controller) Connected(g reach.Group) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tracker.Connected(g)
}

// ConnectFailed implements upstream.Paths.
func (c *Controller) ConnectFailed(began time.Time, g reach.Group, owner placement.Incarnation) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.seen[g] = true
	c.tracker.ConnectFailed(began, g, owner)
}

// Sent implements upstream.Paths.
func (c *Controller) Sent(g reach.Group) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.seen[g] = true
	c.tracker.Sent(clock.Now(), g)
}

// Responded implements upstream.Paths.
func (c *Controller) Responded(g reach.Group) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tracker.Responded(clock.Now(), g)
}

// Ended implements upstream.Paths.
func (c *Controller) Ended(g reach.Group) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tracker.Ended(g)
}

// NotAnswered implements upstream.Paths.
func (c *Controller) NotAnswered(began time.Time, g reach.Group) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tracker.NotAnswered(began, g)
}

// Tick logs the groups that may be cut off from this router. It is called a few times per second.
func (c *Controller) Tick(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for g := range c.seen {
		if c.tracker.Suspect(now, g) && now.Sub(c.reported[g]) >= reportInterval {
			c.reported[g] = now
			c.log(now, g)
		}
	}
}

func (c *Controller) log(now time.Time, g reach.Group) {
	e := c.tracker.Evidence(g)
	c.Log.Warn("servers do not respond to this router", zap.String("service", g.Service), zap.String("domain", g.Domain),
		zap.Int("not_connected", e.NotConnected), zap.Int("not_answered", e.NotAnswered), zap.Int("waiting", e.Waiting),
		zap.Duration("first_failure_ms", age(now, e.First)), zap.Duration("last_response_ms", age(now, e.Responded)),
		zap.Duration("store_answered_ms", age(now, c.StoreAnswered())))
}

// unknownAge is the age of what never happened.
const unknownAge time.Duration = -1

func age(now, at time.Time) time.Duration {
	if at.IsZero() {
		return unknownAge
	}
	return now.Sub(at)
}
