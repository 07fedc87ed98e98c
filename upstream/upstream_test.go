package upstream_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/gaplink/gaplink/lab/clocktest"
	"github.com/gaplink/gaplink/lab/tcptest"
	"github.com/gaplink/gaplink/placement"
	"github.com/gaplink/gaplink/upstream"
)

// listen starts a listener that passes its connections to serve, and returns its address.
func listen(t *testing.T, serve func(net.Conn)) string {
	t.Helper()
	return tcptest.Listen(t, func(c net.Conn, _ int) { serve(c) })
}

func newPool() *upstream.Pool {
	return upstream.New(upstream.Options{DialTimeout: time.Second, IdleTimeout: time.Second})
}

func get(addr, id string) *upstream.Request {
	return &upstream.Request{
		Address: addr, Owner: placement.Incarnation{ID: "s"}, Method: http.MethodGet, Target: "/" + id, Host: "h", Header: http.Header{"Request-Id": {id}},
		Match: func(r *http.Response) upstream.MatchResult {
			if r.Header.Get("Request-Id") == id {
				return upstream.Matched
			}
			return upstream.MatchedOther
		},
	}
}

// TestCancelledRequestIsReset guards against a cancelled request that reaches the
// server later, as happens if the connection is closed gracefully while its bytes
// are delayed in the network.
func TestCancelledRequestIsReset(t *testing.T) {
	read := make(chan error, 1)
	cancelled := make(chan struct{})
	addr := listen(t, func(c net.Conn) {
		<-cancelled
		time.Sleep(50 * time.Millisecond)
		_, err := io.ReadAll(c)
		read <- err
	})
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	_, failure := newPool().Send(ctx, get(addr, "a"))
	if failure == nil || failure.Stage != upstream.Sent {
		t.Fatalf("want a failure after sending, got %+v", failure)
	}
	close(cancelled)
	if err := <-read; !errors.Is(err, syscall.ECONNRESET) {
		t.Fatalf("the server read to the end of the connection: %v", err)
	}
}

// answers responds to each request of a connection with the next text.
func answers(texts ...string) func(net.Conn) {
	return func(c net.Conn) {
		defer func() { _ = c.Close() }()
		r := bufio.NewReader(c)
		for _, text := range texts {
			if _, err := http.ReadRequest(r); err != nil {
				return
			}
			_, _ = io.WriteString(c, text)
		}
		_, _ = r.ReadByte()
	}
}

func response(id, body string) string {
	return "HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\nContent-Length: " + string(rune('0'+len(body))) + "\r\n\r\n" + body
}

