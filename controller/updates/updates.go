// Package updates propagates the configuration, the registrations of backend servers and
// evacuations to routers that do not watch the store, either because they cannot reach it or
// because only a few routers of a large fleet watch it and relays update the others.
package updates

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/gaplink/gaplink/bound"
	"github.com/gaplink/gaplink/clock"
	"github.com/gaplink/gaplink/controller/configs"
	"github.com/gaplink/gaplink/controller/members"
	"github.com/gaplink/gaplink/controller/registry"
	"github.com/gaplink/gaplink/limiter"
	"github.com/gaplink/gaplink/peer"
	"github.com/gaplink/gaplink/poison"
)

const (
	// requestInterval is the interval between update requests of a router that updates others.
	// initialRequestInterval is the first interval until the first update, which doubles up to
	// requestInterval: a router serves no requests before its first update. catchUpInterval is the
	// interval of a router that lacks updates which other routers wait for.
	requestInterval        = bound.RequestInterval
	initialRequestInterval = 50 * time.Millisecond
	catchUpInterval        = 100 * time.Millisecond
	// moreChangesPause is the pause after an answer that held only part of the changes.
	moreChangesPause = 10 * time.Millisecond
	// catchUpGrace is how much longer than two intervals after the last update, or the store's
	// last answer, a router that updates no others sends requests at catchUpInterval.
	catchUpGrace = time.Second
	// storeRetryInterval is the minimum time between two attempts to reach the store that are
	// triggered by other routers which the store answers.
	storeRetryInterval = 500 * time.Millisecond
	// maxInFlight limits the concurrent update requests: further ones are sent while one is
	// delayed by a saturated link.
	maxInFlight = 3
	// callTimeout bounds an update request while the link is not saturated.
	callTimeout = 400 * time.Millisecond
	// hedgeDelay is the time after which a request counts as slow and the next candidate is
	// queried in parallel.
	hedgeDelay = callTimeout + 20*time.Millisecond
	// fetchTimeout bounds the transfer of a configuration: a large one takes half a second
	// compressed on a small router's link that carries several transfers.
	fetchTimeout = 2 * time.Second
	// fetchGrace extends the staleness bound of a configuration while a newer one is being
	// fetched: the time of two transfers, to a relay and from it.
	fetchGrace = time.Second
	// syncingTTL is how long a starting router waits for another one that has answered but does
	// not know all servers yet, and maxSyncWait how long it waits in total. Otherwise the store
	// would spend minutes sending the list of a large fleet to each starting router.
	syncingTTL  = 1500 * time.Millisecond
	maxSyncWait = 10 * time.Second
	// recentIntervals is for how many request intervals an update proves that the store answers
	// another router, and recentSlack is added to them.
	recentIntervals = 3
	recentSlack     = 50 * time.Millisecond
	// lostTTL is how long the store counts as unreachable after a watcher reported it and no
	// other router reported otherwise: one request to each relay of five failure domains.
	lostTTL = 3 * time.Second
	// watcherCount is how many routers of a large fleet watch the store: one more than needed.
	// They also request updates from each other, which compensates for a stalled watch.
	watcherCount = 2
	// minRelays is the minimum number of relays in a failure domain: one more than needed. A
	// larger domain has one relay for every routersPerRelay of its routers.
	minRelays       = 2
	routersPerRelay = 128
	// watchRole is the role by which watchers and relays are ranked.
	watchRole = "watch"
	// randomPeerEvery selects which of the consecutive requests without an update goes to a
	// random router: the store may answer that one and none of the candidates.
	randomPeerEvery = 4
)

// Options configure a controller.
type Options struct {
	Configs *configs.Controller
	Servers *registry.Controller
	// Routers are the registrations of routers; if nil, they are not propagated.
	Routers Replica
	// Evacuations holds the evacuated failure domains.
	Evacuations Evacuations
	Members     *members.Controller
	// Verdicts holds the known requests that crash servers, and Limits the rate limits that
	// servers announce.
	Verdicts Verdicts
	Limits   Limits
	// Calls sends the requests to other routers.
	Calls Calls
	// Self identifies this process.
	Self string
	// Domain is this router's failure domain.
	Domain string
	// StoreCallFailed reports whether this router's last call of the store failed, and StoreFresh
	// whether the store has answered within the duration of a watch.
	StoreCallFailed, StoreFresh func() bool
	// AsOf returns the times up to which this router has received all changes from the store
	// itself.
	AsOf func() Timestamps
	// StaleAfter returns the staleness bounds above which a relay or another router queries the
	// store directly; 0 means that objects of that kind are not followed.
	StaleAfter func(relay bool) peer.Ages
	// RequestInterval returns the interval between update requests of a router that updates no
	// others; if nil, the interval of relays applies.
	RequestInterval func() time.Duration
	// Answered returns when the store last answered any call of this process.
	Answered func() time.Time
	// OnFailure, if set, receives the start time and the error of each failed update request.
	OnFailure func(begun time.Time, cause error)
	// Timeout extends the normal timeout of a request while this router's link is saturated; if
	// nil, the normal timeout always applies.
	Timeout func(normal time.Duration) time.Duration
	// LinkDelay returns the queueing delay at this router's link and whether the link is saturated;
	// nil: it never is.
	LinkDelay func() (delay time.Duration, saturated bool)
	// ObserveDuration, if set, receives the duration of each update request; that of one without
	// an answer is at most the normal timeout.
	ObserveDuration func(time.Duration)
	// Large reports whether the fleet is so large that only a few routers watch the store.
	Large func() bool
	Log   *zap.Logger
}

