// Package origins lets every router find out which software version began a stream, also after the router
// that began it has failed.
//
// While servers of one software version serve, a router only remembers its own streams. While there are
// several, it records the origin of each stream at some other routers, chosen by the stream's key, before
// its caller receives the first event, and in a small fleet also in the store, some time later (bound.go). A
// router whose caller takes up a stream asks the routers that may keep its origin, and if none has it, reads the
// store. A stream whose origin is found nowhere goes on only if one version alone has served.
//
// Which versions have served is kept in the store, since no process may conclude from what it has not seen: it may have
// started only now, stood still, or been cut off (record.go).
//
// The decisions are in package origin.
package origins

import (
	"context"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/gaplink/gaplink/clock"
	"github.com/gaplink/gaplink/logs"
	"github.com/gaplink/gaplink/origin"
	"github.com/gaplink/gaplink/peer"
	"github.com/gaplink/gaplink/store"
)

const (
	// copies is the number of other routers at which an origin is recorded, so that one of them may fail
	// together with this router. In a fleet of up to smallFleet routers it is copiesSmall: most of these may fail at once.
	copies      = 2
	copiesSmall = 4
	smallFleet  = 8
	// maxKeepers is the number of routers that may keep an origin: those that are asked for it, and those
	// that are tried one after the other until there are enough copies. Routers agree on their order but
	// for the latest starts and stops. In a small fleet they are all.
	maxKeepers = 4
	// callTimeout bounds a call, and recordWait the time for which a first event waits until its origin
	// has been recorded elsewhere.
	callTimeout = 150 * time.Millisecond
	recordWait  = 50 * time.Millisecond
	// versionWait is how long a first event waits until the version of its server is on record in the store. Callers
	// give up a stream after a gap of two seconds or more.
	versionWait = 1500 * time.Millisecond
	// conflictWait is how long a router that has learned a stream's origin waits for others that may know of a
	// later attempt.
	conflictWait = 20 * time.Millisecond
	// logInterval is the minimum time between two log lines of a kind that may be many.
	logInterval = 5 * time.Second
)

// Fleet are the other routers.
type Fleet interface {
	// Keepers returns at most n other routers that may keep the origin of a stream, best first.
	Keepers(key origin.Key, n int) []string
	// Record and Find call a router.
	Record(ctx context.Context, id string, req *peer.OriginsRecord) error
	Find(ctx context.Context, id string, req *peer.OriginRequest) (*peer.OriginAnswer, error)
	// Size returns the known number of routers.
	Size() int
}

// Servers are the registered backend servers.
type Servers interface {
	// Services returns the services that have servers, and Versions the software versions of a service's.
	Services() []string
	Versions(service string) []string
}

// Options configures a Controller.
type Options struct {
	Servers Servers
	// Fleet may be nil: this router is then alone.
	Fleet Fleet
	// Self is the ID of this router. If it is empty, the origins of its streams are not kept in the store.
	Self string
	// Store keeps which versions have served, and in a small fleet the origins of streams.
	Store store.Store
	// FirstStart is set if the whole fleet starts for the first time: no version has served before.
	FirstStart bool
	// Current reports whether the registrations of servers are as new as the operator's bound demands; nil:
	// they always are.
	Current func() bool
	Log     *zap.Logger
}

// Counts are event counts since the start.
type Counts struct {
	// Recorded counts the origins that were recorded at another router before the first event, and
	// Unrecorded those that were not.
	Recorded, Unrecorded int64
	// Found counts the streams taken up whose origin was found, and Unknown those that had to be refused.
	Found, Unknown int64
	// Unlisted counts the first events that left before the version of their server was on record in the store.
	Unlisted int64
}

// Controller keeps the origins of streams. It is safe for concurrent use.
type Controller struct {
	Options
	started time.Time

	mu      sync.Mutex
	table   *origin.Table
	history *origin.History
	// several holds the services of which several versions have served recently.
	several map[string]bool
	// current is set unless the registrations were older than the bound when last observed.
	current bool
	counts  Counts
	// unrecordedLines, unlistedLines and malformedLines limit the log lines about origins that are not recorded in time,
	// versions that are not, and stored objects that cannot be read.
	unrecordedLines, unlistedLines, malformedLines logs.RateLimit

	record record
	bound  bound
}

