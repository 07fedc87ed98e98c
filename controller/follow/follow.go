// Package follow follows one kind of objects in the store: it lists them, watches for changes, and
// lists them again after changes were missed.
package follow

import (
	"context"
	"errors"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/gaplink/gaplink/bound"
	"github.com/gaplink/gaplink/clock"
	"github.com/gaplink/gaplink/store"
	"github.com/gaplink/gaplink/wait"
	"github.com/gaplink/gaplink/wakeups"
)

const (
	// retryPause is the pause after a failed call. After fastRetries consecutive failures it is
	// outagePause with a jitter of half of it either way: in a long outage it is enough that one
	// router of a fleet soon finds the store reachable again.
	retryPause  = 250 * time.Millisecond
	outagePause = time.Second
	fastRetries = 4
	// maxBatchPause is the longest pause after a watch that returned changes. A release changes
	// objects many times a second, and the pause batches them into one call.
	maxBatchPause = 150 * time.Millisecond
	// maxBatch is the maximum number of changes to collect for one call: well below the store's
	// limit for one answer, so that a watch keeps up with any number of writers.
	maxBatch = 300
	// freshSlack is how long beyond the duration of a watch the store's last answer counts as
	// current: the time of a slow answer and of a pause.
	freshSlack = 600 * time.Millisecond
	// minStartSpread is the minimum time over which starting routers spread their first calls,
	// and startSpreadPerRouter the time for each router of the fleet: most routers receive updates
	// from others before their first call.
	minStartSpread       = 1200 * time.Millisecond
	startSpreadPerRouter = 10 * time.Millisecond
	// pollInterval is how often a follower checks its role, and whether the store has answered.
	pollInterval = 100 * time.Millisecond
	// pollTimeout is the duration of a watch that only returns the changes so far.
	pollTimeout = time.Millisecond
)

// Role is the role of a follower towards the store.
type Role int

// The roles.
const (
	// Idle makes no calls: other routers update this one.
	Idle Role = iota
	// Fallback queries the store, since no other router updates this one.
	Fallback
	// Watcher watches the store, for other routers too in a large fleet.
	Watcher
)

// Handler handles the objects that a follower receives. Its methods are called sequentially.
type Handler interface {
	// Listed applies a list of all objects at a revision of the store.
	Listed(objects []store.Object, revision int64)
	// Changed applies changed objects, oldest first.
	Changed(objects []store.Object)
	// Advanced reports that all changes up to a revision of the store were received.
	Advanced(revision int64)
	// StoreLost reports that the store does not answer or that there is no source of updates, and
	// StoreRestored that the store answers again.
	StoreLost()
	StoreRestored()
}

// Options configure a follower.
type Options struct {
	Store store.Store
	// Prefix is the kind of objects to follow.
	Prefix  string
	Handler Handler
	// Role returns the current role of the follower.
	Role func() Role
	// RoleChanged returns a channel that is closed when the role is no longer Idle; if nil, the
	// role is polled.
	RoleChanged func() <-chan struct{}
	// Bound returns the division of the operator's bound on a change of the kind.
	Bound func() bound.Parts
	// ReceivedRevision returns the store revision up to which other routers have sent all changes
	// of the kind; nil if they send none.
	ReceivedRevision func() int64
	// Answered returns when the store last answered any call of this process, or of another
	// router that waits for updates from this one.
	Answered func() time.Time
	// Fleet returns the number of routers; if nil, the fleet is small.
	Fleet func() int
	// IsRelay reports whether this router updates others. As a fallback watcher, a relay makes full
	// calls as soon as a probe is answered; another router waits for updates first.
	IsRelay func() bool
	// Probe makes the cheapest call of the store. It precedes the full calls of a follower whose
	// last call failed, and of a fallback watcher without a current answer of the store unless
	// ProbedElsewhere is set.
	Probe func(context.Context) error
	// AnsweredElsewhere reports whether the store answers another router.
	AnsweredElsewhere func() bool
	// ProbedElsewhere reports whether the store answers the follower that probes it on behalf of
	// this one while both are fallback watchers; if nil, this follower probes the store itself.
	ProbedElsewhere func() bool
	Log             *zap.Logger
}