func body(t *testing.T, p *upstream.Pool, r *upstream.Request) string {
	t.Helper()
	a, failure := p.Send(context.Background(), r)
	if failure != nil {
		t.Fatal(failure)
	}
	defer a.Close()
	text, err := io.ReadAll(a)
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

// TestSurplusAnswerIsSkipped checks that a duplicate response to an earlier request is
// not taken for the response to the current one.
func TestSurplusAnswerIsSkipped(t *testing.T) {
	addr := listen(t, answers(response("a", "one"), response("a", "one")+response("b", "two")))
	p := newPool()
	if got := body(t, p, get(addr, "a")); got != "one" {
		t.Fatalf("got %q", got)
	}
	if got := body(t, p, get(addr, "b")); got != "two" {
		t.Fatalf("got %q", got)
	}
	if s := p.Stats(); s.Reuses != 1 {
		t.Fatalf("the connection was not kept: %+v", s)
	}
}

// TestConnectionWithStrayBytesIsNotReused checks that a connection on which bytes arrive while
// it is idle is not reused.
func TestConnectionWithStrayBytesIsNotReused(t *testing.T) {
	addr := listen(t, func(c net.Conn) {
		r := bufio.NewReader(c)
		for {
			q, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			id := q.Header.Get("Request-Id")
			_, _ = io.WriteString(c, response(id, "x"))
			time.Sleep(20 * time.Millisecond)
			_, _ = io.WriteString(c, "stray")
		}
	})
	p := newPool()
	body(t, p, get(addr, "a"))
	time.Sleep(80 * time.Millisecond)
	body(t, p, get(addr, "b"))
	if s := p.Stats(); s.Dials != 2 {
		t.Fatalf("want a new connection, got %+v", s)
	}
}

// TestResetBodyIsIncomplete checks that a response without a length that ends by a
// connection reset is reported as incomplete.
func TestResetBodyIsIncomplete(t *testing.T) {
	addr := listen(t, func(c net.Conn) {
		r := bufio.NewReader(c)
		_, _ = http.ReadRequest(r)
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nRequest-Id: a\r\n\r\npart")
		time.Sleep(20 * time.Millisecond)
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	})
	a, failure := newPool().Send(context.Background(), get(addr, "a"))
	if failure != nil {
		t.Fatal(failure)
	}
	if _, err := io.ReadAll(a); err == nil {
		t.Fatal("a reset response was read as complete")
	}
}

// echo responds to every request with the request's own id.
func echo(c net.Conn) {
	r := bufio.NewReader(c)
	for {
		q, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.WriteString(c, response(q.Header.Get("Request-Id"), "x"))
	}
}

// TestConnectionOfAnotherOwnerIsNotReused checks that a connection is not reused for another
// process at the same address: an address may be reassigned to another server.
func TestConnectionOfAnotherOwnerIsNotReused(t *testing.T) {
	addr := listen(t, echo)
	p := newPool()
	body(t, p, get(addr, "a"))
	second := get(addr, "b")
	second.Owner = placement.Incarnation{ID: "other"}
	body(t, p, second)
	if s := p.Stats(); s.Dials != 2 {
		t.Fatalf("want a new connection, got %+v", s)
	}
}

// TestServerAtItsConnectionLimit checks that reaching the connection limit is distinguished from an
// unreachable server.
func TestServerAtItsConnectionLimit(t *testing.T) {
	addr := listen(t, func(c net.Conn) { _, _ = io.Copy(io.Discard, c) })
	p := newPool()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	r := get(addr, "a")
	r.MaxConnections = 1
	go func() { _, _ = p.Send(ctx, r) }()
	time.Sleep(50 * time.Millisecond)
	again := get(addr, "b")
	again.MaxConnections = 1
	if _, failure := p.Send(ctx, again); failure == nil || !failure.Full || failure.Stage != upstream.NotSent {
		t.Fatalf("want a full server, got %+v", failure)
	}
}

// TestConnectionWithHalfSentBodyIsNotReused checks that a connection is not reused if the server
// responds before it has read a long body: the rest would be parsed as another request.
func TestConnectionWithHalfSentBodyIsNotReused(t *testing.T) {
	addr := listen(t, func(c net.Conn) {
		r := bufio.NewReader(c)
		q, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.WriteString(c, response(q.Header.Get("Request-Id"), "x"))
		time.Sleep(time.Second)
		_ = c.Close()
	})
	p := newPool()
	long := get(addr, "a")
	long.Method = http.MethodPost
	long.Body = []byte(strings.Repeat("x", 16<<20))
	body(t, p, long)
	body(t, p, get(addr, "b"))
	if s := p.Stats(); s.Dials != 2 {
		t.Fatalf("want a new connection, got %+v", s)
	}
}

// Header lines may end in a bare line feed. The end of such a header must be found
// without waiting for further bytes.
func TestHeadOfHTTP10WithBareLineFeedsIsRead(t *testing.T) {
	addr := listen(t, func(c net.Conn) {
		defer func() { _ = c.Close() }()
		if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
			return
		}
		_, _ = io.WriteString(c, "HTTP/1.0 200 OK\nRequest-Id: a\nContent-Length: 2\n\nok")
		_, _ = c.Read(make([]byte, 1)) // until the client closes the connection
	})
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	a, failure := newPool().Send(ctx, get(addr, "a"))
	if failure != nil {
		t.Fatal(failure)
	}
	defer a.Close()
	if body, err := io.ReadAll(a); err != nil || string(body) != "ok" || ctx.Err() != nil {
		t.Errorf("%q, %v, at the deadline: %v", body, err, ctx.Err())
	}
}

// A Transfer-Encoding in an HTTP/1.0 response is rejected wherever it is in the header:
// the chunk sizes would be returned as part of the body.
func TestHTTP10TransferEncodingIsRejectedAfterALongHeader(t *testing.T) {
	addr := listen(t, func(c net.Conn) {
		defer func() { _ = c.Close() }()
		if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
			return
		}
		long := "Long: " + strings.Repeat("x", 5000) + "\r\n"
		_, _ = io.WriteString(c, "HTTP/1.0 200 OK\r\nRequest-Id: a\r\n"+long+"Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n")
	})
	a, failure := newPool().Send(context.Background(), get(addr, "a"))
	if failure != nil {
		return
	}
	defer a.Close()
	body, err := io.ReadAll(a)
	t.Errorf("%q, %v", body, err)
}

// TestServerThatLeftMeanwhileGetsNothing guards against sending a request to a server that
// left during the dial. On a saturated link a dial takes over a second, longer than the
// remaining time in which a leaving server may get requests. The request must be reported
// as not sent, so that it can go to another server.
func TestServerThatLeftMeanwhileGetsNothing(t *testing.T) {
	received := make(chan int, 1)
	addr := listen(t, func(c net.Conn) {
		text, _ := io.ReadAll(c) // the error is irrelevant; only the count matters
		received <- len(text)
	})
	p := newPool()
	req := get(addr, "a")
	req.StillValid = func() bool { return false }
	_, failure := p.Send(context.Background(), req)
	if failure == nil || failure.Stage != upstream.NotSent || !failure.Outdated {
		t.Fatalf("want a request that was not sent, got %+v", failure)
	}
	if n := <-received; n > 0 {
		t.Fatalf("the server got %d bytes", n)
	}
}

