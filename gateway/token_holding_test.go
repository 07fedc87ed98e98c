package gateway

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/gaplink/gaplink/budget"
	"github.com/gaplink/gaplink/catalog"
	"github.com/gaplink/gaplink/clock"
	"github.com/gaplink/gaplink/controller/budgets"
	"github.com/gaplink/gaplink/exchange"
	"github.com/gaplink/gaplink/membership"
	"github.com/gaplink/gaplink/peer"
	"github.com/gaplink/gaplink/result"
	"github.com/gaplink/gaplink/retryafter"
	"github.com/gaplink/gaplink/store/memory"
)

// alone is the membership view of a fleet of one router.
type alone struct{ budgets.Members }

func (alone) Self() membership.Member        { return membership.Member{ID: "self"} }
func (alone) First(time.Time, string) string { return "self" }

// newBudgets returns the budgets of a router that owns all of them; account b has a budget.
func newBudgets(t *testing.T) *budgets.Controller {
	t.Helper()
	cfg := budget.DefaultConfig()
	cfg.Pages = 1
	cfg.Self = budget.Peer{ID: "self", Incarnation: "self/1"}
	c := budgets.New(cfg, memory.New(), alone{}, peer.NewClient(peer.Options{}), zap.NewNop(), func() {})
	c.SetLimits(map[string]budget.Limit{"b": {Account: "b", Tokens: 1_000_000, Version: 1}})
	go c.Run(t.Context())
	return c
}

// newHeldCall returns a call of account b that needs 100 tokens and has an objective of 400 ms.
func newHeldCall(o Options) *call {
	c := newRefusedCall(o)
	c.r = httptest.NewRequest(http.MethodGet, "/r/x", nil)
	c.reply = reply{w: httptest.NewRecorder(), r: c.r}
	c.arrived = clock.Now()
	c.route.LatencyObjective = 400 * time.Millisecond
	c.account = &catalog.Account{Name: "b", HasBudget: true}
	c.service = &catalog.Service{Name: "svc"}
	c.Request = exchange.Request{TokensIn: 60, MaxTokensOut: 40, Deadline: time.Minute}
	return c
}

// Guards against held requests that keep the tokens which others could use, and against requests sent
// to a server without tokens after they were held.
func TestHeldRequestHoldsNoTokens(t *testing.T) {
	b := newBudgets(t)
	c := newHeldCall(Options{Budgets: b})
	if refusal := c.g.reserve(c); refusal != nil {
		t.Fatal(refusal)
	}
	inUse := func() int64 { return b.DecisionInput("b").Reserved }
	if got := inUse(); got != 100 {
		t.Fatalf("%d tokens reserved", got)
	}
	busy := c.temporary(result.New(result.NotAccepted, "the servers are full"), retryafter.Busy, 100*time.Millisecond)
	offered := make(chan bool)
	go func() { offered <- c.hold(t.Context(), busy) }()
	time.Sleep(50 * time.Millisecond)
	if got := inUse(); got != 0 || c.g.Held() != 1 {
		t.Errorf("%d tokens reserved, %d requests held", got, c.g.Held())
	}
	if !<-offered {
		t.Fatal("not offered to a server")
	}
	if refusal := c.retryHeld(); refusal != nil || inUse() != 100 || c.reserved != 100 {
		t.Errorf("%v, %d tokens reserved", refusal, inUse())
	}
}

// Guards against refusals of requests for which tokens come within their objective, and against
// requests held for an outage that ends too late for them.
func TestRequestIsHeldForTheEndOfAnOutage(t *testing.T) {
	for name, c := range map[string]struct {
		outages []time.Duration // lengths met before
		held    bool
	}{"ends soon": {[]time.Duration{150 * time.Millisecond}, true}, "ends late": {nil, false}} {
		t.Run(name, func(t *testing.T) {
			begun := clock.Now()
			lost := func() bool { return clock.Since(begun) < 100*time.Millisecond }
			req := newHeldCall(Options{StoreLost: lost})
			for _, length := range c.outages {
				req.g.returns.planner.ReportedOutage(length)
			}
			req.g.StoreRemaining() // observes the loss
			refusal := req.budgetRefusal(result.New(result.BudgetUnreachable, "no answer").After(time.Second))
			if got := req.hold(t.Context(), refusal); got != c.held {
				t.Errorf("held %v", got)
			}
			if took := clock.Since(begun); c.held != (took >= 100*time.Millisecond) || took > 250*time.Millisecond {
				t.Errorf("ended after %v", took)
			}
		})
	}
}

