package gateway

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/gaplink/gaplink/catalog"
	"github.com/gaplink/gaplink/clock"
	"github.com/gaplink/gaplink/result"
)

// fixedConfig is a configuration that never changes.
type fixedConfig struct{ c *catalog.Catalog }

func (s fixedConfig) Catalog() *catalog.Catalog { return s.c }
func (s fixedConfig) Age() time.Duration        { return 0 }

// TestLinkDelayShortensTheDeadline guards against deadlines that ignore queueing at the
// router's link, as for an account with heavy traffic whose callers all reach a router with a
// small link. On a simulated day a read sent at 17.1 s arrived at 18.0 s and got the 504 of its
// route's 2 s timeout at 20.0 s, although its caller counts from 17.1 s.
func TestLinkDelayShortensTheDeadline(t *testing.T) {
	c, err := catalog.New(1, catalog.Limits{}, []*catalog.Route{{
		Name: "r", Host: "h", Prefix: "/r/", Timeout: 2 * time.Second, Split: []catalog.WeightedService{{Service: "s", Weight: 1}},
	}}, []*catalog.Service{{Name: "s"}}, nil)
	if err != nil {
		t.Fatal(err)
	}
	for waits, want := range map[time.Duration]time.Duration{
		0:                      2 * time.Second,
		900 * time.Millisecond: 1100 * time.Millisecond,
		5 * time.Second:        time.Second,
	} {
		g := &Gateway{Options: Options{Config: fixedConfig{c}, LinkDelay: func() time.Duration { return waits }}}
		r := httptest.NewRequest(http.MethodGet, "/r/x", nil)
		r.Host = "h"
		req := &call{g: g, r: r, arrived: clock.Now(), catalog: c}
		if refusal := g.findRoute(req); refusal != nil {
			t.Fatal(refusal)
		}
		if got := req.deadline.Sub(req.arrived) + timeoutMargin; got != want {
			t.Errorf("link wait %v: the request has %v, want %v", waits, got, want)
		}
	}
}

// TestRequestIsNotSentWhenTheRouterTurnsStaleMeanwhile: on a simulated day a request waited
// 2.3 s in a router with a saturated link and reached a server 3.6 s after that server had left.
// While no byte of the request has been sent, another router may take it at once.
func TestRequestIsNotSentWhenTheRouterTurnsStaleMeanwhile(t *testing.T) {
	g := &Gateway{Options: Options{Stale: func() bool { return true }}}
	r := httptest.NewRequest(http.MethodGet, "/r/x", nil)
	a := &attempt{call: &call{g: g, r: r, deadline: clock.Now().Add(time.Minute)}}
	if a.maySend() {
		t.Error("a stale router sent the request")
	}
	stop := a.checkRetry(r.Context(), notReached, a, attemptCounts{unreached: 1})
	if stop == nil || stop.Code != result.NotAccepted || stop.RetryAfter != staleRetryAfter {
		t.Errorf("tried the next server, or ended with %+v", stop)
	}
}
