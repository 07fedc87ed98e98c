package tunnel_test

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/gaplink/gaplink/lab/tcptest"
	"github.com/gaplink/gaplink/sockets"
)

const unframed = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\none\ntwo\nthree\n"

func answerUnframed(*http.Request) string { return unframed }

// upload sends a long request through a tunnel and reads until the end of the connection.
func (b *bench) upload(t testing.TB) (string, error) {
	conn, err := b.open(t)
	if err != nil {
		return "", err
	}
	defer func() { _ = conn.Close() }()
	request := fmt.Appendf(nil, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", tcptest.UploadBytes)
	go func() { _, _ = conn.Write(append(request, make([]byte, tcptest.UploadBytes)...)) }() // fails when the server ends the connection
	got, err := io.ReadAll(conn)
	return string(got), err
}

// TestResetOfTheServerDuringAnUploadIsPassedOn guards against a reset that reaches the first router as an orderly close,
// which ends a response without a length: the write to the server may be what gets the reset from the kernel.
func TestResetOfTheServerDuringAnUploadIsPassedOn(t *testing.T) {
	const tries = 30
	for _, s := range tcptest.EarlyServers(tcptest.EndsByReset, answerUnframed) {
		t.Run(s.String(), func(t *testing.T) {
			t.Parallel()
			b := newBench(t, func(c *net.TCPConn) { s.Serve(c) }, unchanged)
			orderly := tcptest.Count(t, tries, func() bool {
				_, err := b.upload(t)
				return err == nil
			})
			if orderly > 0 {
				t.Errorf("%d of %d resets became an orderly close", orderly, tries)
			}
		})
	}
}

// TestOrderlyCloseOfTheServerDuringAnUploadIsPassedOn guards against a whole response that is lost on its way to the
// first router, which is still writing the request.
func TestOrderlyCloseOfTheServerDuringAnUploadIsPassedOn(t *testing.T) {
	const tries = 10
	servers := append(tcptest.EarlyServers(tcptest.EndsByHalfClose, answerUnframed),
		tcptest.EarlyServers(tcptest.EndsByHalfCloseAndReset, answerUnframed)...)
	for _, s := range servers {
		t.Run(s.String(), func(t *testing.T) {
			t.Parallel()
			b := newBench(t, func(c *net.TCPConn) { s.Serve(c) }, unchanged)
			whole := tcptest.Count(t, tries, func() bool {
				got, err := b.upload(t)
				return err == nil && got == unframed
			})
			if whole != tries {
				t.Errorf("%d of %d responses arrived whole", whole, tries)
			}
		})
	}
}

// TestResetOfTheFirstRouterDuringAResponseIsPassedOn guards against a request that a server goes on to run although the
// first router has cancelled it: the write of the response may be what gets the reset from the kernel.
func TestResetOfTheFirstRouterDuringAResponseIsPassedOn(t *testing.T) {
	const tries = 30
	ended := make(chan error, tries)
	b := newBench(t, func(conn *net.TCPConn) {
		c := sockets.NewTCPConn(conn)
		defer func() { _ = c.Close() }()
		if _, err := c.Read(make([]byte, 1)); err != nil {
			return // shows up as a missing end
		}
		go func() {
			for {
				if _, err := c.Write(make([]byte, 64<<10)); err != nil {
					return
				}
			}
		}()
		_, err := io.Copy(io.Discard, c)
		ended <- err
	}, unchanged)
	tcptest.Count(t, tries, func() bool {
		c, err := b.open(t)
		if err != nil {
			t.Error(err)
			return false
		}
		_, _ = io.WriteString(c, "x")
		_, _ = io.CopyN(io.Discard, c, 1<<20)
		_ = c.SetLinger(0)
		return c.Close() == nil
	})
	orderly := 0
	for range tries {
		select {
		case err := <-ended:
			if !errors.Is(err, syscall.ECONNRESET) {
				orderly++
			}
		case <-time.After(3 * time.Second):
			t.Fatal("the server's connection stays open")
		}
	}
	if orderly > 0 {
		t.Errorf("%d of %d resets became an orderly close", orderly, tries)
	}
}
