package gateway

import (
	"net/http"
	"net/http/httptest"
	"testing"
)

func newReply(method, proto string) *reply {
	r := httptest.NewRequest(method, "/", nil)
	r.Proto = proto
	r.ProtoMajor, r.ProtoMinor, _ = http.ParseHTTPVersion(proto)
	return &reply{w: httptest.NewRecorder(), r: r}
}

// aborts reports whether close aborts the reply.
func aborts(p *reply) (cut bool) {
	defer func() { cut = recover() == http.ErrAbortHandler }()
	p.close()
	return false
}

// An unexpected return from the handler must neither complete the reply nor mark it complete.
func TestReplyThatWasNotEndedIsCut(t *testing.T) {
	p := newReply(http.MethodGet, "HTTP/1.1")
	if !aborts(p) {
		t.Error("a reply without a head was completed")
	}
	p.begin(200, lengthUnknown, true)
	if !aborts(p) || p.claim() != "broken off" {
		t.Errorf("claim of a reply that has begun: %s", p.claim())
	}
	if p.end(false) || !aborts(p) {
		t.Error("a reply was ended although completeness was not verified")
	}
	p.abort()
	if p.end(true) || !aborts(p) {
		t.Error("an aborted reply was ended")
	}
}

// A caller gets at most one response; the end of another has no effect on it.
func TestReplyBeginsOnce(t *testing.T) {
	p := newReply(http.MethodGet, "HTTP/1.1")
	if !p.begin(200, lengthUnknown, true) || p.begin(500, 5, true) || p.status != 200 {
		t.Errorf("status %d", p.status)
	}
}

func TestClaimOfAReply(t *testing.T) {
	cases := []struct {
		name, method, proto string
		status              int
		length              int64
		framed              bool
		want                string
	}{
		{"a length", "GET", "HTTP/1.1", 200, 5, true, "complete"},
		{"chunks", "GET", "HTTP/1.1", 200, lengthUnknown, true, "complete"},
		{"no framing", "GET", "HTTP/1.1", 200, lengthUnknown, false, "unframed"},
		{"chunks, to a caller that knows none", "GET", "HTTP/1.0", 200, lengthUnknown, true, "unframed"},
		{"a length, to such a caller", "GET", "HTTP/1.0", 200, 5, true, "complete"},
		{"no body by status", "GET", "HTTP/1.1", 204, lengthUnknown, true, "complete"},
		{"no body by status, to such a caller", "GET", "HTTP/1.0", 304, lengthUnknown, true, "complete"},
		{"no body by method", "HEAD", "HTTP/1.0", 200, lengthUnknown, true, "complete"},
	}
	for _, k := range cases {
		p := newReply(k.method, k.proto)
		if p.claim() != "no answer" {
			t.Errorf("%s: %s before the head", k.name, p.claim())
		}
		p.begin(k.status, k.length, k.framed)
		if !p.end(k.framed) || p.claim() != k.want || aborts(p) {
			t.Errorf("%s: %s, want %s", k.name, p.claim(), k.want)
		}
	}
}
