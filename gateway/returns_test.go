package gateway_test

import (
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"testing"
	"time"

	"github.com/gaplink/gaplink/gateway"
)

// returnTime returns the Retry-After of a refusal.
func returnTime(t *testing.T, refused reply) time.Duration {
	t.Helper()
	seconds, err := strconv.ParseFloat(refused.header.Get("Retry-After"), 64)
	if err != nil {
		t.Fatalf("status %d, code %s: %v", refused.status, refused.header.Get("Gaplink-Code"), err)
	}
	return time.Duration(seconds * float64(time.Second))
}

// refuse refuses a request, not run, without a time.
func refuse(c *net.TCPConn, r *http.Request, _ int) {
	send(c, head(r, 503, "Content-Length: 0", closeField, headerNotRun+": 1"))
}

// Guards against a switch that does not restore the fixed times, for comparison, and against refusals
// that still state them with it.
func TestRetryAfterIsFixedWithoutReturns(t *testing.T) {
	for name, c := range map[string]struct {
		servers int
		change  func(*gateway.Options)
		fixed   time.Duration
		// least and most bound the computed time of the second refusal.
		least, most time.Duration
	}{
		"servers full":   {32, func(*gateway.Options) {}, 250 * time.Millisecond, 20 * time.Millisecond, 500 * time.Millisecond},
		"no server left": {1, func(*gateway.Options) {}, 500 * time.Millisecond, 20 * time.Millisecond, 500 * time.Millisecond},
		"stale": {1, func(o *gateway.Options) { o.Stale = func() bool { return true } }, 50 * time.Millisecond,
			time.Millisecond, 50 * time.Millisecond},
		"no configuration": {1, func(o *gateway.Options) { o.Config = fixedConfig{} }, 300 * time.Millisecond,
			20 * time.Millisecond, 600 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			fixed, _ := newGatewayWith(t, c.servers, 1, refuse, c.change)
			for range 2 {
				if got := returnTime(t, call(t, fixed, "HTTP/1.1", "GET", "/safe/x")); got != c.fixed {
					t.Errorf("fixed: %v", got)
				}
			}
			computed, _ := newGatewayWith(t, c.servers, 1, refuse, func(o *gateway.Options) {
				c.change(o)
				o.Returns = true
			})
			times := map[time.Duration]bool{}
			for range 8 {
				got := returnTime(t, call(t, computed, "HTTP/1.1", "GET", "/safe/x"))
				if got < c.least || got > c.most {
					t.Errorf("computed: %v", got)
				}
				times[got] = true
			}
			if len(times) < 3 {
				t.Errorf("eight callers come back at %d times", len(times))
			}
		})
	}
}

// Guards against callers told to stay away from a stopping router for longer than it takes to reach
// another one.
func TestStoppingRouterSendsItsCallersElsewhere(t *testing.T) {
	var g *gateway.Gateway
	newGatewayWith(t, 1, 1, refuse, func(o *gateway.Options) {
		o.Returns = true
		g = gateway.New(*o)
	})
	g.RefuseNew()
	web := httptest.NewServer(g)
	t.Cleanup(web.Close)
	got := call(t, web, "HTTP/1.1", "GET", "/safe/x")
	if after := returnTime(t, got); got.header.Get("Gaplink-Code") != "5003" || after <= 0 || after > 50*time.Millisecond {
		t.Errorf("code %s, to come back after %v", got.header.Get("Gaplink-Code"), after)
	}
}
