// Package follow keeps up with one kind of objects in the store: it lists
// them, waits for changes, and lists again when changes were missed.
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
)

const (
	// retryPause is the pause after a failed call, and awayPause, more or less a half,
	// after hastyTries in a row: then the store is away for long, and it is enough that
	// one router of a fleet finds soon that it is back, and tells.
	retryPause = 250 * time.Millisecond
	awayPause  = time.Second
	hastyTries = 4
	// gatherPause is the pause after a watch that brought changes. A release of
	// servers or a series of configurations changes objects many times a second;
	// each pause gathers them for one call.
	gatherPause = 150 * time.Millisecond
	// freshSlack is how long beyond a watch's wait an answer of the store counts as
	// the newest: the time of a slow answer and of a pause.
	freshSlack = 600 * time.Millisecond
	// startWithin is the time over which routers that know nothing yet spread their first
	// tries: most are told by others before.
	startWithin = 1200 * time.Millisecond
	// lookEvery is how often a router that does not follow looks whether it should.
	lookEvery = 100 * time.Millisecond
	// atOnce is the wait of a watch that asks what has changed by now.
	atOnce = time.Millisecond
)

// Part is what a follower does now.
type Part int

// The parts.
const (
	// Rests: other routers follow and tell this one.
	Rests Part = iota
	// Deputy: it follows, since nobody tells it what is new.
	Deputy
	// Follows: it is its task to follow.
	Follows
)

// Handler takes what a follower learns. Its calls come one after the other.
type Handler interface {
	// Listed takes all objects as they were at a revision of the store.
	Listed(objects []store.Object, revision int64)
	// Changed takes changed objects, oldest first.
	Changed(objects []store.Object)
	// Lost tells that the store does not answer, or that nobody tells what is new
	// there, Regained that it answers again.
	Lost()
	Regained()
}

// Options are what a follower works with.
type Options struct {
	Store store.Store
	// Prefix is the kind to follow.
	Prefix  string
	Handler Handler
	// Part tells whether to follow now, or to leave it to other routers.
	Part func() Part
	// Bound is how the operator's bound on a change of the kind is divided.
	Bound func() bound.Parts
	// Told is the store's revision up to which other routers have told all changes of the
	// kind. nil: they tell none.
	Told func() int64
	// Answered tells when the store last answered any call of this process, or another router
	// that waits for this one.
	Answered func() time.Time
	// Relays tells whether other routers are updated by this one: a deputy that relays makes
	// full calls as soon as a probe is answered, and another one waits for its relay first.
	Relays func() bool
	// Probe asks the store for anything at all, as cheaply as can be. It goes before the
	// calls of a follower that the store did not answer last, or not yet.
	Probe func(context.Context) error
	// Elsewhere tells whether the store answers another router.
	Elsewhere func() bool
	// Scout tells whether the store answers a follower of another kind that looks for
	// it for this one too, when both are deputies. nil: this one looks itself.
	Scout func() bool
	Log   *zap.Logger
}

// Follower follows one kind.
type Follower struct {
	Options

	due      time.Time // when a deputy tries the store; zero: that is not drawn yet
	drawn    time.Time // when that was drawn
	tries    int       // of a deputy in a row
	failures int       // in a row
	doubted  bool      // the handler was told that nothing is heard
	relist   bool      // changes were missed

	mu       sync.Mutex
	revision int64 // of the store; 0: nothing was heard from it
	lost     bool
	lostAt   time.Time
	// interrupt ends the call under way; nil: there is none.
	interrupt context.CancelCauseFunc
	answered  time.Time // when the store answered last
	asOf      time.Time // see AsOf
}

// New returns a follower. It makes no calls while its part is to rest.
func New(o Options) *Follower {
	o.Log = o.Log.With(zap.String("kind", o.Prefix))
	return &Follower{Options: o}
}

