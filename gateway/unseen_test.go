package gateway

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/gaplink/gaplink/catalog"
	"github.com/gaplink/gaplink/exchange"
	"github.com/gaplink/gaplink/placement"
	"github.com/gaplink/gaplink/upstream"
)

// unsigned is a protocol in which no answer is signed.
type unsigned struct{}

func (unsigned) Request(http.Header) exchange.Request        { return exchange.Request{} }
func (unsigned) Dispatch(http.Header, exchange.Dispatch)     {}
func (unsigned) Answer(_ int, _ http.Header) exchange.Answer { return exchange.Answer{} }
func (unsigned) Refusal(http.Header, string)                 {}

// A server whose answer is given up for its lack of a signature has run the request
// and may generate all of it. Neither the charge nor the reservation of the next
// attempt may leave that out.
func TestUnsignedAnswerIsAnAttemptWhoseEndWasNotSeen(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte("id: 1\ndata: a\n\n"))
	}))
	defer server.Close()
	a := &attempt{
		call: &call{
			g: &Gateway{Parts: Parts{
				Protocol: unsigned{},
				Pool:     upstream.New(upstream.Options{DialTimeout: time.Second, IdleTimeout: time.Second}),
				Routers:  func() int { return 1 },
			}},
			r:        httptest.NewRequest(http.MethodPost, "/stream/x", nil),
			route:    &catalog.Route{Kind: catalog.Stream, Resume: true},
			service:  &catalog.Service{Name: "llm"},
			deadline: time.Now().Add(time.Second),
		},
		server: placement.Server{ID: "s", Address: server.Listener.Addr().String()},
		last:   true,
	}
	if v := a.run(context.Background()); v != failed || a.name != "unsigned" {
		t.Fatalf("verdict %d, %s", v, a.verdictName())
	}
	if a.unseen != 1 {
		t.Errorf("%d attempts whose end was not seen", a.unseen)
	}
}
