package gateway_test

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/gaplink/gaplink/gateway"
)

// Guards against announcements taken from responses of other servers, or ignored in those of the
// server itself: a response on a reused address must not retire the server that is expected there.
func TestWhichAnswersAnnounceLeaving(t *testing.T) {
	const leaving = headerLeaving + ": 1"
	for name, c := range map[string]struct {
		answer script
		leaves bool
	}{
		"a whole answer": {func(c *net.TCPConn, r *http.Request, _ int) {
			send(c, head(r, 200, "Content-Length: 2", leaving), "ok")
		}, true},
		"an error": {func(c *net.TCPConn, r *http.Request, _ int) {
			send(c, head(r, 500, "Content-Length: 0", leaving))
		}, true},
		"a refusal": {func(c *net.TCPConn, r *http.Request, _ int) {
			send(c, head(r, 503, "Content-Length: 0", headerNotRun+": 1", leaving))
		}, true},
		"an answer that breaks off": {func(c *net.TCPConn, r *http.Request, _ int) {
			send(c, head(r, 200, "Content-Length: 9", leaving), "ok")
		}, true},
		"an answer without a length": {func(c *net.TCPConn, r *http.Request, _ int) {
			send(c, head(r, 200, closeField, leaving), "ok")
		}, true},
		"another server's answer": {func(c *net.TCPConn, r *http.Request, n int) {
			send(c, head(r, 500, "Content-Length: 0", headerElsewhere+": 1", leaving))
		}, true}, // that server has taken the address, so the expected one is gone
		"an answer of another request": {func(c *net.TCPConn, r *http.Request, _ int) {
			own := head(r, 200, "Content-Length: 2")
			r.Header.Set(headerID, "another")
			send(c, head(r, 200, "Content-Length: 2", leaving), "no", own, "ok")
		}, false},
		"an unsigned answer": {func(c *net.TCPConn, r *http.Request, _ int) {
			send(c, "HTTP/1.1 200 OK\r\n"+headerID+": "+r.Header.Get(headerID)+"\r\n"+leaving+"\r\nContent-Length: 2\r\n\r\nok")
		}, false},
		"an answer without it": {func(c *net.TCPConn, r *http.Request, _ int) {
			send(c, head(r, 200, "Content-Length: 2", closeField), "ok")
		}, false},
	} {
		t.Run(name, func(t *testing.T) {
			web, _, known := newRegisteredGateway(t, 1, 1, c.answer, func(*gateway.Options) {})
			call(t, web, "HTTP/1.1", "GET", "/safe/x")
			if got := known.Departures() == 1; got != c.leaves {
				t.Errorf("leaving %v", got)
			}
		})
	}
}

// Guards against a caller that waits until its deadline when all servers announced that they are
// leaving, and against a running stream that is cut by the announcement.
func TestAllServersLeaving(t *testing.T) {
	web := newGateway(t, 1, 1, func(c *net.TCPConn, r *http.Request, _ int) {
		send(c, head(r, 200, chunkedField, "Content-Type: text/event-stream", headerLeaving+": 1"), chunk(events(1, 2)), chunk(events(3, 4)), lastChunk)
	})
	if got := call(t, web, "HTTP/1.1", "GET", "/stream/x"); got.status != http.StatusOK || got.claim != complete || got.body != events(1, 4) {
		t.Errorf("the stream of the announcement: %+v", got)
	}
	if got := call(t, web, "HTTP/1.1", "GET", "/once/x"); got.status != http.StatusServiceUnavailable || got.header.Get("Gaplink-Code") != "3003" || got.header.Get("Retry-After") == "" {
		t.Errorf("the request after it: %+v", got)
	}
}

// refuseWithBackoff refuses a request, not run, and asks for a backoff.
func refuseWithBackoff(c *net.TCPConn, r *http.Request, backoff time.Duration) {
	send(c, head(r, 503, "Content-Length: 0", closeField, headerNotRun+": 1", headerBackoff+": "+backoff.String()))
}

