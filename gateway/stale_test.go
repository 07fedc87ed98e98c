package gateway_test

import (
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/gaplink/gaplink/gateway"
)

// Guards against a router that sends requests by stale data, and against one that refuses them
// but keeps its callers' connections: each caller returned to it after 50 ms, up to 250 times
// a second, which kept the router busy for seconds.
func TestStaleRouterSendsItsCallersElsewhere(t *testing.T) {
	var stale atomic.Bool
	var arrived atomic.Int64
	web, _ := newGatewayWith(t, 1, 1, func(c *net.TCPConn, r *http.Request, _ int) {
		arrived.Add(1)
		send(c, head(r, 200, "Content-Length: 2", closeField), "ok")
	}, func(o *gateway.Options) { o.Stale = stale.Load })
	for _, c := range []struct {
		stale  bool
		status int
		closes bool
	}{{false, 200, false}, {true, 503, true}, {false, 200, false}} {
		stale.Store(c.stale)
		got := call(t, web, "HTTP/1.1", "GET", "/safe/x")
		if got.status != c.status || got.closes != c.closes {
			t.Errorf("stale %v: status %d, closes the connection %v", c.stale, got.status, got.closes)
		}
		if code, after := got.header.Get("Gaplink-Code"), got.header.Get("Retry-After"); c.stale && (code != "3004" || after == "" || after == "0") {
			t.Errorf("refused with code %s, Retry-After %q s", code, after)
		}
	}
	if arrived.Load() != 2 {
		t.Errorf("%d requests arrived, want 2", arrived.Load())
	}
}

// Guards against a router that refuses requests although it catches up a moment later: a
// process short of CPU is stale for tenths of a second at a time.
func TestRequestWaitsForARouterThatIsSoonUpToDate(t *testing.T) {
	var until atomic.Int64
	web, _ := newGatewayWith(t, 1, 1, func(c *net.TCPConn, r *http.Request, _ int) {
		send(c, head(r, 200, "Content-Length: 2", closeField), "ok")
	}, func(o *gateway.Options) { o.Stale = func() bool { return time.Now().UnixNano() < until.Load() } })
	for _, c := range []struct {
		behind, within time.Duration
		status         int
	}{{100 * time.Millisecond, time.Second, 200}, {2 * time.Second, time.Second, 503}} {
		begun := time.Now()
		until.Store(begun.Add(c.behind).UnixNano())
		got := call(t, web, "HTTP/1.1", "GET", "/once/x")
		if took := time.Since(begun); got.status != c.status || took > c.within {
			t.Errorf("behind for %v: status %d after %v", c.behind, got.status, took)
		}
	}
}

// Guards against a router with too many connections that answers its callers without closing any.
func TestConnectionsAreClosedOnRequest(t *testing.T) {
	var closes atomic.Bool
	web, _ := newGatewayWith(t, 1, 1, func(c *net.TCPConn, r *http.Request, _ int) {
		send(c, head(r, 200, "Content-Length: 2", closeField), "ok")
	}, func(o *gateway.Options) { o.CloseConnections = closes.Load })
	for _, want := range []bool{false, true} {
		closes.Store(want)
		if got := call(t, web, "HTTP/1.1", "GET", "/safe/x"); got.status != 200 || got.closes != want {
			t.Errorf("status %d, closes the connection %v, want %v", got.status, got.closes, want)
		}
	}
}
