package gateway

import (
	"context"
	"net"
	"net/http"
	"strconv"

	"github.com/gaplink/gaplink/sockets"
	"github.com/gaplink/gaplink/upstream"
)

// reply is the response to the caller; only this type begins and ends it.
//
// A reply is complete only after an explicit call of end, which requires that the end of the
// server's response was verified. Any other return from the handler, expected or not, aborts a
// reply that has begun: a caller can repeat or resume a truncated response, but cannot detect
// a truncated response that looks complete.
type reply struct {
	w     http.ResponseWriter
	r     *http.Request
	state replyState
	// status is the status of the response head that was sent; 0: none was.
	status int
	// backlog bounds what is held for callers that read slowly.
	backlog *upstream.Backlog
	// count, if set, receives the number of bytes of each part of the body.
	count func(n int)
	// unframed reports that only the close of the connection marks the end of the reply.
	unframed bool
}

// replyState is the progress of a reply.
type replyState int

const (
	// replyOpen: the end was not sent, and possibly not the head either.
	replyOpen replyState = iota
	// replyEnded: the reply was ended and claims no more than was verified.
	replyEnded
	// replyAborted: the connection will be aborted.
	replyAborted
)

// claim returns what the caller can take the reply for, as written to the log and the metrics.
func (p *reply) claim() string {
	switch {
	case !p.hasBegun():
		return "no answer"
	case p.state != replyEnded:
		return "broken off"
	case p.unframed:
		return "unframed"
	default:
		return "complete"
	}
}

// hasBegun reports whether a response head was sent to the caller.
func (p *reply) hasBegun() bool { return p.status != 0 }

// lengthUnknown is the length of a reply whose length is not known when it begins.
const lengthUnknown = -1

// begin sends the response head; the headers must be set. framed reports whether the framing
// of the server's response marks its end: only then is the caller sent a length or chunked
// encoding. begin does nothing and returns false if another response has begun.
func (p *reply) begin(status int, length int64, framed bool) bool {
	if p.hasBegun() {
		return false
	}
	p.status = status
	h := p.w.Header()
	switch {
	case length >= 0:
		h.Set("Content-Length", strconv.FormatInt(length, 10))
	case !framed:
		h.Set("Transfer-Encoding", "identity") // makes net/http send neither a length nor chunks and close the connection
	}
	hasBody := p.r.Method != http.MethodHead && mayHaveBody(status)
	p.unframed = hasBody && length < 0 && (!framed || !p.r.ProtoAtLeast(1, 1))
	if p.unframed {
		p.setResetOnClose(true)
	}
	p.w.WriteHeader(status)
	return true
}

// mayHaveBody reports whether a response with the status may have a body.
func mayHaveBody(status int) bool {
	return status != http.StatusNoContent && status != http.StatusNotModified
}

// Write implements io.Writer for the body.
func (p *reply) Write(b []byte) (int, error) {
	defer p.backlog.Begin(len(b), p.reset)()
	n, err := p.w.Write(b)
	if p.count != nil {
		p.count(n)
	}
	return n, err
}

// flush sends the buffered bytes.
func (p *reply) flush() error { return http.NewResponseController(p.w).Flush() }

// end completes the reply and reports whether it could. A reply with its own framing may only
// be completed if the server's response was verified as complete. A reply without framing
// claims nothing and ends like the server's response, once all of it has left this process.
func (p *reply) end(complete bool) bool {
	if p.state != replyOpen || !complete && !p.unframed {
		return false
	}
	if p.unframed {
		if p.flush() != nil {
			return false
		}
		p.setResetOnClose(false)
	}
	p.state = replyEnded
	return true
}

// abort makes the connection to the caller close without a complete response when the handler
// returns, whether or not anything was sent.
func (p *reply) abort() { p.state = replyAborted }

// close must be the handler's last call. It panics with http.ErrAbortHandler unless the reply
// was ended: net/http then closes the connection without completing the response.
func (p *reply) close() {
	if p.state != replyEnded {
		panic(http.ErrAbortHandler)
	}
}

// setResetOnClose makes the close of the caller's connection a reset (on) or an orderly close.
// Without framing an orderly close marks the end of the response, so from the head to the
// verified end it is a reset, also if this process is killed in between.
func (p *reply) setResetOnClose(on bool) {
	conn, ok := p.r.Context().Value(callerConn{}).(*net.TCPConn)
	if !ok {
		return // not served by a server with ConnContext
	}
	const discard, orderly = 0, -1
	linger := orderly
	if on {
		linger = discard
	}
	_ = conn.SetLinger(linger) // fails only on a closed connection
}

// reset resets the caller's connection, which makes a write in progress fail.
func (p *reply) reset() {
	if conn, ok := p.r.Context().Value(callerConn{}).(*net.TCPConn); ok {
		_ = conn.SetLinger(0) // fails only on a closed connection
		_ = conn.Close()
	}
}

// callerConn is the context key of the caller's connection.
type callerConn struct{}

// ConnContext is the ConnContext hook of the http.Server that serves a Gateway; with it the
// gateway can reset callers' connections.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	if tcp, ok := sockets.As[*net.TCPConn](c); ok {
		_ = tcp.SetWriteBuffer(upstream.SendBuffer) // fails only on a closed connection
		return context.WithValue(ctx, callerConn{}, tcp)
	}
	return ctx
}
