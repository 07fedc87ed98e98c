package gateway

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/gaplink/gaplink/catalog"
	"github.com/gaplink/gaplink/clock"
	"github.com/gaplink/gaplink/logs"
	"github.com/gaplink/gaplink/result"
)

// newRefusedCall returns a call of a gateway that computes Retry-After values, with a minute left.
func newRefusedCall(o Options) *call {
	o.Returns = true
	o.Logs = logs.Loggers{All: zap.NewNop(), Sampled: zap.NewNop()}
	g := New(o)
	return &call{g: g, reply: reply{w: httptest.NewRecorder()}, route: &catalog.Route{Name: "r"}, deadline: clock.Now().Add(time.Minute)}
}

func yes() bool { return true }

// Guards against callers kept away from a router that alone cannot reach the store or has a saturated
// link, though others have room; against callers of an outage that come back before its predicted end;
// and against an exhausted budget, which waiting does not help, treated as an outage.
func TestReturnAfterARefusalForTokens(t *testing.T) {
	const predicted = 3 * time.Second
	for name, c := range map[string]struct {
		options     Options
		code        result.Code
		least, most time.Duration
	}{
		"store lost":     {Options{}, result.BudgetUnreachable, predicted, predicted + 250*time.Millisecond},
		"link saturated": {Options{LinkSaturated: yes}, result.BudgetUnreachable, time.Millisecond, 50 * time.Millisecond},
		"exhausted":      {Options{LinkSaturated: yes}, result.BudgetExhausted, predicted, predicted},
	} {
		t.Run(name, func(t *testing.T) {
			req := newRefusedCall(c.options)
			for range 100 {
				refusal := req.budgetRefusal(result.New(c.code, "refused").After(predicted))
				req.planReturn(refusal)
				if got := refusal.RetryAfter; got < c.least || got > c.most {
					t.Fatalf("to come back after %v", got)
				}
			}
		})
	}
}

// Guards against callers sent to other routers in the first moment of an outage of all of them, when
// updates received just before it still count; they would be refused there again. Later they are sent
// there, on a new connection.
func TestCallersAreSentElsewhereOnceTheStoreIsKnownToAnswerThere(t *testing.T) {
	suspended := time.Duration(0)
	defer clock.Replace(func() time.Duration { return suspended })()
	c := newRefusedCall(Options{StoreLost: yes, StoreElsewhere: yes})
	c.g.StoreRemaining() // observes the loss
	for _, elsewhere := range []bool{false, true} {
		refusal := c.budgetRefusal(result.New(result.BudgetUnreachable, "refused").After(3 * time.Second))
		c.planReturn(refusal)
		closes := c.reply.w.Header().Get("Connection") == "close"
		if got := refusal.RetryAfter; (got <= 50*time.Millisecond) != elsewhere || closes != elsewhere {
			t.Errorf("lost for %v: to come back after %v, closes the connection %v", suspended, got, closes)
		}
		suspended += 1600 * time.Millisecond
	}
}

// Guards against an outage of the store whose length is not learned, and against one that is predicted
// while the store answers.
func TestStoreOutageIsPredicted(t *testing.T) {
	lost := false
	g := New(Options{Returns: true, StoreLost: func() bool { return lost }})
	suspended := time.Duration(0)
	defer clock.Replace(func() time.Duration { return suspended })()
	check := func(least, most time.Duration) {
		t.Helper()
		if got := g.StoreRemaining(); got < least || got > most {
			t.Errorf("%v remaining, want %v to %v", got, least, most)
		}
	}
	check(0, 0)
	suspended += time.Second
	lost = true
	check(4900*time.Millisecond, 5*time.Second)
	suspended += 3 * time.Second
	check(1900*time.Millisecond, 2*time.Second)
	suspended += 300 * time.Millisecond
	lost = false
	check(0, 0)
	suspended += time.Minute
	lost = true
	check(3200*time.Millisecond, 3400*time.Millisecond)
}

// Guards against the fixed time, which callers of a short outage wait for in vain, and against a
// prediction without a switch.
func TestNoPredictionWithoutReturns(t *testing.T) {
	g := New(Options{StoreLost: yes})
	if got := g.StoreRemaining(); got != 0 {
		t.Errorf("%v remaining", got)
	}
}

// Guards against refusals whose time nobody can explain: the log line has its cause and inputs, and the
// histogram its value by cause.
func TestComputedTimeIsLoggedAndCounted(t *testing.T) {
	registry := prometheus.NewRegistry()
	core, lines := observer.New(zap.InfoLevel)
	c := newRefusedCall(Options{Metrics: NewMetrics(registry), Config: fixedConfig{}})
	c.g.Logs = logs.Loggers{All: zap.New(core), Sampled: zap.NewNop()}
	c.r = httptest.NewRequest(http.MethodGet, "/r/x", nil)
	refusal := c.budgetRefusal(result.New(result.BudgetUnreachable, "refused").After(3 * time.Second))
	c.planReturn(refusal)
	c.outcome = result.NotAccepted
	c.log()
	if lines.Len() != 1 {
		t.Fatalf("%d lines", lines.Len())
	}
	fields := lines.All()[0].ContextMap()
	if fields["return_cause"] != "tokens" || fields["room_in_ms"] != 3*time.Second || fields["return_after_ms"] != refusal.RetryAfter {
		t.Errorf("logged %v", fields)
	}
	families, err := registry.Gather()
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range families {
		if f.GetName() != "gaplink_gateway_retry_after_seconds" {
			continue
		}
		if m := f.GetMetric(); len(m) != 1 || m[0].GetHistogram().GetSampleCount() != 1 || m[0].GetLabel()[0].GetValue() != "tokens" {
			t.Errorf("counted %v", m)
		}
		return
	}
	t.Error("no histogram")
}
