// Package verdicts keeps the fleet's knowledge of requests that end the servers which
// run them: it finds out under which requests servers end, tells the other routers,
// and keeps verdicts in the store, so that they outlast the death of all routers.
//
// The decisions are in package poison.
package verdicts

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/gaplink/gaplink/clock"
	"github.com/gaplink/gaplink/controller/spread"
	"github.com/gaplink/gaplink/peer"
	"github.com/gaplink/gaplink/placement"
	"github.com/gaplink/gaplink/poison"
	"github.com/gaplink/gaplink/result"
	"github.com/gaplink/gaplink/store"
	"github.com/gaplink/gaplink/upstream"
)

// expireEvery is how often old ends are looked for.
const expireEvery = time.Minute

// Checker tells whether a server's process still lives.
type Checker interface {
	Check(ctx context.Context, address string, owner placement.Incarnation) upstream.Liveness
}

// Servers are the backend servers that this router knows.
type Servers interface {
	// TakesWork tells whether a process runs and is not leaving.
	TakesWork(in placement.Incarnation) bool
}

// Fleet are the other routers.
type Fleet interface {
	// Report tells a router of this one's news, and asks for all it knows if all is set.
	Report(ctx context.Context, id string, req *peer.VerdictsRequest) (*peer.VerdictsAnswer, error)
	// Listeners are the routers that are to be told of news.
	Listeners() []string
	// Peers are the routers that may be asked, the best first.
	Peers() []string
}

// Options are what a controller works with.
type Options struct {
	Checker Checker
	Servers Servers
	// Fleet and Store may be nil: nobody is told then, and nothing is kept.
	Fleet Fleet
	Store store.Store
	// Stale tells that a store's list that may be seconds old will do, as it must in a
	// large fleet, whose routers may all start together.
	Stale func() bool
	// Updated tells that relays send this router all reports, so that it asks neither another
	// router nor the store at its start; nil: none do.
	Updated func() bool
	// PausesNoticed tells that the owner calls CatchUp after each pause of the process.
	PausesNoticed bool
	Log           *zap.Logger
}

// Controller is safe for concurrent use.
type Controller struct {
	Options

	// watching mirrors whether the table knows anything, so that requests pay nothing
	// while no server has ended.
	watching atomic.Bool

	// spread propagates what this router observed.
	spread *spread.Spreader[poison.Report]

	mu    sync.Mutex
	table *poison.Table
	looks map[placement.Incarnation]*look
	// toKeep are the verdicts that the store has not followed yet.
	toKeep map[poison.Fingerprint]keeping
	kept   chan struct{} // there is something to keep
	counts Counts
}

// Counts are what has happened since the start.
type Counts struct {
	// Looks is how often this router looked what had become of a server's process,
	// Verdicts those that it reached itself, and Lifted the verdicts that it saw lifted
	// by good runs or by operators.
	Looks, Verdicts, Lifted int64
}

// New returns a controller that knows nothing.
func New(o Options) *Controller {
	c := &Controller{
		Options: o,
		table:   poison.NewTable(),
		looks:   map[placement.Incarnation]*look{},
		kept:    make(chan struct{}, 1),
		toKeep:  map[poison.Fingerprint]keeping{},
	}
	c.spread = c.newSpreader()
	return c
}

// Run tells the other routers, keeps verdicts and forgets old ends until the context
// ends. It begins by asking another router, and the store, what is known, unless relays send that.
func (c *Controller) Run(ctx context.Context) {
	go c.spread.Run(ctx)
	if !c.PausesNoticed {
		go c.spread.NoticePauses(ctx)
	}
	go c.keepVerdicts(ctx)
	c.CatchUp(ctx)
	if !c.updated() {
		go c.load(ctx)
	}
	ticker := time.NewTicker(expireEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			c.mu.Lock()
			c.table.Expire(clock.Now())
			c.watching.Store(!c.table.IsEmpty())
			c.mu.Unlock()
		case <-ctx.Done():
			return
		}
	}
}

// CatchUp asks other routers what is known, unless relays send it anyway.
func (c *Controller) CatchUp(ctx context.Context) {
	if !c.updated() {
		c.spread.CatchUp(ctx)
	}
}

func (c *Controller) updated() bool { return c.Updated != nil && c.Updated() }

