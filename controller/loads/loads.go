// Package loads shares the load of backend servers, and of the routers' links, between the routers of a
// large fleet: each router reports its own load to a relay twice a second and receives the sums over the
// other routers. Relays exchange their sums.
//
// The sums are calculated in package load, and used by package placement. Without them, a router knows
// only its own requests, as in a small fleet.
//
// A router sends and receives less than 2 KB/s, whatever the size of the fleet. A relay carries as much for
// each router that it serves, and its sums to and from each other relay: at most 60 KB/s at 61 routers and
// 90 servers, 120 KB/s at 300 and 90, and 450 KB/s at 984 and 10,000 with two relays in each of five failure
// domains. A test holds these bounds.
package loads

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/gaplink/gaplink/clock"
	"github.com/gaplink/gaplink/controller/members"
	"github.com/gaplink/gaplink/link"
	"github.com/gaplink/gaplink/load"
	"github.com/gaplink/gaplink/logs"
	"github.com/gaplink/gaplink/placement"
	"github.com/gaplink/gaplink/wait"
	"github.com/gaplink/gaplink/wakeups"
)

const (
	// exchangeInterval is the interval between two reports of a router, with a jitter of
	// 1/jitterDivisor either way. It grows with the size of the messages so that a router stays within
	// maxBytesPerSecond.
	exchangeInterval  = 500 * time.Millisecond
	jitterDivisor     = 20
	maxBytesPerSecond = 1900
	// idleInterval is the interval between checks of a router that need not share loads.
	idleInterval = 2 * time.Second
	// callTimeout bounds a call while the link is not saturated, and hedgeDelay is the time after which
	// the next candidate is called in parallel to a slow one, as for updates.
	callTimeout = 400 * time.Millisecond
	hedgeDelay  = callTimeout + 20*time.Millisecond
	// maxInFlight limits the concurrent calls of a router.
	maxInFlight = 3
	// retryPause is the pause after a failed call, and maxRetries the number of consecutive failures
	// after which exchangeInterval applies again and relays of other failure domains are candidates.
	retryPause = 120 * time.Millisecond
	maxRetries = 4
	// returnInterval is how often a router that reports to another relay than its preferred one tries that
	// again. Otherwise one relay would keep the routers of another that failed for a while.
	returnInterval = 20 * time.Second
	// unsupportedRetry is how long a router is not called that does not share loads, as one of an
	// older release.
	unsupportedRetry = 30 * time.Second
	// newRelayTime is how long a new relay reports to another relay, as before, unless all other relays send
	// it their sums earlier. Until then it knows only a part of the load.
	newRelayTime = 1500 * time.Millisecond
	// relayGrace is how long a relay goes on after it lost the role: while a dead relay is called again
	// after each suspicion, other routers hold its role for a second at most.
	relayGrace = 1500 * time.Millisecond
	// spreadRelays is the number of relays of a failure domain over which its routers spread. They are the
	// first candidates.
	spreadRelays = 2
	// indexTTL is how long the index of server processes is used before changed registrations are
	// added. In a fleet of 10,000 servers registrations change all the time.
	indexTTL = 2 * time.Second
	// maxIdleServers is the maximum number of servers for which a complete answer sets a load of 0.
	maxIdleServers = load.MaxServers
	// logInterval is the minimum time between two log lines of a kind.
	logInterval = 5 * time.Second
)

// Servers holds the state of the backend servers.
type Servers interface {
	// OwnLoad returns the load that this router causes, and SetFleetLoad replaces that of the others.
	OwnLoad() []placement.ServerLoad
	SetFleetLoad([]placement.ServerLoad)
	// Processes returns the registered processes of services, and Revision changes with them.
	Processes(accepts func(service string) bool) []placement.Incarnation
	Revision() int64
}

// Options configure a controller.
type Options struct {
	// Self and Domain are this router's id and failure domain.
	Self, Domain string
	Servers      Servers
	Members      *members.Controller
	// Calls sends the messages.
	Calls Calls
	// Relays returns the routers that relay loads, in order of preference; it may include this one,
	// which then is a relay.
	Relays func() []string
	// Switch reports whether the operator's settings allow loads to be shared, and Large whether the
	// fleet is large.
	Switch, Large func() bool
	// Engines returns the services whose servers have engines.
	Engines func() []string
	// Link returns the load of this router's link; false if it is unknown.
	Link func() (link.Load, bool)
	// Timeout extends the normal timeout of a call while this router's link is saturated; if nil, the
	// normal timeout always applies.
	Timeout func(normal time.Duration) time.Duration
	Log     *zap.Logger
}