// newRefusingGateway returns a gateway whose servers refuse all requests with a backoff, and the
// number of requests that reached them.
func newRefusingGateway(t *testing.T, servers, attempts int, backoff time.Duration) (web *httptest.Server, arrived *atomic.Int64) {
	arrived = &atomic.Int64{}
	return newGateway(t, servers, attempts, func(c *net.TCPConn, r *http.Request, _ int) {
		arrived.Add(1)
		refuseWithBackoff(c, r, backoff)
	}), arrived
}

// Guards against callers that wait, that are told to come back while no server takes requests,
// or whose requests are sent from server to server, when all servers asked for a backoff.
func TestCallerIsRefusedAtOnceWhileAllServersBackOff(t *testing.T) {
	const backoff = 2 * time.Second
	web, arrived := newRefusingGateway(t, 2, 2, backoff)
	for n := range 8 {
		begun := time.Now()
		got := call(t, web, "HTTP/1.1", "GET", "/once/x")
		after, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
		if got.status != http.StatusServiceUnavailable || got.header.Get("Gaplink-Code") != "3009" || err != nil {
			t.Fatalf("request %d: %+v", n, got)
		}
		if least, most := 1.8, 2.5; after < least || after > most {
			t.Errorf("request %d: to come back after %g s, the servers asked for %s", n, after, backoff)
		}
		if took := time.Since(begun); took > 100*time.Millisecond {
			t.Errorf("refused after %s", took)
		}
	}
	if n := arrived.Load(); n != 2 {
		t.Errorf("%d requests reached the two servers", n)
	}
}

// Guards against refusals as if no server were free while another server takes the request.
func TestServerInBackoffIsSkipped(t *testing.T) {
	web := newGateway(t, 2, 2, func(c *net.TCPConn, r *http.Request, n int) {
		if n == 1 {
			refuseWithBackoff(c, r, time.Minute)
			return
		}
		send(c, head(r, 200, "Content-Length: 2", closeField), "ok")
	})
	for n := range 8 {
		if got := call(t, web, "HTTP/1.1", "GET", "/once/x"); got.status != http.StatusOK {
			t.Errorf("request %d: %+v", n, got)
		}
	}
}

// Guards against the log of a request that does not show why its servers were left alone.
func TestAttemptsShowWhatServersAnnounced(t *testing.T) {
	core, logged := observer.New(zap.InfoLevel)
	web, _ := newGatewayWith(t, 1, 1, func(c *net.TCPConn, r *http.Request, _ int) {
		send(c, head(r, 503, "Content-Length: 0", headerNotRun+": 1", headerBackoff+": 3s", headerLeaving+": 1"))
	}, func(o *gateway.Options) { o.Logs.All = zap.New(core) })
	call(t, web, "HTTP/1.1", "GET", "/once/x")
	lines := logged.FilterField(zap.Int("status", 503)).All()
	if len(lines) != 1 {
		t.Fatalf("%d lines", len(lines))
	}
	attempts, _ := lines[0].ContextMap()["attempts"].([]any)
	if len(attempts) != 1 || !strings.HasSuffix(attempts[0].(string), "status 503 framed, server leaving, backoff 3s") {
		t.Errorf("attempts %q", attempts)
	}
}

// Guards against announcements in headers that no code reads, forwarded without a line, and against
// a line for each response or each name that a server makes up.
func TestUnknownHeadersAreLoggedOnce(t *testing.T) {
	core, logged := observer.New(zap.InfoLevel)
	web, _ := newGatewayWith(t, 1, 1, func(c *net.TCPConn, r *http.Request, n int) {
		send(c, head(r, 200, "Content-Length: 2", closeField, "New-Header: 1", fmt.Sprintf("New-%d: 1", n)), "ok")
	}, func(o *gateway.Options) { o.Logs.All = zap.New(core) })
	for range 50 {
		if got := call(t, web, "HTTP/1.1", "GET", "/safe/x"); got.header.Get("New-Header") != "1" {
			t.Fatalf("%+v", got)
		}
	}
	lines := logged.FilterMessageSnippet("unknown header").All()
	names := map[any]int{}
	for _, l := range lines {
		names[l.ContextMap()["header"]]++
	}
	if names["New-Header"] != 1 || len(names) != len(lines) || len(lines) > 40 || lines[len(lines)-1].ContextMap()["further_ones_not_logged"] != true {
		t.Errorf("%d lines: %v", len(lines), names)
	}
}
