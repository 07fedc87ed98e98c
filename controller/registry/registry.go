// Package registry keeps the router's knowledge of backend servers up to date:
// from their registrations in the store, from other routers, and from how the
// router's own requests end.
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
	"github.com/gaplink/gaplink/placement"
	"github.com/gaplink/gaplink/store"
	"github.com/gaplink/gaplink/upstream"
	"github.com/gaplink/gaplink/wakeups"
)

const (
	// goneFor is how long a deletion is remembered against routers that tell of
	// the registration again; those are seconds behind.
	goneFor = 10 * time.Minute
	// tickEvery is how often missing and unreachable servers are looked at.
	tickEvery = 250 * time.Millisecond
	// probeEvery is how often a server that is down is tried, and probeTimeout
	// how long its connection may take.
	probeEvery   = 500 * time.Millisecond
	probeTimeout = 250 * time.Millisecond
)

// Decode reads a registration.
type Decode func(id string, value []byte) (placement.Server, error)

// deletion is the end of a registration.
type deletion struct {
	// version is the last one known of it.
	version int64
	at      time.Time
}

// Controller is safe for concurrent use. It implements follow.Handler.
type Controller struct {
	decode Decode
	pool   *upstream.Pool
	log    *zap.Logger

	mu       sync.Mutex
	servers  *placement.Servers
	rng      *rand.Rand
	missing  map[string]time.Time // until when the server is kept
	regained time.Time            // when what is known was current again
	judged   bool                 // whether registrations have lapsed before that
	lapsing  bool                 // they have
	listed   bool
	probedAt map[string]time.Time
	// entries are the registrations by key, as they lie in the store, and gone
	// the versions up to which registrations are known to be deleted.
	entries map[string]entry
	gone    map[string]deletion
	changes changelog.Log[entry]
	// slow are the servers that long prompts avoided at the last tick.
	slow       map[string]time.Duration
	unreadable unreadable
	// warmups are what cold servers take, by service.
	warmups map[string]Warmup
	// limits is nil where no rate is enforced.
	limits    Limits
	evacuated []string
	notes     notes
}

// New returns a controller that knows no server.
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
		entries:  map[string]entry{},
		gone:     map[string]deletion{},
	}
}

// Run looks after missing and unreachable servers until the context ends.
func (c *Controller) Run(ctx context.Context) {
	ticker := time.NewTicker(tickEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			wakeups.Note(wakeups.Beat)
			c.Tick(ctx, clock.Now())
		case <-ctx.Done():
			return
		}
	}
}

// Tick drops missing servers and probes ejected ones. Call it a few times a second, if Run does
// not.
func (c *Controller) Tick(ctx context.Context, now time.Time) {
	c.mu.Lock()
	c.dropMissing(now)
	maps.DeleteFunc(c.gone, func(_ string, d deletion) bool { return now.Sub(d.at) > goneFor })
	due := c.probesDue(now)
	c.notePaces()
	c.mu.Unlock()
	for _, s := range due {
		go c.probe(ctx, s)
	}
	c.pool.Sweep(now, c.keeps)
}

// keeps tells whether connections to a process are worth keeping.
func (c *Controller) keeps(in placement.Incarnation) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.servers.Runs(in)
}

// notePaces logs which servers long prompts avoid from now on, or do not any more.
func (c *Controller) notePaces() {
	slow := c.servers.Slow()
	for id, pace := range slow {
		if _, was := c.slow[id]; !was {
			c.log.Info("server slow; long prompts avoid it", zap.String("server", id), zap.Duration("pace_ms", pace))
		}
	}
	for id, pace := range c.slow {
		if _, still := slow[id]; !still && c.servers.Has(id) {
			c.log.Info("server not slow any more", zap.String("server", id), zap.Duration("pace_was_ms", pace))
		}
	}
	c.slow = slow
}

func (c *Controller) probesDue(now time.Time) []placement.Server {
	var due []placement.Server
	for _, s := range c.servers.Ejected() {
		if now.Sub(c.probedAt[s.ID]) >= probeEvery {
			c.probedAt[s.ID] = now
			due = append(due, s)
		}
	}
	return due
}

// probe tries to connect to a server that is down.
func (c *Controller) probe(ctx context.Context, s placement.Server) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	if err := c.pool.Probe(ctx, s.Address, s.Incarnation()); err != nil {
		return // it stays down; the next probe is due in probeEvery
	}
	c.mu.Lock()
	c.servers.Restored(s.Incarnation())
	delete(c.probedAt, s.ID)
	c.mu.Unlock()
	c.log.Info("server restored", zap.String("server", s.ID), zap.String("service", s.Service))
}

// read reads a registration; one that makes its reader panic cannot be read.
func (c *Controller) read(o changelog.Received) (placement.Server, error) {
	return guard.Call(func() (placement.Server, error) { return c.decode(store.NameOf(o.Key), o.Value) })
}

// Listed implements follow.Handler. What has changed after the list's revision
// holds, whatever the list says: another router may tell a list that is older than
// what is known here.
func (c *Controller) Listed(objects []store.Object, revision int64) {
	c.TakeListed(changelog.Fresh(objects), revision)
}

