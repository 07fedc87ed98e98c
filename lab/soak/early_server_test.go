package soak

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/gaplink/gaplink/lab/tcptest"
)

const unframed = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\none\ntwo\nthree\n"

func answerUnframed(*http.Request) string { return unframed }

// uploadClaim sends a long request as a caller does, and returns what its answer claims.
func uploadClaim(c *caller, addr string) Claim {
	resp, err := c.client.Post("http://"+addr, "text/plain", bytes.NewReader(make([]byte, tcptest.UploadBytes)))
	if err != nil {
		return Cut
	}
	defer func() { _ = resp.Body.Close() }()
	_, err = io.ReadAll(resp.Body)
	return claimOf(resp, err)
}

// TestCallerNoticesAReset guards against a check that sees nothing since a cut answer is taken for one that ended with its
// connection.
func TestCallerNoticesAReset(t *testing.T) {
	const tries = 30
	for _, s := range tcptest.EarlyServers(tcptest.EndsByReset, answerUnframed) {
		t.Run(s.String(), func(t *testing.T) {
			t.Parallel()
			c := newCaller(0, 1, nil, nil, nil)
			addr := tcptest.Listen(t, func(c net.Conn, _ int) { s.Serve(c) })
			whole := tcptest.Count(t, tries, func() bool { return uploadClaim(c, addr) != Cut })
			if whole > 0 {
				t.Errorf("%d of %d answers taken for whole", whole, tries)
			}
		})
	}
}

// TestProxyPassesOnAReset guards against a proxy that turns the reset of a server into an orderly close, which makes an
// answer look whole.
func TestProxyPassesOnAReset(t *testing.T) {
	const tries = 30
	for _, s := range tcptest.EarlyServers(tcptest.EndsByReset, answerUnframed) {
		t.Run(s.String(), func(t *testing.T) {
			t.Parallel()
			p, err := NewProxy(tcptest.Listen(t, func(c net.Conn, _ int) { s.Serve(c) }))
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(p.Close)
			c := newCaller(0, 1, nil, nil, nil)
			whole := tcptest.Count(t, tries, func() bool { return uploadClaim(c, p.Addr()) != Cut })
			if whole > 0 {
				t.Errorf("%d of %d answers taken for whole", whole, tries)
			}
		})
	}
}
