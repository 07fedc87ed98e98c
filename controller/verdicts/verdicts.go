// Package verdicts detects poison requests, which crash the servers that run them: it finds
// out which requests ran on servers that crashed, propagates this to the other routers, and
// stores the verdicts, so that they survive a crash of all routers.
//
// The decisions are in package poison.
package verdicts

import (
	"context"
	"math/rand/v2"
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
	"github.com/gaplink/gaplink/wait"
)

// expireInterval is the time between two scans for expired crashes.
const expireInterval = time.Minute

// loadTimeout bounds the wait of requests for the state that is read at the start.
const loadTimeout = time.Second

// evidenceLogInterval is the least time between two log lines on parts that are suspected.
const evidenceLogInterval = time.Second

// Checker checks whether a server's process is alive.
type Checker interface {
	Check(ctx context.Context, s placement.Server) upstream.Liveness
}

// Servers are the backend servers on this router's list.
type Servers interface {
	// AcceptsRequests reports whether a process is running and not draining.
	AcceptsRequests(in placement.Incarnation) bool
	// Crashed records that a process was found to be gone.
	Crashed(in placement.Incarnation)
}

// Fleet are the other routers.
type Fleet interface {
	// Report sends a report to a router, and asks for its complete state if req.All is set.
	Report(ctx context.Context, id string, req *peer.VerdictsRequest) (*peer.VerdictsAnswer, error)
	// Listeners returns the routers that receive each report.
	Listeners() []string
	// Peers returns the routers that may be asked, in order of preference.
	Peers() []string
}

// Options configures a Controller.
type Options struct {
	Checker Checker
	Servers Servers
	// Fleet and Store may be nil: reports are then not propagated, and verdicts not stored.
	Fleet Fleet
	Store store.Store
	// Stale reports whether a list that may be seconds old may be read from the store, as a
	// large fleet must, whose routers may all start together.
	Stale func() bool
	// ReadsForOthers reports whether this router is one of the few that read the store for a large fleet; nil: it
	// is not. It reads a list that is not stale: if all routers have ended, it alone may learn of the last verdicts.
	ReadsForOthers func() bool
	// Updated reports whether relays send this router all reports, so that it asks neither
	// another router nor the store at its start; nil: none do.
	Updated func() bool
	// Informed reports whether relays have sent this router their reports; nil: none do.
	Informed func() bool
	// OwnerDetectsPauses is set if the owner calls CatchUp after each pause of the process.
	OwnerDetectsPauses bool
	Log                *zap.Logger
}

// Controller detects poison requests and keeps the verdicts on them. It is safe for concurrent
// use.
type Controller struct {
	Options

	// watching mirrors whether the table is non-empty, so that requests cost no lock while no
	// server has crashed.
	watching atomic.Bool

	// loading is closed while the current state is being read at the start.
	loading wait.Gate

	// spread propagates what this router observed.
	spread *spread.Spreader[poison.Report]

	mu    sync.Mutex
	table *poison.Table
	// successes are those of this router.
	successes *poison.Successes
	checks    map[placement.Incarnation]*livenessCheck
	// settling is set while settle is due, and observed if this router has observed a crash since it was
	// last called.
	settling, observed bool
	// evidenceLogged is when the evidence against the leading part was last logged.
	evidenceLogged time.Time
	// pendingWrites are the store writes not yet executed.
	pendingWrites map[poison.Fingerprint]pendingWrite
	writeSignal   chan struct{} // signals that pendingWrites is not empty
	// writingEvidence is set while a write of crashes is due or under way, evidenceVersion is the version of their store
	// object, 0 if unknown, evidenceStored when a router last wrote it, as far as this one has heard, and evidenceInterval
	// the least time until the next write.
	writingEvidence  bool
	evidenceVersion  int64
	evidenceStored   time.Time
	evidenceInterval time.Duration
	// evidenceRetry is the delay after a failed write, and evidenceVoid is set if the object has crashes of a verdict that was
	// lifted.
	evidenceRetry time.Duration
	evidenceVoid  bool
	// running is the context of Run.
	running context.Context
	counts  Counts
}