// Run follows until the context ends.
func (f *Follower) Run(ctx context.Context) {
	for ctx.Err() == nil {
		part := f.Part()
		if part == Rests {
			f.rest()
		}
		if part == Rests || part == Deputy && !f.isDue(clock.Now()) {
			f.doubt(part)
			_ = wait.For(ctx, lookEvery)
			continue
		}
		f.due = time.Time{}
		if err := f.try(ctx, part); err != nil && ctx.Err() == nil {
			f.failed(err)
			f.waitUntilAnswered(ctx, f.pause(part))
		}
	}
}

// try makes one call, after a probe if the store may not answer and no other follower of
// this router has found that it does.
func (f *Follower) try(ctx context.Context, part Part) error {
	if f.Lost() || part == Deputy && !f.Fresh() && f.Scout == nil {
		if err := f.probe(ctx); err != nil {
			return err
		}
		if part == Deputy && f.toldMeanwhile(ctx) {
			return nil
		}
	}
	return f.step(ctx)
}

// pause is the time until the next try after a failed one. That of a deputy is drawn
// by isDue. The first failure may be that of a watch which went deaf, and the store is
// asked again at once.
func (f *Follower) pause(part Part) time.Duration {
	f.failures++
	if part == Deputy && f.Scout != nil {
		return retryPause // nothing is drawn for it
	}
	if part == Deputy || f.failures == 1 {
		return 0
	}
	if f.failures <= hastyTries || f.Elsewhere() {
		return retryPause
	}
	return drawnAwayPause()
}

// rest ends a loss, and what is known from the store is not the newest any more:
// others tell what is new, and whether the store answers is not known.
func (f *Follower) rest() {
	f.due = time.Time{}
	f.tries = 0
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lost = false
	f.answered = time.Time{}
}

// errWoken ends a call that stood still with the machine.
var errWoken = errors.New("the machine was suspended")

// Woke tells that the machine was suspended. What was heard before is not the newest, and
// the watch that stood still would wait out its time first, or hear nothing for good if
// the store has closed its end meanwhile: the store counts as lost, and is asked at once.
func (f *Follower) Woke() {
	f.failed(errWoken)
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.interrupt != nil {
		f.interrupt(errWoken)
	}
}

// interruptible returns a context that Woke ends, and what to call at the end.
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
	f.succeeded(max(since, ev.Revision), clock.Now())
	if len(ev.Objects) > 0 {
		f.Handler.Changed(ev.Objects)
		_ = wait.For(ctx, gatherPause)
	}
	return nil
}

// since is the revision up to which this router knows all changes, from the store or
// through others; 0: a list is due.
func (f *Follower) since() int64 {
	if f.relist {
		return 0
	}
	since := f.Revision()
	if f.Told != nil {
		since = max(since, f.Told())
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
	f.succeeded(revision, begun)
	f.Handler.Listed(objects, revision)
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

// succeeded notes an answer that tells all changes up to a revision, the store's at a
// moment.
func (f *Follower) succeeded(revision int64, asOf time.Time) {
	f.failures, f.tries = 0, 0
	f.mu.Lock()
	was, since := f.lost, f.lostAt
	f.lost = false
	f.answered = clock.Now()
	f.asOf = asOf
	f.revision = revision
	f.mu.Unlock()
	if f.doubted && !was {
		f.Handler.Regained()
	}
	f.doubted = false
	if was {
		f.Log.Info("store regained", zap.Duration("after_ms", clock.Since(since)), zap.Int64("revision", revision))
		f.Handler.Regained()
	}
}

// Revision returns the store's revision up to which all changes are known.
func (f *Follower) Revision() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.revision
}

// AsOf returns the moment up to which the store has told this router itself all changes;
// zero: it has told nothing.
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

// Fresh tells whether what is known from the store is the newest.
func (f *Follower) Fresh() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.lost && clock.Since(f.answered) < f.Bound().Watch+freshSlack
}
