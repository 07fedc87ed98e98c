package gateway

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/gaplink/gaplink/clock"
	"github.com/gaplink/gaplink/result"
	"github.com/gaplink/gaplink/retryafter"
)

// newCallOf returns a call of an account with a body, as it arrives at a gateway.
func newCallOf(g *Gateway, account, body string) *call {
	c := newHeldCall(Options{})
	c.g = g
	c.r = httptest.NewRequest(http.MethodPost, "/r/x", nil)
	c.account.Name = account
	c.body = []byte(body)
	c.arrived = clock.Now()
	g.checkReturn(c)
	return c
}

// refuseFor refuses a call for a cause and returns its Retry-After.
func refuseFor(c *call, cause retryafter.Cause) time.Duration {
	refusal := c.temporary(result.New(result.NotAccepted, "refused").After(time.Second), cause, time.Second)
	c.planReturn(refusal)
	return refusal.RetryAfter
}

// Guards against callers that get a new, earlier or later, place by coming back early, and against
// callers kept from other routers that have room because they came back early to this one.
func TestEarlyReturnKeepsItsTime(t *testing.T) {
	g := New(Options{Returns: true})
	told := map[string]time.Time{}
	for i := range 20 {
		body := fmt.Sprint(i)
		told[body] = clock.Now().Add(refuseFor(newCallOf(g, "a", body), retryafter.Busy))
	}
	time.Sleep(100 * time.Millisecond)
	for body, due := range told {
		again := refuseFor(newCallOf(g, "a", body), retryafter.Busy)
		if diff := clock.Now().Add(again).Sub(due); diff < -20*time.Millisecond || diff > 20*time.Millisecond {
			t.Errorf("request %s is told a time that differs by %v", body, diff)
		}
		if got := refuseFor(newCallOf(g, "a", body), retryafter.Isolated); got > 50*time.Millisecond {
			t.Errorf("request %s: kept from other routers for %v", body, got)
		}
	}
}

// Guards against an account of disobedient callers that takes room from others, against one that is
// limited though there is room, and against limits of other accounts.
func TestEarlyReturnsAreRefusedFirst(t *testing.T) {
	g := newRefusedCall(Options{}).g
	for i := range 20 {
		refuseFor(newCallOf(g, "early", fmt.Sprint(i)), retryafter.Busy)
		refuseFor(newCallOf(g, "patient", fmt.Sprint(i)), retryafter.Busy)
	}
	for range 2 {
		for i := range 20 {
			newCallOf(g, "early", fmt.Sprint(i))
			newCallOf(g, "patient", fmt.Sprint(100+i))
		}
	}
	limited := newCallOf(g, "early", "new")
	refusal := limited.limitedRefusal()
	if refusal == nil || refusal.Code != result.NotAccepted {
		t.Fatalf("too little room: %v", refusal)
	}
	if limited.hold(t.Context(), refusal) {
		t.Error("held for room")
	}
	if refusal := newCallOf(g, "patient", "0").limitedRefusal(); refusal != nil {
		t.Errorf("another account: %v", refusal)
	}
	time.Sleep(60 * time.Millisecond)
	limited.planReturn(refusal)
	time.Sleep(60 * time.Millisecond) // refusals of limited accounts alone show no lack of room
	if refusal := newCallOf(g, "early", "1").limitedRefusal(); refusal != nil {
		t.Errorf("enough room: %v", refusal)
	}
}

// Guards against equal requests without a body, such as polls of a state, that count as one that comes
// back, and against callers that count as early though the router does not know how long they wait.
func TestRequestsThatCannotBeJudgedAreNotLimited(t *testing.T) {
	for name, c := range map[string]struct {
		body     string
		deadline time.Duration
		judged   bool
	}{"no body": {"", time.Minute, false}, "no deadline": {"x", 0, false}, "both": {"x", time.Minute, true}} {
		g := New(Options{Returns: true})
		judged := false
		for i := range 40 {
			body := c.body
			if body != "" {
				body = fmt.Sprint(i % 10)
			}
			req := newCallOf(g, "a", body)
			req.Deadline = c.deadline
			g.checkReturn(req)
			refuseFor(req, retryafter.Busy)
			judged = judged || req.returned.Limited
		}
		if judged != c.judged {
			t.Errorf("%s: limited %v", name, judged)
		}
	}
}
