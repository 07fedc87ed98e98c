package gateway_test

import (
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
)

// TestEndlessBodyIsNoWholeAnswer guards against a body without end that is taken for a whole answer, or kept in memory
// until the request's deadline.
func TestEndlessBodyIsNoWholeAnswer(t *testing.T) {
	const endless = 64 << 20
	const kernelBuffers, mayKeep = 12 << 20, 2 << 20
	for name, c := range map[string]struct {
		path, more string
		fields     []string
		// relayed is set if the caller gets the bytes as they come, so that nothing is too much.
		relayed bool
	}{
		"plain, in chunks":         {"/safe/x", chunk(strings.Repeat("a", 1000)), []string{chunkedField}, true},
		"plain, without framing":   {"/safe/x", "aaaaaaaa", []string{closeField}, true},
		"a stream of no events":    {"/stream/x", chunk(strings.Repeat("a", 1000)), []string{"Content-Type: text/event-stream", chunkedField}, false},
		"an event without end":     {"/stream/x", chunk("data: a\n"), []string{"Content-Type: text/event-stream", chunkedField}, false},
		"one line without end":     {"/once-stream/x", chunk("data: " + strings.Repeat("a", 1000)), []string{"Content-Type: text/event-stream", chunkedField}, false},
		"chunk extensions":         {"/safe/x", "1;" + strings.Repeat("e", 1000) + "\r\na\r\n", []string{chunkedField}, false},
		"more than its length":     {"/safe/x", "aaaaaaaa", []string{"Content-Length: 3"}, false},
		"more after an empty body": {"/safe/x", "aaaaaaaa", []string{"Content-Length: 0"}, false},
	} {
		t.Run(name, func(t *testing.T) {
			var written, arrivals atomic.Int64
			web := newGateway(t, 2, 1, func(conn *net.TCPConn, r *http.Request, _ int) {
				arrivals.Add(1)
				send(conn, head(r, 200, c.fields...))
				block := strings.Repeat(c.more, max(32<<10/len(c.more), 1))
				for written.Load() < endless {
					n, err := io.WriteString(conn, block)
					written.Add(int64(n))
					if err != nil {
						return
					}
				}
				reset(conn)
			})
			got := call(t, web, "HTTP/1.1", "GET", c.path)
			hasEnd := strings.HasPrefix(name, "more")
			if !hasEnd && got.claim == complete && got.status == 200 {
				t.Errorf("a whole answer of %d bytes", len(got.body))
			}
			if hasEnd && (got.status != 200 || got.claim != complete || len(got.body) > 3) {
				t.Errorf("status %d, %s, %d bytes", got.status, got.claim, len(got.body))
			}
			if n := written.Load(); !c.relayed && n > kernelBuffers+mayKeep {
				t.Errorf("took %d MB", n>>20)
			}
			if arrivals.Load() == 0 {
				t.Error("nothing arrived")
			}
		})
	}
}
