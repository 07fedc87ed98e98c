package gateway

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"github.com/gaplink/gaplink/budget"
	"github.com/gaplink/gaplink/catalog"
	"github.com/gaplink/gaplink/clock"
	"github.com/gaplink/gaplink/controller/budgets"
	"github.com/gaplink/gaplink/exchange"
	"github.com/gaplink/gaplink/membership"
	"github.com/gaplink/gaplink/result"
	"github.com/gaplink/gaplink/store"
	"github.com/gaplink/gaplink/store/memory"
	"github.com/gaplink/gaplink/wait"
)

// slowStore delays each read, as a saturated link does.
type slowStore struct {
	store.Store
	delay time.Duration
}

func (s slowStore) Get(ctx context.Context, key string) (store.Object, error) {
	if err := wait.For(ctx, s.delay); err != nil {
		return store.Object{}, err
	}
	return s.Store.Get(ctx, key)
}

// oneMember is the membership view of the only router.
type oneMember struct{ budgets.Members }

func (oneMember) Self() membership.Member        { return membership.Member{ID: "self"} }
func (oneMember) First(time.Time, string) string { return "self" }

// newSlowBudgets returns budgets whose tokens are at a store behind a link with the given delay.
func newSlowBudgets(delay time.Duration) *budgets.Controller {
	cfg := budget.DefaultConfig()
	cfg.Pages = 1
	cfg.Self = budget.Peer{ID: "self", Incarnation: "self/1"}
	cfg.Owner = func(time.Time, string) string { return "self" }
	c := budgets.New(cfg, slowStore{memory.New(), delay}, oneMember{}, nil, zap.NewNop(), func() {})
	c.SetLimits(map[string]budget.Limit{"a": {Account: "a", Tokens: 1e6, Version: 1}})
	return c
}

// Guards against refusing requests that have crossed a saturated link because the tokens cross the
// same link: in a run of 61 routers, 3,123 requests of one failure domain got code 2005 after a
// fifth of their objective, and their retries reached routers that were as full.
func TestWaitForTokensIncludesTheLinkDelay(t *testing.T) {
	const delay = 300 * time.Millisecond
	for name, c := range map[string]struct {
		measured, deadline time.Duration
		granted            bool
	}{
		"link is not saturated":      {0, 2 * time.Second, false},
		"saturated":                  {delay, 2 * time.Second, true},
		"more than half of the time": {delay, 400 * time.Millisecond, false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := &Gateway{Options: Options{Budgets: newSlowBudgets(delay), TokenDelay: func() time.Duration { return c.measured }}}
				req := &call{
					g: g, r: httptest.NewRequest(http.MethodGet, "/", nil), Request: exchange.Request{TokensIn: 10},
					route: &catalog.Route{}, account: &catalog.Account{Name: "a", HasBudget: true},
					deadline: clock.Now().Add(c.deadline),
				}
				refusal := g.reserve(req)
				time.Sleep(2 * delay) // until the calls of the store have ended
				if (refusal == nil) != c.granted {
					t.Errorf("refusal %v", refusal)
				}
				if refusal != nil && refusal.Code != result.BudgetUnreachable {
					t.Errorf("code %v", refusal.Code)
				}
			})
		})
	}
}

// Guards against a wait that is shortened by the limit of half the remaining time.
func TestWaitForTokensIsNeverShorterThanNormal(t *testing.T) {
	for _, c := range []struct{ delay, remaining, want time.Duration }{
		{0, time.Second, minReserveWait},
		{time.Second, 20 * time.Millisecond, minReserveWait},
		{time.Second, -time.Second, minReserveWait},
		{100 * time.Millisecond, time.Second, 100*time.Millisecond + minReserveWait},
	} {
		g := &Gateway{Options: Options{TokenDelay: func() time.Duration { return c.delay }}}
		synctest.Test(t, func(t *testing.T) {
			req := &call{g: g, deadline: clock.Now().Add(c.remaining)}
			if got := req.tokenWait(minReserveWait); got != c.want {
				t.Errorf("delay %v, %v left: waits %v, want %v", c.delay, c.remaining, got, c.want)
			}
		})
	}
}
