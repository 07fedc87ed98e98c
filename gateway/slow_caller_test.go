package gateway_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/gaplink/gaplink/gateway"
	"github.com/gaplink/gaplink/upstream"
)

// Guards against a caller that reads nothing and holds its response in memory for as long as the
// request may take, while the responses of other callers exceed the limit.
func TestSlowCallerIsResetOverTheLimit(t *testing.T) {
	const size = 1000 << 10
	backlog := upstream.NewBacklog(size*3/2, nil)
	web, _ := newGatewayWith(t, 1, 1, func(c *net.TCPConn, r *http.Request, _ int) {
		send(c, head(r, 200, fmt.Sprint("Content-Length: ", size), closeField), strings.Repeat("x", size))
	}, func(o *gateway.Options) { o.Backlog = backlog })
	ask := func() net.Conn {
		c, err := net.Dial("tcp", web.Listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = c.Close() })
		send(c, "GET /safe/x HTTP/1.1\r\nHost: h\r\n", headerID, ": r1\r\n\r\n")
		return c
	}
	waitUntil := func(what string, holds func() bool) {
		for begun := time.Now(); !holds(); time.Sleep(time.Millisecond) {
			if time.Since(begun) > 5*time.Second {
				t.Fatal(what)
			}
		}
	}
	slow := ask()
	waitUntil("the first response is not counted", func() bool { return backlog.Sum() == size })
	other := ask()
	waitUntil("no response was aborted", func() bool { return backlog.Aborted() == 1 })
	if n, err := io.Copy(io.Discard, slow); err == nil || n >= size {
		t.Errorf("the slow caller got %d bytes, error %v", n, err)
	}
	if err := other.SetReadDeadline(time.Now().Add(5 * time.Second)); err != nil {
		t.Fatal(err)
	}
	if n, err := io.CopyN(io.Discard, other, size); err != nil {
		t.Errorf("the other caller got %d bytes, error %v", n, err)
	}
	waitUntil("bytes are left", func() bool { return backlog.Sum() == 0 })
}
