package gateway_test

import (
	"net"
	"net/http"
	"testing"

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
