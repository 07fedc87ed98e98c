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
	down atomic.Bool
	// calls are those at the full price, probes the others.
	calls, probes atomic.Int64
}

func (s *fakeStore) List(context.Context, string) ([]store.Object, int64, error) {
	s.calls.Add(1)
	if s.down.Load() {
		return nil, 0, store.ErrUnavailable
	}
	return nil, 1, nil
}

func (s *fakeStore) Get(context.Context, string) (store.Object, error) {
	s.probes.Add(1)
	if s.down.Load() {
		return store.Object{}, store.ErrUnavailable
	}
	return store.Object{}, nil
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

func (ignore) Listed([]store.Object, int64) {}
func (ignore) Changed([]store.Object)       {}
func (ignore) Lost()                        {}
func (ignore) Regained()                    {}

// options are those of a follower in a fleet with so many deputies.
func options(s store.Store, part func() follow.Part, deputies int) follow.Options {
	return follow.Options{
		Store:    s,
		Prefix:   "kind",
		Handler:  ignore{},
		Part:     part,
		Deputies: func() int { return deputies },
		Probe: func(ctx context.Context) error {
			_, err := s.Get(ctx, "kind/self")
			return err
		},
		Elsewhere: func() bool { return false },
		Wait:      func() time.Duration { return 1200 * time.Millisecond },
		Log:       zap.NewNop(),
	}
}

func run(t *testing.T, part follow.Part, body func(*fakeStore, *follow.Follower, *atomic.Int64)) {
	synctest.Test(t, func(t *testing.T) {
		s := &fakeStore{}
		var now atomic.Int64
		now.Store(int64(part))
		f := follow.New(options(s, func() follow.Part { return follow.Part(now.Load()) }, 1))
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

// TestLostStoreIsAskedSeldom: a store that does not answer is asked a few times soon,
// then once a second, for a tenth of the price, and followed soon after it is back; at
// once if another router tells that it is.
func TestLostStoreIsAskedSeldom(t *testing.T) {
	for part, most := range map[follow.Part]int64{follow.Follows: 26, follow.Deputy: 10} {
		run(t, part, func(s *fakeStore, f *follow.Follower, _ *atomic.Int64) {
			s.down.Store(true)
			time.Sleep(10 * time.Second)
			if n := s.calls.Load() + s.probes.Load(); n > most || s.calls.Load() > 1 {
				t.Fatalf("%d calls and %d probes in ten seconds, at most %d", s.calls.Load(), s.probes.Load(), most)
			}
			s.down.Store(false)
			time.Sleep(3 * time.Second)
			if !f.Fresh() {
				t.Fatal("not fresh three seconds after the store is back")
			}
		})
	}
}

// TestFleetAsksALostStoreSeldom: the store is away from all for eight seconds, as on
// days on which all routers are cut off from it. Few follow for all; the others must
// not take their place all at once, at any size of the fleet, and still some router
// must find soon that the store is back. Each tries once, since the store may answer
// it alone. Before further tries were spread, 285 routers made 1,900 calls for each
// kind in such a time.
func TestFleetAsksALostStoreSeldom(t *testing.T) {
	for _, routers := range []int{20, 285} {
		synctest.Test(t, func(t *testing.T) {
			s := &fakeStore{}
			s.down.Store(true)
			var fleet []*follow.Follower
			for range routers {
				f := follow.New(options(s, func() follow.Part { return follow.Deputy }, routers))
				fleet = append(fleet, f)
				go f.Run(t.Context())
			}
			time.Sleep(8 * time.Second)
			if n := s.probes.Load(); n < 10 || n > int64(routers)+130 {
				t.Errorf("%d routers asked %d times in eight seconds", routers, n)
			}
			if n := s.calls.Load(); n > 0 {
				t.Errorf("%d calls at the full price without an answer to a probe", n)
			}
			s.down.Store(false)
			time.Sleep(time.Second)
			found := false
			for _, f := range fleet {
				found = found || f.Fresh()
			}
			if !found {
				t.Errorf("none of %d routers has found the store a second after it is back", routers)
			}
		})
	}
}

// TestChangesInSeriesAreGathered: a release changes an entry every 20 ms for four
// seconds. One call each would be 200; the calls of a follower are bounded by time.
func TestChangesInSeriesAreGathered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &changingStore{}
		f := follow.New(options(s, func() follow.Part { return follow.Follows }, 1))
		go f.Run(t.Context())
		for range 200 {
			time.Sleep(20 * time.Millisecond)
			s.revision.Add(1)
		}
		if n := s.calls.Load(); n > 40 {
			t.Fatalf("%d calls for 200 changes in four seconds", n)
		}
		time.Sleep(200 * time.Millisecond)
		if f.Revision() != s.revision.Load()+1 {
			t.Fatalf("at revision %d of %d", f.Revision(), s.revision.Load()+1)
		}
	})
}

// changingStore has a change for each step of its revision.
type changingStore struct {
	store.Store
	revision, calls atomic.Int64
}

func (s *changingStore) Get(context.Context, string) (store.Object, error) {
	return store.Object{}, nil
}

func (s *changingStore) List(context.Context, string) ([]store.Object, int64, error) {
	s.calls.Add(1)
	return nil, s.revision.Load() + 1, nil
}

func (s *changingStore) Watch(ctx context.Context, _ string, since int64, wait time.Duration) (store.Events, error) {
	s.calls.Add(1)
	for waited := time.Duration(0); waited < wait && s.revision.Load()+1 == since; waited += time.Millisecond {
		select {
		case <-time.After(time.Millisecond):
		case <-ctx.Done():
			return store.Events{}, ctx.Err()
		}
	}
	ev := store.Events{Revision: s.revision.Load() + 1}
	if ev.Revision > since {
		ev.Objects = []store.Object{{Key: "kind/a", Version: ev.Revision}}
	}
	return ev, nil
}
