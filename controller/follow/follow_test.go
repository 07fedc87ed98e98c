package follow_test

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"github.com/gaplink/gaplink/bound"
	"github.com/gaplink/gaplink/controller/follow"
	"github.com/gaplink/gaplink/store"
)

// fakeStore answers lists and watches, or fails them while it is down.
type fakeStore struct {
	store.Store
	down atomic.Bool
	// calls counts full calls, and probes the cheap ones.
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

// noopHandler is a handler that does nothing.
type noopHandler struct{}

func (noopHandler) Listed([]store.Object, int64) {}
func (noopHandler) Changed([]store.Object)       {}
func (noopHandler) Advanced(int64)               {}
func (noopHandler) StoreLost()                   {}
func (noopHandler) StoreRestored()               {}

// startsWithin is the time within which a starting follower has made its first call. The follower
// polls at multiples of a tenth of a second, where a test at the same moment would see either state.
const startsWithin = 1350 * time.Millisecond

// changeBound is the bound on changes in these tests, that of a large deployment.
const changeBound = 4 * time.Second

// options returns the options of a follower in a large fleet.
func options(s store.Store, role func() follow.Role) follow.Options {
	return follow.Options{
		Store:    s,
		Prefix:   "kind",
		Handler:  noopHandler{},
		Role:     role,
		Bound:    func() bound.Parts { return bound.Divide(changeBound, true) },
		IsRelay:  func() bool { return true },
		Answered: func() time.Time { return time.Time{} },
		Probe: func(ctx context.Context) error {
			_, err := s.Get(ctx, "kind/self")
			return err
		},
		AnsweredElsewhere: func() bool { return false },
		Log:               zap.NewNop(),
	}
}

func run(t *testing.T, role follow.Role, body func(*fakeStore, *follow.Follower, *atomic.Int64)) {
	synctest.Test(t, func(t *testing.T) {
		s := &fakeStore{}
		var now atomic.Int64
		now.Store(int64(role))
		f := follow.New(options(s, func() follow.Role { return follow.Role(now.Load()) }))
		go f.Run(t.Context())
		body(s, f, &now)
	})
}

// TestFreshOnlyAfterAnAnswer checks that an idle router does not count as fresh until the store has
// answered, though no call has failed.
func TestFreshOnlyAfterAnAnswer(t *testing.T) {
	run(t, follow.Idle, func(s *fakeStore, f *follow.Follower, role *atomic.Int64) {
		time.Sleep(5 * time.Second)
		if f.StoreFresh() || s.calls.Load() > 0 {
			t.Fatal("fresh, or called the store, while idle")
		}
		role.Store(int64(follow.Watcher))
		time.Sleep(3 * time.Second)
		if !f.StoreFresh() {
			t.Fatal("not fresh although the store answers")
		}
		role.Store(int64(follow.Idle))
		time.Sleep(5 * time.Second)
		if f.StoreFresh() {
			t.Fatal("fresh because of an answer five seconds ago")
		}
	})
}

// TestUnreachableStoreIsCalledRarely checks that a store that does not answer is called a few times
// in quick succession, then once a second by probes that cost a tenth of a full call, and that it is
// followed soon after it answers again.
func TestUnreachableStoreIsCalledRarely(t *testing.T) {
	// The pauses vary around a second, so that the number of calls in a minute varies by two or three.
	const span, slack = time.Minute, 8
	for role, fastRetries := range map[follow.Role]int64{follow.Watcher: 8, follow.Fallback: 0} {
		run(t, role, func(s *fakeStore, f *follow.Follower, _ *atomic.Int64) {
			s.down.Store(true)
			time.Sleep(span)
			if n, most := s.calls.Load()+s.probes.Load(), fastRetries+int64(span.Seconds())+slack; n > most || s.calls.Load() > 1 {
				t.Fatalf("%d calls and %d probes in %v, at most %d", s.calls.Load(), s.probes.Load(), span, most)
			}
			s.down.Store(false)
			time.Sleep(3 * time.Second)
			if !f.StoreFresh() {
				t.Fatal("not fresh three seconds after the store is reachable again")
			}
		})
	}
}

// TestFleetRarelyCallsAnUnreachableStore guards against a stampede of calls while no router reaches
// the store for eight seconds. Normally few routers follow the store for all; the others must not
// call it all at the same time, at any size of the fleet. Each probes the store itself, since the
// store may answer only that router: once soon, and then at most once in half of the retry time
// within the bound, by a call that costs a tenth of a full one. Before the attempts were spread, 285
// routers made 1,900 full calls for each kind.
func TestFleetRarelyCallsAnUnreachableStore(t *testing.T) {
	const outage = 8 * time.Second
	attemptsEach := 1 + int64(outage/(bound.Divide(changeBound, true).Retry()/2))
	for _, routers := range []int{20, 285} {
		synctest.Test(t, func(t *testing.T) {
			s := &fakeStore{}
			s.down.Store(true)
			var fleet []*follow.Follower
			for range routers {
				o := options(s, func() follow.Role { return follow.Fallback })
				o.IsRelay = func() bool { return false }
				f := follow.New(o)
				fleet = append(fleet, f)
				go f.Run(t.Context())
			}
			time.Sleep(outage)
			if n := s.probes.Load(); n < int64(routers) || n > int64(routers)*attemptsEach {
				t.Errorf("%d routers sent %d probes in eight seconds", routers, n)
			}
			if n := s.calls.Load(); n > 0 {
				t.Errorf("%d full calls without an answer to a probe", n)
			}
			s.down.Store(false)
			time.Sleep(time.Second)
			found := false
			for _, f := range fleet {
				found = found || f.StoreFresh()
			}
			if !found {
				t.Errorf("none of %d routers follows the store a second after it is reachable again", routers)
			}
		})
	}
}

// TestOnlyAnsweredRouterFollowsTheStoreWithinTheBound guards against retry delays that grow with the
// fleet: 86 routers spread their attempts over 12.9 s, and one that the store would have answered
// all the time followed it only after 10.3 s.
func TestOnlyAnsweredRouterFollowsTheStoreWithinTheBound(t *testing.T) {
	for range 50 {
		synctest.Test(t, func(t *testing.T) {
			s := &fakeStore{}
			s.down.Store(true)
			f := follow.New(options(s, func() follow.Role { return follow.Fallback }))
			go f.Run(t.Context())
			time.Sleep(time.Duration(rand.N(int64(10 * time.Second))))
			s.down.Store(false)
			time.Sleep(changeBound - bound.CallTimeout + 200*time.Millisecond)
			if !f.StoreFresh() {
				t.Error("the follower does not follow the store")
			}
		})
	}
}

// TestAnswerToAnyCallOfTheProcessEndsTheWait guards against a follower that waits although the store
// has answered another call of the process: it called the store only 3.4 s later.
func TestAnswerToAnyCallOfTheProcessEndsTheWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &fakeStore{}
		s.down.Store(true)
		var answered atomic.Pointer[time.Time]
		o := options(s, func() follow.Role { return follow.Fallback })
		o.Answered = func() time.Time {
			if at := answered.Load(); at != nil {
				return *at
			}
			return time.Time{}
		}
		f := follow.New(o)
		go f.Run(t.Context())
		time.Sleep(startsWithin) // the first attempt has failed
		s.down.Store(false)
		now := time.Now()
		answered.Store(&now)
		time.Sleep(200 * time.Millisecond)
		if !f.StoreFresh() {
			t.Error("the follower keeps waiting")
		}
	})
}

