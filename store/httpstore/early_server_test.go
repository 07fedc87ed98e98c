package httpstore_test

import (
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/gaplink/gaplink/lab/tcptest"
	"github.com/gaplink/gaplink/store/httpstore"
)

// TestResetDuringAnUploadIsNoChange guards against a change that is taken for made, or for refused, although its response
// has no version and the connection was reset while the value was still being written.
func TestResetDuringAnUploadIsNoChange(t *testing.T) {
	const tries = 30
	answer := func(*http.Request) string { return "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\npart" }
	for _, s := range tcptest.EarlyServers(tcptest.EndsByReset, answer) {
		t.Run(s.String(), func(t *testing.T) {
			t.Parallel()
			client := httpstore.New("http://"+tcptest.Listen(t, func(c net.Conn, _ int) { s.Serve(c) }), 8*time.Second)
			made := tcptest.Count(t, tries, func() bool {
				_, err := client.Update(t.Context(), "k/a", 4, make([]byte, tcptest.UploadBytes))
				return err == nil
			})
			if made > 0 {
				t.Errorf("%d of %d changes taken for made", made, tries)
			}
		})
	}
}
