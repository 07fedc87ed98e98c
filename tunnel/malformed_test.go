package tunnel_test

import (
	"context"
	"errors"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/gaplink/gaplink/lab/tcptest"
	"github.com/gaplink/gaplink/placement"
	"github.com/gaplink/gaplink/tunnel"
)

// TestMalformedHeadOpensNoTunnel guards against a router, or something else at its address, whose response HTTP does not
// allow and that counts as a tunnel, or as a statement about the server.
func TestMalformedHeadOpensNoTunnel(t *testing.T) {
	for name, text := range tcptest.MalformedResponses("") {
		for _, status := range []string{" 200 ", " 502 "} {
			t.Run(name+","+status, func(t *testing.T) {
				t.Parallel()
				head, _, _ := strings.Cut(strings.Replace(text, " 200 ", status, 1), "\r\n\r\n")
				addr := tcptest.ListenAnswering(t, func(*http.Request) string { return head + "\r\n\r\n" })
				ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
				defer cancel()
				_, _, err := tunnel.Open(ctx, &net.Dialer{}, "r1", addr, placement.Server{ID: "s1", Address: "127.0.0.1:1"})
				var own *tunnel.RouterError
				if !errors.As(err, &own) || ctx.Err() != nil {
					t.Errorf("got %v", err)
				}
			})
		}
	}
}
