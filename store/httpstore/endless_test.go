package httpstore_test

import (
	"testing"
	"time"

	"github.com/gaplink/gaplink/framing"
	"github.com/gaplink/gaplink/lab/tcptest"
	"github.com/gaplink/gaplink/store/httpstore"
)

// TestEndlessResponseTakesNoMemory guards against a store, or something else at its address, whose response has no
// end.
func TestEndlessResponseTakesNoMemory(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nObject-Version: 1\r\nTransfer-Encoding: chunked\r\n\r\n"
	for name, c := range map[string]struct {
		begin, more string
		mayKeep     int64
	}{
		"header lines":      {"HTTP/1.1 200 OK\r\n", "X-Field: value\r\n", framing.MaxHead},
		"one header line":   {"HTTP/1.1 200 OK\r\nX-Field: ", "xxxxxxxxxxxxxxxx", framing.MaxHead},
		"no line end":       {"", "\x00\x01\x02\x03", framing.MaxHead},
		"interim responses": {"", "HTTP/1.1 100 Continue\r\n\r\n", framing.MaxHead},
		"body":              {head, "10\r\naaaaaaaaaaaaaaaa\r\n", 4 << 20},
	} {
		t.Run(name, func(t *testing.T) {
			e := tcptest.ListenEndless(t, c.begin, c.more)
			if o, err := httpstore.New("http://"+e.Addr, 3*time.Second).Get(t.Context(), "k"); err == nil {
				t.Errorf("an object of %d bytes", len(o.Value))
			}
			e.Check(t, c.mayKeep)
		})
	}
}
