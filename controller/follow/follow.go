// Package follow follows one kind of objects in the store: it lists them, watches for changes, and
// lists them again where changes were missed.
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
	// retryPause is the pause after a failed call, and awayPause, more or less a half, after
	// hastyTries in a row: in a long outage it is enough that one router of a fleet soon
	// finds the store reachable again.
	retryPause = 250 * time.Millisecond
	awayPause  = time.Second
	hastyTries = 4
	// gatherPause is the longest pause after a watch that returned changes. A release changes
	// objects many times a second, and the pause gathers them for one call.
	gatherPause = 150 * time.Millisecond
	// gatherMost is how many changes a call may gather: well under what the store puts into one
	// answer, so that a watch catches up with any number of writers.
	gatherMost = 300
	// freshSlack is how long beyond the wait of a watch the last answer of the store counts as
	// current: the time of a slow answer and of a pause.
	freshSlack = 600 * time.Millisecond
	// startWithin is the least time over which routers that start spread their first calls, and
	// startEach what each router of the fleet adds to it: most receive updates from others before.
	startWithin = 1200 * time.Millisecond
	startEach   = 10 * time.Millisecond
	// lookEvery is how often a router checks its role.
	lookEvery = 100 * time.Millisecond
	// atOnce is the wait of a watch that returns the changes so far.
	atOnce = time.Millisecond
)

// Role is what a follower does.
type Role int

// The roles.
const (
	// Idle makes no calls: other routers update this one.
	Idle Role = iota
	// Fallback queries the store, since no other router updates this one.
	Fallback
	// Watches watches the store, for other routers too in a large fleet.
	Watches
)

// Handler takes what a follower receives. Its methods are called one after the other.
type Handler interface {
	// Listed takes all objects as they were at a revision of the store.
	Listed(objects []store.Object, revision int64)
	// Changed takes changed objects, oldest first.
	Changed(objects []store.Object)
	// Advanced tells that all changes up to a revision of the store were taken.
	Advanced(revision int64)
	// Lost tells that the store does not answer, or that there is no source of updates, and
	// Regained that it answers again.
	Lost()
	Regained()
}

// Options are what a follower works with.
type Options struct {
	Store store.Store
	// Prefix is the kind to follow.
	Prefix  string
	Handler Handler
	// Role returns what the follower does now.
	Role func() Role
	// Changed returns a channel that is closed when the role is no longer Idle; nil: the role is
	// checked regularly.
	Changed func() <-chan struct{}
	// Bound returns how the operator's bound on a change of the kind is divided.
	Bound func() bound.Parts
	// ReceivedRevision returns the store's revision up to which other routers have sent all
	// changes of the kind; nil: they send none.
	ReceivedRevision func() int64
	// Answered returns when the store last answered any call of this process, or of another
	// router that waits for this one.
	Answered func() time.Time
	// Fleet returns the number of routers; nil: they are few.
	Fleet func() int
	// IsRelay tells whether this router updates others: a fallback watcher that does makes full
	// calls as soon as a probe is answered, and another one waits for updates first.
	IsRelay func() bool
	// Probe makes the cheapest call of the store. It precedes the calls of a follower that the
	// store did not answer last, or not yet.
	Probe func(context.Context) error
	// AnsweredElsewhere tells whether the store answers another router.
	AnsweredElsewhere func() bool
	// Prober tells whether the store answers the follower that probes it for this one too while
	// both are fallback watchers; nil: this one probes itself.
	Prober func() bool
	Log    *zap.Logger
}

// Follower follows one kind of objects.
type Follower struct {
	Options

	due      time.Time // when a fallback watcher tries the store; zero: that is not drawn yet
	drawn    time.Time // when that was drawn
	tries    int       // of a fallback watcher in a row
	failures int       // in a row
	noSource bool      // the handler was told that there is no source of updates
	relist   bool      // changes were missed

	mu       sync.Mutex
	revision int64 // of the store; 0: it has not answered
	lost     bool
	lostAt   time.Time
	// interrupt ends the call under way; nil: there is none.
	interrupt context.CancelCauseFunc
	answered  time.Time // when the store answered last
	asOf      time.Time // see AsOf
}

// New returns a follower. It makes no calls while its role is Idle.
func New(o Options) *Follower {
	o.Log = o.Log.With(zap.String("kind", o.Prefix))
	return &Follower{Options: o}
}

// Run follows until the context ends.
func (f *Follower) Run(ctx context.Context) {
	for ctx.Err() == nil {
		wakeups.Note(wakeups.Follow)
		changed := f.roleChanged()
		role := f.Role()
		if role == Idle {
			f.rest()
			f.noteSource(role)
			f.waitForRole(ctx, changed)
			continue
		}
		if role == Fallback && !f.isDue(clock.Now()) {
			f.noteSource(role)
			_ = wait.For(ctx, lookEvery)
			continue
		}
		f.due = time.Time{}
		if err := f.try(ctx, role); err != nil && ctx.Err() == nil {
			f.failed(err)
			f.waitUntilAnswered(ctx, f.pause(role))
		}
	}
}

// roleChanged returns a channel that is closed when the role changes; nil: nobody tells.
func (f *Follower) roleChanged() <-chan struct{} {
	if f.Changed == nil {
		return nil
	}
	return f.Changed()
}

