// Package limits keeps the fleet within the request rates that backend servers take from
// all routers together: it learns the limits that servers name in their answers, propagates
// them to the other routers, and asks the owner of a server's rate for a permit for each
// request.
//
// The decisions are in package limiter.
package limits

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/gaplink/gaplink/clock"
	"github.com/gaplink/gaplink/controller/spread"
	"github.com/gaplink/gaplink/limiter"
	"github.com/gaplink/gaplink/logs"
	"github.com/gaplink/gaplink/peer"
	"github.com/gaplink/gaplink/placement"
)

const (
	// askTimeout bounds the question for a permit: callers wait for it, and a permit must
	// not come too late to be used.
	askTimeout = limiter.PermitLife
	// unansweredFor is how long a router that did not answer is not asked for permits.
	unansweredFor = 2 * time.Second
	// retryAfter is how long a server gets no request from this router after no owner
	// answered, or after a router that was asked is no owner.
	retryAfter = 250 * time.Millisecond
	// askAtMost is how many other routers are asked for a permit for one request.
	askAtMost = 3
	// fallbacks is how many routers may grant permits in place of an only owner.
	fallbacks = 2
	// expireEvery is how often what is not needed any more is dropped.
	expireEvery = time.Second
	// noteEvery is the least time between two log lines about changed rates.
	noteEvery = 100 * time.Millisecond
)

// Fleet are the other routers.
type Fleet interface {
	// Owners returns the first routers in the order of a server, the best first.
	Owners(server string) []string
	// Ask asks a router for a permit.
	Ask(ctx context.Context, id string, req *peer.PermitRequest) (*peer.PermitAnswer, error)
	// Report sends a router what this one knows of limits.
	Report(ctx context.Context, id string, req *peer.LimitsRequest) (*peer.LimitsAnswer, error)
	// Listeners are the routers that get each report, and Peers those that may be asked
	// for all that they know, the best first.
	Listeners() []string
	Peers() []string
}

// Options are what a controller works with.
type Options struct {
	// Self is the id of this router.
	Self string
	// Fleet may be nil: limits are then learnt and not enforced.
	Fleet Fleet
	// Settled tells whether this router knows the others. Until then it grants no permits.
	Settled func() bool
	// Runs tells whether a process is registered.
	Runs func(placement.Incarnation) bool
	// Updated tells that relays send this router all reports, so that it asks no other router
	// at its start; nil: none do.
	Updated func() bool
	// Driven tells that the owner calls Tick regularly, and CatchUp after each pause of the
	// process.
	Driven bool
	Log    *zap.Logger
}

// Counts are what has happened since the start.
type Counts struct {
	// Granted and Denied are the requests of this router that got a permit and that did
	// not, and Unanswered the questions for one that a router did not answer.
	Granted, Denied, Unanswered int64
}

// Controller is safe for concurrent use.
type Controller struct {
	Options

	expiredAt time.Time // by Tick

	spread *spread.Spreader[limiter.Report]
	// watching mirrors whether the table knows anything, so that answers cost nothing
	// while no server names a limit.
	watching atomic.Bool

	mu     sync.Mutex
	table  *limiter.Table
	ledger *limiter.Ledger
	gate   *limiter.Gate
	// unanswered is until when routers that did not answer are not asked, by id.
	unanswered map[string]time.Time
	counts     Counts
	lines      logs.Sparse
}

// New returns a controller that knows no limit.
func New(o Options) *Controller {
	c := &Controller{
		Options:    o,
		table:      limiter.NewTable(),
		ledger:     limiter.NewLedger(),
		gate:       limiter.NewGate(),
		unanswered: map[string]time.Time{},
	}
	spreading := spread.Options[limiter.Report]{Receive: c.Receive, Snapshot: c.snapshot, What: "rate limits", Log: o.Log}
	if o.Fleet != nil {
		spreading.Fleet = fleet{o.Fleet}
	}
	c.spread = spread.New(spreading)
	return c
}

// Run propagates limits and drops what is not needed any more until the context ends.
func (c *Controller) Run(ctx context.Context) {
	go c.spread.Run(ctx)
	if !c.Driven {
		go c.spread.NoticePauses(ctx)
		go c.tickRegularly(ctx)
	}
	c.CatchUp(ctx)
	<-ctx.Done()
}

