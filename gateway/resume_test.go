package gateway_test

import (
	"net"
	"net/http"
	"strings"
	"testing"
)

// A resumed stream is valid only if the second server's events continue exactly after the last
// event that the caller has. Events that cannot be shown to do so are not forwarded.
func TestResumedRunsMustJoin(t *testing.T) {
	cases := []struct {
		name, first, second string
		want                string
		claim               claim
	}{
		{"goes on", events(1, 3), events(4, 6), events(1, 6), complete},
		{"repeats all and has no more", events(1, 3), events(1, 3), events(1, 3), complete},
		{"repeats the last event and has no more", events(1, 3), events(3, 3), events(1, 3), complete},
		{"shows nothing", events(1, 3), "", events(1, 3), broken},
		{"shows nothing but a comment", events(1, 3), ": wait\n\n", events(1, 3) + ": wait\n\n", broken},
		{"begins anew", events(1, 3), events(1, 6), events(1, 6), complete},
		{"repeats the last event", events(1, 3), events(3, 6), events(1, 6), complete},
		{"goes on at wider distances", "id: 2\ndata: a\n\nid: 4\ndata: b\n\n", "id: 6\ndata: c\n\n", "id: 2\ndata: a\n\nid: 4\ndata: b\n\nid: 6\ndata: c\n\n", complete},
		{"has uneven distances before", events(1, 2) + events(5, 5), events(6, 7), events(1, 2) + events(5, 5), broken},
		{"repeats the last event after uneven distances", events(1, 2) + events(5, 5), events(5, 5) + events(9, 9), events(1, 2) + events(5, 5) + events(9, 9), complete},
		{"leaves events out", events(1, 3), events(6, 8), events(1, 3), broken},
		{"goes back", events(1, 3), events(4, 5) + events(4, 6), events(1, 5), broken},
		{"ends before the caller is", events(1, 3), events(1, 2), events(1, 3), broken},
		{"names no ids", events(1, 3), "data: a\n\n", events(1, 3), broken},
		{"has ids that are no numbers", events(1, 3), "id: x\ndata: a\n\n", events(1, 3), broken},
		{"follows ids that are no numbers", "id: x\ndata: a\n\n", events(4, 6), "id: x\ndata: a\n\n", broken},
		{"follows events without ids", "data: a\n\n", "data: b\n\n", "data: a\n\n", broken},
		{"sends comments", events(1, 3), ": wait\n\n" + events(4, 6), events(1, 3) + ": wait\n\n" + events(4, 6), complete},
	}
	for _, k := range cases {
		t.Run(k.name, func(t *testing.T) {
			asked := make(chan struct{}, 2)
			web := newGateway(t, 2, 2, func(c *net.TCPConn, r *http.Request, n int) {
				asked <- struct{}{}
				if n == 1 {
					send(c, head(r, 200, chunkedField), chunk(k.first))
					return
				}
				send(c, head(r, 200, chunkedField))
				if k.second != "" {
					send(c, chunk(k.second))
				}
				send(c, lastChunk)
			})
			got := post(t, web, "/stream/x")
			if got.claim != k.claim || got.body != k.want {
				t.Errorf("%s answer: %q, want %s %q", got.claim, got.body, k.claim, k.want)
			}
			if stuck := strings.HasPrefix(k.name, "follows"); stuck != (len(asked) == 1) {
				t.Errorf("%d servers asked", len(asked))
			}
		})
	}
	t.Run("one run that goes back", func(t *testing.T) {
		web := newGateway(t, 2, 2, func(c *net.TCPConn, r *http.Request, _ int) {
			send(c, head(r, 200, chunkedField), chunk(events(1, 3)), chunk(events(2, 4)), lastChunk)
		})
		if got := post(t, web, "/once-stream/x"); got.claim != broken || got.body != events(1, 3) {
			t.Errorf("%s answer: %q", got.claim, got.body)
		}
	})
}