// Counts are event counts since the start.
type Counts struct {
	// LivenessChecks counts the liveness checks of server processes, Verdicts the verdicts that
	// this router reached itself, and Lifted the verdicts lifted by successful runs or by
	// operators, as seen here.
	LivenessChecks, Verdicts, Lifted int64
	// Trials counts the runs that this router let through after a quarantine, and Forgotten the crashes whose
	// prompt parts it dropped for room.
	Trials, Forgotten int64
	// EvidenceWrites counts the writes of crashes to the store.
	EvidenceWrites int64
}

// New returns a controller without verdicts.
func New(o Options) *Controller {
	c := &Controller{
		Options:       o,
		table:         poison.NewTable(),
		successes:     poison.NewSuccesses(),
		checks:        map[placement.Incarnation]*livenessCheck{},
		writeSignal:   make(chan struct{}, 1),
		pendingWrites: map[poison.Fingerprint]pendingWrite{},
		running:       context.Background(),
	}
	c.spread = c.newSpreader()
	return c
}

// Run propagates reports, writes verdicts to the store and drops old crashes until the context
// ends. It first reads the current state from another router and from the store, unless relays
// send it.
func (c *Controller) Run(ctx context.Context) {
	c.mu.Lock()
	c.running = ctx
	c.mu.Unlock()
	go c.spread.Run(ctx)
	if !c.OwnerDetectsPauses {
		go c.spread.DetectPauses(ctx)
	}
	go c.writeVerdicts(ctx)
	if !c.relaysSendReports() {
		c.load(ctx)
	}
	ticker := time.NewTicker(expireInterval)
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

// load reads the current state from another router and from the store. Requests wait until both have answered once, at most
// for loadTimeout: a fleet whose routers have all ended knows no verdict until then.
func (c *Controller) load(ctx context.Context) {
	loaded := c.loading.Close(loadTimeout)
	var answered sync.WaitGroup
	answered.Go(func() { c.CatchUp(ctx) })
	answered.Add(1)
	go c.loadFromStore(ctx, sync.OnceFunc(answered.Done))
	go func() {
		answered.Wait()
		loaded()
	}()
}

// awaitLoaded waits until the current state is known.
func (c *Controller) awaitLoaded() {
	c.loading.Wait(context.Background())
}

// CatchUp asks other routers for their verdicts and crashes, unless relays send them anyway.
func (c *Controller) CatchUp(ctx context.Context) {
	if !c.relaysSendReports() {
		c.spread.CatchUp(ctx)
	}
}

func (c *Controller) relaysSendReports() bool { return c.Updated != nil && c.Updated() }

// Watching reports whether any request is tracked. While none is, no request needs its
// fingerprint. Just after the start it waits until that is known.
func (c *Controller) Watching() bool {
	c.awaitLoaded()
	return c.watching.Load()
}

// Admit returns the verdict that quarantines a newly arrived request, or a part of its prompt, if there is
// one. When a quarantine has expired, one router of the fleet admits one trial run.
func (c *Controller) Admit(request poison.Fingerprint, parts ...poison.Part) (v poison.Verdict, refused bool) {
	v, refused, _ = c.admit(request, parts)
	return v, refused
}

// admit is Admit; trial is set if the request is admitted as a trial run.
func (c *Controller) admit(request poison.Fingerprint, parts []poison.Part) (v poison.Verdict, refused, trial bool) {
	c.awaitLoaded()
	v, refused, trials := c.neededTrials(request, parts)
	if refused || len(trials) == 0 {
		return v, refused, false
	}
	v, refused = c.admitTrials(trials, request, parts)
	return v, refused, !refused
}

// neededTrials returns the expired verdicts on a request, of which it must be the trial run.
func (c *Controller) neededTrials(request poison.Fingerprint, parts []poison.Part) (v poison.Verdict, refused bool, trials []poison.Fingerprint) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := clock.Now()
	if v, held := c.table.Held(now, request, parts); held {
		return v, true, nil
	}
	_, _, isTrial := c.table.Admit(now, request)
	_, _, trials = c.table.AdmitPart(now, parts)
	if isTrial {
		trials = append(trials, request)
	}
	return poison.Verdict{}, false, trials
}

// Holds returns the verdict for which a request is not sent to servers now, if there is one.
func (c *Controller) Holds(request poison.Fingerprint, parts []poison.Part) (poison.Verdict, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.table.Held(clock.Now(), request, parts)
}

