package gateway_test

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/gaplink/gaplink/catalog"
	"github.com/gaplink/gaplink/controller/limits"
	"github.com/gaplink/gaplink/controller/origins"
	"github.com/gaplink/gaplink/controller/registry"
	"github.com/gaplink/gaplink/controller/verdicts"
	"github.com/gaplink/gaplink/exchange"
	"github.com/gaplink/gaplink/gateway"
	"github.com/gaplink/gaplink/logs"
	"github.com/gaplink/gaplink/placement"
	"github.com/gaplink/gaplink/retry"
	"github.com/gaplink/gaplink/store"
	"github.com/gaplink/gaplink/upstream"
)

// The headers of the protocol that these tests speak.
const (
	headerID        = "Id"
	headerSigned    = "Signed"
	headerNotRun    = "Not-Run"
	headerLastEvent = "Last-Event"
	headerFirstTry  = "First-Try"
	headerLeaving   = "Leaving"
	headerElsewhere = "Elsewhere"
	headerBackoff   = "Backoff"
)

// testProtocol is the exchange.Protocol of these tests.
type testProtocol struct{}

func (testProtocol) Request(h http.Header) exchange.Request {
	return exchange.Request{ID: h.Get(headerID), LastEvent: h.Get(headerLastEvent), FirstTry: h.Get(headerFirstTry)}
}

func (testProtocol) Dispatch(h http.Header, d exchange.Dispatch) {
	if d.LastEvent != "" {
		h.Set(headerLastEvent, d.LastEvent)
	}
}

func (testProtocol) Answer(_ int, h http.Header) exchange.Answer {
	a := exchange.Answer{RequestID: h.Get(headerID), Signed: h.Get(headerSigned) != "", NotRun: h.Get(headerNotRun) != ""}
	a.Leaving, a.WrongServer = h.Get(headerLeaving) != "", h.Get(headerElsewhere) != ""
	a.Backoff, _ = time.ParseDuration(h.Get(headerBackoff)) // absent means none
	if text := h.Get(headerLimit); text != "" {
		a.Limit.PerSecond, a.Limit.Err = strconv.ParseFloat(text, 64)
		a.Limit.Present = a.Limit.Err == nil
	}
	return a
}

func (testProtocol) Unknown(h http.Header) (names []string) {
	for name := range h {
		if strings.HasPrefix(name, "New-") {
			names = append(names, name)
		}
	}
	return names
}

func (testProtocol) Refusal(h http.Header, id string) { h.Set(headerID, id) }

// script answers one request on a server's connection. n counts the requests of one gateway
// from 1, over all its servers. The connection is closed afterwards.
type script func(c *net.TCPConn, r *http.Request, n int)

// hastyObjective is the latency objective of the route /hasty/; the others have none.
const hastyObjective = 50 * time.Millisecond

// requestDeadline is the timeout of the routes in these tests.
const requestDeadline = time.Second

// newGateway returns a gateway with the given number of servers, which answer by the script.
// Its routes are /stream/, which is resumable, /once-stream/, which is not, /safe/, /hasty/
// and /once/, each with the given number of attempts.
func newGateway(t *testing.T, servers, attempts int, answer script) *httptest.Server {
	t.Helper()
	web, _ := newLimitedGateway(t, servers, attempts, answer)
	return web
}

// newLimitedGateway returns a gateway and the server rate limits that it enforces.
func newLimitedGateway(t *testing.T, servers, attempts int, answer script) (*httptest.Server, *limits.Controller) {
	t.Helper()
	return newGatewayWith(t, servers, attempts, answer, func(*gateway.Options) {})
}

// newGatewayWith is newLimitedGateway with modified options.
func newGatewayWith(t *testing.T, servers, attempts int, answer script, change func(*gateway.Options)) (*httptest.Server, *limits.Controller) {
	t.Helper()
	web, enforced, _ := newRegisteredGateway(t, servers, attempts, answer, change)
	return web, enforced
}