// Follower follows one kind of objects.
type Follower struct {
	Options

	nextCallAt       time.Time // when a fallback watcher calls the store next; zero if not scheduled
	scheduledAt      time.Time // when that call was scheduled
	attempts         int       // consecutive attempts of a fallback watcher
	failures         int       // consecutive
	noSourceReported bool      // reported to the handler: there is no source of updates
	relist           bool      // changes were missed

	mu       sync.Mutex
	revision int64 // of the store; 0 if it has not answered
	lost     bool
	lostAt   time.Time
	// interrupt cancels the call in progress; nil if there is none.
	interrupt  context.CancelCauseFunc
	answeredAt time.Time // when the store last answered
	asOf       time.Time // see AsOf
}

// New returns a follower, which makes no calls while its role is Idle.
func New(o Options) *Follower {
	o.Log = o.Log.With(zap.String("kind", o.Prefix))
	return &Follower{Options: o}
}

// Run follows until the context ends.
func (f *Follower) Run(ctx context.Context) {
	for ctx.Err() == nil {
		wakeups.Count(wakeups.Follow)
		changed := f.roleChanged()
		role := f.Role()
		if role == Idle {
			f.reset()
			f.noteSource(role)
			f.waitForRole(ctx, changed)
			continue
		}
		if role == Fallback && !f.isDue(clock.Now()) {
			f.noteSource(role)
			_ = wait.For(ctx, pollInterval)
			continue
		}
		f.nextCallAt = time.Time{}
		if err := f.try(ctx, role); err != nil && ctx.Err() == nil {
			f.noteFailure(err)
			f.waitUntilAnswered(ctx, f.pause(role))
		}
	}
}

// roleChanged returns a channel that is closed when the role changes, or nil if the role must be
// polled.
func (f *Follower) roleChanged() <-chan struct{} {
	if f.RoleChanged == nil {
		return nil
	}
	return f.RoleChanged()
}

// waitForRole waits until the role may have changed.
func (f *Follower) waitForRole(ctx context.Context, changed <-chan struct{}) {
	if changed == nil {
		_ = wait.For(ctx, pollInterval)
		return
	}
	select {
	case <-changed:
	case <-ctx.Done():
	}
}

// try makes one call. It probes the store first after a failed call, and as a fallback watcher
// without a current answer of the store unless another follower probes it on behalf of this one.
func (f *Follower) try(ctx context.Context, role Role) error {
	if f.StoreLost() || role == Fallback && !f.StoreFresh() && f.ProbedElsewhere == nil {
		if err := f.probe(ctx); err != nil {
			return err
		}
		if role == Fallback && f.yield(ctx) {
			return nil
		}
	}
	return f.call(ctx)
}

// pause returns the time until the next attempt after a failed one. The next attempt of a fallback
// watcher is scheduled by isDue. The first failure may be a stalled watch, which is retried at once.
func (f *Follower) pause(role Role) time.Duration {
	f.failures++
	if role == Fallback && f.ProbedElsewhere != nil {
		return retryPause // not scheduled by isDue
	}
	if role == Fallback || f.failures == 1 {
		return 0
	}
	if f.failures <= fastRetries || f.AnsweredElsewhere() {
		return retryPause
	}
	return jitteredOutagePause()
}

// reset clears the state of the store's availability, which is unknown while other routers send
// updates.
func (f *Follower) reset() {
	f.nextCallAt = time.Time{}
	f.attempts = 0
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lost = false
	f.answeredAt = time.Time{}
}

// errResumed cancels a call that was in progress while the machine was suspended.
var errResumed = errors.New("the machine was suspended")

// Resumed handles the end of a suspension of the machine. The store counts as lost and is called at
// once: the watch in progress would continue until its timeout, or stall if the store has closed
// the connection.
func (f *Follower) Resumed() {
	f.noteFailure(errResumed)
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.interrupt != nil {
		f.interrupt(errResumed)
	}
}

// interruptible returns a context that Resumed cancels, and a function that releases it.
func (f *Follower) interruptible(ctx context.Context) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.interrupt = cancel
	return ctx, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.interrupt = nil
		cancel(nil)
	}
}

