package gateway_test

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/gaplink/gaplink/gateway"
)

// newHoldingGateway returns a gateway that holds requests, whose route /hasty/ has the given
// objective.
func newHoldingGateway(t *testing.T, servers int, objective time.Duration, answer script, change func(*gateway.Options)) *httptest.Server {
	t.Helper()
	web, _ := newGatewayWith(t, servers, 1, answer, func(o *gateway.Options) {
		o.Returns = true
		o.Config.Catalog().Route("h", "/hasty/x").LatencyObjective = objective
		change(o)
	})
	return web
}

func unchanged(*gateway.Options) {}

// refuseUntilOpen refuses requests, with a backoff of 100 ms, until open is set.
func refuseUntilOpen(open *atomic.Bool, refusals *atomic.Int64) script {
	return func(c *net.TCPConn, r *http.Request, _ int) {
		if !open.Load() {
			refusals.Add(1)
			refuseWithBackoff(c, r, 100*time.Millisecond)
			return
		}
		send(c, head(r, 200, "Content-Length: 2", closeField), "ok")
	}
}

// Guards against a refusal of a request for which a server has room within its objective, and
// against a held request that is refused without having been offered to a server then.
func TestRequestIsHeldForTheEndOfABackoff(t *testing.T) {
	var open atomic.Bool
	var refusals atomic.Int64
	web := newHoldingGateway(t, 1, time.Second, refuseUntilOpen(&open, &refusals), unchanged)
	go func() {
		for refusals.Load() == 0 {
			time.Sleep(time.Millisecond)
		}
		time.Sleep(50 * time.Millisecond)
		open.Store(true)
	}()
	begun := time.Now()
	got := call(t, web, "HTTP/1.1", "GET", "/hasty/x")
	if took := time.Since(begun); got.status != 200 || got.body != "ok" || took < 80*time.Millisecond || took > 500*time.Millisecond {
		t.Errorf("status %d, body %q after %v", got.status, got.body, took)
	}
	if n := refusals.Load(); n != 1 {
		t.Errorf("refused %d times", n)
	}
}

// Guards against a request that is held again and again: it is refused if the servers still have no
// room at the predicted time.
func TestRequestIsHeldOnce(t *testing.T) {
	var open atomic.Bool
	var refusals atomic.Int64
	web := newHoldingGateway(t, 1, time.Second, refuseUntilOpen(&open, &refusals), unchanged)
	begun := time.Now()
	got := call(t, web, "HTTP/1.1", "GET", "/hasty/x")
	if took := time.Since(begun); got.status != 503 || took > 400*time.Millisecond {
		t.Errorf("status %d after %v", got.status, took)
	}
	if n := refusals.Load(); n != 2 {
		t.Errorf("offered to a server %d times", n)
	}
}

// Guards against requests that wait where the switch is off, for room after their
// objective, or while the router stops.
func TestRequestIsRefusedAtOnce(t *testing.T) {
	for name, c := range map[string]struct {
		objective time.Duration
		change    func(*gateway.Options)
	}{
		"without the switch": {time.Second, func(o *gateway.Options) { o.Returns = false }},
		"short objective":    {150 * time.Millisecond, unchanged},
		"no objective":       {0, unchanged},
	} {
		t.Run(name, func(t *testing.T) {
			var open atomic.Bool
			var refusals atomic.Int64
			web := newHoldingGateway(t, 1, c.objective, refuseUntilOpen(&open, &refusals), c.change)
			begun := time.Now()
			got := call(t, web, "HTTP/1.1", "GET", "/hasty/x")
			if took := time.Since(begun); got.status != 503 || took > 80*time.Millisecond || refusals.Load() != 1 {
				t.Errorf("status %d after %v, offered %d times", got.status, took, refusals.Load())
			}
		})
	}
}

// Guards against held requests that delay a planned stop.
func TestStopRefusesHeldRequests(t *testing.T) {
	var g *gateway.Gateway
	newHoldingGateway(t, 1, requestDeadline, func(c *net.TCPConn, r *http.Request, _ int) {
		refuseWithBackoff(c, r, 400*time.Millisecond)
	}, func(o *gateway.Options) { g = gateway.New(*o) })
	web := httptest.NewServer(g)
	t.Cleanup(web.Close)
	time.AfterFunc(100*time.Millisecond, func() { g.Drain(time.Now().Add(time.Minute)) })
	begun := time.Now()
	got := call(t, web, "HTTP/1.1", "GET", "/hasty/x")
	if took := time.Since(begun); got.status != 503 || took < 80*time.Millisecond || took > 350*time.Millisecond {
		t.Errorf("status %d after %v", got.status, took)
	}
}

// Guards against a request that is held for room after its own deadline, which is before its
// objective.
func TestRequestIsNotHeldBeyondItsDeadline(t *testing.T) {
	var refusals atomic.Int64
	web := newHoldingGateway(t, 1, 10*time.Second, func(c *net.TCPConn, r *http.Request, _ int) {
		refusals.Add(1)
		refuseWithBackoff(c, r, 900*time.Millisecond)
	}, unchanged)
	begun := time.Now()
	got := call(t, web, "HTTP/1.1", "GET", "/hasty/x")
	if took := time.Since(begun); got.status != 503 || took > 200*time.Millisecond || refusals.Load() != 1 {
		t.Errorf("status %d after %v, offered %d times", got.status, took, refusals.Load())
	}
}

// Guards against held requests of callers that have disconnected, which take room from others.
func TestCallerThatLeavesIsNotHeld(t *testing.T) {
	var open atomic.Bool
	var refusals atomic.Int64
	var g *gateway.Gateway
	newHoldingGateway(t, 1, time.Second, refuseUntilOpen(&open, &refusals), func(o *gateway.Options) { g = gateway.New(*o) })
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	r := httptest.NewRequestWithContext(ctx, http.MethodGet, "/hasty/x", nil)
	r.Host = "h"
	begun := time.Now()
	func() {
		defer func() { _ = recover() }() // http.ErrAbortHandler
		g.ServeHTTP(httptest.NewRecorder(), r)
	}()
	if took := time.Since(begun); took > 95*time.Millisecond || refusals.Load() != 1 || g.Held() != 0 {
		t.Errorf("ended after %v, offered %d times, %d held", took, refusals.Load(), g.Held())
	}
}
