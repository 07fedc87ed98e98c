package upstream

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/gaplink/gaplink/framing"
)

const (
	// maxSurplus is the number of responses to other requests that are skipped.
	maxSurplus = 3
	// maxSurplusBody bounds the body of such a response, in bytes.
	maxSurplusBody = 1 << 20
)

// errMatchedOther is returned if the responses on a connection do not belong to the
// request.
var errMatchedOther = errors.New("the responses on the connection belong to other requests")

// Answer is the response of a backend server. The caller reads it to its end or calls Close.
// The body is accessible only through Read, which distinguishes a proven end from any other.
type Answer struct {
	StatusCode int
	Header     http.Header
	// ContentLength is -1 if the header does not declare it.
	ContentLength int64

	resp    *http.Response
	pool    *Pool
	conn    *conn
	stop    func() bool
	ctx     context.Context
	written <-chan error
	// first is set if the connection has carried no other request.
	first bool
	done  bool
}

// readHead reads the header of the response to the request. It skips interim (1xx)
// responses and surplus responses to earlier requests. All heads together are bounded by framing.MaxHead.
func (a *Answer) readHead(r *Request) (*http.Response, error) {
	request := &http.Request{Method: r.Method}
	left := framing.MaxHead
	for skipped := 0; skipped <= maxSurplus; {
		a.conn.head.Expect(left)
		resp, err := a.conn.readResponse(request)
		left = a.conn.head.Release()
		if err != nil {
			return nil, err
		}
		if resp.StatusCode < http.StatusOK {
			continue
		}
		switch match := r.Match(resp); {
		case match == Matched, match == MatchUnknown && a.first:
			return resp, nil
		case match == MatchUnknown:
			return nil, errMatchedOther
		}
		skipped++
		n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxSurplusBody))
		if err != nil || n == maxSurplusBody || resp.Close {
			return nil, errMatchedOther
		}
	}
	return nil, errMatchedOther
}

// ErrUnframed is returned at the end of a response that is delimited only by the server
// closing the connection: it may be complete, or the server may have crashed.
var ErrUnframed = errors.New("the response ended with the connection, without framing")

// Read reads the body. It returns io.EOF only if the framing proves the end; the
// connection is then kept if it can be reused. A response that ends without such a
// proof returns ErrUnframed.
func (a *Answer) Read(b []byte) (int, error) {
	n, err := a.resp.Body.Read(b)
	if err == io.EOF {
		a.finish()
		if !a.Framed() {
			err = ErrUnframed
		}
	} else if err != nil {
		a.discard()
		if cause := a.ctx.Err(); cause != nil {
			err = fmt.Errorf("%w: %v", cause, err)
		}
	}
	return n, err
}

// Router returns the router through which the server was reached; empty if directly.
func (a *Answer) Router() string { return a.conn.router }

// Close releases the response. If the body was not read to its end, the connection
// is closed, which cancels the request at the server.
func (a *Answer) Close() { a.discard() }

func (a *Answer) finish() {
	if a.done {
		return
	}
	a.done = true
	if !a.stop() || !a.reusable() {
		a.pool.drop(a.conn)
		return
	}
	a.pool.put(a.conn, keepFor(a.Header, a.pool.opts.IdleTimeout))
}

// reusable reports whether the connection can carry another request: this request
// was written completely, the response was framed, and no bytes follow it.
func (a *Answer) reusable() bool {
	select {
	case err := <-a.written:
		if err != nil {
			return false
		}
	default:
		return false
	}
	return a.Framed() && !a.resp.Close && a.conn.reader.Buffered() == 0
}

// Framed reports whether the framing of the response proves its end.
func (a *Answer) Framed() bool { return framing.Delimited(a.resp) }

// discard aborts an exchange. The connection is reset, so that a request whose
// bytes are delayed in the network never reaches the server later.
func (a *Answer) discard() {
	if a.done {
		return
	}
	a.done = true
	a.stop()
	a.conn.reset()
	a.pool.drop(a.conn)
}

// keepAliveMargin is how much earlier than the server's keep-alive timeout a
// connection expires, so that none is used while the server closes it.
const keepAliveMargin = 500 * time.Millisecond

// keepFor returns how long the connection may stay idle: the timeout of the
// server's Keep-Alive header less a margin, or else the given default.
func keepFor(h http.Header, defaultTimeout time.Duration) time.Duration {
	for _, field := range strings.Split(h.Get("Keep-Alive"), ",") {
		value, ok := strings.CutPrefix(strings.TrimSpace(field), "timeout=")
		if !ok {
			continue
		}
		seconds, err := strconv.Atoi(value)
		if err != nil {
			return defaultTimeout // not a number: the server declares no timeout
		}
		return max(time.Duration(seconds)*time.Second-keepAliveMargin, 0)
	}
	return defaultTimeout
}
