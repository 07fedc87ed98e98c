package gateway_test

import (
	"net"
	"net/http"
	"strings"
	"testing"
)

// The second server has neither sent an event nor proved that there is none, and the
// first is known to have broken off. An orderly close would be the end of the stream
// to the caller, whose answer has no framing.
func TestEmptyUnframedRunDoesNotEndABrokenStream(t *testing.T) {
	web := newGateway(t, 2, 2, func(c *net.TCPConn, r *http.Request, n int) {
		if n == 1 {
			send(c, head(r, 200, closeField), events(1, 3), "id: 4\nda")
			return
		}
		send(c, head(r, 200, closeField))
	})
	if got := post(t, web, "/stream/x"); got.claim != broken {
		t.Errorf("%s answer: %q", got.claim, got.body)
	}
}

// A comment is no event: a server that dies behind one has proved as little as one
// that dies before it.
func TestUnframedStreamOfCommentsIsAskedForElsewhere(t *testing.T) {
	web := newGateway(t, 2, 2, func(c *net.TCPConn, r *http.Request, n int) {
		if n == 1 {
			send(c, head(r, 200, closeField), ": wait\n\n")
			return
		}
		send(c, head(r, 200, chunkedField), chunk(events(1, 3)), lastChunk)
	})
	if got := post(t, web, "/stream/x"); !strings.HasSuffix(got.body, events(1, 3)) {
		t.Errorf("%s answer: %q", got.claim, got.body)
	}
}