// call makes one full call, a list or a watch.
func (f *Follower) call(ctx context.Context) error {
	ctx, end := f.interruptible(ctx)
	defer end()
	since := f.knownRevision()
	if since == 0 {
		return f.list(ctx)
	}
	waits := f.Bound().Watch
	if !f.StoreFresh() {
		waits = pollTimeout
	}
	ev, err := f.Store.Watch(ctx, f.Prefix, since, waits)
	if err != nil {
		return err
	}
	if ev.Gap {
		f.Log.Info("changes since the last revision cannot be read from the store; listing all objects", zap.Int64("revision", since))
		f.relist = true
		return nil
	}
	f.noteAnswer()
	asOf, revision := clock.Now(), max(since, ev.Revision)
	if len(ev.Objects) > 0 && !f.isBehind(revision) {
		f.Handler.Changed(ev.Objects)
	}
	f.Handler.Advanced(revision)
	f.advance(revision, asOf)
	if len(ev.Objects) > 0 {
		_ = wait.For(ctx, batchPause(len(ev.Objects)))
	}
	return nil
}

// batchPause returns the pause after an answer with so many changes, which is shorter the more
// changes it holds. At a steady rate of writes an answer then holds fewer than maxBatch.
func batchPause(changes int) time.Duration {
	room := max(maxBatch-changes, 0)
	return maxBatchPause * time.Duration(room) / maxBatch
}

// knownRevision returns the revision up to which this router has received all changes, from the
// store or from other routers; 0 if a list is required.
func (f *Follower) knownRevision() int64 {
	if f.relist {
		return 0
	}
	since := f.Revision()
	if f.ReceivedRevision != nil {
		since = max(since, f.ReceivedRevision())
	}
	return since
}

// isBehind reports whether other routers have sent all changes up to a later revision. An older answer may then hold
// objects that are known to be deleted only by their absence.
func (f *Follower) isBehind(revision int64) bool {
	return f.ReceivedRevision != nil && f.ReceivedRevision() > revision
}

func (f *Follower) list(ctx context.Context) error {
	begun := clock.Now()
	objects, revision, err := f.Store.List(ctx, f.Prefix)
	if err != nil {
		return err
	}
	f.relist = false
	f.noteAnswer()
	f.Handler.Listed(objects, revision)
	f.Handler.Advanced(revision)
	f.advance(revision, begun)
	return nil
}

func (f *Follower) noteFailure(err error) {
	f.mu.Lock()
	first := !f.lost
	if first {
		f.lost = true
		f.lostAt = clock.Now()
	}
	revision := f.revision
	f.mu.Unlock()
	if first {
		f.Log.Warn("store lost", zap.Error(err), zap.Int64("revision", revision))
		f.Handler.StoreLost()
	}
}

// noteAnswer records that the store has answered.
func (f *Follower) noteAnswer() {
	f.failures, f.attempts = 0, 0
	f.mu.Lock()
	wasLost, since := f.lost, f.lostAt
	f.lost = false
	f.answeredAt = clock.Now()
	f.mu.Unlock()
	if f.noSourceReported && !wasLost {
		f.Handler.StoreRestored()
	}
	f.noSourceReported = false
	if wasLost {
		f.Log.Info("store reachable again", zap.Duration("after_ms", clock.Since(since)), zap.Int64("revision", f.Revision()))
		f.Handler.StoreRestored()
	}
}

// advance records that the handler has received all changes up to a revision, which was current in
// the store at a time.
func (f *Follower) advance(revision int64, asOf time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.asOf = asOf
	f.revision = revision
}

// Revision returns the store revision up to which all changes are known.
func (f *Follower) Revision() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.revision
}

// AsOf returns the time up to which the store has sent this router all changes; zero if it has sent
// none.
func (f *Follower) AsOf() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.asOf
}

// StoreLost reports whether the last call failed.
func (f *Follower) StoreLost() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lost
}

// StoreFresh reports whether the store's last answer is current.
func (f *Follower) StoreFresh() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.lost && clock.Since(f.answeredAt) < f.Bound().Watch+freshSlack
}
