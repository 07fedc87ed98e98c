// Package registry tracks backend servers from their registrations in the store,
// from updates of other routers, and from the outcomes of the router's own
// requests.
package registry

import (
	"context"
	"maps"
	"math/rand/v2"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/gaplink/gaplink/changelog"
	"github.com/gaplink/gaplink/clock"
	"github.com/gaplink/gaplink/guard"
	"github.com/gaplink/gaplink/logs"
	"github.com/gaplink/gaplink/placement"
	"github.com/gaplink/gaplink/store"
	"github.com/gaplink/gaplink/upstream"
	"github.com/gaplink/gaplink/wakeups"
)

const (
	// deletionTTL is how long a deletion is remembered, so that an update of a stale
	// router does not bring the registration back. Such routers lag by seconds.
	deletionTTL = 10 * time.Minute
	// tickInterval is the interval between checks of missing and ejected servers.
	tickInterval = 250 * time.Millisecond
	// probeInterval is the interval between probes of an ejected server, and
	// probeTimeout bounds each connection attempt.
	probeInterval = 500 * time.Millisecond
	probeTimeout  = 250 * time.Millisecond
	// reportTTL is how long what a process has announced in its responses is kept while the
	// process is not registered, and reportCheckInterval the interval between scans for expired
	// reports. A registration that lapsed returns when the store is reachable again.
	reportTTL           = 10 * time.Minute
	reportCheckInterval = 10 * time.Second
)

// Decode decodes a registration.
type Decode func(id string, value []byte) (placement.Server, error)

// tombstone records the deletion of a registration.
type tombstone struct {
	// version is the last known version of the registration.
	version int64
	at      time.Time
}

// Controller tracks the backend servers. It is safe for concurrent use. It
// implements follow.Handler.
type Controller struct {
	decode Decode
	pool   *upstream.Pool
	log    *zap.Logger

	mu           sync.Mutex
	servers      *placement.Servers
	rng          *rand.Rand
	missing      map[string]time.Time // until when each server without registration is kept
	restoredAt   time.Time            // when the connection to the store was last restored
	lapseChecked bool                 // whether the lapse check has been done since then
	lapsed       bool                 // whether registrations lapsed in the last outage
	listed       bool
	probedAt     map[string]time.Time
	// silenceChecks are the checks of servers that do not respond. healthPath is nil if none are made.
	silenceChecks map[placement.Incarnation]silenceCheck
	healthPath    func(service string) string
	attempts      Attempts
	// entries are the registrations by key, and tombstones the versions up to
	// which registrations are known to be deleted.
	entries    map[string]entry
	tombstones map[string]tombstone
	changes    changelog.Log[entry]
	// predicts is set if servers are chosen by predicted times for routes with objectives.
	predicts   bool
	unreadable unreadable
	// warmups are the limits of cold servers, by service.
	warmups map[string]Warmup
	// limits is nil if no rate is limited.
	limits    Limits
	lender    Lender
	evacuated []string
	lines     lineLimiter
	departing departing
	// unknownFields finds fields of registrations that the decoder does not know.
	unknownFields unknownFields
	// backoffLines limits the log lines about servers that ask for a backoff.
	backoffLines logs.RateLimit
	// speedLoggedAt is when the last log line about the speed of servers was written.
	speedLoggedAt time.Time
}

// New returns a controller without servers.
func New(decode Decode, pool *upstream.Pool, rng *rand.Rand, log *zap.Logger) *Controller {
	servers := placement.New()
	servers.SetOrder(rand.Uint64())
	return &Controller{
		decode:   decode,
		pool:     pool,
		log:      log,
		servers:  servers,
		rng:      rng,
		missing:  map[string]time.Time{},
		probedAt: map[string]time.Time{},

		silenceChecks: map[placement.Incarnation]silenceCheck{},

		entries:    map[string]entry{},
		tombstones: map[string]tombstone{},
	}
}

// Run calls Tick periodically until the context ends.
func (c *Controller) Run(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			wakeups.Count(wakeups.Tick)
			c.Tick(ctx, clock.Now())
		case <-ctx.Done():
			return
		}
	}
}

// Tick removes missing servers and probes ejected ones. Callers that don't use Run call it a
// few times per second.
func (c *Controller) Tick(ctx context.Context, now time.Time) {
	c.mu.Lock()
	c.removeMissing(now)
	maps.DeleteFunc(c.tombstones, func(_ string, d tombstone) bool { return now.Sub(d.at) > deletionTTL })
	due := c.probesDue(now)
	maps.DeleteFunc(c.silenceChecks, func(in placement.Incarnation, _ silenceCheck) bool { return !c.servers.IsRegistered(in) })
	unheard := c.silenceChecksDue(now)
	c.logSpeedChanges(now)
	c.checkReports(now)
	c.mu.Unlock()
	for _, s := range due {
		go c.probe(ctx, s)
	}
	for _, s := range unheard {
		go c.checkSilence(ctx, s)
	}
	c.pool.Sweep(now, c.keepsConnections)
}