// Evacuations holds the evacuated failure domains in the state of a router.
type Evacuations interface {
	// Known returns the evacuated domains and the store revision at which they were read.
	Known() (domains []string, revision int64)
	// Apply applies the domains received from another router.
	Apply(domains []string, revision int64, source string)
}

// Verdicts holds the requests known to crash servers.
type Verdicts interface {
	// Since returns the log entries after a sequence number, and the last sequence number.
	Since(seq int64) (poison.Report, int64)
	// Receive merges the report of another router.
	Receive(poison.Report)
}

// Limits holds the rate limits that servers announce.
type Limits interface {
	// Since returns the log entries after a sequence number, and the last sequence number.
	Since(seq int64) (limiter.Report, int64)
	// Receive merges the report of another router.
	Receive(limiter.Report)
}

// Controller requests updates from other routers and answers their requests. It is safe for
// concurrent use.
type Controller struct {
	Options

	mu    sync.Mutex
	known Timestamps // times up to which other routers have sent all changes
	// updatedAt is when another router last sent an update from the store, and lostAt when a
	// router last reported that the store does not answer it.
	updatedAt, lostAt time.Time
	relay             string // the router that sent the last update; if empty, the next candidate is queried
	origin            string // the router that received that update from the store
	nextIndex         int    // the index of the next candidate
	relayLogged       bool   // the current relay was logged
	// answeredElsewhere is when a router last reported that the store answers it.
	answeredElsewhere time.Time

	reportSource string // the process that sent the last received reports
	// verdictSeq and limitSeq are the last received sequence numbers of its logs.
	verdictSeq, limitSeq int64

	startupRequests int // requests sent before the first update
	// syncingAt is when a router that updates this one last answered that it does not know all
	// servers yet, and waitingSince when one did so first.
	syncingAt, waitingSince time.Time

	fetching atomic.Bool // a configuration is being fetched
	// inFlight is a semaphore of the concurrent requests, and receiveMu serializes the handling
	// of their answers.
	inFlight  chan struct{}
	receiveMu sync.Mutex

	// lists are the lists being read from other routers, and snapshots those served to them.
	lists         listReader
	snapshots     map[peer.Kind]*snapshot
	cachedChanges map[peer.Kind]*changesCache
	// moreChanges is set if the last answer held only part of the changes.
	moreChanges bool

	role roleNotifier
}

// New returns a controller.
func New(o Options) *Controller {
	return &Controller{
		Options:   o,
		nextIndex: rand.IntN(minRelays), // spreads the requests over the relays
		inFlight:  make(chan struct{}, max(maxInFlight, maxInFlightSaturated)),

		lists:     listReader{transfers: map[peer.Kind]*transfer{}},
		snapshots: map[peer.Kind]*snapshot{peer.KindServers: {}, peer.KindRouters: {}},
		cachedChanges: map[peer.Kind]*changesCache{
			peer.KindServers: {byRevision: map[int64]cachedAnswer{}},
			peer.KindRouters: {byRevision: map[int64]cachedAnswer{}},
		},
	}
}

// updateOrigin returns the router that received the last update from the store, and whether that
// update is within the staleness bounds.
func (c *Controller) updateOrigin() (origin string, upToDate bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.origin, c.upToDate()
}

// UpToDate reports whether the updates of other routers are within the staleness bounds.
func (c *Controller) UpToDate() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.upToDate()
}

// upToDate compares the age of the store's answer, not that of the update, with the staleness
// bounds: a relay may have sent the same state for seconds. The bound of a configuration that is
// being fetched is extended by fetchGrace.
func (c *Controller) upToDate() bool {
	limits := c.StaleAfter(c.IsRelay())
	if c.fetching.Load() {
		limits.Config += fetchGrace
	}
	return withinLimits(c.known.ages(clock.Now()), limits)
}

// RecentlyUpdated reports whether the store answers another router that updates this one.
func (c *Controller) RecentlyUpdated() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.recentlyUpdated()
}

func (c *Controller) recentlyUpdated() bool {
	return clock.Since(c.updatedAt) <= recentIntervals*c.interval()+recentSlack
}

// interval returns the interval between update requests while updates arrive.
func (c *Controller) interval() time.Duration {
	if c.RequestInterval == nil || c.UpdatesOthers() {
		return requestInterval
	}
	return c.RequestInterval()
}

// StoreLost reports whether the store answers neither this router's calls nor the watchers.
func (c *Controller) StoreLost() bool {
	return c.StoreCallFailed() || c.StoreLostAtRelays()
}

// StoreLostAtRelays reports whether, according to the relays, the store does not answer the
// watchers.
func (c *Controller) StoreLostAtRelays() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lostAtRelays()
}

func (c *Controller) lostAtRelays() bool {
	return !c.recentlyUpdated() && clock.Since(c.lostAt) <= lostTTL
}
