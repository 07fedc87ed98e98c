package engine_test

import (
	"context"
	"testing"
	"time"

	"github.com/gaplink/gaplink/engine"
	"github.com/gaplink/gaplink/framing"
	"github.com/gaplink/gaplink/lab/tcptest"
)

// TestEndlessResponseTakesNoMemory guards against a backend server whose response head or body has no end.
func TestEndlessResponseTakesNoMemory(t *testing.T) {
	const maxBody = 4 << 20
	tcptest.CheckEndlessResponses(t, "X-Request-Id: a.1\r\n", framing.MaxHead, maxBody, func(t *testing.T, addr string) {
		ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
		defer cancel()
		client := engine.NewClient()
		defer client.Close()
		resp, failure := client.Post(ctx, addr, "/x", "a.1", nil)
		if failure == nil {
			if body, err := resp.ReadBody(ctx); err == nil {
				t.Errorf("a whole body of %d bytes", len(body))
			}
			resp.Close()
		}
		if ctx.Err() != nil {
			t.Error("read until the deadline")
		}
	})
}