// waitForRole waits until the role may have changed.
func (f *Follower) waitForRole(ctx context.Context, changed <-chan struct{}) {
	if changed == nil {
		_ = wait.For(ctx, lookEvery)
		return
	}
	select {
	case <-changed:
	case <-ctx.Done():
	}
}

// try makes one call, after a probe where the store may not answer and no other follower of this
// router has found that it does.
func (f *Follower) try(ctx context.Context, role Role) error {
	if f.Lost() || role == Fallback && !f.Fresh() && f.Prober == nil {
		if err := f.probe(ctx); err != nil {
			return err
		}
		if role == Fallback && f.updatedMeanwhile(ctx) {
			return nil
		}
	}
	return f.step(ctx)
}

// pause returns the time until the next try after a failed one. That of a fallback watcher is
// drawn by isDue. The first failure may be a stalled watch, which is repeated at once.
func (f *Follower) pause(role Role) time.Duration {
	f.failures++
	if role == Fallback && f.Prober != nil {
		return retryPause // nothing is drawn for it
	}
	if role == Fallback || f.failures == 1 {
		return 0
	}
	if f.failures <= hastyTries || f.AnsweredElsewhere() {
		return retryPause
	}
	return drawnAwayPause()
}

// rest ends the state of a lost store: other routers send updates now, and whether the store
// answers is not known.
func (f *Follower) rest() {
	f.due = time.Time{}
	f.tries = 0
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lost = false
	f.answered = time.Time{}
}

// errResumed ends a call that was under way while the machine was suspended.
var errResumed = errors.New("the machine was suspended")

// Resumed tells that the machine was suspended. The store counts as lost and is called at once:
// the watch under way would wait out its time, or stall if the store has closed its end.
func (f *Follower) Resumed() {
	f.failed(errResumed)
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.interrupt != nil {
		f.interrupt(errResumed)
	}
}

// interruptible returns a context that Resumed ends, and a function to call at the end.
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

// step makes one call.
func (f *Follower) step(ctx context.Context) error {
	ctx, end := f.interruptible(ctx)
	defer end()
	since := f.since()
	if since == 0 {
		return f.list(ctx)
	}
	waits := f.Bound().Watch
	if !f.Fresh() {
		waits = atOnce
	}
	ev, err := f.Store.Watch(ctx, f.Prefix, since, waits)
	if err != nil {
		return err
	}
	if ev.Gap {
		f.Log.Info("history is gone; listing again", zap.Int64("revision", since))
		f.relist = true
		return nil
	}
	f.answeredNow()
	asOf, revision := clock.Now(), max(since, ev.Revision)
	if len(ev.Objects) > 0 {
		f.Handler.Changed(ev.Objects)
	}
	f.Handler.Advanced(revision)
	f.advance(revision, asOf)
	if len(ev.Objects) > 0 {
		_ = wait.For(ctx, gatherFor(len(ev.Objects)))
	}
	return nil
}

// gatherFor returns the pause after an answer of so many changes: the more of them come, the
// shorter it is. At a steady rate of writes an answer then holds fewer than gatherMost.
func gatherFor(changes int) time.Duration {
	room := max(gatherMost-changes, 0)
	return gatherPause * time.Duration(room) / gatherMost
}

// since returns the revision up to which this router knows all changes, from the store or from
// other routers; 0: a list is due.
func (f *Follower) since() int64 {
	if f.relist {
		return 0
	}
	since := f.Revision()
	if f.ReceivedRevision != nil {
		since = max(since, f.ReceivedRevision())
	}
	return since
}

func (f *Follower) list(ctx context.Context) error {
	begun := clock.Now()
	objects, revision, err := f.Store.List(ctx, f.Prefix)
	if err != nil {
		return err
	}
	f.relist = false
	f.answeredNow()
	f.Handler.Listed(objects, revision)
	f.Handler.Advanced(revision)
	f.advance(revision, begun)
	return nil
}

func (f *Follower) failed(err error) {
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
		f.Handler.Lost()
	}
}

// answeredNow notes that the store answers.
func (f *Follower) answeredNow() {
	f.failures, f.tries = 0, 0
	f.mu.Lock()
	was, since := f.lost, f.lostAt
	f.lost = false
	f.answered = clock.Now()
	f.mu.Unlock()
	if f.noSource && !was {
		f.Handler.Regained()
	}
	f.noSource = false
	if was {
		f.Log.Info("store reachable again", zap.Duration("after_ms", clock.Since(since)), zap.Int64("revision", f.Revision()))
		f.Handler.Regained()
	}
}

// advance notes that the handler has all changes up to a revision, which was the store's at a
// time.
func (f *Follower) advance(revision int64, asOf time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.asOf = asOf
	f.revision = revision
}

// Revision returns the store's revision up to which all changes are known.
func (f *Follower) Revision() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.revision
}

// AsOf returns the time up to which the store has sent this router all changes; zero: it has
// sent none.
func (f *Follower) AsOf() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.asOf
}

// Lost tells whether the last call failed.
func (f *Follower) Lost() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lost
}

// Fresh tells whether the store's last answer is current.
func (f *Follower) Fresh() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.lost && clock.Since(f.answered) < f.Bound().Watch+freshSlack
}
