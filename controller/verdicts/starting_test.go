package verdicts_test

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"github.com/gaplink/gaplink/controller/verdicts"
	"github.com/gaplink/gaplink/poison"
	"github.com/gaplink/gaplink/store"
	"github.com/gaplink/gaplink/store/memory"
	"github.com/gaplink/gaplink/upstream"
)

// oldestLast asks the routers in the reverse order of their names.
type oldestLast struct{ node }

func (o oldestLast) Peers() []string {
	ids := o.Listeners()
	slices.Sort(ids)
	slices.Reverse(ids)
	return ids
}

// joinAskingOldestLast starts a router without a store that asks the routers which were started last first.
func (b *network) joinAskingOldestLast(ctx context.Context, id string) *verdicts.Controller {
	c := verdicts.New(verdicts.Options{
		Checker: &checker{found: upstream.Gone}, Servers: servers{}, Fleet: oldestLast{node{b, id}}, Log: zap.NewNop(),
	})
	b.mu.Lock()
	b.all[id] = c
	b.mu.Unlock()
	go c.Run(ctx)
	synctest.Wait()
	return c
}

// Guards against a quarantined request that is sent on after most routers were killed: a starting router takes the answer of
// one that knows nothing itself, since it could not catch up, for the state of the fleet.
func TestStartingRouterDoesNotCatchUpFromOneThatKnowsNothing(t *testing.T) {
	for _, young := range []int{1, 3, 5} {
		t.Run(fmt.Sprint(young, " young routers"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newNetwork()
				crashWhileRunning("k", 0, 3, b.joinAskingOldestLast(t.Context(), "r0"))
				b.setUnreachable("r0", true)
				for i := range young {
					b.joinAskingOldestLast(t.Context(), fmt.Sprint("r", i+1))
				}
				time.Sleep(time.Second)
				b.setUnreachable("r0", false)
				before := b.called()
				last := b.joinAskingOldestLast(t.Context(), "r9")
				if quarantined(last) != 1 {
					t.Error("the router has no verdict after its start")
				}
				if n := b.called() - before; n > young+1 {
					t.Errorf("%d calls", n)
				}
				if next := b.joinAskingOldestLast(t.Context(), "s0"); quarantined(next) != 1 {
					t.Error("the next router has no verdict after its start")
				}
			})
		})
	}
}

// Guards against starting routers of which each asks all others each time: where all have started anew and asked each other,
// nobody knows more than they do.
func TestRoutersThatHaveAskedAllOthersAnswerForTheFleet(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newNetwork()
		for i := range 6 {
			b.joinAskingOldestLast(t.Context(), fmt.Sprint("r", i))
		}
		before := b.called()
		last := b.joinAskingOldestLast(t.Context(), "r9")
		if n := b.called() - before; n != 1 {
			t.Errorf("%d calls", n)
		}
		if _, refused := last.Admit(poison.Fingerprint{1}); refused {
			t.Error("a request is refused without a verdict")
		}
	})
}

// laggingStore answers lists that may be old with the objects of a time in the past.
type laggingStore struct {
	store.Store
	old []store.Object
}

func (l *laggingStore) ListStale(context.Context, string) ([]store.Object, int64, error) {
	return l.old, 1, nil
}

func (l *laggingStore) GetStale(ctx context.Context, key string) (store.Object, error) {
	return l.Get(ctx, key)
}

// Guards against a verdict that a large fleet forgets because all its routers are killed within seconds of it: the lists that
// they read at their start may be older than the verdict.
func TestVerdictJustBeforeAllRoutersAreKilledIsNotForgotten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kept := &laggingStore{Store: memory.New()}
		crashWhileRunning("k", 0, 3, newNetwork().join(t.Context(), "r0", kept))
		next := verdicts.New(verdicts.Options{
			Checker: &checker{found: upstream.Gone}, Servers: servers{}, Store: kept, Log: zap.NewNop(),
			Stale: func() bool { return true }, ReadsForOthers: func() bool { return true },
		})
		go next.Run(t.Context())
		synctest.Wait()
		if quarantined(next) != 1 {
			t.Error("the router that reads the store for the others has no verdict")
		}
	})
}
