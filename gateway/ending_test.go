package gateway_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"
)

// delivery is more than loopback takes to deliver what a server has sent; a reset
// discards the rest.
const delivery = 100 * time.Millisecond

// post sends a POST without a body over HTTP/1.1.
func post(t *testing.T, web *httptest.Server, path string) reply {
	t.Helper()
	return call(t, web, "HTTP/1.1", http.MethodPost, path, "Content-Length: 0")
}

// Seen: a stream of some events reached its caller as complete, with the head and
// signature of its server and the last chunk of a chunked body, and the rest of the
// events was missing.
//
// How it came about: the server broke off in the middle, and the stream went on at
// another server, as its route allows. That one answered an error.
//
// Cause: whatever is not a 200 was passed on as a plain answer, also when the
// caller had the head and some events of another answer already. The error's body
// went into the stream, and the handler returned in order, which ends the caller's
// answer as complete. Nothing asked whether the end of the stream had been seen.
//
// Proof: in the log, each short answer had a head of status 200 and a last attempt
// of another status, and no other request had; the servers' answers are scripted
// here.
func TestStreamIsNotEndedByTheErrorOfAnotherServer(t *testing.T) {
	bodies := map[string][2]string{
		"length": {"Content-Length: 5", "error"},
		"chunks": {chunkedField, chunk("error") + lastChunk},
		"close":  {closeField, "error"},
		"empty":  {"Content-Length: 0", ""},
	}
	for _, status := range []int{204, 304, 400, 404, 500, 503, 504} {
		for name, body := range bodies {
			t.Run(fmt.Sprint(status, " ", name), func(t *testing.T) {
				web := newGateway(t, 2, 2, func(c *net.TCPConn, r *http.Request, n int) {
					if n == 1 {
						send(c, head(r, 200, chunkedField), chunk(events(1, 3)))
						return
					}
					send(c, head(r, status, body[0]), body[1])
				})
				got := post(t, web, "/stream/x")
				if got.claim != broken || got.body != events(1, 3) {
					t.Fatalf("%s answer of status %d: %q; three events of more must be broken off", got.claim, got.status, got.body)
				}
			})
		}
	}
}

// An answer with neither length nor chunks ends with its connection, and a server
// that dies between two writes ends it in the same way: the router cannot tell
// whether it was whole, and must not tell its caller that it was. Whole answers
// come so too, so none is withheld.
func TestUnframedAnswerIsPassedOnUnframed(t *testing.T) {
	for _, path := range []string{"/stream/x", "/once-stream/x", "/safe/x", "/once/x"} {
		t.Run(path, func(t *testing.T) {
			web := newGateway(t, 2, 2, func(c *net.TCPConn, r *http.Request, _ int) {
				send(c, head(r, 200, closeField), events(1, 3))
			})
			got := post(t, web, path)
			if got.claim != unframed || got.body != events(1, 3) {
				t.Errorf("%s answer: %q", got.claim, got.body)
			}
			if old := call(t, web, "HTTP/1.0", http.MethodPost, path, "Content-Length: 0"); old.claim != unframed || old.body != events(1, 3) {
				t.Errorf("%s answer over HTTP/1.0: %q", old.claim, old.body)
			}
		})
	}
}

// A large answer is passed on as it arrives, with the framing that its server gave.
func TestLargeAnswerKeepsItsFraming(t *testing.T) {
	large := strings.Repeat("x", 3<<20)
	for name, k := range map[string]struct {
		field, body string
		want        claim
		length      string
	}{
		"length": {fmt.Sprint("Content-Length: ", len(large)), large, complete, fmt.Sprint(len(large))},
		"chunks": {chunkedField, chunk(large) + lastChunk, complete, ""},
		"close":  {closeField, large, unframed, ""},
	} {
		web := newGateway(t, 1, 1, func(c *net.TCPConn, r *http.Request, _ int) { send(c, head(r, 200, k.field), k.body) })
		got := post(t, web, "/once/x")
		if got.claim != k.want || got.body != large || got.header.Get("Content-Length") != k.length {
			t.Errorf("%s: %s answer of %d bytes, length %q", name, got.claim, len(got.body), got.header.Get("Content-Length"))
		}
	}
}

