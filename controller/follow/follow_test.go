package follow_test

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"github.com/gaplink/gaplink/controller/follow"
	"github.com/gaplink/gaplink/store"
)

// fakeStore answers lists and watches, or fails them while it is down.
type fakeStore struct {
	store.Store
	down  atomic.Bool
	calls atomic.Int64
}

func (s *fakeStore) List(context.Context, string) ([]store.Object, int64, error) {
	s.calls.Add(1)
	if s.down.Load() {
		return nil, 0, store.ErrUnavailable
	}
	return nil, 1, nil
}

func (s *fakeStore) Watch(ctx context.Context, _ string, since int64, wait time.Duration) (store.Events, error) {
	s.calls.Add(1)
	if s.down.Load() {
		return store.Events{}, store.ErrUnavailable
	}
	select {
	case <-time.After(wait):
		return store.Events{Revision: since}, nil
	case <-ctx.Done():
		return store.Events{}, ctx.Err()
	}
}

// ignore is a handler that does nothing.
type ignore struct{}

func (ignore) Listed([]store.Object)  {}
func (ignore) Changed([]store.Object) {}
func (ignore) Lost()                  {}
func (ignore) Regained()              {}

func run(t *testing.T, part follow.Part, body func(*fakeStore, *follow.Follower, *atomic.Int64)) {
	synctest.Test(t, func(t *testing.T) {
		s := &fakeStore{}
		var now atomic.Int64
		now.Store(int64(part))
		f := follow.New(s, "kind", ignore{}, func() follow.Part { return follow.Part(now.Load()) }, zap.NewNop())
		go f.Run(t.Context())
		body(s, f, &now)
	})
}

// TestFreshOnlyAfterAnAnswer: a router that rested knows nothing of the store
// until it has answered, though no call has failed.
func TestFreshOnlyAfterAnAnswer(t *testing.T) {
	run(t, follow.Rests, func(s *fakeStore, f *follow.Follower, part *atomic.Int64) {
		time.Sleep(5 * time.Second)
		if f.Fresh() || s.calls.Load() > 0 {
			t.Fatal("fresh, or asked, while it rests")
		}
		part.Store(int64(follow.Follows))
		time.Sleep(3 * time.Second)
		if !f.Fresh() {
			t.Fatal("not fresh although the store answers")
		}
		part.Store(int64(follow.Rests))
		time.Sleep(5 * time.Second)
		if f.Fresh() {
			t.Fatal("fresh by an answer of five seconds ago")
		}
	})
}

// TestDeputyAsksALostStoreSeldom.
func TestDeputyAsksALostStoreSeldom(t *testing.T) {
	for part, most := range map[follow.Part]int64{follow.Follows: 42, follow.Deputy: 10} {
		run(t, part, func(s *fakeStore, f *follow.Follower, _ *atomic.Int64) {
			s.down.Store(true)
			time.Sleep(10 * time.Second)
			if n := s.calls.Load(); n > most {
				t.Fatalf("%d calls in ten seconds, at most %d", n, most)
			}
			s.down.Store(false)
			time.Sleep(2 * time.Second)
			if !f.Fresh() {
				t.Fatal("not fresh two seconds after the store is back")
			}
		})
	}
}