// tickRegularly ticks until the context ends.
func (c *Controller) tickRegularly(ctx context.Context) {
	ticker := time.NewTicker(expireEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			c.Tick(clock.Now())
		case <-ctx.Done():
			return
		}
	}
}

// Tick drops what is not needed any more. Call it a few times a second, if Run does not.
func (c *Controller) Tick(now time.Time) {
	if now.Sub(c.expiredAt) < expireEvery {
		return
	}
	c.expiredAt = now
	c.expire(now)
}

// CatchUp asks other routers what is known, unless relays send it anyway.
func (c *Controller) CatchUp(ctx context.Context) {
	if c.Updated == nil || !c.Updated() {
		c.spread.CatchUp(ctx)
	}
}

// expire drops what is known of processes that are gone, and permits and denials that are
// long past. Runs is asked without the lock, since its owner asks this controller.
func (c *Controller) expire(now time.Time) {
	c.mu.Lock()
	known := c.table.Servers()
	c.mu.Unlock()
	gone := known[:0]
	for _, server := range known {
		if !c.Runs(server) {
			gone = append(gone, server)
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.table.Expire(now, gone)
	c.watching.Store(c.table.Len() > 0)
	c.ledger.Expire(now)
	c.gate.Expire(now)
}

// Observe takes what an answer told of the limit of its server.
func (c *Controller) Observe(o limiter.Observation) {
	if !o.Named && !c.watching.Load() {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.take(o, "answer") {
		c.spread.Send(limiter.NewReport(clock.Now(), o))
	}
}

// Receive takes what another router reports.
func (c *Controller) Receive(r limiter.Report) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := clock.Now()
	for _, reported := range r.Observations {
		if o := reported.At(now); c.take(o, "another router") {
			c.spread.Note(limiter.NewReport(now, o))
		}
	}
}

// take takes an observation and tells whether it changed a limit. It is called under the
// lock.
func (c *Controller) take(o limiter.Observation, source string) (changed bool) {
	was, limited := c.table.Limit(o.Server)
	if !c.table.Observe(o) {
		return false
	}
	c.watching.Store(true)
	fields := []zap.Field{
		zap.String("server", o.Server.ID), zap.Int64("started", o.Server.Started), zap.String("source", source),
		zap.Duration("received_ms_ago", clock.Since(o.Received)),
	}
	switch {
	case !limited:
		c.Log.Info("server rate limit begins", append(fields, zap.Float64("per_second", float64(o.Rate)))...)
	case !o.Named:
		c.Log.Info("server rate limit ends", append(fields, zap.Float64("was_per_second", float64(was)))...)
	default:
		c.noteChange(append(fields, zap.Float64("per_second", float64(o.Rate)), zap.Float64("was_per_second", float64(was))))
	}
	return true
}

// noteChange logs a changed rate, unless a line was written just now: a server may name
// another rate in each answer.
func (c *Controller) noteChange(fields []zap.Field) {
	if leftOut, due := c.lines.Due(clock.Now(), noteEvery); due {
		c.Log.Info("server rate limit changes", append(fields, zap.Int64("lines_left_out", leftOut))...)
	}
}

func (c *Controller) snapshot() limiter.Report {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.table.Snapshot(clock.Now())
}

// Since returns what this router learnt after number seq of its log, and the number of the
// last entry.
func (c *Controller) Since(seq int64) (limiter.Report, int64) { return c.spread.Since(seq) }

// Limited returns the number of servers that name a limit.
func (c *Controller) Limited() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.table.Limits())
}

// Counts returns what has happened since the start.
func (c *Controller) Counts() Counts {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.counts
}

// OnReport answers another router that reports limits or asks for those known here.
func (c *Controller) OnReport(_ context.Context, req *peer.LimitsRequest) (*peer.LimitsAnswer, error) {
	c.Receive(req.Report)
	if !req.All {
		return &peer.LimitsAnswer{}, nil
	}
	return &peer.LimitsAnswer{Report: c.snapshot()}, nil
}

// fleet is a Fleet for a spreader.
type fleet struct{ Fleet }

// Report implements spread.Fleet.
func (f fleet) Report(ctx context.Context, id string, r limiter.Report, all bool) (limiter.Report, error) {
	answer, err := f.Fleet.Report(ctx, id, &peer.LimitsRequest{Report: r, All: all})
	if err != nil {
		return limiter.Report{}, err
	}
	return answer.Report, nil
}
