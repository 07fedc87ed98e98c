// Package updates propagates the configuration, the registrations of backend servers and
// evacuations to routers that do not watch the store: because the store does not answer them,
// or because in a large fleet few routers watch it and relays update the others.
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
	// askEvery is the interval between requests for updates of a router that updates others.
	// askFirst is the first interval until the first answer, which doubles up to askEvery: a
	// router that has just started can serve nobody before it. askSoon is the interval of a
	// router without updates for which others wait.
	askEvery = bound.AskEvery
	askFirst = 50 * time.Millisecond
	askSoon  = 100 * time.Millisecond
	// askAtOnce is the pause where the last answer held a part of the changes.
	askAtOnce = 10 * time.Millisecond
	// soonFor is how much longer than two intervals after the last update, or the last answer of
	// the store, a router that updates no others asks at askSoon.
	soonFor = time.Second
	// retryEvery is the least time between two attempts to reach the store that are caused by
	// other routers which the store answers.
	retryEvery = 500 * time.Millisecond
	// asksAtOnce bounds the requests for updates under way: beside one that waits at a full link
	// others are sent.
	asksAtOnce = 3
	// callTimeout bounds a request for updates while the link is not full.
	callTimeout = 400 * time.Millisecond
	// slowAfter is how long after its begin a request counts as slow, and the next candidate is
	// asked beside it.
	slowAfter = callTimeout + 20*time.Millisecond
	// fetchTimeout bounds the transfer of a configuration: a large one, compressed, takes half
	// a second on a small router's link that serves several.
	fetchTimeout = 2 * time.Second
	// fetchGrace is how much older a configuration may become while a newer one is being
	// fetched: the time of two transfers, to a relay and from it.
	fetchGrace = time.Second
	// promiseHolds is how long a router that starts waits for another one that has answered and
	// does not know all servers yet itself, and waitLongest how long it does so in all. The
	// store would send the list of a large fleet to each router that asks, for minutes.
	promiseHolds = 1500 * time.Millisecond
	waitLongest  = 10 * time.Second
	// recentRequests is for how many intervals an update counts as proof that the store answers
	// another router, and recentSlack how much longer.
	recentRequests = 3
	recentSlack    = 50 * time.Millisecond
	// lostFor is how long the store counts as unreachable after a watcher said so and no other
	// router said otherwise: one request to each relay of five failure domains.
	lostFor = 3 * time.Second
	// watchers is how many routers of a large fleet watch the store: one more than needed. They
	// also ask each other for updates, which makes up for a stalled watch.
	watchers = 2
	// relaysLeast is how many relays a failure domain has at least: one more than needed. A
	// larger domain has one for each followersMost of its routers.
	relaysLeast   = 2
	followersMost = 128
	// watchRole is the role by which watchers and relays are ranked.
	watchRole = "watch"
	// strayEvery is which of the requests in a row without an update goes to any router: the
	// store may answer it and none of the candidates.
	strayEvery = 4
)

// Options are what a controller works with.
type Options struct {
	Configs *configs.Controller
	Servers *registry.Controller
	// Routers are the registrations of routers; nil: they are not propagated.
	Routers Replica
	// Evacuations holds the evacuated failure domains.
	Evacuations Evacuations
	Members     *members.Controller
	// Verdicts holds what is known of requests that crash servers, and Limits what is known of
	// the rate limits that servers name.
	Verdicts Verdicts
	Limits   Limits
	// Calls carries the requests for updates.
	Calls Calls
	// Self is this process.
	Self string
	// Domain is this router's failure domain.
	Domain string
	// Lost tells whether the store did not answer this router's last call, and Fresh whether it
	// answered within the last watch.
	Lost, Fresh func() bool
	// AsOf returns the times up to which the store itself has sent this router all changes.
	AsOf func() Timestamps
	// StaleAfter returns the staleness bounds from which this router queries the store directly,
	// for a relay and for other routers; 0: objects of that kind are not followed.
	StaleAfter func(relay bool) peer.Ages
	// AskEvery returns the interval between requests for updates of a router that updates no
	// others; nil: it is that of relays.
	AskEvery func() time.Duration
	// Answered returns when the store last answered any call of this process.
	Answered func() time.Time
	// Failed takes when a request for updates began that has failed, and its error; nil: nobody
	// wants to know.
	Failed func(begun time.Time, cause error)
	// Timeout returns the time that a request for updates may take which takes no longer than
	// normal while this router's link is not full; nil: it takes no longer ever.
	Timeout func(normal time.Duration) time.Duration
	// Took takes the duration of each request for updates; nil: nobody wants to know.
	Took func(time.Duration)
	// Large tells whether the fleet is so large that few routers watch the store.
	Large func() bool
	Log   *zap.Logger
}

