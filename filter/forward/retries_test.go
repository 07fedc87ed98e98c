package forward_test

import (
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/gaplink/gaplink/clock"
	"github.com/gaplink/gaplink/controller/verdicts"
	"github.com/gaplink/gaplink/engine"
	"github.com/gaplink/gaplink/filter"
	"github.com/gaplink/gaplink/filter/forward"
	"github.com/gaplink/gaplink/metrics"
	"github.com/gaplink/gaplink/retry"
	"github.com/gaplink/gaplink/table"
	"github.com/gaplink/gaplink/upstream"
)

// TestRestartedRoutersKeepToTheRetryBudget guards against routers that each begin with retries of their own whenever
// their process starts, so that all together retry far beyond the share of requests that the operator allows.
func TestRestartedRoutersKeepToTheRetryBudget(t *testing.T) {
	const routers, lives, requests = 8, 4, 10
	const ratio, slack = 0.2, 50
	var arrivals atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		arrivals.Add(1)
		_, _ = io.Copy(io.Discard, r.Body)
		w.Header().Set(engine.HeaderAttempt, r.Header.Get(engine.HeaderAttempt))
		w.Header().Set(engine.HeaderNotAccepted, "true")
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	t.Cleanup(server.Close)
	client := engine.NewClient()
	t.Cleanup(client.Close)
	routes := oneServer{strings.TrimPrefix(server.URL, "http://")}
	for range routers * lives {
		v := verdicts.New(verdicts.Options{Checker: upstream.New(upstream.Options{}), Servers: noneDraining{}, Log: zap.NewNop()})
		h := forward.New(emptyConfig{}, routes, client, v, metrics.New(), rand.New(rand.NewPCG(1, 1)), newOptions(ratio, slack, routers))
		for range requests {
			x := &filter.Exchange{W: httptest.NewRecorder(), R: httptest.NewRequest(http.MethodPost, "/", nil), ID: "r", Kind: table.Service, Target: "s", Log: zap.NewNop()}
			_ = h.Serve(t.Context(), x) // refused by the server
		}
	}
	const all = routers * lives * requests
	further := arrivals.Load() - all
	if allowed := ratio*float64(all) + slack; float64(further) > allowed {
		t.Errorf("%d further attempts for %d requests, %g allowed", further, all, allowed)
	}
}

func newOptions(ratio, slack float64, routers int) forward.Options {
	limits := retry.Limits{Ratio: ratio, Slack: slack, Window: 10 * time.Second, Routers: routers}
	return forward.Options{Attempts: 3, Retries: retry.NewBudgets(clock.Now(), func() retry.Limits { return limits })}
}