// PartMayBeFatal reports whether requests with one of these parts in their prompts are not to be sent to another server
// after one has crashed, and otherwise whether they may not be as soon as the latest crash is known.
func (c *Controller) PartMayBeFatal(parts []poison.Part) (mayBeFatal, isSuspected bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := clock.Now()
	return c.table.MayBeFatal(now, parts), c.table.IsSuspected(now, parts)
}

// Crashes returns the number of crashes during which a request was running.
func (c *Controller) Crashes(request poison.Fingerprint) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.table.Crashes(request)
}

// RecordSuccess records that a server completed a request and is alive. That clears the request, and the
// parts of its prompt.
func (c *Controller) RecordSuccess(service string, request poison.Fingerprint, parts ...poison.Part) {
	r := poison.Report{Runs: []poison.Run{{Request: request, Service: service}}}
	for _, p := range parts {
		r.Runs = append(r.Runs, poison.Run{Request: p.Own, Service: service}, poison.Run{Request: p.Shared, Service: service})
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.recordParts(service, parts)
	c.table.RecordServed(service)
	c.applyLocked(r, origin{name: "a good run", local: true})
}

// recordPartSuccess records a successful run for the parts of its prompt, which may be at crashes soon.
func (c *Controller) recordPartSuccess(service string, parts []poison.Part) {
	if len(parts) == 0 {
		return // most requests have none and take no lock
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.recordParts(service, parts)
}

// recordParts is recordPartSuccess for a caller that holds c.mu.
func (c *Controller) recordParts(service string, parts []poison.Part) {
	if len(parts) > 0 {
		c.successes.Record(clock.Now(), service, parts)
	}
}

// List returns the verdicts in force.
func (c *Controller) List() []poison.Verdict {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.table.Verdicts(clock.Now())
}

// Lift voids the verdict on a request on behalf of an operator.
func (c *Controller) Lift(request poison.Fingerprint, operator string) error {
	c.mu.Lock()
	v, quarantined := c.table.Quarantined(clock.Now(), request)
	c.mu.Unlock()
	if !quarantined {
		return result.New(result.UnknownObject, "no verdict holds on %s", request)
	}
	c.apply(poison.Report{Lifts: []poison.Lift{{Request: request, Number: v.Number}}}, origin{name: "operator " + operator, local: true})
	return nil
}

// Stats returns the counts, and the numbers of suspected and of quarantined requests.
func (c *Controller) Stats() (counts Counts, suspects, quarantined int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	counts = c.counts
	counts.Forgotten = c.table.Forgotten()
	return counts, c.table.Suspects(), len(c.table.Verdicts(clock.Now()))
}

// origin is where a report comes from.
type origin struct {
	name string
	// local is set if this router made the observation: it alone then sends it to the others
	// and updates the store, unless stored is set. reached is set if it has reached a verdict by what others observed:
	// it updates the store if none of these does.
	local, stored, reached bool
}

// apply applies a report to the table, and propagates what is new if this router observed it. To crashes it
// adds which parts of prompts have succeeded here just before.
func (c *Controller) apply(r poison.Report, from origin) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.applyLocked(r, from)
	var priors []poison.Prior
	for _, e := range r.Crashes {
		priors = append(priors, c.successes.At(clock.Now(), e)...)
		if from.local {
			c.table.RecordBroken(e.Service, len(e.Requests))
		}
	}
	if len(priors) > 0 {
		c.applyLocked(poison.Report{Priors: priors}, origin{name: "successful runs before a crash", local: true})
	}
}

// applyLocked is apply without that addition. The caller holds c.mu.
func (c *Controller) applyLocked(r poison.Report, from origin) {
	now := clock.Now()
	c.dropKept(r.Kept)
	before := c.quarantinedIn(now, r)
	added, reached := c.table.Apply(now, r)
	c.watching.Store(!c.table.IsEmpty())
	c.counts.Verdicts += int64(len(reached))
	added.Verdicts = append(added.Verdicts, reached...)
	for _, v := range added.Verdicts {
		c.recordQuarantined(now, v, from)
	}
	for _, f := range before {
		if _, still := c.table.Quarantined(now, f); !still {
			c.recordLifted(f, from)
		}
	}
	if len(added.Crashes) > 0 {
		c.observed = c.observed || from.local
		c.scheduleSettle()
		c.scheduleEvidence(from.local)
	}
	if len(added.Stored) > 0 {
		c.paceEvidence()
	}
	c.propagate(added, from)
}

// propagate sends a report to the other routers if this router made the observation, and otherwise keeps it for
// those that ask.
func (c *Controller) propagate(r poison.Report, from origin) {
	switch {
	case r.IsEmpty():
	case from.local:
		c.spread.Send(r)
	default:
		c.spread.Record(r)
	}
}

// scheduleSettle has the parts of prompts evaluated when the routers have reported the latest crash. The caller holds
// c.mu.
func (c *Controller) scheduleSettle() {
	if !c.settling {
		c.settling = true
		time.AfterFunc(poison.SettleTime, c.settle)
	}
}

// settle evaluates the parts of prompts that were at crashes, and propagates new verdicts if this router observed
// one of these.
func (c *Controller) settle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.settling = false
	now := clock.Now()
	reached, pending := c.table.Settle(now)
	from := origin{name: "crashes reported by routers", local: c.observed, reached: true}
	c.counts.Verdicts += int64(len(reached))
	for _, v := range reached {
		c.recordQuarantined(now, v, from)
	}
	c.propagate(poison.Report{Verdicts: reached}, from)
	c.logEvidence(now)
	if pending {
		c.scheduleSettle()
		return
	}
	c.observed = false
}

