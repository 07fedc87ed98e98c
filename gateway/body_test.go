package gateway

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/gaplink/gaplink/catalog"
	"github.com/gaplink/gaplink/result"
)

// The Content-Length announced by a caller is unverified: no memory may be allocated by it
// before it is compared with the limit.
func TestAnnouncedLengthOverTheLimitTakesNoMemory(t *testing.T) {
	c, err := catalog.New(1, catalog.Limits{MaxBodyBytes: 100}, nil, nil, nil)
	if err != nil {
		t.Fatal(err)
	}
	w := httptest.NewRecorder()
	r := httptest.NewRequest(http.MethodPost, "/once/x", strings.NewReader("a"))
	r.ContentLength = 1 << 50 // larger than any allocation can be: it panics, and a slightly smaller size kills the process
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
