package gateway_test

import (
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/gaplink/gaplink/gateway"
	"github.com/gaplink/gaplink/lab/clocktest"
)

// TestNoAttemptAfterTheDeadline: the deadline passed while the machine was suspended, although
// the monotonic clock hardly advanced.
func TestNoAttemptAfterTheDeadline(t *testing.T) {
	machine := clocktest.New(t)
	var sent atomic.Int64
	web := newGateway(t, 3, 3, func(c *net.TCPConn, r *http.Request, n int) {
		sent.Store(int64(n))
		if n == 1 {
			machine.Suspend(10 * requestDeadline)
			reset(c)
			return
		}
		send(c, head(r, http.StatusOK, chunkedField), lastChunk)
	})
	if got := call(t, web, "HTTP/1.1", "GET", "/safe/x"); got.status != http.StatusGatewayTimeout {
		t.Errorf("status %d", got.status)
	}
	if n := sent.Load(); n != 1 {
		t.Errorf("%d servers were tried", n)
	}
}

// TestExpiredRequestsEndOnResume: the timers of expired requests did not run during the
// suspension.
func TestExpiredRequestsEndOnResume(t *testing.T) {
	machine := clocktest.New(t)
	arrived := make(chan struct{}, 1)
	web := newGateway(t, 1, 1, func(*net.TCPConn, *http.Request, int) {
		arrived <- struct{}{}
		time.Sleep(2 * requestDeadline)
	})
	go func() {
		<-arrived
		machine.Suspend(10 * requestDeadline)
		web.Config.Handler.(*gateway.Gateway).Resumed()
	}()
	begun := time.Now()
	got := call(t, web, "HTTP/1.1", "GET", "/once/x")
	if took := time.Since(begun); got.status != http.StatusGatewayTimeout || took > requestDeadline/2 {
		t.Errorf("status %d after %s", got.status, took)
	}
}

// TestRequestsInFlightContinueAfterAShortSuspension: the suspension ends before their
// deadline.
func TestRequestsInFlightContinueAfterAShortSuspension(t *testing.T) {
	machine := clocktest.New(t)
	web := newGateway(t, 1, 1, func(c *net.TCPConn, r *http.Request, _ int) {
		machine.Suspend(requestDeadline / 4)
		time.Sleep(requestDeadline / 10)
		send(c, head(r, http.StatusOK, chunkedField), lastChunk)
	})
	go func() {
		time.Sleep(requestDeadline / 20)
		web.Config.Handler.(*gateway.Gateway).Resumed()
	}()
	if got := call(t, web, "HTTP/1.1", "GET", "/once/x"); got.status != http.StatusOK {
		t.Errorf("status %d", got.status)
	}
}