// Controller shares loads. It is safe for concurrent use.
type Controller struct {
	Options

	process  uint32
	inFlight chan struct{} // a semaphore of the concurrent calls of a router

	mu    sync.Mutex
	seq   uint32
	table *load.Table
	index index
	// relaySince is when this router became a relay, zero if it is none, and relayAt when it last had the
	// role. relaying is set while it answers other routers.
	relaySince, relayAt time.Time
	relaying            bool
	// relay is the relay that answered last; if empty, the next candidate is called.
	relay     string
	nextIndex int
	// preferred is the index of the preferred relay among the first candidates, and returnedAt is when
	// that was last tried.
	preferred  int
	returnedAt time.Time
	failures   int // consecutive failed calls
	// unsupported holds, by id, the routers that do not share loads, and pushing the relays to which a
	// call is in progress.
	unsupported map[string]unsupported
	pushing     map[string]bool

	shared   shared
	counts   Counts
	known    bool // the last logged state
	knownLog logs.RateLimit
	dropLog  logs.RateLimit
}

// unsupported is a process of a router that does not share loads, and the time until which it is not
// called.
type unsupported struct {
	until       time.Time
	incarnation string
}

// shared is what this router last learnt about the others.
type shared struct {
	// sentAt is when the request was sent whose answer was applied last.
	sentAt time.Time
	// oldest is the time of the oldest observation; zero if nothing is known.
	oldest  time.Time
	servers int
	links   map[load.Key]load.Link
	// bytes is the size of the last request and its answer.
	bytes int
}

// Counts are event counts since the start.
type Counts struct {
	// Answered and Failed count the calls of other routers, and Unsupported those that were answered by
	// a router that does not share loads.
	Answered, Failed, Unsupported int64
}

// New returns a controller.
func New(o Options) *Controller {
	preferred := rand.IntN(spreadRelays)
	return &Controller{
		Options:     o,
		process:     rand.Uint32(),
		inFlight:    make(chan struct{}, maxInFlight),
		table:       load.NewTable(clock.Now()),
		nextIndex:   preferred,
		preferred:   preferred,
		unsupported: map[string]unsupported{},
		pushing:     map[string]bool{},
	}
}

// Run shares loads until the context ends.
func (c *Controller) Run(ctx context.Context) {
	if !slices.Contains(c.Relays(), c.Self) {
		_ = wait.For(ctx, rand.N(exchangeInterval)) // spreads routers that start together
	}
	for ctx.Err() == nil {
		wakeups.Count(wakeups.Loads)
		begun := clock.Now()
		interval := idleInterval
		if c.shares() {
			c.round(ctx)
			interval = c.interval()
		}
		c.logState()
		_ = wait.For(ctx, interval-clock.Since(begun))
	}
}

// shares reports whether loads are to be shared: in a large fleet with servers that have engines.
func (c *Controller) shares() bool {
	if !c.Switch() || !c.Large() {
		return false
	}
	c.updateIndex()
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.index.byKey) > 0
}

// interval returns the time from the start of a round to the next one.
func (c *Controller) interval() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	becomesRelay := !c.relaySince.IsZero() && !c.relaying
	if becomesRelay || c.failures > 0 && c.failures <= maxRetries {
		return retryPause
	}
	interval := max(exchangeInterval, time.Duration(c.shared.bytes)*time.Second/maxBytesPerSecond)
	jitter := interval / jitterDivisor
	return interval - jitter + rand.N(2*jitter)
}

// round reports this router's load and applies the load of the others.
func (c *Controller) round(ctx context.Context) {
	now := clock.Now()
	own, relays := c.ownReport(now), c.Relays()
	relaying, ended := c.updateRole(now, relays)
	if relaying {
		c.relayLoads(now, own)
	}
	if ended || relaying || slices.Contains(relays, c.Self) {
		c.pushSums(ctx, relays) // without any load if the role has ended, which replaces the last sums
	}
	if !relaying {
		c.startExchange(ctx, own, relays)
	}
}

// updateRole updates and returns whether this router answers others, and whether it has just ceased to. A
// new relay does not until it has the sums of other relays.
func (c *Controller) updateRole(now time.Time, relays []string) (relaying, ended bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	was := c.relaying
	_, heard := c.table.Sources()
	if slices.Contains(relays, c.Self) {
		c.relayAt = now
		if c.relaySince.IsZero() {
			c.relaySince = now
		}
	}
	switch {
	case now.Sub(c.relayAt) >= relayGrace:
		c.relaySince, c.relaying = time.Time{}, false
	case heard >= len(relays)-1 || now.Sub(c.relaySince) >= newRelayTime:
		c.relaying = true
	}
	ended = was && !c.relaying
	if ended {
		c.table.ClearRouters()
	}
	return c.relaying, ended
}