// keepsConnections reports whether connections to a server process should stay open.
func (c *Controller) keepsConnections(in placement.Incarnation) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.servers.IsRegistered(in)
}

func (c *Controller) probesDue(now time.Time) []placement.Server {
	var due []placement.Server
	for _, s := range c.servers.Ejected() {
		if now.Sub(c.probedAt[s.ID]) >= probeInterval {
			c.probedAt[s.ID] = now
			due = append(due, s)
		}
	}
	return due
}

// probe tries to connect to an ejected server and restores it on success.
func (c *Controller) probe(ctx context.Context, s placement.Server) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	if err := c.pool.Probe(ctx, s); err != nil {
		return // it stays ejected; the next probe follows after probeInterval
	}
	c.mu.Lock()
	c.servers.Restored(s.Incarnation())
	delete(c.probedAt, s.ID)
	c.mu.Unlock()
	c.log.Info("server restored", zap.String("server", s.ID), zap.String("service", s.Service))
}

// decodeEntry decodes a registration. A panic of the decoder is returned as an error.
func (c *Controller) decodeEntry(o changelog.Received) (placement.Server, error) {
	return guard.Call(func() (placement.Server, error) { return c.decode(store.NameOf(o.Key), o.Value) })
}

// Listed implements follow.Handler.
func (c *Controller) Listed(objects []store.Object, revision int64) {
	c.ApplyList(changelog.JustReceived(objects), revision)
}

// ApplyList applies a list of all registrations from the store or from another router, with their
// ages. It ignores a list older than the known revision. Registrations of later versions stay unchanged.
func (c *Controller) ApplyList(objects []changelog.Received, revision int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isBehind(revision) {
		return
	}
	present := make(map[string]changelog.Received, len(objects))
	for _, o := range objects {
		present[o.Key] = o
	}
	if c.lapseCheckDue() {
		c.checkLapse(c.lostInList(present))
		c.lapseChecked = true
	}
	for _, o := range objects {
		if !c.isOutdated(o.Object) {
			c.apply(o)
		}
	}
	for key, known := range c.entries {
		if _, listed := present[key]; listed || known.Version > revision {
			continue
		}
		c.markDeleted(store.Object{Key: key}, revision)
		c.handleMissing(store.NameOf(key))
	}
	if c.listed {
		c.advance(revision)
	} else {
		c.changes.Reset(revision)
		c.listed = true
	}
	c.logSuppressed()
}

// markDeleted removes a deleted registration and remembers its last version, so that updates of
// stale routers up to that version are ignored. absentAt is the revision of a list that lacks
// the registration, or 0 for an explicit deletion; other readers of that list may know a later
// version than this router.
func (c *Controller) markDeleted(o store.Object, absentAt int64) {
	known, had := c.entries[o.Key]
	last := max(c.tombstones[o.Key].version, o.Version, known.Version)
	c.tombstones[o.Key] = tombstone{version: last, at: clock.Now()}
	if had {
		delete(c.entries, o.Key)
		c.changes.Add(o.Key, entry{Object: store.Object{Key: o.Key, Version: max(last, absentAt), Deleted: true}, receivedAt: clock.Now()})
	}
}

// isOutdated reports whether a registration or its deletion is older than the local
// state.
func (c *Controller) isOutdated(o store.Object) bool {
	if o.Deleted {
		return o.Version > 0 && o.Version < c.entries[o.Key].Version
	}
	return o.Version < c.entries[o.Key].Version || o.Version <= c.tombstones[o.Key].version
}

// Changed implements follow.Handler.
func (c *Controller) Changed(objects []store.Object) { c.ApplyChanges(changelog.JustReceived(objects)) }

// ApplyUpdate applies all changes up to a revision from another router. It ignores changes up to one that is older than
// the known revision.
func (c *Controller) ApplyUpdate(objects []changelog.Received, revision int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isBehind(revision) {
		return
	}
	c.applyChanges(objects)
	c.advance(revision)
}

// isBehind reports whether all changes up to a later revision are known. What is older may then hold registrations whose
// deletion is known only by their absence. The caller holds the lock.
func (c *Controller) isBehind(revision int64) bool {
	return c.listed && revision < c.changes.Revision()
}

// ApplyChanges applies changes from the store or from another router, with their ages.
func (c *Controller) ApplyChanges(objects []changelog.Received) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.applyChanges(objects)
}

