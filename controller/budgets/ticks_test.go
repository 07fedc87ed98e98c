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

// soloMembers is the membership view of a router without peers, which is thus the owner of all budgets.
type soloMembers struct{ budgets.Members }

func (soloMembers) Self() membership.Member        { return membership.Member{ID: "self"} }
func (soloMembers) First(time.Time, string) string { return "self" }

// slowStore delays each create by one second.
type slowStore struct{ store.Store }

func (s slowStore) Create(ctx context.Context, key string, value []byte) (store.Object, error) {
	_ = wait.For(ctx, time.Second)
	return s.Store.Create(ctx, key, value)
}

// countTicks returns how often the agents of this process were ticked while f ran.
func countTicks(f func()) int64 {
	before := wakeups.Counts()[wakeups.Budgets]
	f()
	return wakeups.Counts()[wakeups.Budgets] - before
}

// Guards against ticking the agent 20 times a second on each of 1000 routers whether or not it
// waits for an answer.
func TestTickIntervalDependsOnWhatTheAgentWaitsFor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cfg := budget.DefaultConfig()
		cfg.Pages = 1
		cfg.Self = budget.Peer{ID: "self", Incarnation: "self/1"}
		c := budgets.New(cfg, slowStore{memory.New()}, soloMembers{}, peer.NewClient(peer.Options{}), zap.NewNop(), func() {})
		go c.Run(t.Context())
		if n := countTicks(func() { time.Sleep(20 * time.Second) }); n > 3 {
			t.Errorf("ticked %d times in 20 s without a budget", n)
		}
		c.SetLimits(map[string]budget.Limit{"b": {Account: "b", Tokens: 1000, Version: 1}})
		var err error
		if n := countTicks(func() { err = c.Reserve(t.Context(), "b", 10) }); err != nil || n < 15 {
			t.Errorf("ticked %d times while a request waited for a second: %v", n, err)
		}
		if n := countTicks(func() { time.Sleep(4 * time.Second) }); n > 12 {
			t.Errorf("ticked %d times in 4 s while tokens are held", n)
		}
		c.Settle("b", 10, 10)
		time.Sleep(time.Hour) // idle tokens are returned
		if n := countTicks(func() { time.Sleep(20 * time.Second) }); n > 3 {
			t.Errorf("ticked %d times in 20 s after all tokens were returned", n)
		}
	})
}