// New returns a controller that knows no streams.
func New(o Options) *Controller {
	return &Controller{
		Options: o,
		started: clock.Now(),
		table:   origin.NewTable(clock.Now()),
		history: origin.NewHistory(),
		several: map[string]bool{},
		current: true,
		record:  newRecord(),
		bound:   newBound(),
	}
}

// Counts returns the event counts since the start, and the number of streams on record.
func (c *Controller) Counts() (counts Counts, streams int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.counts, c.table.Len()
}

// Tick observes the versions that serve, and brings the record of the store up to date. It is called a few times per
// second.
func (c *Controller) Tick() {
	c.watch()
	for _, service := range c.services() {
		c.observe(service)
	}
	c.syncIfDue()
	c.storeBoundIfDue()
}

// services returns the services that have servers, and those on record that had some.
func (c *Controller) services() []string {
	list := c.Servers.Services()
	c.mu.Lock()
	defer c.mu.Unlock()
	for service := range c.record.known.Versions {
		if !slices.Contains(list, service) {
			list = append(list, service)
		}
	}
	return list
}

// watch records that the versions are observed, by how new the registrations are.
func (c *Controller) watch() {
	current := c.isCurrent()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.current = current
	if !c.history.Watch(clock.Now(), current) {
		c.record.forget()
	}
}

// observe updates the history of a service's versions and reports whether several have served recently, or may have unseen.
// When a second one appears, or the registrations exceed the bound, the streams that this router has begun until then are
// recorded elsewhere.
func (c *Controller) observe(service string) (several bool) {
	versions := c.Servers.Versions(service)
	c.mu.Lock()
	defer c.mu.Unlock()
	now := clock.Now()
	c.record.observe(service, versions, c.history.Observe(now, service, versions))
	served := c.history.Served(service)
	several = len(served) > 1 || c.record.mayMiss() || !c.current
	if several && !c.several[service] {
		begun := c.bound.streams.Records(now, service)
		c.Log.Info("several software versions serve; recording the origins of streams", zap.String("service", service),
			zap.Strings("versions", served), zap.Bool("all_known", !c.record.mayMiss() && c.current), zap.Int("streams", len(begun)))
		go c.shareAll(begun)
	}
	if !several && c.several[service] {
		c.Log.Info("one software version serves again", zap.String("service", service), zap.Strings("versions", served))
	}
	c.several[service] = several
	return several
}

// Stream identifies a stream by its caller's account and the IDs of tries: of the one that brought its
// first event, and of the current one if that has taken the stream up.
type Stream struct {
	Account string
	Tries   []string
	// Split is set if the stream's route leads to several services: which of them began it has to be known, whatever
	// versions they have.
	Split bool
}

func (s Stream) records(v origin.Version, attempt int) []origin.Record {
	var list []origin.Record
	for _, id := range slices.Compact(slices.Clone(s.Tries)) {
		list = append(list, origin.Record{Key: origin.KeyOf(s.Account, id), Origin: v, Attempt: attempt})
	}
	return list
}

// Recording is the origin of an attempt of a stream, which binds the stream once it brings an event.
type Recording struct {
	c       *Controller
	stream  Stream
	version origin.Version
	attempt int
}

// Begin records the version at which an attempt of a stream is made, counted from 1. It must be called before the attempt,
// and Bind of what it returns before the first event goes to the caller. Other routers learn of the attempt only then: one
// that brings no event says nothing about the version of the stream, and not all of them might learn of the next one.
func (c *Controller) Begin(s Stream, v origin.Version, attempt int) *Recording {
	c.observe(v.Service)
	c.mu.Lock()
	for _, r := range s.records(v, attempt) {
		c.table.Record(clock.Now(), r)
	}
	listed := c.record.has(v)
	c.mu.Unlock()
	if !listed {
		c.requestSync()
	}
	return &Recording{c: c, stream: s, version: v, attempt: attempt}
}

// Bind records that an event of the attempt is about to go to the caller: the stream may go on at no other version from then
// on. It waits until the version is on record in the store, so that a process that starts later does not take another one
// for the only one that has served, and until another router has the origin, for a short time: a stream whose origin is
// known here alone can still go on while this router lives.
func (r *Recording) Bind(ctx context.Context) {
	if r == nil {
		return
	}
	confirmed := r.c.bind(r)
	r.c.awaitListed(ctx, r.version)
	if confirmed != nil {
		r.c.awaitRecorded(ctx, r.stream, confirmed)
	}
}

