package gateway_test

import (
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/gaplink/gaplink/gateway"
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

// A stop closes the connections of callers once no request is in the gateway, and a
// kill closes them at any time. Without framing the close must be a reset until the
// last byte has left the process, also what net/http still holds when the handler
// returns.
func TestUnframedAnswerIsNotEndedBeforeItsLastByteIsSent(t *testing.T) {
	const size = 5000 // more than net/http's buffers hold, so that a part is out
	inner := newGateway(t, 1, 1, func(c *net.TCPConn, r *http.Request, _ int) {
		send(c, head(r, 200, closeField), strings.Repeat("x", size))
	})
	var web *httptest.Server
	web = httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		inner.Config.Handler.ServeHTTP(w, r)
		_ = web.Config.Close()
	}))
	web.Config.ConnContext = gateway.ConnContext
	web.Start()
	defer web.Close()
	got := post(t, web, "/once/x")
	if got.claim != broken && len(got.body) != size {
		t.Errorf("%s answer with %d of %d bytes", got.claim, len(got.body), size)
	}
}

// Ids rise within a run. An event without an id between two others does not change
// what the caller has, so a number that goes back behind it is out of order.
func TestNumbersDoNotGoBackBehindAnEventWithoutAnID(t *testing.T) {
	const unnamed = "data: a\n\n"
	cases := map[string][2]string{
		"one run":     {events(1, 3) + unnamed + events(2, 4), ""},
		"resumed run": {events(1, 3), events(4, 6) + unnamed + events(2, 4)},
	}
	for name, runs := range cases {
		t.Run(name, func(t *testing.T) {
			web := newGateway(t, 2, 2, func(c *net.TCPConn, r *http.Request, n int) {
				send(c, head(r, 200, chunkedField), chunk(runs[n-1]))
				if n == 2 || runs[1] == "" {
					send(c, lastChunk)
				}
			})
			got := post(t, web, "/stream/x")
			if got.claim == complete || strings.Contains(got.body, unnamed+events(2, 2)) {
				t.Errorf("%s answer: %q", got.claim, got.body)
			}
		})
	}
}

// A run that only repeats what the caller has must come as far as the caller is,
// also if it comes no further than the event with the number 0.
func TestRepeatedEventZeroDoesNotEndAStream(t *testing.T) {
	web := newGateway(t, 2, 2, func(c *net.TCPConn, r *http.Request, n int) {
		if n == 1 {
			send(c, head(r, 200, chunkedField), chunk(events(0, 3)))
			return
		}
		send(c, head(r, 200, chunkedField), chunk(events(0, 0)), lastChunk)
	})
	if got := post(t, web, "/stream/x"); got.claim != broken || got.body != events(0, 3) {
		t.Errorf("%s answer: %q", got.claim, got.body)
	}
}

// Of two id fields in one event the last one names it.
func TestLastIDFieldNamesTheEvent(t *testing.T) {
	web := newGateway(t, 2, 2, func(c *net.TCPConn, r *http.Request, n int) {
		if n == 1 {
			send(c, head(r, 200, chunkedField), chunk("id: 1\ndata: a\n\n"), chunk("id: 2\nid: 9\ndata: a\n\n"))
			return
		}
		if at := r.Header.Get(headerLastEvent); at != "9" {
			t.Errorf("resumed after %q", at)
		}
		send(c, head(r, 200, chunkedField), lastChunk)
	})
	post(t, web, "/stream/x")
}

// An answer that is no event stream is no part of one, also with the status 200: it
// neither goes into the stream nor ends it.
func TestStreamIsNotEndedByAnAnswerThatIsNoStream(t *testing.T) {
	web := newGateway(t, 2, 2, func(c *net.TCPConn, r *http.Request, n int) {
		if n == 1 {
			send(c, head(r, 200, "Content-Type: text/event-stream", chunkedField), chunk(events(1, 3)))
			return
		}
		send(c, head(r, 200, "Content-Type: application/json", chunkedField), chunk("{\"error\":\"x\"}\r\n\r\n"), lastChunk)
	})
	if got := post(t, web, "/stream/x"); got.claim != broken || got.body != events(1, 3) {
		t.Errorf("%s answer: %q", got.claim, got.body)
	}
}
