package gateway

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/gaplink/gaplink/catalog"
	"github.com/gaplink/gaplink/result"
)

// The length that a caller announces is no more than a claim: it must not decide
// how much memory is taken before it is compared with the limit.
func TestAnnouncedLengthOverTheLimitTakesNoMemory(t *testing.T) {
	c, err := catalog.New(1, catalog.Limits{MaxBodyBytes: 100}, nil, nil, nil)
	if err != nil {
		t.Fatal(err)
	}
	w := httptest.NewRecorder()
	r := httptest.NewRequest(http.MethodPost, "/once/x", strings.NewReader("a"))
	r.ContentLength = 1 << 50 // more than any allocation can have: it panics, and ends the process if a little smaller
	g := &Gateway{}
	defer func() {
		if p := recover(); p != nil {
			t.Errorf("panic: %v", p)
		}
	}()
	refusal := g.readBody(&call{g: g, r: r, reply: reply{w: w, r: r}, catalog: c})
	if refusal == nil || refusal.Code != result.BodyTooLarge {
		t.Errorf("refusal %v", refusal)
	}
}
