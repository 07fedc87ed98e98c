package upstream_test

import (
	"context"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/gaplink/gaplink/lab/tcptest"
	"github.com/gaplink/gaplink/upstream"
)

// checkNotRead fails the test if a response is returned, or is waited for although what came cannot become one.
func checkNotRead(t *testing.T, text string) {
	t.Helper()
	const soon = 500 * time.Millisecond
	addr := tcptest.ListenAnswering(t, func(*http.Request) string { return text })
	pool := newPool()
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	defer cancel()
	began := time.Now()
	answer, failure := pool.Send(ctx, get(addr, "a"))
	if failure == nil {
		body, err := io.ReadAll(answer)
		t.Fatalf("status %d, body %q, %v", answer.StatusCode, body, err)
	}
	if took := time.Since(began); took > soon {
		t.Errorf("waited %v: %v", took, failure)
	}
	if failure.Stage != upstream.Sent || failure.Unanswered {
		t.Errorf("stage %v, unanswered: %t", failure.Stage, failure.Unanswered)
	}
	if pool.Open() != 0 {
		t.Error("the connection is kept")
	}
}

// TestMalformedHeadIsNoResponse guards against a head that HTTP does not allow and that is passed on, skipped like an
// interim one in favour of what follows it, or waited for until the deadline.
func TestMalformedHeadIsNoResponse(t *testing.T) {
	const second = "HTTP/1.1 200 OK\r\nRequest-Id: a\r\nContent-Length: 6\r\n\r\nsecond"
	for name, text := range tcptest.MalformedResponses("Request-Id: a\r\n") {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			checkNotRead(t, text)
			checkNotRead(t, text+second)
			checkNotRead(t, "HTTP/1.1 100 Continue\r\n\r\n"+text)
		})
	}
	t.Run("two blanks before the status", func(t *testing.T) {
		checkNotRead(t, "HTTP/1.1  200 OK\r\nRequest-Id: a\r\nContent-Length: 2\r\n\r\nok")
		checkNotRead(t, "HTTP/1.0  200 OK\r\nRequest-Id: a\r\nContent-Length: 2\r\n\r\nok")
	})
	t.Run("interim response with a blank in a name", func(t *testing.T) {
		checkNotRead(t, "HTTP/1.1 103 Early Hints\r\nX Y: v\r\n\r\n"+second)
	})
}

// TestUnusualHeadIsAResponse guards against sound responses that are rejected.
func TestUnusualHeadIsAResponse(t *testing.T) {
	for name, text := range map[string]string{
		"no reason":            "HTTP/1.1 200\r\nRequest-Id: a\r\nContent-Length: 2\r\n\r\nok",
		"empty reason":         "HTTP/1.1 200 \r\nRequest-Id: a\r\nContent-Length: 2\r\n\r\nok",
		"short lines":          "HTTP/1.1 200\nRequest-Id: a\nContent-Length: 2\n\nok",
		"unknown status":       "HTTP/1.1 599 Own\r\nRequest-Id: a\r\nContent-Length: 2\r\n\r\nok",
		"interim responses":    "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 199 Own\r\n\r\nHTTP/1.1 200 OK\r\nRequest-Id: a\r\nContent-Length: 2\r\n\r\nok",
		"all bytes of a token": "HTTP/1.1 200 OK\r\nRequest-Id: a\r\n!#$%&'*+-.^_`|~09az: v\r\nContent-Length: 2\r\n\r\nok",
		"no value":             "HTTP/1.1 200 OK\r\nRequest-Id: a\r\nX:\r\nContent-Length:2\r\n\r\nok",
		"HTTP/1.0":             "HTTP/1.0 200 OK\r\nRequest-Id: a\r\nContent-Length: 2\r\n\r\nok",
	} {
		t.Run(name, func(t *testing.T) {
			addr := tcptest.ListenAnswering(t, func(*http.Request) string { return text })
			if got := body(t, newPool(), get(addr, "a")); got != "ok" {
				t.Errorf("body %q", got)
			}
		})
	}
}