// newRegisteredGateway is newGatewayWith that returns the registry as well.
func newRegisteredGateway(t *testing.T, servers, attempts int, answer script, change func(*gateway.Options)) (*httptest.Server, *limits.Controller, *registry.Controller) {
	t.Helper()
	pool := upstream.New(upstream.Options{DialTimeout: time.Second, IdleTimeout: time.Second})
	known := registry.New(decodeServer, pool, rand.New(rand.NewPCG(1, 2)), zap.NewNop())
	enforced := withLimits(known)
	known.Listed(startServers(t, servers, answer), 0)
	options := gateway.Options{
		Config:        fixedConfig{newCatalog(t, attempts)},
		Servers:       known,
		Protocol:      testProtocol{},
		Pool:          pool,
		Limits:        enforced,
		Verdicts:      verdicts.New(verdicts.Options{Checker: pool, Servers: known, Log: zap.NewNop()}),
		Origins:       origins.New(origins.Options{Servers: known, Log: zap.NewNop()}),
		Retries:       retry.NewBudgets(time.Time{}, func() retry.Limits { return retry.Limits{Slack: 125, Routers: 1} }),
		Logs:          logs.Loggers{All: zap.NewNop(), Sampled: zap.NewNop()},
		Metrics:       gateway.NewMetrics(prometheus.NewRegistry()),
		Routers:       func() int { return 1 },
		LinkSaturated: func() bool { return false },

		CloseConnections: func() bool { return false },
	}
	change(&options)
	web := httptest.NewUnstartedServer(gateway.New(options))
	web.Config.ConnContext = gateway.ConnContext
	web.Start()
	t.Cleanup(web.CloseClientConnections)
	return web, enforced, known
}

func decodeServer(id string, value []byte) (placement.Server, error) {
	s := placement.Server{}
	err := json.Unmarshal(value, &s)
	s.ID = id
	return s, err
}

// fixedConfig is a configuration that never changes.
type fixedConfig struct{ c *catalog.Catalog }

func (c fixedConfig) Catalog() *catalog.Catalog { return c.c }
func (c fixedConfig) Age() time.Duration        { return 0 }

func newCatalog(t *testing.T, attempts int) *catalog.Catalog {
	t.Helper()
	return newCatalogWithin(t, attempts, requestDeadline)
}

// newCatalogWithin is newCatalog with another timeout of the routes.
func newCatalogWithin(t *testing.T, attempts int, timeout time.Duration) *catalog.Catalog {
	t.Helper()
	route := func(name string, kind catalog.Kind, resume bool) *catalog.Route {
		return &catalog.Route{
			Name: name, Host: "h", Prefix: "/" + name + "/", Kind: kind, Resume: resume, Timeout: timeout,
			Split: []catalog.WeightedService{{Service: "svc", Weight: 1}}, Attempts: attempts, Public: true,
		}
	}
	hasty := route("hasty", catalog.Repeatable, false)
	hasty.LatencyObjective = hastyObjective
	c, err := catalog.New(1, catalog.Limits{}, []*catalog.Route{
		route("stream", catalog.Stream, true), route("once-stream", catalog.Stream, false),
		route("safe", catalog.Repeatable, false), route("once", catalog.Once, false), hasty,
	}, []*catalog.Service{{Name: "svc"}}, nil)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// newGatewayWithListeners is newGateway with two attempts that stores the listeners of the servers by address.
func newGatewayWithListeners(t *testing.T, servers int, listeners *sync.Map, answer script) *httptest.Server {
	t.Helper()
	web, _, known := newRegisteredGateway(t, 0, 2, answer, func(*gateway.Options) {})
	known.Listed(startListeners(t, servers, answer, listeners), 1)
	return web
}

// startServers starts servers and returns their registrations.
func startServers(t *testing.T, n int, answer script) []store.Object {
	t.Helper()
	return startListeners(t, n, answer, &sync.Map{})
}

func startListeners(t *testing.T, n int, answer script, listeners *sync.Map) []store.Object {
	t.Helper()
	var mu sync.Mutex
	requests := 0
	counted := func(c *net.TCPConn, r *http.Request) {
		mu.Lock()
		requests++
		number := requests
		mu.Unlock()
		answer(c, r, number)
	}
	var entries []store.Object
	for i := range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = l.Close() })
		listeners.Store(l.Addr().String(), l)
		go serve(l, counted)
		value, err := json.Marshal(placement.Server{Service: "svc", Address: l.Addr().String(), Slots: 8})
		if err != nil {
			t.Fatal(err)
		}
		entries = append(entries, store.Object{Key: fmt.Sprintf("servers/s%d", i), Version: 1, Value: value})
	}
	return entries
}