// relayLoads adds this relay's own load to its table, and applies the sums to its own choices.
func (c *Controller) relayLoads(now time.Time, own load.Report) {
	c.mu.Lock()
	c.table.SetRouter(now, own)
	answer := c.table.AnswerFor(now, c.Self, c.Domain, load.MaxServers)
	c.failures, c.relay = 0, ""
	c.mu.Unlock()
	c.apply(now, answer, 0)
}

// ownReport returns the load that this router causes itself.
func (c *Controller) ownReport(now time.Time) load.Report {
	loads := c.Servers.OwnLoad()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.seq++
	r := load.Report{From: c.Self, Process: c.process, Seq: c.seq}
	for _, l := range loads {
		key, ok := c.index.keyOf(l.Server)
		if !ok {
			continue
		}
		r.Servers = append(r.Servers, load.Entry{
			Server: key, InFlight: l.InFlight, PendingTokens: l.PendingTokens,
			EventInterval: l.EventInterval, Events: l.Events, At: l.At,
		})
	}
	load.SortEntries(r.Servers)
	r.Servers = r.Servers[:min(len(r.Servers), load.MaxOwnServers)]
	if l, ok := c.Link(); ok {
		r.Links = []load.Link{{Router: load.RouterKey(c.Self), Domain: c.Domain, Load: l, At: now}}
	}
	return r
}

// apply applies the load of the other routers as of the time at which it was requested, unless a later
// one has been applied.
func (c *Controller) apply(sentAt time.Time, answer load.Answer, bytes int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if sentAt.Before(c.shared.sentAt) {
		return
	}
	loads := c.index.resolve(answer)
	c.shared = shared{sentAt: sentAt, servers: len(loads), links: make(map[load.Key]load.Link, len(answer.Links)), bytes: bytes}
	if answer.Known {
		c.shared.oldest = answer.Oldest
	}
	for _, l := range answer.Links {
		c.shared.links[l.Router] = l
	}
	c.Servers.SetFleetLoad(loads)
}

// LinkLoads returns the known link loads of the other routers of this router's failure domain, by id.
// In a large domain only those of the most loaded links are known.
func (c *Controller) LinkLoads() map[string]link.Load {
	c.mu.Lock()
	links := c.shared.links // never modified
	c.mu.Unlock()
	loads := map[string]link.Load{}
	if len(links) == 0 {
		return loads
	}
	now := clock.Now()
	for _, m := range c.Members.Members() {
		l, ok := links[load.RouterKey(m.ID)]
		if ok && m.ID != c.Self && m.Domain == c.Domain && now.Sub(l.At) <= placement.MaxLoadAge {
			loads[m.ID] = l.Load
		}
	}
	return loads
}

// Stats describes what this router knows of the others.
type Stats struct {
	// Age is the time since the oldest observation in the shared load; negative if it is unknown.
	Age time.Duration
	// Servers is the number of servers whose shared load is known.
	Servers int
	Counts
	// Dropped counts the figures that were dropped since the start because they make no sense.
	Dropped int64
}

// Stats returns what this router knows of the others.
func (c *Controller) Stats() Stats {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := Stats{Age: -1, Counts: c.counts, Dropped: c.table.Dropped()}
	if now := clock.Now(); c.isKnown(now) {
		s.Age, s.Servers = now.Sub(c.shared.oldest), c.shared.servers
	}
	return s
}

// isKnown reports whether the load of the others is known. The caller holds c.mu.
func (c *Controller) isKnown(now time.Time) bool {
	return !c.shared.oldest.IsZero() && now.Sub(c.shared.sentAt) <= placement.MaxLoadAge
}

// logState logs that the load of the others has become known or unknown, at most once per logInterval.
func (c *Controller) logState() {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := clock.Now()
	if c.isKnown(now) == c.known {
		return
	}
	if _, allowed := c.knownLog.Allow(now, logInterval); !allowed {
		return
	}
	c.known = !c.known
	if c.known {
		c.Log.Info("shared server load known", zap.String("relay", c.relay), zap.Int("servers", c.shared.servers))
		return
	}
	c.Log.Info("shared server load unknown; own counts apply", zap.Duration("since_ms", now.Sub(c.shared.sentAt)), zap.Int("failed_calls", c.failures))
}
