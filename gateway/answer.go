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
		c.reply.breakOff()
		return
	}
	info := refusal.Code.Info()
	status := info.HTTPStatus
	if info.NotRun && c.ran {
		status = http.StatusBadGateway // a server may have run it: promise nothing
	}
	h := c.reply.w.Header()
	c.g.Protocol.Refusal(h, c.ID)
	h.Set(codeHeader, strconv.Itoa(int(refusal.Code)))
	h["Date"] = nil
	if refusal.RetryAfter > 0 {
		h.Set("Retry-After", seconds(refusal.RetryAfter))
	}
	body := refusal.Code.String() + ": " + info.Meaning + "\n"
	h.Set("Content-Type", "text/plain; charset=utf-8")
	c.reply.begin(status, int64(len(body)), true)
	if c.r.Method != http.MethodHead {
		_, _ = io.WriteString(&c.reply, body) // a caller that left cannot be told more
	}
	c.reply.end(true)
}

// seconds writes a time span in seconds with a fraction.
func seconds(d time.Duration) string {
	return strconv.FormatFloat(d.Seconds(), 'f', 3, 64)
}
