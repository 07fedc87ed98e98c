package gateway_test

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/gaplink/gaplink/gateway"
)

// Guards against a request that a planned stop ends without an answer, with one that promises it has not run, or as if its
// server had timed out.
func TestEndOfAStopAnswersARunningRequest(t *testing.T) {
	const stopAfter = 200 * time.Millisecond
	var g *gateway.Gateway
	registry := prometheus.NewRegistry()
	newGatewayWith(t, 1, 1, func(c *net.TCPConn, _ *http.Request, _ int) {
		_, _ = io.Copy(io.Discard, c) // until the router gives the request up
	}, func(o *gateway.Options) {
		o.Metrics = gateway.NewMetrics(registry)
		g = gateway.New(*o)
	})
	web := httptest.NewServer(g)
	t.Cleanup(web.Close)
	end := time.Now().Add(stopAfter)
	g.Drain(end)
	time.AfterFunc(time.Until(end)+10*time.Millisecond, g.EndRequests)
	got := call(t, web, "HTTP/1.1", "GET", "/once/x")
	if took := time.Since(end); got.status != http.StatusGatewayTimeout || got.claim != complete || took > requestDeadline/2 {
		t.Errorf("status %d, %s, %v after the end", got.status, got.claim, took)
	}
	if got := attemptOutcomes(t, registry); !slices.Equal(got, []string{"stopped"}) {
		t.Errorf("outcomes of attempts: %v", got)
	}
}

// attemptOutcomes returns the outcomes that the metrics of attempts have.
func attemptOutcomes(t *testing.T, registry *prometheus.Registry) (outcomes []string) {
	t.Helper()
	families, err := registry.Gather()
	if err != nil {
		t.Fatal(err)
	}
	for _, family := range families {
		if family.GetName() != "gaplink_gateway_attempts_total" {
			continue
		}
		for _, metric := range family.GetMetric() {
			for _, label := range metric.GetLabel() {
				if label.GetName() == "outcome" {
					outcomes = append(outcomes, label.GetValue())
				}
			}
		}
	}
	return outcomes
}
