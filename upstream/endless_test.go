package upstream_test

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/gaplink/gaplink/framing"
	"github.com/gaplink/gaplink/lab/tcptest"
	"github.com/gaplink/gaplink/placement"
	"github.com/gaplink/gaplink/upstream"
)

// TestEndlessHeadIsNotRead guards against a server that sends bytes without end where the head of a response is
// due, which took gigabytes of a router's memory.
func TestEndlessHeadIsNotRead(t *testing.T) {
	for name, c := range tcptest.EndlessHeads {
		t.Run(name, func(t *testing.T) {
			e := tcptest.ListenEndless(t, c.Begin, c.More)
			pool := newPool()
			ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
			defer cancel()
			answer, failure := pool.Send(ctx, get(e.Addr, "a"))
			if failure == nil {
				answer.Close()
				t.Fatal("taken for a response")
			}
			if failure.Stage != upstream.Sent || ctx.Err() != nil {
				t.Errorf("stage %v, %v", failure.Stage, failure)
			}
			if pool.Open() != 0 {
				t.Error("the connection is kept")
			}
			e.Check(t, framing.MaxHead)
		})
	}
}

// TestEndlessBodyTakesNoMemory guards against a body without end that is kept in memory, taken for a whole one,
// or leaves its connection in use.
func TestEndlessBodyTakesNoMemory(t *testing.T) {
	const chunked = "HTTP/1.1 200 OK\r\nRequest-Id: a\r\nTransfer-Encoding: chunked\r\n\r\n"
	for name, c := range map[string]tcptest.EndlessResponse{
		"chunk extension":    {Begin: chunked + "5;", More: "extension=value;"},
		"chunk size":         {Begin: chunked, More: "0000000000000000"},
		"trailer lines":      {Begin: chunked + "0\r\n", More: "X-Field: value\r\n"},
		"one trailer line":   {Begin: chunked + "0\r\nX-Field: ", More: "xxxxxxxxxxxxxxxx"},
		"extensions of each": {Begin: chunked, More: "1;extension=value-that-is-much-longer-than-its-chunk\r\na\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			e := tcptest.ListenEndless(t, c.Begin, c.More)
			pool := newPool()
			ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
			defer cancel()
			answer, failure := pool.Send(ctx, get(e.Addr, "a"))
			if failure != nil {
				t.Fatal(failure)
			}
			n, err := io.Copy(io.Discard, answer)
			if err == nil {
				t.Errorf("a whole body of %d bytes", n)
			}
			if ctx.Err() != nil {
				t.Error("read until the deadline")
			}
			if pool.Open() != 0 {
				t.Error("the connection is kept")
			}
			e.Check(t, framing.MaxHead)
		})
	}
}

// TestEndlessSurplusIsNotDrained guards against a response to another request that has no end and is drained in
// the hope of the own one.
func TestEndlessSurplusIsNotDrained(t *testing.T) {
	for name, begin := range map[string]string{
		"chunked":   "HTTP/1.1 200 OK\r\nRequest-Id: other\r\nTransfer-Encoding: chunked\r\n\r\n",
		"by length": "HTTP/1.1 200 OK\r\nRequest-Id: other\r\nContent-Length: 1000000000000\r\n\r\n",
		"unframed":  "HTTP/1.1 200 OK\r\nRequest-Id: other\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			e := tcptest.ListenEndless(t, begin, "10\r\naaaaaaaaaaaaaaaa\r\n")
			pool := newPool()
			ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
			defer cancel()
			if _, failure := pool.Send(ctx, get(e.Addr, "a")); failure == nil || ctx.Err() != nil {
				t.Errorf("failure %v", failure)
			}
			if pool.Open() != 0 {
				t.Error("the connection is kept")
			}
			e.Check(t, 1<<20)
		})
	}
}

// TestEndlessHealthAnswerIsNotRead guards against a health check, or a check whether a process lives, that reads what a
// server sends without end.
func TestEndlessHealthAnswerIsNotRead(t *testing.T) {
	server := func(addr string) placement.Server { return placement.Server{ID: "s", Address: addr} }
	t.Run("health check", func(t *testing.T) {
		e := tcptest.ListenEndless(t, "HTTP/1.1 200 OK\r\n", "X-Field: value\r\n")
		if err := newPool().Ping(t.Context(), server(e.Addr), upstream.HealthRequest("/health")); err != nil {
			t.Error(err)
		}
		e.Check(t, framing.MaxHead)
	})
	t.Run("bytes before a request", func(t *testing.T) {
		e := tcptest.ListenEndlessUnasked(t, "HTTP/1.1 200 OK\r\n", "X-Field: value\r\n")
		pool := newPool()
		if found := pool.Check(t.Context(), server(e.Addr)); found != upstream.Unknown {
			t.Errorf("process %v", found)
		}
		if err := pool.Probe(t.Context(), server(e.Addr)); err == nil {
			t.Error("the probe took unasked bytes for a server that is ready")
		}
		if pool.Open() != 0 {
			t.Error("the connection is kept")
		}
		e.Check(t, framing.MaxHead)
	})
}