// Watching tells whether anything is known of any request. While nothing is, no request
// needs its fingerprint.
func (c *Controller) Watching() bool { return c.watching.Load() }

// Admit returns the verdict by which a request that has arrived is to be refused, if
// there is one. After a hold it lets one run through, and tells the other routers.
func (c *Controller) Admit(request poison.Fingerprint) (v poison.Verdict, refused bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	v, refused, trial := c.table.Admit(clock.Now(), request)
	if trial {
		c.Log.Info("held back no more: one run is let through", zap.Stringer("fingerprint", request))
		c.spread.Send(poison.Report{Trials: []poison.Fingerprint{request}})
	}
	return v, refused
}

// Ends returns under how many processes' ends a request has run.
func (c *Controller) Ends(request poison.Fingerprint) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.table.Ends(request)
}

// Ran tells that a server answered a request whole and lives.
func (c *Controller) Ran(service string, request poison.Fingerprint) {
	c.take(poison.Report{Runs: []poison.Run{{Request: request, Service: service}}}, origin{"a good run", true})
}

// List returns the verdicts that hold.
func (c *Controller) List() []poison.Verdict {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.table.Verdicts(clock.Now())
}

// Lift voids the verdict on a request; operator is who asks for it.
func (c *Controller) Lift(request poison.Fingerprint, operator string) error {
	c.mu.Lock()
	v, held := c.table.Held(clock.Now(), request)
	c.mu.Unlock()
	if !held {
		return result.New(result.UnknownObject, "no verdict holds on %s", request)
	}
	c.take(poison.Report{Liftings: []poison.Lifting{{Request: request, Number: v.Number}}}, origin{"operator " + operator, true})
	return nil
}

// Figures returns the counts, and how many requests are suspected and held back.
func (c *Controller) Figures() (counts Counts, suspects, held int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.counts, c.table.Suspects(), len(c.table.Verdicts(clock.Now()))
}

// origin says where a report comes from.
type origin struct {
	name string
	// own tells that this router saw it happen: it then tells the others and keeps the
	// store in step, and no other one does.
	own bool
}

// take takes a report, and tells the others what this router saw itself.
func (c *Controller) take(r poison.Report, from origin) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := clock.Now()
	before := c.heldOf(now, r)
	news, reached := c.table.Take(now, r)
	c.watching.Store(!c.table.IsEmpty())
	c.counts.Verdicts += int64(len(reached))
	news.Verdicts = append(news.Verdicts, reached...)
	for _, v := range news.Verdicts {
		c.noteHeld(now, v, from)
	}
	for _, f := range before {
		if _, still := c.table.Held(now, f); !still {
			c.noteLifted(f, from)
		}
	}
	if news.IsEmpty() {
		return
	}
	if from.own {
		c.spread.Send(news)
	} else {
		c.spread.Note(news)
	}
}

// heldOf returns the requests of a report that are held back and that it may lift.
func (c *Controller) heldOf(now time.Time, r poison.Report) (held []poison.Fingerprint) {
	add := func(f poison.Fingerprint) {
		if _, ok := c.table.Held(now, f); ok {
			held = append(held, f)
		}
	}
	for _, l := range r.Liftings {
		add(l.Request)
	}
	for _, run := range r.Runs {
		add(run.Request)
	}
	return held
}

// noteHeld logs a verdict with what it rests on, and has the store follow.
func (c *Controller) noteHeld(now time.Time, v poison.Verdict, from origin) {
	c.Log.Warn("request held back", zap.Stringer("fingerprint", v.Request), zap.Int("number", v.Number), zap.String("service", v.Service),
		zap.Strings("servers", v.Servers), zap.Duration("held_for_ms", v.HeldFor), zap.String("source", from.name))
	if from.own {
		c.keepLater(v.Request, keeping{verdict: v, until: now.Add(v.HeldFor)})
	}
}

// noteLifted logs that a verdict is void, and has the store follow.
func (c *Controller) noteLifted(request poison.Fingerprint, from origin) {
	c.counts.Lifted++
	c.Log.Warn("request no longer held back", zap.Stringer("fingerprint", request), zap.String("source", from.name))
	if from.own {
		c.keepLater(request, keeping{lifted: true})
	}
}
