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

// deliveryTime is more than loopback needs to deliver sent bytes; a reset discards undelivered
// ones.
const deliveryTime = 100 * time.Millisecond

// post sends a POST without a body over HTTP/1.1.
func post(t *testing.T, web *httptest.Server, path string) reply {
	t.Helper()
	return call(t, web, "HTTP/1.1", http.MethodPost, path, "Content-Length: 0")
}

// Guards against a truncated stream that reaches its caller as complete: with the head and
// signature of its server and a final chunk, but without its remaining events. The first
// server broke off midway, the stream was resumed at another server as its route allows, and
// that server returned an error. Any status other than 200 was forwarded as a plain response,
// even into a stream that had begun, and the handler returned normally, which completes the
// caller's response without a check that the stream's end was seen. In the log each such
// response had a head of status 200 and a last attempt of another status, and no other request
// had.
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
					t.Fatalf("%s answer of status %d: %q; want three events and an aborted reply", got.claim, got.status, got.body)
				}
			})
		}
	}
}

// A response with neither length nor chunks ends when its connection closes, and so does one
// of a server that crashes between two writes. The router cannot tell whether it is complete
// and must not claim so to its caller. Complete responses come in this form too, so none is
// withheld.
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

// A large response is forwarded as it arrives, with the framing of its server.
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

// A response that has begun to reach its caller cannot be replaced, so it is not cancelled for
// being slow either.
func TestStartedLargeAnswerIsNotCancelled(t *testing.T) {
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

// A server that crashes before the first byte closes its connection just like one with an
// empty response. Trying another server is safe.
func TestUnframedEmptyAnswerIsRetried(t *testing.T) {
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

// A server that crashes before the first event closes its connection just like one with an
// empty stream. Trying another server is safe.
func TestUnframedEmptyStreamIsRetried(t *testing.T) {
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

// A caller whose response has no framing takes a closed connection for its end, so a truncated
// response must reach it as a connection reset.
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
			_, _ = c.Read(make([]byte, 1)) // until the gateway closes the connection
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
				time.Sleep(deliveryTime)
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
				t.Error("the handler returned normally, which completes the response")
			}
		}()
		r := httptest.NewRequest(http.MethodPost, "/once-stream/x", nil)
		r.Host = "h"
		r.Header.Set(headerID, "r1")
		web.Config.Handler.ServeHTTP(httptest.NewRecorder(), r)
	})
}

// The statuses 408, 421, 429 and 503 promise a caller that its request has not run and never
// will. If a server that ran the request returns one of them without stating that it did not
// run it, the router must not pass that promise on.
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

// HTTP/1.0 has no chunked encoding. A message that uses it all the same has no reliable
// framing, and its chunk sizes must not be taken for body bytes.
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

// A response without a request id can be attributed only if its connection has carried a
// single request. On a reused connection it may be a late second response to an earlier
// request, so its statement that the request did not run does not apply to this one.
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

// On a new connection a response without a request id can only belong to this request, and its
// statement that the request did not run is passed on.
func TestUnnamedPromiseOnANewConnectionIsTaken(t *testing.T) {
	web := newGateway(t, 1, 1, func(c *net.TCPConn, _ *http.Request, _ int) {
		send(c, "HTTP/1.1 503 Service Unavailable\r\n", headerNotRun, ": yes\r\nContent-Length: 0\r\n\r\n")
	})
	if got := post(t, web, "/once/x"); got.status != http.StatusServiceUnavailable || got.header.Get("Retry-After") == "" {
		t.Errorf("status %d", got.status)
	}
}
