package httpstore_test

import (
	"errors"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/gaplink/gaplink/lab/tcptest"
	"github.com/gaplink/gaplink/store"
	"github.com/gaplink/gaplink/store/httpstore"
)

// TestMalformedHeadIsNoResponse guards against a response whose head HTTP does not allow and that counts as an object, or
// as a statement that there is none.
func TestMalformedHeadIsNoResponse(t *testing.T) {
	for name, text := range tcptest.MalformedResponses(httpstore.VersionHeader + ": 5\r\n") {
		for _, status := range []string{" 200 ", " 404 ", " 412 ", " 503 "} {
			t.Run(name+","+status, func(t *testing.T) {
				t.Parallel()
				text := strings.Replace(text, " 200 ", status, 1)
				addr := tcptest.ListenAnswering(t, func(*http.Request) string { return text })
				client := httpstore.New("http://"+addr, 2*time.Second)
				if o, err := client.Update(t.Context(), "k/a", 4, []byte("value")); !errors.Is(err, store.ErrUnknown) {
					t.Errorf("update: %+v, %v", o, err)
				}
				if o, err := client.Get(t.Context(), "k/a"); !errors.Is(err, store.ErrUnknown) {
					t.Errorf("get: %+v, %v", o, err)
				}
			})
		}
	}
}