// bind records the stream as bound, and its origin at other routers if several versions serve. The channel that it returns
// is closed when another router has the origin; nil if it is not recorded elsewhere.
func (c *Controller) bind(r *Recording) (confirmed chan struct{}) {
	several := c.observe(r.version.Service)
	records := r.stream.records(r.version, r.attempt)
	c.mu.Lock()
	for _, record := range records {
		c.bound.add(record)
	}
	c.bound.split = r.stream.Split
	c.mu.Unlock()
	if !several && !r.stream.Split || c.Fleet == nil {
		return nil
	}
	return c.shareEach(records)
}

// awaitRecorded waits until another router has the origin of a stream, for recordWait at most.
func (c *Controller) awaitRecorded(ctx context.Context, s Stream, confirmed <-chan struct{}) {
	timer := time.NewTimer(recordWait)
	defer timer.Stop()
	recorded := false
	select {
	case <-confirmed:
		recorded = true
	case <-timer.C:
	case <-ctx.Done():
	}
	c.recorded(s, recorded)
}

// shareEach records the origins of a stream's tries at other routers. It returns a channel that is closed when one of them
// has one; nil if there are none.
func (c *Controller) shareEach(records []origin.Record) chan struct{} {
	confirmed := make(chan struct{})
	confirm := sync.OnceFunc(func() { close(confirmed) })
	shared := false
	for _, record := range records {
		shared = c.share(record, confirm) || shared
	}
	if !shared {
		return nil // this router is alone
	}
	return confirmed
}

func (c *Controller) recorded(s Stream, recorded bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if recorded {
		c.counts.Recorded++
		return
	}
	c.counts.Unrecorded++
	if leftOut, allowed := c.unrecordedLines.Allow(clock.Now(), logInterval); allowed {
		c.Log.Warn("no other router has the origin of a stream yet", zap.Strings("requests", s.Tries), zap.Int64("lines_left_out", leftOut))
	}
}

// End records that a stream has reached its end. It stays in the table, since its caller may not have received all of it.
func (c *Controller) End(s Stream) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, id := range s.Tries {
		c.bound.streams.Remove(origin.KeyOf(s.Account, id))
	}
}

// shareAll records the origins of many streams at other routers, one after the other.
func (c *Controller) shareAll(records []origin.Record) {
	for _, r := range records {
		done := make(chan struct{})
		c.share(r, sync.OnceFunc(func() { close(done) }))
		select {
		case <-done:
		case <-time.After(callTimeout):
		}
	}
}

// share records an origin at other routers, and returns false if there are none. It calls confirm for each that
// has it, from other goroutines.
func (c *Controller) share(r origin.Record, confirm func()) bool {
	if c.Fleet == nil {
		return false
	}
	keepers := c.keepers(r.Key)
	next := make(chan string, len(keepers))
	for _, id := range keepers {
		next <- id
	}
	close(next)
	for range min(c.copies(), len(keepers)) {
		go func() {
			for id := range next {
				ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
				err := c.Fleet.Record(ctx, id, &peer.OriginsRecord{Records: []origin.Record{r}})
				cancel()
				if err == nil {
					confirm()
					return
				}
				c.Log.Debug("cannot record the origin of a stream", zap.String("router", id), zap.Error(err))
			}
		}()
	}
	return len(keepers) > 0
}

// copies returns the number of other routers at which an origin is recorded.
func (c *Controller) copies() int {
	if c.routers() <= smallFleet {
		return copiesSmall
	}
	return copies
}

// keepers returns the routers that may keep the origin of a stream, best first.
func (c *Controller) keepers(key origin.Key) []string {
	if c.routers() <= smallFleet {
		return c.Fleet.Keepers(key, smallFleet)
	}
	return c.Fleet.Keepers(key, maxKeepers)
}

// OnRecord handles the origins that another router records here.
func (c *Controller) OnRecord(_ context.Context, req *peer.OriginsRecord) (*peer.Empty, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range req.Records {
		if !c.table.Record(clock.Now(), r) {
			c.Log.Warn("two software versions have begun a stream; it will not go on", zap.String("service", r.Origin.Service), zap.String("software", r.Origin.Name))
		}
	}
	return &peer.Empty{}, nil
}