// applyChanges is ApplyChanges for a caller that holds the lock.
func (c *Controller) applyChanges(objects []changelog.Received) {
	if c.lapseCheckDue() {
		c.checkLapse(deletedKeys(objects))
	}
	for _, o := range objects {
		if c.isOutdated(o.Object) {
			continue // from a router that is behind
		}
		if o.Deleted {
			c.markDeleted(o.Object, 0)
			c.handleMissing(store.NameOf(o.Key))
			continue
		}
		c.apply(o)
	}
	c.logSuppressed()
}

// StoreLost implements follow.Handler. Known servers stay in use.
func (c *Controller) StoreLost() {}

// apply applies a registration. A registration that cannot be decoded removes the server that
// it replaces, until that server registers again.
func (c *Controller) apply(o changelog.Received) {
	id := store.NameOf(o.Key)
	known, had := c.entries[o.Key]
	if had && o.Version == known.Version && c.servers.Has(id) {
		delete(c.missing, id)
		return // this version is already applied
	}
	next := entry{Object: o.Object, receivedAt: clock.Now().Add(-o.Age)}
	s, err := c.decodeEntry(o)
	next.server, next.readable = s, err == nil
	renewed := o.Version != known.Version
	c.entries[o.Key] = next
	delete(c.missing, id)
	if renewed && (!had || !next.sameState(known)) {
		c.changes.Add(o.Key, next)
	}
	if err != nil {
		c.servers.Remove(id)
		if renewed {
			c.unreadable.record(c.log, clock.Now(), o.Object, err)
		}
		return
	}
	c.unknownFields.check(c.log, clock.Now(), o.Object)
	c.logRegistered(s, o.Version)
	c.servers.Put(s)
	if renewed && c.recordCold(s, next.receivedAt) && had && next.sameState(known) {
		c.changes.Add(o.Key, next)
	}
}

// Unreadable returns the number of registrations so far that could not be decoded.
func (c *Controller) Unreadable() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.unreadable.count
}

// Ready reports whether a list of the servers has been read.
func (c *Controller) Ready() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.listed
}

// Pick chooses a server and counts the request as in flight there.
func (c *Controller) Pick(q placement.Query) (placement.Server, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	q.Now = clock.Now()
	q.MayAdmit = func(s placement.Server, cold bool) bool { return c.allowedByRate(q, s, cold) }
	if !c.predicts {
		q.EventObjective = 0
	}
	s, ok := c.servers.Pick(c.rng, q)
	if ok {
		c.servers.Sent(s.Incarnation(), q.Tokens)
	}
	return s, ok
}

// AcceptsRequests reports whether a server process runs and is not leaving.
func (c *Controller) AcceptsRequests(in placement.Incarnation) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.servers.AcceptsRequests(in)
}

// RecordPromptRead records that a server has processed the prompt of a request, or will no
// longer process it.
func (c *Controller) RecordPromptRead(in placement.Incarnation, tokens int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.servers.RecordPromptRead(in, tokens)
}

// CancelPick undoes Pick for a request that was not sent.
func (c *Controller) CancelPick(in placement.Incarnation, tokens int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.servers.RecordPromptRead(in, tokens)
	c.servers.RecordOutcome(in, placement.Neutral)
}

// RecordEventInterval records the time between two events of a stream.
func (c *Controller) RecordEventInterval(in placement.Incarnation, gap time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.servers.RecordEventInterval(clock.Now(), in, gap)
}

// OwnLoad returns the load that this router causes at servers.
func (c *Controller) OwnLoad() []placement.ServerLoad {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.servers.OwnLoad(clock.Now())
}

// SetFleetLoad replaces the load that other routers cause at servers.
func (c *Controller) SetFleetLoad(loads []placement.ServerLoad) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.servers.SetFleetLoad(loads)
}

// RecordOutcome records the outcome of a request to a server process.
func (c *Controller) RecordOutcome(in placement.Incarnation, outcome placement.Outcome) {
	c.mu.Lock()
	was := c.servers.IsEjected(in)
	down := c.servers.RecordOutcome(in, outcome)
	c.mu.Unlock()
	if down && !was {
		c.log.Warn("server ejected", zap.String("server", in.ID), zap.Int64("started", in.Started))
	}
}

// Crashed records that a server process was found to be gone. A probe restores it if that was wrong.
func (c *Controller) Crashed(in placement.Incarnation) {
	c.mu.Lock()
	ejected := c.servers.Crashed(in)
	attempts := c.attempts
	c.mu.Unlock()
	if attempts != nil {
		attempts.Gone(in)
	}
	if ejected {
		c.log.Warn("server ejected", zap.String("server", in.ID), zap.Int64("started", in.Started), zap.String("reason", "its process is gone"))
	}
}

// RandomInt returns a random number in [0, n); n must be positive.
func (c *Controller) RandomInt(n int) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.rng.IntN(n)
}

// Counts returns the number of servers by service and state.
func (c *Controller) Counts() map[string]placement.Count {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.servers.Counts(clock.Now())
}
