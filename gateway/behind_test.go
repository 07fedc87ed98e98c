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

// still is a configuration that never changes.
type still struct{ c *catalog.Catalog }

func (s still) Catalog() *catalog.Catalog { return s.c }
func (s still) Age() time.Duration        { return 0 }

// TestTimeAtTheLinkIsOfTheRequest: the pattern is a hot account whose callers all reach a
// router with a small link. On a played day a read that was sent at 17.1 s arrived at
// 18.0 s and got the 504 of its route's two seconds at 20.0 s, where its caller counts
// from 17.1 s.
func TestTimeAtTheLinkIsOfTheRequest(t *testing.T) {
	c, err := catalog.New(1, catalog.Limits{}, []*catalog.Route{{
		Name: "r", Host: "h", Prefix: "/r/", Timeout: 2 * time.Second, Split: []catalog.Share{{Service: "s", Weight: 1}},
	}}, []*catalog.Service{{Name: "s"}}, nil)
	if err != nil {
		t.Fatal(err)
	}
	for waits, want := range map[time.Duration]time.Duration{
		0:                      2 * time.Second,
		900 * time.Millisecond: 1100 * time.Millisecond,
		5 * time.Second:        time.Second,
	} {
		g := &Gateway{Parts: Parts{Config: still{c}, LinkWait: func() time.Duration { return waits }}}
		r := httptest.NewRequest(http.MethodGet, "/r/x", nil)
		r.Host = "h"
		one := &call{g: g, r: r, arrived: clock.Now(), catalog: c}
		if refusal := g.findRoute(one); refusal != nil {
			t.Fatal(refusal)
		}
		if got := one.deadline.Sub(one.arrived) + timeoutMargin; got != want {
			t.Errorf("with a wait of %v the request has %v, want %v", waits, got, want)
		}
	}
}

// TestRequestIsNotSentWhenTheRouterTurnsStaleMeanwhile: on a played day a request waited for
// 2.3 s in a router with a full link, and reached a server 3.6 s after that had left. Nothing of
// it has gone out, so another router may take it at once.
func TestRequestIsNotSentWhenTheRouterTurnsStaleMeanwhile(t *testing.T) {
	g := &Gateway{Parts: Parts{Stale: func() bool { return true }}}
	r := httptest.NewRequest(http.MethodGet, "/r/x", nil)
	a := &attempt{call: &call{g: g, r: r, deadline: clock.Now().Add(time.Minute)}}
	if a.holds() {
		t.Error("the request is sent")
	}
	stop := a.mayGoOn(r.Context(), notReached, a, tally{unreached: 1})
	if stop == nil || stop.Code != result.NotAccepted || stop.RetryAfter != elsewhereRetry {
		t.Errorf("it goes on to the next server, or ends with %+v", stop)
	}
}
