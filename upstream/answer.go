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
	// maxSurplus is how many answers to other requests are skipped.
	maxSurplus = 3
	// maxSurplusBody bounds the body of such an answer.
	maxSurplusBody = 1 << 20
)

// errForeign marks answers that name no request of this connection.
var errForeign = errors.New("the answers on the connection belong to other requests")

// Answer is a backend server's answer. The caller reads it to its end or calls Close.
// Its body can be had by Read alone, which tells a proved end from any other.
type Answer struct {
	StatusCode int
	Header     http.Header
	// ContentLength is -1 if the head gives none.
	ContentLength int64

	resp    *http.Response
	pool    *Pool
	conn    *conn
	stop    func() bool
	ctx     context.Context
	written <-chan error
	// first tells that the connection has carried no other request.
	first bool
	over  bool
}

// readHead reads until the answer of the request, past interim ones and past
// surplus answers to earlier requests.
func (a *Answer) readHead(r *Request) (*http.Response, error) {
	request := &http.Request{Method: r.Method}
	for skipped := 0; skipped <= maxSurplus; {
		resp, err := a.conn.readResponse(request)
		if err != nil {
			return nil, err
		}
		if resp.StatusCode < http.StatusOK {
			continue
		}
		switch belongs := r.Belongs(resp); {
		case belongs == Mine, belongs == Unnamed && a.first:
			return resp, nil
		case belongs == Unnamed:
			return nil, errForeign
		}
		skipped++
		n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxSurplusBody))
		if err != nil || n == maxSurplusBody || resp.Close {
			return nil, errForeign
		}
	}
	return nil, errForeign
}

// ErrUnframed ends an answer whose connection the server closed and whose framing
// does not tell where it ends: it may be whole, and its server may have died.
var ErrUnframed = errors.New("the answer ended with its connection")

// Read reads the body. It returns io.EOF only where the framing proves the end; the
// connection is then kept if it can carry another request. An answer that is over
// without such a proof gives ErrUnframed.
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

// Close ends the answer. If its body was not read to the end, the connection
// is closed, which cancels the run at the server.
func (a *Answer) Close() { a.discard() }

func (a *Answer) finish() {
	if a.over {
		return
	}
	a.over = true
	if !a.stop() || !a.reusable() {
		a.pool.drop(a.conn)
		return
	}
	a.pool.put(a.conn, keepFor(a.Header, a.pool.opts.IdleTimeout))
}

// reusable tells whether the connection is in step: the request was written
// whole, the answer had a length, and nothing follows it.
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

// Framed tells whether the answer's own framing proves its end.
func (a *Answer) Framed() bool { return framing.Proved(a.resp) }

// discard ends an exchange before its end. The connection is reset, so that a
// request whose bytes are held up on the way never reaches the server later.
func (a *Answer) discard() {
	if a.over {
		return
	}
	a.over = true
	a.stop()
	a.conn.reset()
	a.pool.drop(a.conn)
}

// keepAliveMargin is how much earlier than the server a connection is given
// up, so that none is used while the server closes it.
const keepAliveMargin = 500 * time.Millisecond

// keepFor returns how long the connection may rest, by the server's word or
// else the pool's own.
func keepFor(h http.Header, standard time.Duration) time.Duration {
	for _, field := range strings.Split(h.Get("Keep-Alive"), ",") {
		value, ok := strings.CutPrefix(strings.TrimSpace(field), "timeout=")
		if !ok {
			continue
		}
		seconds, err := strconv.Atoi(value)
		if err != nil {
			return standard // not a number: the server has named no time
		}
		return max(time.Duration(seconds)*time.Second-keepAliveMargin, 0)
	}
	return standard
}
