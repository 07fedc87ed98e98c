package engine_test

import (
	"net"
	"net/http"
	"testing"

	"github.com/gaplink/gaplink/engine"
	"github.com/gaplink/gaplink/lab/tcptest"
)

// TestResetDuringAnUploadEndsNoResponse guards against a body or a stream that is taken for whole although its server
// reset the connection while the request was still being written.
func TestResetDuringAnUploadEndsNoResponse(t *testing.T) {
	const tries = 30
	answer := func(*http.Request) string { return head + "Connection: close\r\n\r\n" + eventOf("a", "stop") }
	for _, s := range tcptest.EarlyServers(tcptest.EndsByReset, answer) {
		t.Run(s.String(), func(t *testing.T) {
			t.Parallel()
			addr := tcptest.Listen(t, func(c net.Conn, _ int) { s.Serve(c) })
			client := engine.NewClient()
			t.Cleanup(client.Close)
			upload := func(whole func(*engine.Response) bool) func() bool {
				return func() bool {
					resp, failure := client.Post(t.Context(), addr, "/x", attempt, make([]byte, tcptest.UploadBytes))
					if failure != nil {
						return false
					}
					defer resp.Close()
					return whole(resp)
				}
			}
			bodies := tcptest.Count(t, tries, upload(func(r *engine.Response) bool {
				_, failure := r.ReadBody(t.Context())
				return failure == nil
			}))
			streams := tcptest.Count(t, tries, upload(func(r *engine.Response) bool {
				for {
					if chunk, failure := r.Next(t.Context()); failure != nil || chunk.Done {
						return failure == nil
					}
				}
			}))
			if bodies+streams > 0 {
				t.Errorf("%d bodies and %d streams of %d taken for whole", bodies, streams, tries)
			}
		})
	}
}
