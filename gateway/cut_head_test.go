package gateway_test

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"testing"
)

// TestCutHeadIsNoAnswer guards against an answer that a caller gets although its server stopped in the middle of its head.
// Each head is cut after each of its bytes, by a close and by a reset.
func TestCutHeadIsNoAnswer(t *testing.T) {
	const fields = headerID + ": r1\r\n" + headerSigned + ": yes\r\n"
	heads := map[string]string{
		"length":         "HTTP/1.1 200 OK\r\n" + fields + "Content-Length: 0\r\n\r\n",
		"chunks":         "HTTP/1.1 200 OK\r\n" + fields + "Transfer-Encoding: chunked\r\n\r\n",
		"HTTP/1.0":       "HTTP/1.0 200 OK\r\n" + fields + "\r\n",
		"bare line feed": "HTTP/1.1 200 OK\n" + headerID + ": r1\n" + headerSigned + ": yes\n\n",
		"close":          "HTTP/1.1 200 OK\r\n" + fields + "Connection: close\r\n\r\n",
	}
	for name, head := range heads {
		for _, ending := range []string{"close", "reset"} {
			t.Run(name+", "+ending, func(t *testing.T) {
				t.Parallel()
				web := newGateway(t, 1, 1, func(c *net.TCPConn, r *http.Request, _ int) {
					n, _ := strconv.Atoi(r.URL.Query().Get("bytes")) // 0 is one of the cases
					send(c, head[:n])
					if ending == "reset" {
						reset(c)
					}
				})
				for n := range len(head) {
					if got := post(t, web, fmt.Sprint("/once/x?bytes=", n)); got.status == http.StatusOK {
						t.Errorf("cut after %d bytes: %s answer %q", n, got.claim, got.body)
					}
				}
				if got := post(t, web, fmt.Sprint("/once/x?bytes=", len(head))); name == "length" && ending == "close" && got.status != http.StatusOK {
					t.Errorf("not cut: status %d", got.status)
				}
			})
		}
	}
}
