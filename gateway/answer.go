package gateway

import (
	"io"
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
	"time"

	"github.com/gaplink/gaplink/result"
)

const (
	// codeHeader carries gaplink's result code in answers of its own.
	codeHeader = "Gaplink-Code"
	// wholeAnswer is the size up to which a plain answer is read whole before
	// any of it is passed on, so that one that breaks off can be replaced.
	wholeAnswer = 1 << 20
)

// hopHeaders concern one connection only.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
	"Proxy-Authenticate", "Proxy-Authorization", "Expect", "Content-Length",
}

// passed returns a copy of headers without those of one connection.
func passed(from http.Header) http.Header {
	h := from.Clone()
	for _, list := range from["Connection"] {
		for _, name := range strings.Split(list, ",") {
			h.Del(textproto.TrimString(name))
		}
	}
	for _, name := range hopHeaders {
		h.Del(name)
	}
	return h
}

// refuse answers for the router itself.
func (c *call) refuse(refusal *result.Error) {
	c.outcome = refusal.Code
	c.cause = refusal
	if refusal.Code == result.CallerGone {
		c.abort()
		return
	}
	info := refusal.Code.Info()
	c.status = info.HTTPStatus
	if info.NotRun && c.ran {
		c.status = http.StatusBadGateway // a server may have run it: promise nothing
	}
	h := c.w.Header()
	c.g.Protocol.Refusal(h, c.ID)
	h.Set(codeHeader, strconv.Itoa(int(refusal.Code)))
	h["Date"] = nil
	if refusal.RetryAfter > 0 {
		h.Set("Retry-After", seconds(refusal.RetryAfter))
	}
	body := refusal.Code.String() + ": " + info.Meaning + "\n"
	h.Set("Content-Type", "text/plain; charset=utf-8")
	h.Set("Content-Length", strconv.Itoa(len(body)))
	c.headStatus = c.status
	c.w.WriteHeader(c.status)
	if c.r.Method != http.MethodHead {
		_, _ = io.WriteString(c.w, body) // a caller that left cannot be told more
	}
}

// seconds writes a time span in seconds with a fraction.
func seconds(d time.Duration) string {
	return strconv.FormatFloat(d.Seconds(), 'f', 3, 64)
}

// abort ends the caller's connection without the end of an answer.
func (c *call) abort() {
	c.status = 0
	hijacker, ok := c.w.(http.Hijacker)
	if !ok {
		return
	}
	if conn, _, err := hijacker.Hijack(); err == nil {
		_ = conn.Close()
	}
}
