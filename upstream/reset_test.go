package upstream_test

import (
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/gaplink/gaplink/lab/tcptest"
	"github.com/gaplink/gaplink/upstream"
)

// unframedBody is the body of unframed, which only the close of its connection ends.
const (
	unframedBody = "one\ntwo\nthree\n"
	unframed     = "HTTP/1.1 200 OK\r\nRequest-Id: a\r\nConnection: close\r\n\r\n" + unframedBody
)

func answerUnframed(*http.Request) string { return unframed }

// upload sends a long request and returns the body of its response, with the error that ended it; nil if the body is
// taken for whole.
func upload(t *testing.T, pool *upstream.Pool, addr string) (string, error) {
	ctx, cancel := context.WithTimeout(t.Context(), 8*time.Second)
	defer cancel()
	r := get(addr, "a")
	r.Method, r.Body = http.MethodPost, make([]byte, tcptest.UploadBytes)
	answer, failure := pool.Send(ctx, r)
	if failure != nil {
		return "", failure
	}
	defer answer.Close()
	got, err := io.ReadAll(answer)
	if errors.Is(err, upstream.ErrUnframed) {
		err = nil
	}
	return string(got), err
}

// checkUploads fails the test unless the wanted number of responses to long requests are taken for whole, and are.
func checkUploads(t *testing.T, s tcptest.EarlyServer, newPool func(t *testing.T, addr string) *upstream.Pool, tries, want int) {
	t.Helper()
	addr := listen(t, s.Serve)
	pool := newPool(t, addr)
	whole := tcptest.Count(t, tries, func() bool {
		got, err := upload(t, pool, addr)
		if err == nil && got != unframedBody {
			t.Errorf("a part of a response taken for whole: %q", got)
		}
		return err == nil
	})
	if whole != want {
		t.Errorf("%d of %d responses taken for whole", whole, tries)
	}
	if pool.Open() != 0 {
		t.Errorf("%d connections are kept", pool.Open())
	}
}

func newDirectPool(*testing.T, string) *upstream.Pool { return newPool() }

const (
	resetTries     = 30
	halfCloseTries = 10
)

// TestResetDuringAnUploadEndsNoResponse guards against a response without a length that is taken for whole although its
// connection was reset: the write of the request's body may be what gets the reset from the kernel.
func TestResetDuringAnUploadEndsNoResponse(t *testing.T) {
	for _, s := range tcptest.EarlyServers(tcptest.EndsByReset, answerUnframed) {
		t.Run(s.String(), func(t *testing.T) {
			t.Parallel()
			checkUploads(t, s, newDirectPool, resetTries, 0)
		})
	}
}

// TestOrderlyCloseDuringAnUploadEndsAResponse guards against a whole response that is lost because its server did not
// wait for the rest of the request.
func TestOrderlyCloseDuringAnUploadEndsAResponse(t *testing.T) {
	servers := append(tcptest.EarlyServers(tcptest.EndsByHalfClose, answerUnframed),
		tcptest.EarlyServers(tcptest.EndsByHalfCloseAndReset, answerUnframed)...)
	for _, s := range servers {
		t.Run(s.String(), func(t *testing.T) {
			t.Parallel()
			checkUploads(t, s, newDirectPool, halfCloseTries, halfCloseTries)
		})
	}
}

// TestTimeoutDuringAnUploadEndsNoResponse guards against a response that is taken for whole although the kernel gave its
// connection up: the server reads nothing until the TCP user timeout.
func TestTimeoutDuringAnUploadEndsNoResponse(t *testing.T) {
	const tries = 6
	s := tcptest.EarlyServer{Reading: tcptest.ReadsNothing, Ending: tcptest.EndsByReset, After: 20 * time.Second, Answer: answerUnframed}
	addr, pool := listen(t, s.Serve), newPool()
	timedOut := tcptest.Count(t, tries, func() bool {
		_, err := upload(t, pool, addr)
		return errors.Is(err, syscall.ETIMEDOUT) && !errors.Is(err, os.ErrDeadlineExceeded)
	})
	if timedOut != tries {
		t.Errorf("%d of %d connections timed out", timedOut, tries)
	}
}
