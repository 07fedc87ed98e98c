// Package paths decides how this router reaches backend servers: directly, or while it is cut off from
// them, through other routers.
//
// It verifies what package reach suspects: a group of servers is cut off if this router does not reach
// one that another router reaches. While it is cut off, connections lead through routers that reach the
// group (package tunnel), and a probe finds out when it is reached directly again.
package paths

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/gaplink/gaplink/clock"
	"github.com/gaplink/gaplink/logs"
	"github.com/gaplink/gaplink/placement"
	"github.com/gaplink/gaplink/reach"
	"github.com/gaplink/gaplink/upstream"
)

const (
	// reportInterval is the minimum time between two log lines about the same group.
	reportInterval = 5 * time.Second
	// checkTimeout bounds a check whether a server is reached.
	checkTimeout = 400 * time.Millisecond
	// checkedServers is the number of servers that a check tries at the same time: one of them may
	// be down for everybody.
	checkedServers = 2
)

// Servers are the registered backend servers.
type Servers interface {
	// OfGroup returns at most n random servers of a group that accept requests, the given one first if it
	// is among them.
	OfGroup(g reach.Group, first placement.Incarnation, n int) []placement.Server
	// RestoreGroup ends the ejection of the servers of a group.
	RestoreGroup(g reach.Group)
}

// Fleet are the other routers.
type Fleet interface {
	// Others returns the ids of the usable routers, except this one, through which a group may be reached.
	Others(g reach.Group) []string
	// Reach asks a router whether it reaches a group.
	Reach(ctx context.Context, router string, g reach.Group) (direct bool, through []string, err error)
	// Open opens a tunnel to a server through a router, and returns how many lead through that one. The
	// error is one of package tunnel.
	Open(ctx context.Context, router string, s placement.Server) (c net.Conn, load int, err error)
}

// Options are the dependencies of a controller.
type Options struct {
	Servers Servers
	Fleet   Fleet
	// Ping checks a server over a direct connection.
	Ping func(ctx context.Context, s placement.Server, request upstream.PingRequest) error
	// HealthPath returns the path of a service's health check; empty if it has none.
	HealthPath func(service string) string
	// CutOff is called when a group is cut off from this router.
	CutOff func(reach.Group)
	// StoreAnswered returns when the store last answered this router; zero if it never has.
	StoreAnswered func() time.Time
	Log           *zap.Logger
}

// Controller decides how this router reaches backend servers. It is safe for concurrent use, and
// implements upstream.Paths.
type Controller struct {
	Options
	searches searches
	// searchLines limits the log lines about searches that found no router.
	searchLines logs.RateLimit

	mu       sync.Mutex
	rng      *rand.Rand
	tracker  *reach.Tracker
	routers  *reach.Routers
	seen     map[reach.Group]bool
	reported map[reach.Group]time.Time
	// verifying holds the verifications under way; each channel is closed when one ends.
	verifying map[reach.Group]chan struct{}
	counts    Counts
}

// Counts are numbers of events since the start.
type Counts struct {
	// CutOffs counts the groups that were cut off, Opened the connections that were opened through
	// other routers, and Failed the attempts at that.
	CutOffs, Opened, Failed int64
}

// New returns a controller that reaches all servers directly.
func New(o Options) *Controller {
	return &Controller{
		Options: o, rng: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())), tracker: reach.New(), routers: reach.NewRouters(),
		seen: map[reach.Group]bool{}, reported: map[reach.Group]time.Time{}, verifying: map[reach.Group]chan struct{}{},
		searches: searches{running: map[reach.Group]chan struct{}{}},
	}
}

// Path implements upstream.Paths.
func (c *Controller) Path(g reach.Group) reach.Path {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.tracker.Path(clock.Now(), g)
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

// Reaches reports whether nothing speaks against this router reaching a group directly, and otherwise
// returns the routers through which it does.
func (c *Controller) Reaches(g reach.Group) (direct bool, through []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now := clock.Now(); !c.tracker.Path(now, g).Indirect && !c.tracker.Suspect(now, g) {
		return true, nil
	}
	return false, c.routers.Reaching(g)
}

// CutOffGroups returns the groups that are cut off.
func (c *Controller) CutOffGroups() []reach.Group {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.tracker.Groups()
}

// Counts returns the numbers of events.
func (c *Controller) Counts() Counts {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.counts
}

// Tick starts the checks that are due and logs the groups that may be cut off. It is called a few times
// per second.
func (c *Controller) Tick(ctx context.Context, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for g := range c.seen {
		if c.tracker.Suspect(now, g) && now.Sub(c.reported[g]) >= reportInterval {
			c.reported[g] = now
			c.Log.Warn("servers do not respond to this router", c.evidence(now, g)...)
		}
	}
	for _, check := range c.tracker.DueVerifications(now) {
		done := make(chan struct{})
		c.verifying[check.Group] = done
		go c.verify(ctx, check, done)
	}
	for _, check := range c.tracker.DueProbes(now) {
		go c.probe(ctx, check)
	}
}

// evidence returns what is known of a group as log fields. The caller holds the lock.
func (c *Controller) evidence(now time.Time, g reach.Group) []zap.Field {
	e := c.tracker.Evidence(g)
	return []zap.Field{
		zap.String("service", g.Service), zap.String("domain", g.Domain),
		zap.Int("not_connected", e.NotConnected), zap.Int("not_answered", e.NotAnswered), zap.Int("waiting", e.Waiting),
		zap.Duration("first_failure_ms", age(now, e.First)), zap.Duration("last_response_ms", age(now, e.Responded)),
		zap.Duration("store_answered_ms", age(now, c.StoreAnswered())),
	}
}

// unknownAge is the age of what never happened.
const unknownAge time.Duration = -1

func age(now, at time.Time) time.Duration {
	if at.IsZero() {
		return unknownAge
	}
	return now.Sub(at)
}