// An answer that has begun to reach its caller cannot be replaced, so it is not given
// up for lateness either.
func TestLargeAnswerThatHasBegunIsNotGivenUp(t *testing.T) {
	large := strings.Repeat("x", 3<<20)
	web := newGateway(t, 2, 2, func(c *net.TCPConn, r *http.Request, _ int) {
		send(c, head(r, 200, fmt.Sprint("Content-Length: ", len(large))), large[:2<<20])
		time.Sleep(2 * hastyObjective)
		send(c, large[2<<20:])
	})
	if got := post(t, web, "/hasty/x"); got.claim != complete || got.body != large {
		t.Errorf("%s answer of %d bytes", got.claim, len(got.body))
	}
}

// A server that dies before the first byte closes its connection as one does that
// has nothing to say. Nothing is lost by asking another one.
func TestUnframedEmptyAnswerIsAskedForElsewhere(t *testing.T) {
	web := newGateway(t, 2, 2, func(c *net.TCPConn, r *http.Request, n int) {
		if n == 1 {
			send(c, head(r, 200, closeField))
			return
		}
		send(c, head(r, 200, "Content-Length: 2"), "ok")
	})
	if got := post(t, web, "/safe/x"); got.claim != complete || got.body != "ok" {
		t.Errorf("%s answer of status %d: %q", got.claim, got.status, got.body)
	}
}

// A server that dies before the first event closes its connection as one does that
// has nothing to say. Nothing is lost by asking another one.
func TestUnframedEmptyStreamIsAskedForElsewhere(t *testing.T) {
	web := newGateway(t, 2, 2, func(c *net.TCPConn, r *http.Request, n int) {
		if n == 1 {
			send(c, head(r, 200, closeField))
			return
		}
		send(c, head(r, 200, chunkedField), chunk(events(1, 3)), lastChunk)
	})
	if got := post(t, web, "/stream/x"); got.claim != complete || got.body != events(1, 3) {
		t.Errorf("%s answer of status %d: %q", got.claim, got.status, got.body)
	}
}

// A caller whose answer has no framing takes a closed connection for its end, so
// an answer that broke off must reach it as a reset.
func TestBrokenAnswerNeverLooksComplete(t *testing.T) {
	large := strings.Repeat("x", 3<<20)
	endings := map[string]script{
		"framed, cut": func(c *net.TCPConn, r *http.Request, _ int) {
			send(c, head(r, 200, chunkedField), chunk(events(1, 3)))
		},
		"unframed, reset": func(c *net.TCPConn, r *http.Request, _ int) {
			send(c, head(r, 200, closeField), events(1, 3))
			reset(c)
		},
		"unframed, cut inside an event": func(c *net.TCPConn, r *http.Request, _ int) {
			send(c, head(r, 200, closeField), events(1, 3), "id: 4\nda")
		},
		"silent": func(c *net.TCPConn, r *http.Request, _ int) {
			send(c, head(r, 200, chunkedField), chunk(events(1, 3)))
			_, _ = c.Read(make([]byte, 1)) // until the gateway gives up
		},
	}
	for name, ending := range endings {
		for _, version := range []string{"HTTP/1.1", "HTTP/1.0"} {
			t.Run(name+" "+version, func(t *testing.T) {
				web := newGateway(t, 2, 1, ending)
				got := call(t, web, version, http.MethodPost, "/once-stream/x", "Content-Length: 0")
				if got.claim != broken {
					t.Errorf("%s answer: %q", got.claim, got.body)
				}
			})
		}
	}
	for name, framing := range map[string][2]string{
		"length":   {fmt.Sprint("Content-Length: ", len(large)+1), large},
		"chunks":   {chunkedField, chunk(large)},
		"no frame": {closeField, large},
	} {
		t.Run("large answer, "+name, func(t *testing.T) {
			web := newGateway(t, 1, 1, func(c *net.TCPConn, r *http.Request, _ int) {
				send(c, head(r, 200, framing[0]), framing[1])
				time.Sleep(delivery)
				reset(c)
			})
			for _, version := range []string{"HTTP/1.1", "HTTP/1.0"} {
				if got := call(t, web, version, http.MethodPost, "/once/x", "Content-Length: 0"); got.claim != broken {
					t.Errorf("%s answer over %s of %d bytes", got.claim, version, len(got.body))
				}
			}
		})
	}
	t.Run("writer without a connection", func(t *testing.T) {
		web := newGateway(t, 1, 1, endings["framed, cut"])
		defer func() {
			if recover() != http.ErrAbortHandler {
				t.Error("the handler returned in order, which ends the answer as complete")
			}
		}()
		r := httptest.NewRequest(http.MethodPost, "/once-stream/x", nil)
		r.Host = "h"
		r.Header.Set(headerID, "r1")
		web.Config.Handler.ServeHTTP(httptest.NewRecorder(), r)
	})
}

