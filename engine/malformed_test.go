package engine_test

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/gaplink/gaplink/engine"
	"github.com/gaplink/gaplink/framing"
	"github.com/gaplink/gaplink/lab/tcptest"
	"github.com/gaplink/gaplink/result"
)

// read sends a request and returns the first event of its response, if the head is accepted.
func read(ctx context.Context, client *engine.Client, addr string) (string, *engine.Failure) {
	resp, failure := client.Post(ctx, addr, "/x", "a.1", make([]byte, 10))
	if failure != nil {
		return "", failure
	}
	defer resp.Close()
	if chunk, failure := resp.Next(ctx); failure == nil {
		return string(chunk.Data), nil
	}
	return "an accepted head", nil
}

// TestMalformedHeadIsNoResponse guards against a response whose head HTTP does not allow and that counts: as an answer, or
// as a statement that the request was not run.
func TestMalformedHeadIsNoResponse(t *testing.T) {
	for field, value := range map[string]string{engine.HeaderAttempt: "a.1", engine.HeaderNotAccepted: "true"} {
		for name, text := range tcptest.MalformedResponses(fmt.Sprintf("%s: %s\r\n", field, value)) {
			t.Run(name+", "+field, func(t *testing.T) {
				t.Parallel()
				ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
				defer cancel()
				client := engine.NewClient()
				defer client.Close()
				got, failure := read(ctx, client, tcptest.ListenAnswering(t, func(*http.Request) string { return text }))
				if failure == nil {
					t.Fatalf("got %q", got)
				}
				if errors.Is(failure, framing.ErrMalformed) && (failure.Code != result.BackendGarbage || !failure.Answered || failure.ConnectionLost) {
					t.Errorf("code %v, answered %t, connection lost %t", failure.Code, failure.Answered, failure.ConnectionLost)
				}
				if failure.Refused || !failure.Dispatched || ctx.Err() != nil {
					t.Errorf("refused %t, dispatched %t, %v", failure.Refused, failure.Dispatched, failure)
				}
			})
		}
	}
}

// TestConnectionOfAMalformedHeadIsNotReused guards against a request on a connection whose last response was malformed.
func TestConnectionOfAMalformedHeadIsNotReused(t *testing.T) {
	client := engine.NewClient()
	defer client.Close()
	sent := make(chan string, 2)
	addr := tcptest.ListenAnswering(t, func(r *http.Request) string {
		sent <- r.RemoteAddr
		return "HTTP/1.1 200 OK\r\n" + engine.HeaderAttempt + ": a.1\r\nX Y: v\r\nContent-Length: 0\r\n\r\n"
	})
	for range cap(sent) {
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		if _, failure := client.Post(ctx, addr, "/x", "a.1", nil); failure == nil || ctx.Err() != nil {
			t.Errorf("failure %v", failure)
		}
	}
	if len(sent) != cap(sent) {
		t.Errorf("%d of %d requests on connections of their own", len(sent), cap(sent))
	}
}
