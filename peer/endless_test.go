package peer_test

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/gaplink/gaplink/lab/tcptest"
	"github.com/gaplink/gaplink/peer"
)

// TestEndlessAnswerOfARouterTakesNoMemory guards against a router, or something else at its address, whose answer has
// no end.
func TestEndlessAnswerOfARouterTakesNoMemory(t *testing.T) {
	const drpcBuffer = 4 << 20
	data := strings.Repeat("a", 100)
	for name, more := range map[string]string{
		"zeros":                 "\x00",
		"a number without end":  "\xff",
		"text":                  "HTTP/1.1 200 OK\r\n",
		"a message without end": "\x04\x01\x01\x64" + data, // a message's frame that is not its last
		"messages":              "\x05\x01\x01\x64" + data,
	} {
		t.Run(name, func(t *testing.T) {
			e := tcptest.ListenEndlessAtOnce(t, "", more)
			client := peer.NewClient(peer.Options{DialTimeout: time.Second})
			defer func() { _ = client.Close() }()
			ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
			defer cancel()
			if _, err := peer.Call[message, message](ctx, client, e.Addr, "echo", &message{}); err == nil {
				t.Error("taken for an answer")
			}
			e.Check(t, drpcBuffer)
		})
	}
}
