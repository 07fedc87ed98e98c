// Package news brings the configuration and the servers' registrations from
// other routers to one that does not watch the store: because the store does
// not answer it, or because in a large fleet few routers watch for all.
package news

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
	// askEvery is how often another router is asked. askFirst is how often until the
	// first answer: a router that has just started can serve nobody before it. askSoon
	// is how often those ask that hear no news and for whom others wait: some ten
	// others may have it.
	askEvery = bound.AskEvery
	askFirst = 50 * time.Millisecond
	askSoon  = 100 * time.Millisecond
	// soonFor is how long after the last news, or a word of the store, a router that passes
	// none on asks that often: the store is found for all by then, or away from all.
	soonFor = 1500 * time.Millisecond
	// retryEvery is the least time between two tries of the store that other routers cause by
	// telling that it answers them.
	retryEvery = 500 * time.Millisecond
	// callTimeout bounds the question.
	callTimeout = 400 * time.Millisecond
	// fetchTimeout bounds the fetching of a configuration: a large one, compressed,
	// takes half a second on a small router's link that serves several.
	fetchTimeout = 2 * time.Second
	// fetchGrace is how much older a configuration may become while a newer one is being
	// fetched: what two fetchings take, by a teller and from it.
	fetchGrace = time.Second
	// lately is how long a router goes by the word that the store answers another one:
	// three questions.
	lately = 800 * time.Millisecond
	// lostFor is how long a router takes the store to be away after one that watches
	// it said so and no other said otherwise: a round of questions to all tellers of
	// five failure domains.
	lostFor = 3 * time.Second
	// watchers is how many routers of a large fleet watch the store: one more than
	// is needed. Each watches on its own, and they ask each other, so that a watch
	// that hears nothing any more is made up for by the other one.
	watchers = 2
	// tellersEach is how many routers of a failure domain pass on what the watchers
	// know: one more than is needed.
	tellersEach = 2
	// watchRole is the role by which both are ranked.
	watchRole = "watch"
	// strayEvery is which of the questions in a row without news goes to a router
	// that is neither: the store may answer it and none of them.
	strayEvery = 4
)

// Options are what a controller works with.
type Options struct {
	Configs *configs.Controller
	Servers *registry.Controller
	// Evacuations tells and takes which failure domains are emptied.
	Evacuations Evacuations
	Members     *members.Controller
	// Verdicts tells and takes what is known of requests that end servers, and Limits what
	// is known of the rate limits that servers name.
	Verdicts Verdicts
	Limits   Limits
	// Calls carries the questions.
	Calls Calls
	// Self is this process.
	Self string
	// Domain is this router's failure domain.
	Domain string
	// Lost tells whether the store did not answer this router's last call, and Fresh
	// whether it answered just now.
	Lost, Fresh func() bool
	// Revision is the store's revision up to which this router has heard all
	// changes of registrations from the store itself.
	Revision func() int64
	// AsOf tells up to when the store itself has told this router all changes.
	AsOf func() Moments
	// TooOld are the ages from which this router does not go by what others tell, but
	// looks for the store itself, where it passes news on and where it does not; 0: that
	// kind of objects is not followed.
	TooOld func(passesOn bool) peer.Ages
	// Answered tells when the store last answered any call of this process.
	Answered func() time.Time
	// Failed is told when a question began that has failed, and why; nil: nobody wants to
	// know.
	Failed func(begun time.Time, cause error)
	// Took is told how long each question took; nil: nobody wants to know.
	Took func(time.Duration)
	// Large tells whether the fleet is so large that few watch for all.
	Large func() bool
	Log   *zap.Logger
}

// Evacuations is what routers know of emptied failure domains.
type Evacuations interface {
	// Known returns them, and the store's revision at which that was so.
	Known() (domains []string, revision int64)
	// Take takes what another router knows.
	Take(domains []string, revision int64, source string)
}

// Verdicts is what routers know of requests that end servers.
type Verdicts interface {
	// Since returns what came after a number of the log, and the number of its end.
	Since(seq int64) (poison.Report, int64)
	// Receive takes what another router knows.
	Receive(poison.Report)
}

// Limits is what routers know of the rate limits that servers name.
type Limits interface {
	// Since returns what came after a number of the log, and the number of its end.
	Since(seq int64) (limiter.Report, int64)
	// Receive takes what another router knows.
	Receive(limiter.Report)
}

// Controller asks and answers. It is safe for concurrent use.
type Controller struct {
	Options

	mu       sync.Mutex
	source   string // whose registrations were taken last
	seq      int64
	revision int64     // up to which that source knew all changes
	current  time.Time // when a router last told what the store says
	asOf     Moments   // up to when other routers have told all changes
	lost     time.Time // when one last told that the store does not answer it
	teller   string    // which one did; empty: another is looked for
	origin   string    // which router that one had it from, or itself
	next     int       // which of the candidates is asked
	told     bool      // the log has the present source of news
	// answeredElsewhere is when a router told that the store answers it.
	answeredElsewhere time.Time

	reportSource string // whose reports were taken last
	// verdictSeq and limitSeq are up to which numbers of its logs.
	verdictSeq, limitSeq int64

	fetching atomic.Bool // a configuration is being fetched

	list packedList
}

// New returns a controller.
func New(o Options) *Controller {
	return &Controller{Options: o, next: rand.IntN(tellersEach)} // so that tellers share the questions
}

// heardOf returns the router that had the news from the store which this one was told
// lately.
func (c *Controller) heardOf() (origin string, heard bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.origin, c.heard()
}

// Heard tells whether what other routers have told is new enough to go by.
func (c *Controller) Heard() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.heard()
}

// heard goes by when the store said it, and not by when this router was told: its teller
// may have passed on for seconds what was new once. A configuration that is on its way is
// waited for, but not for as long as the fetching of it may be tried.
func (c *Controller) heard() bool {
	limits := c.TooOld(c.isTeller())
	if c.fetching.Load() {
		limits.Config += fetchGrace
	}
	return within(c.asOf.ages(clock.Now()), limits)
}

// HeardLately tells whether the store answers another router that this one hears.
func (c *Controller) HeardLately() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.heardLately()
}

func (c *Controller) heardLately() bool { return clock.Since(c.current) <= lately }

// StoreLost tells whether the store does not answer this router, or those that
// watch it for the fleet.
func (c *Controller) StoreLost() bool {
	return c.Lost() || c.ToldLost()
}

// ToldLost tells whether the store does not answer those that watch it, as they say.
func (c *Controller) ToldLost() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.toldLost()
}

func (c *Controller) toldLost() bool { return !c.heardLately() && clock.Since(c.lost) <= lostFor }
