package tunnel_test

import (
	"context"
	"errors"
	"net"
	"testing"
	"time"

	"github.com/gaplink/gaplink/framing"
	"github.com/gaplink/gaplink/lab/tcptest"
	"github.com/gaplink/gaplink/placement"
	"github.com/gaplink/gaplink/tunnel"
)

// TestEndlessHeadOfARouterIsNotRead guards against a router, or something else at its address, that answers a request
// for a tunnel with bytes without end.
func TestEndlessHeadOfARouterIsNotRead(t *testing.T) {
	for name, c := range tcptest.EndlessHeads {
		t.Run(name, func(t *testing.T) {
			e := tcptest.ListenEndless(t, c.Begin, c.More)
			ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
			defer cancel()
			_, _, err := tunnel.Open(ctx, &net.Dialer{}, "r1", e.Addr, placement.Server{ID: "s1", Address: "127.0.0.1:1"})
			var failure *tunnel.RouterError
			if !errors.As(err, &failure) || ctx.Err() != nil {
				t.Errorf("%v", err)
			}
			e.Check(t, framing.MaxHead)
		})
	}
}
