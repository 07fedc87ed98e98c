// Package limits enforces the request rates that backend servers accept from all routers
// together: it learns the limits that servers name in their answers, propagates them to the
// other routers, and asks an owner of a server's rate for a permit for each request.
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
	"github.com/gaplink/gaplink/wait"
)

const (
	// permitTimeout bounds a request for a permit: callers wait for it, and a permit that
	// comes later can no longer be used.
	permitTimeout = limiter.PermitLife
	// unansweredBackoff is how long a router that did not answer is not asked for permits.
	unansweredBackoff = 2 * time.Second
	// retryDelay is how long this router sends a server no request after no owner answered, or
	// after the router that was asked turned out not to be an owner.
	retryDelay = 250 * time.Millisecond
	// maxOwnersAsked is how many routers are asked for a permit for one request.
	maxOwnersAsked = 3
	// maxFallbacks is how many routers may grant permits in place of an only owner.
	maxFallbacks = 2
	// expireInterval is the time between two scans for expired state.
	expireInterval = time.Second
	// loadTimeout bounds the wait of requests for the limits that other routers know.
	loadTimeout = time.Second
	// changeLogInterval is the minimum time between two log lines about changed rates.
	changeLogInterval = 100 * time.Millisecond
)

// Fleet are the other routers.
type Fleet interface {
	// Owners returns the routers ranked first for a server, in order of preference.
	Owners(server string) []string
	// Ask requests a permit from a router.
	Ask(ctx context.Context, id string, req *peer.PermitRequest) (*peer.PermitAnswer, error)
	// Report sends a router limits that this one has recorded.
	Report(ctx context.Context, id string, req *peer.LimitsRequest) (*peer.LimitsAnswer, error)
	// Listeners returns the routers that receive each report, and Peers those that may be
	// asked for all their limits, in order of preference.
	Listeners() []string
	Peers() []string
}

// Options configures a Controller.
type Options struct {
	// Self is the id of this router.
	Self string
	// Fleet may be nil: limits are then learnt but not enforced.
	Fleet Fleet
	// FleetDiscovered reports whether this router has had time to discover the other routers.
	// Until then it grants no permits.
	FleetDiscovered func() bool
	// AcceptsRequests reports whether a process is registered and not leaving. The limits of other
	// processes are dropped.
	AcceptsRequests func(placement.Incarnation) bool
	// Updated reports whether relays send this router all reports, so that it asks no other
	// router at its start; nil: none do.
	Updated func() bool
	// Informed reports whether relays have sent this router their reports; nil: none do.
	Informed func() bool
	// OwnerTicks is set if the owner calls Tick regularly, and CatchUp after each pause of the
	// process.
	OwnerTicks bool
	Log        *zap.Logger
}

// Counts are event counts since the start.
type Counts struct {
	// Granted and Denied count the requests of this router that got a permit and that did not,
	// and Unanswered the requests for a permit that a router did not answer.
	Granted, Denied, Unanswered int64
}

// Controller learns, propagates and enforces the rate limits of servers. It is safe for
// concurrent use.
type Controller struct {
	Options

	expiredAt time.Time // the last scan; used only by Tick

	spread *spread.Spreader[limiter.Report]
	// watching mirrors whether the table is non-empty, so that answers cost no lock while no
	// server names a limit.
	watching atomic.Bool
	// loading is closed while the limits that other routers know are being read at the start.
	loading wait.Gate

	mu      sync.Mutex
	table   *limiter.Table
	ledger  *limiter.Ledger
	denials *limiter.DenialCache
	// unanswered holds, by id, until when a router that did not answer is not asked again.
	unanswered map[string]time.Time
	counts     Counts
	changeLog  logs.RateLimit
}

// New returns a controller without limits.
func New(o Options) *Controller {
	c := &Controller{
		Options:    o,
		table:      limiter.NewTable(),
		ledger:     limiter.NewLedger(),
		denials:    limiter.NewDenialCache(),
		unanswered: map[string]time.Time{},
	}
	options := spread.Options[limiter.Report]{Receive: c.Receive, Snapshot: c.snapshot, Informed: o.Informed, Name: "rate limits", Log: o.Log}
	if o.Fleet != nil {
		options.Fleet = spreadFleet{o.Fleet}
	}
	c.spread = spread.New(options)
	return c
}