// TestUnusedConnectionMakesWay checks that at the limit for all servers together, the least
// recently used idle connections are closed to open new ones.
func TestUnusedConnectionMakesWay(t *testing.T) {
	const servers, bound = 6, 3
	p := upstream.New(upstream.Options{DialTimeout: time.Second, IdleTimeout: time.Minute, MaxOpen: bound})
	closed := make(chan int, servers)
	var addrs []string
	for n := range servers {
		addrs = append(addrs, listen(t, func(c net.Conn) {
			answers(response("a", "x"))(c)
			closed <- n
		}))
	}
	for _, addr := range addrs {
		body(t, p, get(addr, "a"))
	}
	gone := map[int]bool{}
	for range servers - bound {
		gone[<-closed] = true
	}
	for n := range servers {
		if longUnused := n < servers-bound; gone[n] != longUnused {
			t.Errorf("the connection to server %d was closed: %t", n, gone[n])
		}
	}
}

// TestNoConnectionBeyondTheLimit checks that a request fails as not sent when all allowed
// connections are in use.
func TestNoConnectionBeyondTheLimit(t *testing.T) {
	hold := make(chan struct{})
	defer close(hold)
	addr := listen(t, func(net.Conn) { <-hold })
	p := upstream.New(upstream.Options{DialTimeout: time.Second, IdleTimeout: time.Second, MaxOpen: 2})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	for range 2 {
		go func() { _, _ = p.Send(ctx, get(addr, "a")) }() // never answered
	}
	for p.Stats().Dials < 2 {
		time.Sleep(time.Millisecond)
	}
	if _, failure := p.Send(ctx, get(addr, "b")); failure == nil || !failure.Full || failure.Stage != upstream.NotSent {
		t.Fatalf("want a request that found no connection, got %+v", failure)
	}
}

// TestCheck covers servers that keep, close and refuse connections.
func TestCheck(t *testing.T) {
	check := func(addr string) upstream.Liveness {
		return newPool().Check(t.Context(), placement.Server{ID: "s", Address: addr})
	}
	if got := check(listen(t, func(c net.Conn) { _, _ = io.ReadAll(c) })); got != upstream.Alive {
		t.Errorf("a server that listens is %s", got)
	}
	if got := check(listen(t, func(c net.Conn) { _ = c.Close() })); got != upstream.Gone {
		t.Errorf("a server that closes connections at once is %s", got)
	}
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	_ = closed.Close()
	if got := check(closed.Addr().String()); got != upstream.Gone {
		t.Errorf("a server that refuses connections is %s", got)
	}
}

// TestCheckUsesIdleConnection checks that an open idle connection proves liveness without a
// new dial and stays usable for requests.
func TestCheckUsesIdleConnection(t *testing.T) {
	p := newPool()
	addr := listen(t, answers(response("a", "x"), response("b", "x")))
	server := placement.Server{ID: "s", Address: addr}
	exchange := func(id string) {
		answer, failure := p.Send(t.Context(), get(addr, id))
		if failure != nil {
			t.Fatal(failure)
		}
		if _, err := io.ReadAll(answer); err != nil {
			t.Fatal(err)
		}
	}
	exchange("a")
	if got := p.Check(t.Context(), server); got != upstream.Alive {
		t.Errorf("the server is %s", got)
	}
	exchange("b")
	if dials := p.Stats().Dials; dials != 1 {
		t.Errorf("%d connections were opened", dials)
	}
}

// TestIdleConnectionExpiresDuringSuspension checks that idle connections expire while the machine
// is suspended: the server closed its side, or the connection was silently dropped, long
// before the monotonic clock, which stops during suspension, reaches the idle timeout.
func TestIdleConnectionExpiresDuringSuspension(t *testing.T) {
	machine := clocktest.New(t)
	p := newPool()
	addr := listen(t, answers(response("a", "x"), response("a", "x")))
	for range 2 {
		if got := body(t, p, get(addr, "a")); got != "x" {
			t.Fatalf("got %q", got)
		}
		machine.Suspend(time.Minute)
	}
	if dials := p.Stats().Dials; dials != 2 {
		t.Errorf("%d connections were opened", dials)
	}
}

// Guards against a request that is lost because its server, which is sound, reads nothing for two seconds:
// the kernel also counts probes of a full receive window as unacknowledged.
func TestServerThatReadsLateGetsTheWholeRequest(t *testing.T) {
	const silence, size = 2 * time.Second, 16 << 20
	addr := listen(t, func(c net.Conn) {
		defer func() { _ = c.Close() }()
		time.Sleep(silence)
		r, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return
		}
		if n, _ := io.Copy(io.Discard, r.Body); n == size {
			_, _ = io.WriteString(c, response("a", "x"))
		}
	})
	r := get(addr, "a")
	r.Method, r.Body = http.MethodPost, make([]byte, size)
	if got := body(t, newPool(), r); got != "x" {
		t.Errorf("got %q", got)
	}
}