// Guards against a request that waits for room of which only the rate of ends tells, and does not come.
func TestHeldRequestIsRefusedWhenThePredictionFails(t *testing.T) {
	c := newHeldCall(Options{})
	now := clock.Now()
	for i := range 40 { // 20 per second
		c.g.returns.planner.Ended(now.Add(time.Duration(i-40)*50*time.Millisecond), "svc")
	}
	busy := c.temporary(result.New(result.NotAccepted, "the servers are full"), retryafter.Busy, 0)
	begun := time.Now()
	if c.hold(t.Context(), busy) {
		t.Error("offered to a server")
	}
	if took := time.Since(begun); took < 90*time.Millisecond || took > 200*time.Millisecond {
		t.Errorf("refused after %v, the delay target is 100 ms", took)
	}
	next := newHeldCall(Options{})
	next.g = c.g
	busy = next.temporary(result.New(result.NotAccepted, "the servers are full"), retryafter.Busy, 0)
	if begun = time.Now(); next.hold(t.Context(), busy) || time.Since(begun) > 60*time.Millisecond {
		t.Errorf("the next one was held for %v", time.Since(begun))
	}
}

// Guards against requests that wait on when a server has room.
func TestEndOfARequestMakesRoomForAHeldOne(t *testing.T) {
	c := newHeldCall(Options{})
	now := clock.Now()
	for i := range 40 {
		c.g.returns.planner.Ended(now.Add(time.Duration(i-40)*50*time.Millisecond), "svc")
	}
	busy := c.temporary(result.New(result.NotAccepted, "the servers are full"), retryafter.Busy, 0)
	time.AfterFunc(30*time.Millisecond, func() {
		c.g.holding.release(retryafter.Room{Cause: retryafter.Busy, Key: "other"}, 1)
	})
	time.AfterFunc(60*time.Millisecond, func() {
		c.g.holding.release(retryafter.Room{Cause: retryafter.Busy, Key: "svc"}, 1)
	})
	begun := time.Now()
	if !c.hold(t.Context(), busy) {
		t.Error("refused")
	}
	if took := time.Since(begun); took < 50*time.Millisecond {
		t.Errorf("offered after %v", took)
	}
}

// Guards against all requests held for the end of a backoff being offered in one moment, when servers
// take few: most would be refused after they had waited.
func TestRequestsHeldForABackoffAreOfferedOneAfterAnother(t *testing.T) {
	c := newHeldCall(Options{})
	refusal := c.temporary(result.New(result.ServersOverloaded, "backoff"), retryafter.Busy, 50*time.Millisecond)
	var offered []time.Duration
	begun := clock.Now()
	results := make(chan time.Duration)
	for range 4 {
		next := newHeldCall(Options{})
		next.g = c.g
		next.temporaryRefusal, next.reason = refusal, c.reason
		go func() {
			if next.hold(t.Context(), refusal) {
				results <- clock.Since(begun)
				return
			}
			results <- -1
		}()
	}
	refused := 0
	for range 4 {
		if at := <-results; at >= 0 {
			offered = append(offered, at)
		} else {
			refused++
		}
	}
	// Room is predicted after 50, 150, 250 and 350 ms; half of the objective is 200 ms.
	if len(offered) != 2 || refused != 2 || offered[0] < 45*time.Millisecond || offered[1]-offered[0] < 60*time.Millisecond {
		t.Errorf("offered after %v, %d refused", offered, refused)
	}
}