// TestProbeIsSentAgainOnceTheStoreAnswersAnotherCall guards against an unanswered probe that blocks
// a follower until its timeout, although the store has answered another call since.
func TestProbeIsSentAgainOnceTheStoreAnswersAnotherCall(t *testing.T) {
	for role, name := range map[follow.Role]string{follow.Watcher: "follows", follow.Fallback: "fallback watcher"} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &fakeStore{}
				s.down.Store(true)
				var silent atomic.Bool
				var answered atomic.Int64
				silent.Store(true)
				o := options(s, func() follow.Role { return role })
				o.Answered = func() time.Time { return time.Unix(0, answered.Load()) }
				o.Probe = func(ctx context.Context) error {
					if silent.Load() {
						<-ctx.Done()
						return ctx.Err()
					}
					return nil
				}
				f := follow.New(o)
				go f.Run(t.Context())
				time.Sleep(startsWithin) // a probe is in progress
				s.down.Store(false)
				silent.Store(false)
				answered.Store(time.Now().UnixNano())
				time.Sleep(300 * time.Millisecond)
				if !f.StoreFresh() {
					t.Error("the follower keeps waiting")
				}
			})
		})
	}
}

// TestFollowerWithAProberPausesAfterARefusal guards against a hot loop when the store has just
// answered the prober and refuses calls for this kind. In such a loop virtual time does not advance.
func TestFollowerWithAProberPausesAfterARefusal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &fakeStore{}
		s.down.Store(true)
		o := options(s, func() follow.Role { return follow.Fallback })
		o.ProbedElsewhere = func() bool { return true }
		go follow.New(o).Run(t.Context())
		time.Sleep(time.Second)
		if n := s.calls.Load() + s.probes.Load(); n > 5 {
			t.Errorf("%d calls in a second", n)
		}
	})
}

// TestFollowerContinuesFromReceivedUpdates checks that a follower continues from the revision received
// from other routers without a list: the store sends all changes since, including deletions.
func TestFollowerContinuesFromReceivedUpdates(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &changingStore{}
		s.revision.Store(20)
		o := options(s, func() follow.Role { return follow.Fallback })
		o.ReceivedRevision = func() int64 { return 17 }
		f := follow.New(o)
		go f.Run(t.Context())
		time.Sleep(500 * time.Millisecond)
		if s.lists.Load() > 0 || f.Revision() != 21 {
			t.Errorf("%d lists, at revision %d", s.lists.Load(), f.Revision())
		}
	})
}

// TestFrequentChangesAreBatched simulates a release that changes an entry every 20 ms for four
// seconds. One call for each would be 200; batching limits the calls of a follower per time.
func TestFrequentChangesAreBatched(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &changingStore{}
		f := follow.New(options(s, func() follow.Role { return follow.Watcher }))
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
	revision, calls, lists atomic.Int64
}

func (s *changingStore) Get(context.Context, string) (store.Object, error) {
	return store.Object{}, nil
}

func (s *changingStore) List(context.Context, string) ([]store.Object, int64, error) {
	s.calls.Add(1)
	s.lists.Add(1)
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
