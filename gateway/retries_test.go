package gateway_test

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/gaplink/gaplink/gateway"
	"github.com/gaplink/gaplink/retry"
)

// TestEachFurtherAttemptIsPaidFor guards against an attempt that a server receives after an earlier one of the same
// request without a retry taken from the budget: after a refusal, a response that broke off, a stream that broke off
// midway, a server that sends nothing, and a request that was held.
func TestEachFurtherAttemptIsPaidFor(t *testing.T) {
	const requests, budget = 12, 3
	const usedShare = 0.8
	for name, c := range map[string]struct {
		path   string
		answer script
	}{
		"refused": {"/safe/x", func(c *net.TCPConn, r *http.Request, _ int) {
			send(c, head(r, 503, "Content-Length: 0", closeField, headerNotRun+": 1"))
		}},
		"refused for another server": {"/once/x", func(c *net.TCPConn, r *http.Request, _ int) {
			send(c, head(r, 421, "Content-Length: 0", closeField, headerNotRun+": 1"))
		}},
		"refused with a backoff, and held": {"/hasty/x", func(c *net.TCPConn, r *http.Request, _ int) {
			refuseWithBackoff(c, r, 20*time.Millisecond)
		}},
		"broken off": {"/safe/x", func(c *net.TCPConn, r *http.Request, _ int) {
			send(c, head(r, 200, "Content-Length: 10"), "ok")
			reset(c)
		}},
		"stream broken off midway": {"/stream/x", func(c *net.TCPConn, r *http.Request, _ int) {
			send(c, head(r, 200, "Content-Type: text/event-stream", chunkedField), chunk(events(1, 2)))
			time.Sleep(20 * time.Millisecond)
			reset(c)
		}},
		"silent": {"/hasty/x", func(c *net.TCPConn, _ *http.Request, _ int) { time.Sleep(300 * time.Millisecond) }},
		"failed": {"/safe/x", func(c *net.TCPConn, r *http.Request, _ int) {
			send(c, head(r, 500, "Content-Length: 0", closeField))
		}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var arrivals atomic.Int64
			web, _ := newGatewayWith(t, 4, 2, func(conn *net.TCPConn, r *http.Request, n int) {
				arrivals.Add(1)
				c.answer(conn, r, n)
			}, func(o *gateway.Options) {
				o.Returns = true
				o.Retries = retry.NewBudgets(time.Time{}, func() retry.Limits { return retry.Limits{Slack: budget / usedShare, Routers: 1} })
			})
			var further int64
			for range requests {
				before := arrivals.Load()
				call(t, web, "HTTP/1.1", "GET", c.path)
				further += max(arrivals.Load()-before-1, 0)
			}
			if further != budget {
				t.Errorf("%d further attempts with %d retries in the budget", further, budget)
			}
		})
	}
}

// TestFewAttemptsAreLeftAtServersThatDoNotAnswer guards against attempts that are given up at servers that are frozen, which
// all arrive when these go on.
func TestFewAttemptsAreLeftAtServersThatDoNotAnswer(t *testing.T) {
	const headerNumber = "Number"
	const requests, slack, allowed = 12, 10, 4 // half of the 0.8 of the slack that is used
	var mu sync.Mutex
	arrivals := map[string]int{}
	further := 0
	web, _ := newGatewayWith(t, 2, 2, func(c *net.TCPConn, r *http.Request, _ int) {
		id := r.Header.Get(headerNumber)
		mu.Lock()
		arrivals[id]++
		first := arrivals[id] == 1
		if !first {
			further++
		}
		mu.Unlock()
		if first {
			time.Sleep(requestDeadline)
			return
		}
		send(c, head(r, 200, "Content-Length: 2"), "ok")
	}, func(o *gateway.Options) {
		o.Retries = retry.NewBudgets(time.Time{}, func() retry.Limits { return retry.Limits{Slack: slack, Routers: 1} })
	})
	var calls sync.WaitGroup
	for i := range requests {
		calls.Go(func() { call(t, web, "HTTP/1.1", "GET", "/hasty/x", fmt.Sprint(headerNumber, ": ", i)) })
	}
	time.Sleep(4 * hastyObjective)
	mu.Lock()
	if further != allowed {
		t.Errorf("%d attempts given up without an answer, want %d", further, allowed)
	}
	mu.Unlock()
	calls.Wait()
}
