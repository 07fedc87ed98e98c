// Package follow keeps up with one kind of objects in the store: it lists
// them, waits for changes, and lists again when changes were missed.
package follow

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/gaplink/gaplink/store"
	"github.com/gaplink/gaplink/wait"
)

const (
	// watchWait is how long a watch waits at the store. A watch may go deaf
	// while its connection lives, when the store forgets its history; what
	// changed meanwhile is found after this time and the client's slack, which
	// must together be well below the two seconds within which a leaving server
	// and a new configuration count. Each renewal is one call.
	watchWait = 1200 * time.Millisecond
	// retryPause is the pause after a failed call. Two followers of each router
	// then make at most eight calls a second while the store is away.
	retryPause = 250 * time.Millisecond
	// deputyPause is the same for a router that only stands in for those whose
	// task it is to follow: they look for the store often enough for all.
	deputyPause = 1200 * time.Millisecond
	// freshFor is how long after an answer of the store what is known from it
	// counts as the newest: a watch's wait and the time of a slow answer.
	freshFor = watchWait + 600*time.Millisecond
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
	// Listed takes all objects.
	Listed(objects []store.Object)
	// Changed takes changed objects, oldest first.
	Changed(objects []store.Object)
	// Lost tells that the store does not answer, Regained that it does again.
	Lost()
	Regained()
}

// Follower follows one kind.
type Follower struct {
	store   store.Store
	prefix  string
	handler Handler
	log     *zap.Logger
	// part tells whether to follow now, or to leave it to other routers.
	part func() Part

	revision int64 // of the store; 0: a list is due

	mu       sync.Mutex
	lost     bool
	lostAt   time.Time
	answered time.Time // when the store answered last
}

// New returns a follower of the objects under prefix.
// It makes no calls while its part is to rest.
func New(s store.Store, prefix string, h Handler, part func() Part, log *zap.Logger) *Follower {
	return &Follower{store: s, prefix: prefix, handler: h, part: part, log: log.With(zap.String("kind", prefix))}
}

// Run follows until the context ends.
func (f *Follower) Run(ctx context.Context) {
	for ctx.Err() == nil {
		part := f.part()
		if part == Rests {
			f.rest()
			_ = wait.For(ctx, retryPause)
			continue
		}
		if err := f.step(ctx); err != nil && ctx.Err() == nil {
			f.failed(err)
			_ = wait.For(ctx, pause(part))
		}
	}
}

// pause is the pause after a failed call.
func pause(p Part) time.Duration {
	if p == Deputy {
		return deputyPause
	}
	return retryPause
}

// rest ends a loss: others tell what is new, and whether the store answers is
// not known.
func (f *Follower) rest() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lost = false
}

// step makes one call.
func (f *Follower) step(ctx context.Context) error {
	if f.revision == 0 {
		return f.list(ctx)
	}
	wait := watchWait
	if f.Lost() {
		wait = time.Millisecond // an answer at once shows that the store is back
	}
	ev, err := f.store.Watch(ctx, f.prefix, f.revision, wait)
	if err != nil {
		return err
	}
	if ev.Gap {
		f.log.Info("history is gone; listing again", zap.Int64("revision", f.revision))
		f.revision = 0
		return nil
	}
	f.succeeded()
	f.revision = max(f.revision, ev.Revision)
	if len(ev.Objects) > 0 {
		f.handler.Changed(ev.Objects)
	}
	return nil
}

func (f *Follower) list(ctx context.Context) error {
	objects, revision, err := f.store.List(ctx, f.prefix)
	if err != nil {
		return err
	}
	f.succeeded()
	f.revision = revision
	f.handler.Listed(objects)
	return nil
}

func (f *Follower) failed(err error) {
	f.mu.Lock()
	first := !f.lost
	if first {
		f.lost = true
		f.lostAt = time.Now()
	}
	f.mu.Unlock()
	if first {
		f.log.Warn("store lost", zap.Error(err), zap.Int64("revision", f.revision))
		f.handler.Lost()
	}
}

func (f *Follower) succeeded() {
	f.mu.Lock()
	was, since := f.lost, f.lostAt
	f.lost = false
	f.answered = time.Now()
	f.mu.Unlock()
	if was {
		f.log.Info("store regained", zap.Duration("after_ms", time.Since(since)), zap.Int64("revision", f.revision))
		f.handler.Regained()
	}
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
	return !f.lost && time.Since(f.answered) < freshFor
}