// The statuses 408, 421, 429 and 503 promise a caller that its request has not run
// and never will. A server that ran it and answers one of them, without saying that
// it did not run, must not make the router promise that.
func TestStatusOfAServerIsNoPromise(t *testing.T) {
	for _, status := range []int{408, 421, 429, 503} {
		for _, path := range []string{"/stream/x", "/once-stream/x", "/safe/x", "/once/x"} {
			t.Run(fmt.Sprint(status, path), func(t *testing.T) {
				web := newGateway(t, 2, 2, func(c *net.TCPConn, r *http.Request, _ int) {
					send(c, head(r, status, "Content-Length: 5"), "error")
				})
				if got := post(t, web, path); got.status != http.StatusBadGateway || got.header.Get(headerSigned) != "" {
					t.Errorf("status %d, signed %q", got.status, got.header.Get(headerSigned))
				}
			})
		}
	}
}

// A message of HTTP/1.0 knows no chunks. One that is sent in chunks all the same has
// no framing that can be trusted, and its chunk sizes are no part of a body.
func TestChunksOfHTTP10AreNoAnswer(t *testing.T) {
	for _, path := range []string{"/once-stream/x", "/safe/x", "/once/x"} {
		web := newGateway(t, 2, 2, func(c *net.TCPConn, r *http.Request, _ int) {
			old := strings.Replace(head(r, 200, chunkedField), "HTTP/1.1", "HTTP/1.0", 1)
			send(c, old, chunk(events(1, 3)), lastChunk)
		})
		if got := post(t, web, path); got.status != http.StatusBadGateway {
			t.Errorf("%s: %s answer of status %d: %q", path, got.claim, got.status, got.body)
		}
	}
}

// An answer that names no request is one to the only request that its connection
// has carried, or to nobody known: on a kept connection it may be a late second
// answer to an earlier request, and its promise is not one for this request.
func TestUnnamedPromiseOnAKeptConnectionIsNotTaken(t *testing.T) {
	ran := make(chan struct{}, 1)
	web := newGateway(t, 1, 1, func(c *net.TCPConn, r *http.Request, _ int) {
		send(c, head(r, 200, "Content-Length: 2"), "ok")
		next, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return
		}
		ran <- struct{}{}
		send(c, "HTTP/1.1 503 Service Unavailable\r\n", headerNotRun, ": yes\r\nContent-Length: 0\r\n\r\n")
		send(c, head(next, 200, "Content-Length: 2"), "ok")
	})
	if got := post(t, web, "/once/x"); got.status != http.StatusOK {
		t.Fatalf("status %d", got.status)
	}
	got := post(t, web, "/once/x")
	<-ran
	if got.status != http.StatusBadGateway {
		t.Errorf("status %d for a request that ran", got.status)
	}
}

// On a new connection such an answer can only be to the request, and what it
// promises is passed on.
func TestUnnamedPromiseOnANewConnectionIsTaken(t *testing.T) {
	web := newGateway(t, 1, 1, func(c *net.TCPConn, _ *http.Request, _ int) {
		send(c, "HTTP/1.1 503 Service Unavailable\r\n", headerNotRun, ": yes\r\nContent-Length: 0\r\n\r\n")
	})
	if got := post(t, web, "/once/x"); got.status != http.StatusServiceUnavailable || got.header.Get("Retry-After") == "" {
		t.Errorf("status %d", got.status)
	}
}
