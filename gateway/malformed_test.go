package gateway_test

import (
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/gaplink/gaplink/lab/tcptest"
	"github.com/gaplink/gaplink/result"
)

// TestMalformedAnswerIsNotPassedOn guards against a head that HTTP does not allow and that a caller gets as an answer,
// waits for until its deadline, or has run again although the request may run only once. A server that sends one may
// have run the request.
func TestMalformedAnswerIsNotPassedOn(t *testing.T) {
	const signed = headerID + ": r1\r\n" + headerSigned + ": yes\r\nContent-Type: text/event-stream\r\n"
	for _, fields := range []string{signed, signed + headerNotRun + ": yes\r\n"} {
		for name, text := range tcptest.MalformedResponses(fields) {
			for _, route := range uploadRoutes {
				t.Run(name+", "+route, func(t *testing.T) {
					t.Parallel()
					checkMalformed(t, text, route)
				})
			}
		}
	}
}

// checkMalformed sends a request of a route to a server that answers it with text, and has a second server.
func checkMalformed(t *testing.T, text, route string) {
	const soon = 500 * time.Millisecond
	var arrivals atomic.Int64
	web := newGateway(t, 2, 2, func(c *net.TCPConn, r *http.Request, n int) {
		arrivals.Add(1)
		if n == 1 {
			send(c, text, head(r, 200, "Content-Length: 6"), "second")
			_, _ = io.Copy(io.Discard, c)
			return
		}
		send(c, head(r, 200, chunkedField), chunk(events(1, 2)), lastChunk)
	})
	began := time.Now()
	got := post(t, web, "/"+route+"/x")
	if took := time.Since(began); took > soon {
		t.Errorf("answered after %v", took)
	}
	runsOnce := route == "once"
	switch {
	case runsOnce && (got.status != http.StatusBadGateway || got.header.Get("Gaplink-Code") != strconv.Itoa(int(result.BackendCut))):
		t.Errorf("status %d, code %s, %q", got.status, got.header.Get("Gaplink-Code"), got.body)
	case runsOnce && arrivals.Load() != 1:
		t.Errorf("sent %d times", arrivals.Load())
	case !runsOnce && (got.status != http.StatusOK || got.claim != complete || got.body != events(1, 2) || arrivals.Load() != 2):
		t.Errorf("status %d, %s, %q, sent %d times", got.status, got.claim, got.body, arrivals.Load())
	}
}