// Run propagates limits and drops expired state until the context ends.
func (c *Controller) Run(ctx context.Context) {
	go c.spread.Run(ctx)
	if !c.OwnerTicks {
		go c.spread.DetectPauses(ctx)
		go c.runTicker(ctx)
	}
	c.load(ctx)
	<-ctx.Done()
}

// load asks other routers for their limits. Requests wait until one has answered, at most for loadTimeout: no limit that
// is known is no evidence that there is none.
func (c *Controller) load(ctx context.Context) {
	loaded := c.loading.Close(loadTimeout)
	c.CatchUp(ctx)
	loaded()
}

// runTicker calls Tick every expireInterval until the context ends.
func (c *Controller) runTicker(ctx context.Context) {
	ticker := time.NewTicker(expireInterval)
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

// Tick drops expired state. The owner must call it a few times a second if OwnerTicks is set.
func (c *Controller) Tick(now time.Time) {
	if now.Sub(c.expiredAt) < expireInterval {
		return
	}
	c.expiredAt = now
	c.expire(now)
}

// CatchUp asks other routers for their limits, unless relays send them anyway.
func (c *Controller) CatchUp(ctx context.Context) {
	if c.Updated == nil || !c.Updated() {
		c.spread.CatchUp(ctx)
	}
}

// expire drops the state of processes that are gone or leaving, and expired permits and denials.
// It calls AcceptsRequests without the lock, since its implementer calls this controller.
func (c *Controller) expire(now time.Time) {
	c.mu.Lock()
	known := c.table.Servers()
	c.mu.Unlock()
	gone := known[:0]
	for _, server := range known {
		if !c.AcceptsRequests(server) {
			gone = append(gone, server)
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.table.Expire(now, gone)
	c.watching.Store(c.table.Len() > 0)
	c.ledger.Expire(now)
	c.denials.Expire(now)
}

// Observe applies what an answer says about the limit of its server.
func (c *Controller) Observe(o limiter.Observation) {
	if !o.Named && !c.watching.Load() {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.apply(o, "answer") {
		c.spread.Send(limiter.NewReport(clock.Now(), o))
	}
}

// Receive applies a report of another router.
func (c *Controller) Receive(r limiter.Report) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := clock.Now()
	for _, reported := range r.Observations {
		if o := reported.At(now); c.apply(o, "another router") {
			c.spread.Record(limiter.NewReport(now, o))
		}
	}
}

// apply applies an observation and reports whether it changed a limit. The caller holds c.mu.
func (c *Controller) apply(o limiter.Observation, source string) (changed bool) {
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
		c.logChange(append(fields, zap.Float64("per_second", float64(o.Rate)), zap.Float64("was_per_second", float64(was))))
	}
	return true
}

// logChange logs a changed rate at most once per changeLogInterval: a server may name a
// different rate in each answer.
func (c *Controller) logChange(fields []zap.Field) {
	if leftOut, allowed := c.changeLog.Allow(clock.Now(), changeLogInterval); allowed {
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

// Limited returns the number of servers with a limit in force.
func (c *Controller) Limited() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.table.Limits())
}

// Counts returns the event counts since the start.
func (c *Controller) Counts() Counts {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.counts
}

// OnReport handles a report of another router, and returns a snapshot if the request asks for
// all.
func (c *Controller) OnReport(_ context.Context, req *peer.LimitsRequest) (*peer.LimitsAnswer, error) {
	c.Receive(req.Report)
	if !req.All {
		return &peer.LimitsAnswer{}, nil
	}
	return &peer.LimitsAnswer{Report: c.snapshot(), Incomplete: !c.spread.IsComplete()}, nil
}

// spreadFleet adapts a Fleet to spread.Fleet.
type spreadFleet struct{ Fleet }

// Report implements spread.Fleet.
func (f spreadFleet) Report(ctx context.Context, id string, r limiter.Report, all bool) (limiter.Report, error) {
	answer, err := f.Fleet.Report(ctx, id, &peer.LimitsRequest{Report: r, All: all})
	switch {
	case err != nil:
		return limiter.Report{}, err
	case answer.Incomplete:
		return answer.Report, spread.ErrIncomplete
	default:
		return answer.Report, nil
	}
}
