package gateway

import (
	"context"
	"net"
	"net/http"
	"strconv"
)

// reply is the answer to the caller, which it alone begins and ends.
//
// A reply is complete only by an explicit end, and end asks whether the end of the
// server's answer was proved. Every other way out of the handler, foreseen or not,
// breaks off a reply that has begun: a caller can repeat or resume what was cut, and
// has no way to notice what was cut and looks whole.
type reply struct {
	w     http.ResponseWriter
	r     *http.Request
	state replyState
	// status is that of the head that was sent; 0: none was.
	status int
	// unframed tells that the caller sees the end of the reply by the close of its
	// connection alone.
	unframed bool
}

// replyState is how far a reply has come.
type replyState int

const (
	// replyOpen: the end was not sent, nor perhaps the head.
	replyOpen replyState = iota
	// replyEnded: the reply claims no more than was proved.
	replyEnded
	// replyCut: the reply will be cut.
	replyCut
)

// claim is what the caller can take the reply for, as the log and the metrics call
// it.
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

// hasBegun tells whether the caller has the head of an answer.
func (p *reply) hasBegun() bool { return p.status != 0 }

// lengthUnknown is the length of a reply that is not known when it begins.
const lengthUnknown = -1

// begin sends the head. framed tells whether the server's answer is one whose end
// can be proved; the caller gets a length or chunks only then. The headers must be
// set. It does nothing and returns false if another answer has begun.
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
		h.Set("Transfer-Encoding", "identity") // net/http: neither a length nor chunks, and the connection closes
	}
	hasBody := p.r.Method != http.MethodHead && mayHaveBody(status)
	p.unframed = hasBody && length < 0 && (!framed || !p.r.ProtoAtLeast(1, 1))
	if p.unframed {
		p.closeByReset(true)
	}
	p.w.WriteHeader(status)
	return true
}

// mayHaveBody tells whether an answer with that status may have a body.
func mayHaveBody(status int) bool {
	return status != http.StatusNoContent && status != http.StatusNotModified
}

// Write implements io.Writer for the body.
func (p *reply) Write(b []byte) (int, error) { return p.w.Write(b) }

// flush sends what was written.
func (p *reply) flush() error { return http.NewResponseController(p.w).Flush() }

// end completes the reply and tells whether it may be: a reply with framing of its
// own needs the proof that its last byte is the last of the server's answer. One
// without claims nothing and ends as the server's did, once all of it has left this
// process.
func (p *reply) end(proved bool) bool {
	if p.state != replyOpen || !proved && !p.unframed {
		return false
	}
	if p.unframed {
		if p.flush() != nil {
			return false
		}
		p.closeByReset(false)
	}
	p.state = replyEnded
	return true
}

// breakOff cuts the caller's connection when the handler returns, whether or not
// anything was sent.
func (p *reply) breakOff() { p.state = replyCut }

// close is the last act of a handler. It does not return if the reply was not ended:
// the panic is net/http's way to close a connection without the end of an answer.
func (p *reply) close() {
	if p.state != replyEnded {
		panic(http.ErrAbortHandler)
	}
}

// closeByReset makes the close of the caller's connection a reset, or an orderly
// one again. Without framing an orderly close is an end to the caller, so from the
// head to the proved end it is a reset, also if this process is killed meanwhile.
func (p *reply) closeByReset(on bool) {
	conn, ok := p.r.Context().Value(callerConn{}).(*net.TCPConn)
	if !ok {
		return // not served by a server with ConnContext
	}
	const discard, orderly = 0, -1
	linger := orderly
	if on {
		linger = discard
	}
	_ = conn.SetLinger(linger) // fails only on a connection that is closed already
}

// callerConn is the key of the caller's connection in a request's context.
type callerConn struct{}

// ConnContext is for the http.Server that serves a Gateway: it lets the gateway
// reset the connections of callers.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	for {
		wrapper, ok := c.(interface{ NetConn() net.Conn })
		if !ok {
			break
		}
		c = wrapper.NetConn()
	}
	if tcp, ok := c.(*net.TCPConn); ok {
		return context.WithValue(ctx, callerConn{}, tcp)
	}
	return ctx
}
