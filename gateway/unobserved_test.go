package gateway

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/gaplink/gaplink/catalog"
	"github.com/gaplink/gaplink/controller/origins"
	"github.com/gaplink/gaplink/controller/registry"
	"github.com/gaplink/gaplink/controller/verdicts"
	"github.com/gaplink/gaplink/exchange"
	"github.com/gaplink/gaplink/placement"
	"github.com/gaplink/gaplink/retry"
	"github.com/gaplink/gaplink/store"
	"github.com/gaplink/gaplink/upstream"
)

// unsigned is a protocol in which no response is signed.
type unsigned struct{}

func (unsigned) Request(http.Header) exchange.Request        { return exchange.Request{} }
func (unsigned) Dispatch(http.Header, exchange.Dispatch)     {}
func (unsigned) Answer(_ int, _ http.Header) exchange.Answer { return exchange.Answer{} }
func (unsigned) Refusal(http.Header, string)                 {}
func (unsigned) Unknown(http.Header) []string                { return nil }

// A server whose response is rejected for its missing signature has run the request and may
// generate all of it. Both the charge and the reservation of the next attempt must include
// that.
func TestUnsignedAnswerCountsAsUnobserved(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte("id: 1\ndata: a\n\n"))
	}))
	defer server.Close()
	a := &attempt{
		call: &call{
			g: &Gateway{Options: Options{
				Protocol: unsigned{},
				Pool:     upstream.New(upstream.Options{DialTimeout: time.Second, IdleTimeout: time.Second}),
				Servers:  registryWith("s"),
				Origins:  origins.New(origins.Options{Servers: registryWith("s"), Log: zap.NewNop()}),
				Verdicts: verdicts.New(verdicts.Options{Checker: upstream.New(upstream.Options{}), Servers: registryWith("s"), Log: zap.NewNop()}),
				Routers:  func() int { return 1 },
			}},
			r:        httptest.NewRequest(http.MethodPost, "/stream/x", nil),
			route:    &catalog.Route{Kind: catalog.Stream, Resume: true},
			service:  &catalog.Service{Name: "llm"},
			retries:  noRetries(),
			deadline: time.Now().Add(time.Second),
		},
		server: placement.Server{ID: "s", Address: server.Listener.Addr().String()},
		isLast: true,
	}
	if v := a.run(context.Background()); v != failed || a.outcomeLabel != "unsigned" {
		t.Fatalf("disposition %d, %s", v, a.outcomeText())
	}
	if a.unobserved != 1 {
		t.Errorf("%d unobserved attempts, want 1", a.unobserved)
	}
}

// signed is a protocol in which every response is signed and has no request id.
type signed struct{ unsigned }

func (signed) Answer(_ int, _ http.Header) exchange.Answer { return exchange.Answer{Signed: true} }

// Tokens that a server may have generated beyond the observed ones are charged: the maximum if
// its response continued unobserved, and one event if it closed the connection without marking
// the end.
func TestUnobservedEndsAreCharged(t *testing.T) {
	const event = "id: 1\ndata: a\n\n"
	cases := []struct {
		name, framing, body string
		unseen              int
		tokens              int64
	}{
		{"whole", "Content-Length: 15", event, 0, 5},
		{"unframed", "Connection: close", event, 0, 10},
		{"cut", "Content-Length: 16", event, 1, 5},
		{"out of order", "Content-Length: 45", event + event + event, 1, 5},
		{"inside an event", "Content-Length: 8", event[:8], 1, 0},
		{"too long an event", "Transfer-Encoding: chunked", chunked(strings.Repeat("x", 2<<20)), 1, 0},
	}
	for _, k := range cases {
		t.Run(k.name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = l.Close() }()
			go func() {
				c, err := l.Accept()
				if err != nil {
					return
				}
				_, _ = http.ReadRequest(bufio.NewReader(c))
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n"+k.framing+"\r\n\r\n"+k.body)
				_ = c.Close()
			}()
			a := streamAttempt(l.Addr().String())
			a.run(context.Background())
			if a.unobserved != k.unseen || a.stream.tokens != k.tokens {
				t.Errorf("%s: %d unobserved attempts, %d tokens", a.outcomeText(), a.unobserved, a.stream.tokens)
			}
		})
	}
}

func chunked(text string) string { return fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(text), text) }

// registryWith returns a registry that contains the server with the id.
func registryWith(id string) *registry.Controller {
	decode := func(string, []byte) (placement.Server, error) { return placement.Server{ID: id}, nil }
	c := registry.New(decode, upstream.New(upstream.Options{}), nil, zap.NewNop())
	c.Listed([]store.Object{{Key: "servers/" + id, Version: 1}}, 1)
	return c
}

// streamAttempt returns the last attempt of a stream whose events have five tokens.
func streamAttempt(address string) *attempt {
	r := httptest.NewRequest(http.MethodGet, "/stream/x", nil)
	return &attempt{
		call: &call{
			g: &Gateway{Options: Options{
				Protocol: signed{},
				Pool:     upstream.New(upstream.Options{DialTimeout: time.Second, IdleTimeout: time.Second}),
				Servers:  registryWith("s"),
				Origins:  origins.New(origins.Options{Servers: registryWith("s"), Log: zap.NewNop()}),
				Verdicts: verdicts.New(verdicts.Options{Checker: upstream.New(upstream.Options{}), Servers: registryWith("s"), Log: zap.NewNop()}),
				Routers:  func() int { return 1 },
			}},
			r:        r,
			reply:    reply{w: httptest.NewRecorder(), r: r},
			retries:  noRetries(),
			route:    &catalog.Route{Kind: catalog.Stream, Resume: true},
			service:  &catalog.Service{Name: "llm", Engine: &catalog.Engine{EventTokens: 5}},
			deadline: time.Now().Add(time.Second),
		},
		server: placement.Server{ID: "s", Address: address},
		isLast: true,
	}
}

// noRetries returns the retries of a request that has none.
func noRetries() *retry.Request {
	return retry.NewBudgets(time.Time{}, func() retry.Limits { return retry.Limits{} }).Begin(time.Now(), "llm")
}