func serve(l net.Listener, answer func(*net.TCPConn, *http.Request)) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			defer func() { _ = c.Close() }()
			r, err := http.ReadRequest(bufio.NewReader(c))
			if err != nil {
				return
			}
			if _, err := io.Copy(io.Discard, r.Body); err != nil {
				return
			}
			answer(c.(*net.TCPConn), r)
		}()
	}
}

// head formats the head of a server's response; fields are further header lines.
func head(r *http.Request, status int, fields ...string) string {
	lines := []string{
		fmt.Sprintf("HTTP/1.1 %d %s", status, http.StatusText(status)),
		headerID + ": " + r.Header.Get(headerID),
		headerSigned + ": yes",
	}
	return strings.Join(append(lines, fields...), "\r\n") + "\r\n\r\n"
}

// Framings as header lines.
const (
	chunkedField = "Transfer-Encoding: chunked"
	closeField   = "Connection: close"
)

// chunk formats one chunk of a body, and lastChunk ends the body.
func chunk(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }

const lastChunk = "0\r\n\r\n"

// events formats the events first to last of a stream.
func events(first, last int) string {
	var b strings.Builder
	for n := first; n <= last; n++ {
		fmt.Fprintf(&b, "id: %d\ndata: event %d\n\n", n, n)
	}
	return b.String()
}

// send writes text to a connection and ignores errors of a peer that has disconnected.
func send(c net.Conn, text ...string) { _, _ = io.WriteString(c, strings.Join(text, "")) }

// reset closes a connection with a reset.
func reset(c *net.TCPConn) {
	_ = c.SetLinger(0)
	_ = c.Close()
}

// claim is what a caller can take a response for.
type claim string

const (
	complete claim = "complete" // the full length or the last chunk was received
	unframed claim = "unframed" // only the close of the connection marked the end
	broken   claim = "broken"   // reset, or closed before the end announced by the framing
)

// reply is the response that a caller received.
type reply struct {
	status int
	// closes reports that the response announces the close of the connection.
	closes bool
	header http.Header
	body   string
	claim  claim
}

// call sends a request to the gateway as raw bytes and reads the reply.
func call(t *testing.T, web *httptest.Server, version, method, path string, fields ...string) reply {
	t.Helper()
	return callWithin(t, web, requestDeadline, version, method, path, nil, fields...)
}

// callWithin is call for a route with another timeout, and for a request with a body, whose framing the fields contain.
func callWithin(t *testing.T, web *httptest.Server, timeout time.Duration, version, method, path string, body []byte, fields ...string) reply {
	t.Helper()
	c, err := net.Dial("tcp", web.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	if err := c.SetDeadline(time.Now().Add(timeout + 2*time.Second)); err != nil {
		t.Fatal(err)
	}
	lines := append([]string{method + " " + path + " " + version, "Host: h", headerID + ": r1"}, fields...)
	send(c, strings.Join(lines, "\r\n"), "\r\n\r\n", string(body))
	resp, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: method})
	if err != nil {
		return reply{claim: broken}
	}
	received, err := io.ReadAll(resp.Body)
	got := reply{status: resp.StatusCode, closes: resp.Close, header: resp.Header, body: string(received), claim: complete}
	switch {
	case err != nil:
		got.claim = broken
	case resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && method != http.MethodHead:
		got.claim = unframed
	}
	return got
}
