package httpstore_test

import (
	"testing"
	"time"

	"github.com/gaplink/gaplink/framing"
	"github.com/gaplink/gaplink/lab/tcptest"
	"github.com/gaplink/gaplink/store"
	"github.com/gaplink/gaplink/store/httpstore"
)

// TestEndlessResponseTakesNoMemory guards against a store, or something else at its address, whose response has no
// end.
func TestEndlessResponseTakesNoMemory(t *testing.T) {
	tcptest.CheckEndlessResponses(t, "Object-Version: 1\r\n", framing.MaxHead, store.MaxValueBytes, func(t *testing.T, addr string) {
		if o, err := httpstore.New("http://"+addr, 3*time.Second).Get(t.Context(), "k"); err == nil {
			t.Errorf("an object of %d bytes", len(o.Value))
		}
	})
}