// logEvidence logs, at most once in evidenceLogInterval, what is known of the part with the most crashes that is not
// held back. The caller holds c.mu.
func (c *Controller) logEvidence(now time.Time) {
	if now.Sub(c.evidenceLogged) < evidenceLogInterval {
		return
	}
	part, e := c.table.LeadingPart(now)
	if part == "" {
		return
	}
	c.evidenceLogged = now
	c.Log.Info("part suspected", zap.String("part", part), zap.Float64("evidence", e.Weight), zap.Float64("needed", e.Needed), zap.Float64("contrast", e.Contrast), zap.Float64("coverage", e.Coverage), zap.Int("crashes", e.Crashes), zap.Int("repeated", e.Repeated),
		zap.Int("down", e.Down), zap.Int("close", e.Close), zap.Int("explained", e.Explained), zap.Int64("forgotten", c.table.Forgotten()))
}

// quarantinedIn returns the quarantined requests that a report may release.
func (c *Controller) quarantinedIn(now time.Time, r poison.Report) (quarantined []poison.Fingerprint) {
	add := func(f poison.Fingerprint) {
		if _, ok := c.table.Quarantined(now, f); ok {
			quarantined = append(quarantined, f)
		}
	}
	for _, l := range r.Lifts {
		add(l.Request)
	}
	for _, run := range r.Runs {
		add(run.Request)
	}
	return quarantined
}

// recordQuarantined logs a verdict with its evidence and schedules the store write.
func (c *Controller) recordQuarantined(now time.Time, v poison.Verdict, from origin) {
	c.Log.Warn("request held back", zap.Stringer("fingerprint", v.Request), zap.String("part", v.Part), zap.Stringers("also", v.Also), zap.Int("number", v.Number), zap.String("service", v.Service),
		zap.Strings("servers", v.Servers), zap.Duration("held_for_ms", v.Remaining), zap.String("source", from.name))
	switch {
	case from.stored || !from.local && !from.reached:
	case from.local:
		c.enqueueWrite(v.Request, pendingWrite{verdict: v, until: now.Add(v.Remaining)})
	case !c.relaysSendReports():
		c.enqueueWrite(v.Request, pendingWrite{verdict: v, until: now.Add(v.Remaining), notBefore: now.Add(writeDelay + rand.N(writeJitter))})
	}
}

// recordLifted logs that a verdict is void and schedules its deletion from the store.
func (c *Controller) recordLifted(request poison.Fingerprint, from origin) {
	c.counts.Lifted++
	c.Log.Warn("request no longer held back", zap.Stringer("fingerprint", request), zap.String("source", from.name))
	if from.local {
		c.enqueueWrite(request, pendingWrite{lifted: true})
		c.voidEvidence()
	}
}
