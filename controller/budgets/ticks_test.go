package budgets_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"github.com/gaplink/gaplink/budget"
	"github.com/gaplink/gaplink/controller/budgets"
	"github.com/gaplink/gaplink/membership"
	"github.com/gaplink/gaplink/peer"
	"github.com/gaplink/gaplink/store"
	"github.com/gaplink/gaplink/store/memory"
	"github.com/gaplink/gaplink/wait"
	"github.com/gaplink/gaplink/wakeups"
)

// alone is a router that knows no other one, and so is the home of all budgets.
type alone struct{ budgets.Members }

func (alone) Self() membership.Member        { return membership.Member{ID: "self"} }
func (alone) First(time.Time, string) string { return "self" }

// slowStore takes a second for each write.
type slowStore struct{ store.Store }

func (s slowStore) Create(ctx context.Context, key string, value []byte) (store.Object, error) {
	_ = wait.For(ctx, time.Second)
	return s.Store.Create(ctx, key, value)
}

// ticked returns how often the agents of this process were ticked while f ran.
func ticked(f func()) int64 {
	before := wakeups.Counts()[wakeups.Budgets]
	f()
	return wakeups.Counts()[wakeups.Budgets] - before
}

// Guards against an agent that is ticked twenty times a second at each of a thousand routers,
// whether it waits for anything or not.
func TestAgentIsTickedByWhatItWaitsFor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cfg := budget.DefaultConfig()
		cfg.Pages = 1
		cfg.Self = budget.Peer{ID: "self", Incarnation: "self/1"}
		c := budgets.New(cfg, slowStore{memory.New()}, alone{}, peer.NewClient(peer.Options{}), zap.NewNop(), func() {})
		go c.Run(t.Context())
		if n := ticked(func() { time.Sleep(20 * time.Second) }); n > 3 {
			t.Errorf("ticked %d times in 20 s without a budget", n)
		}
		c.SetLimits(map[string]budget.Limit{"b": {Account: "b", Tokens: 1000, Version: 1}})
		var err error
		if n := ticked(func() { err = c.Reserve(t.Context(), "b", 10) }); err != nil || n < 15 {
			t.Errorf("ticked %d times while a request waited for a second: %v", n, err)
		}
		if n := ticked(func() { time.Sleep(4 * time.Second) }); n > 12 {
			t.Errorf("ticked %d times in 4 s while tokens are held", n)
		}
		c.Settle("b", 10, 10)
		time.Sleep(time.Hour) // what is idle goes back
		if n := ticked(func() { time.Sleep(20 * time.Second) }); n > 3 {
			t.Errorf("ticked %d times in 20 s after all tokens went back", n)
		}
	})
}