// TakeListed takes all registrations as another router has heard them.
func (c *Controller) TakeListed(objects []changelog.Received, revision int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	present := make(map[string]changelog.Received, len(objects))
	for _, o := range objects {
		present[o.Key] = o
	}
	if c.judgesLapse() {
		c.judgeLapse(c.struckByList(present))
		c.judged = true
	}
	for _, o := range objects {
		if !c.outdated(o.Object) {
			c.put(o)
		}
	}
	for key, known := range c.entries {
		if _, listed := present[key]; listed || known.Version > revision {
			continue
		}
		c.forget(store.Object{Key: key}, revision)
		c.absent(store.NameOf(key))
	}
	if c.listed {
		c.advance(revision)
	} else {
		c.changes.Reset(revision)
		c.listed = true
	}
	c.endNotes()
}

// forget drops a registration that is gone. Another router may tell of it again later: what it
// knew up to that version is void. absentAt is the revision of a list that lacks it, whose
// readers may know a later version than this router; 0: it was deleted.
func (c *Controller) forget(o store.Object, absentAt int64) {
	known, had := c.entries[o.Key]
	last := max(c.gone[o.Key].version, o.Version, known.Version)
	c.gone[o.Key] = deletion{version: last, at: clock.Now()}
	if had {
		delete(c.entries, o.Key)
		c.changes.Add(o.Key, entry{Object: store.Object{Key: o.Key, Version: max(last, absentAt), Deleted: true}, heard: clock.Now()})
	}
}

// outdated tells whether a registration or its deletion is older than what is
// known here.
func (c *Controller) outdated(o store.Object) bool {
	if o.Deleted {
		return o.Version > 0 && o.Version < c.entries[o.Key].Version
	}
	return o.Version < c.entries[o.Key].Version || o.Version <= c.gone[o.Key].version
}

// Changed implements follow.Handler.
func (c *Controller) Changed(objects []store.Object) { c.TakeChanged(changelog.Fresh(objects)) }

// TakeUpdate takes all changes up to a revision as another router has heard them.
func (c *Controller) TakeUpdate(objects []changelog.Received, revision int64) {
	c.TakeChanged(objects)
	c.Advanced(revision)
}

// TakeChanged takes changes as another router has heard them.
func (c *Controller) TakeChanged(objects []changelog.Received) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.judgesLapse() {
		c.judgeLapse(struckByChanges(objects))
	}
	for _, o := range objects {
		if c.outdated(o.Object) {
			continue // from a router that knows less
		}
		if o.Deleted {
			c.forget(o.Object, 0)
			c.absent(store.NameOf(o.Key))
			continue
		}
		c.put(o)
	}
	c.endNotes()
}

// Lost implements follow.Handler. What is known stays in use.
func (c *Controller) Lost() {}

// put takes a registration. One that cannot be read names no server, whatever stood
// there before: its process is not used until it has registered anew.
func (c *Controller) put(o changelog.Received) {
	id := store.NameOf(o.Key)
	known, had := c.entries[o.Key]
	if had && o.Version == known.Version && c.servers.Has(id) {
		delete(c.missing, id)
		return // it says what is known
	}
	next := entry{Object: o.Object, heard: clock.Now().Add(-o.Age)}
	s, err := c.read(o)
	next.server, next.readable = s, err == nil
	renewed := o.Version != known.Version
	c.entries[o.Key] = next
	delete(c.missing, id)
	if renewed && (!had || !next.alike(known)) {
		c.changes.Add(o.Key, next)
	}
	if err != nil {
		c.servers.Remove(id)
		if renewed {
			c.unreadable.note(c.log, clock.Now(), o.Object, err)
		}
		return
	}
	c.note(s, o.Version)
	c.servers.Put(s)
	if renewed && c.noteCold(s, next.heard) && had && next.alike(known) {
		c.changes.Add(o.Key, next)
	}
}

// Unreadable returns how many registrations could not be read so far.
func (c *Controller) Unreadable() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.unreadable.count
}

// Ready tells whether the servers are known.
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
	q.Open = func(s placement.Server, cold bool) bool { return c.open(q, s, cold) }
	s, ok := c.servers.Pick(c.rng, q)
	if ok {
		c.servers.Sent(s.Incarnation(), q.Tokens)
	}
	return s, ok
}

// TakesWork tells whether a process runs and has not said that it leaves.
func (c *Controller) TakesWork(in placement.Incarnation) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.servers.TakesWork(in)
}

// Read tells that a server has read the prompt of a request, or will not any
// more.
func (c *Controller) Read(in placement.Incarnation, tokens int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.servers.Read(in, tokens)
}

// Released takes back the choice of a process for a request that was not sent.
func (c *Controller) Released(in placement.Incarnation, tokens int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.servers.Read(in, tokens)
	c.servers.Ended(in, placement.Neutral)
}

// Paced notes the time between two events of a stream.
func (c *Controller) Paced(in placement.Incarnation, gap time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.servers.Paced(in, gap)
}

// Ended counts the end of a request at a server.
func (c *Controller) Ended(in placement.Incarnation, outcome placement.Outcome) {
	c.mu.Lock()
	was := c.servers.IsEjected(in)
	down := c.servers.Ended(in, outcome)
	c.mu.Unlock()
	if down && !was {
		c.log.Warn("server ejected", zap.String("server", in.ID), zap.Int64("started", in.Started))
	}
}

// Replaced tells that another server answers at the address of this one.
func (c *Controller) Replaced(in placement.Incarnation) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.servers.Leave(in)
	c.log.Info("server replaced at its address", zap.String("server", in.ID), zap.Int64("started", in.Started))
}

// Draw returns a random number in [0, n); n must be positive.
func (c *Controller) Draw(n int) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.rng.IntN(n)
}

// Counts returns the servers by service and state.
func (c *Controller) Counts() map[string]placement.Count {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.servers.Counts()
}