// Evacuations is what routers know of evacuated failure domains.
type Evacuations interface {
	// Known returns them, and the store's revision at which that was so.
	Known() (domains []string, revision int64)
	// Take receives what another router knows.
	Take(domains []string, revision int64, source string)
}

// Verdicts is what routers know of requests that crash servers.
type Verdicts interface {
	// Since returns the entries after a sequence number of the log, and the last number.
	Since(seq int64) (poison.Report, int64)
	// Receive merges what another router knows.
	Receive(poison.Report)
}

// Limits is what routers know of the rate limits that servers name.
type Limits interface {
	// Since returns the entries after a sequence number of the log, and the last number.
	Since(seq int64) (limiter.Report, int64)
	// Receive merges what another router knows.
	Receive(limiter.Report)
}

// Controller requests and answers updates. It is safe for concurrent use.
type Controller struct {
	Options

	mu    sync.Mutex
	known Timestamps // up to when other routers have sent all changes
	// updatedAt is when another router last sent what the store holds, and lostAt when one last
	// said that the store does not answer it.
	updatedAt, lostAt time.Time
	relay             string // the router that sent the last update; empty: the next candidate is asked
	origin            string // the router that received that update from the store
	next              int    // the index of the next candidate
	logged            bool   // the log has the present relay
	// answeredElsewhere is when a router said that the store answers it.
	answeredElsewhere time.Time

	reportSource string // the process whose reports were received last
	// verdictSeq and limitSeq are the last sequence numbers of its logs.
	verdictSeq, limitSeq int64

	firstAsks int // before the first update
	// promisedAt is when a router that is to update this one last said that it does not know all
	// servers yet, and waitingSince when it did so first.
	promisedAt, waitingSince time.Time

	fetching atomic.Bool // a configuration is being fetched
	// asking has room for the requests under way, and receiving orders their answers.
	asking    chan struct{}
	receiving sync.Mutex

	// lists are the lists that are being read, and snapshots those that other routers read.
	lists     lists
	snapshots map[peer.Kind]*snapshot
	packed    map[peer.Kind]*packedChanges
	// lacks tells that the last answer held a part of the changes.
	lacks bool

	role roleWatch
}

// New returns a controller.
func New(o Options) *Controller {
	return &Controller{
		Options: o,
		next:    rand.IntN(relaysLeast), // relays share the requests
		asking:  make(chan struct{}, asksAtOnce),

		lists:     lists{transfers: map[peer.Kind]*transfer{}},
		snapshots: map[peer.Kind]*snapshot{peer.KindServers: {}, peer.KindRouters: {}},
		packed: map[peer.Kind]*packedChanges{
			peer.KindServers: {byFrom: map[int64]packedChange{}},
			peer.KindRouters: {byFrom: map[int64]packedChange{}},
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

// UpToDate tells whether the updates of other routers are within the staleness bounds.
func (c *Controller) UpToDate() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.upToDate()
}

// upToDate goes by the time of the store's answer, not by that of the update: a relay may have
// sent the same state for seconds. A configuration that is being fetched gets fetchGrace.
func (c *Controller) upToDate() bool {
	limits := c.StaleAfter(c.IsRelay())
	if c.fetching.Load() {
		limits.Config += fetchGrace
	}
	return within(c.known.ages(clock.Now()), limits)
}

// RecentlyUpdated tells whether the store answers another router that updates this one.
func (c *Controller) RecentlyUpdated() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.recentlyUpdated()
}

func (c *Controller) recentlyUpdated() bool {
	return clock.Since(c.updatedAt) <= recentRequests*c.interval()+recentSlack
}

// interval returns the interval between requests for updates while there are updates.
func (c *Controller) interval() time.Duration {
	if c.AskEvery == nil || c.UpdatesOthers() {
		return askEvery
	}
	return c.AskEvery()
}

// StoreLost tells whether the store answers neither this router's calls nor the watchers.
func (c *Controller) StoreLost() bool {
	return c.Lost() || c.StoreLostAtRelays()
}

// StoreLostAtRelays tells whether the store does not answer the watchers, by what relays say.
func (c *Controller) StoreLostAtRelays() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lostAtRelays()
}

func (c *Controller) lostAtRelays() bool {
	return !c.recentlyUpdated() && clock.Since(c.lostAt) <= lostFor
}
