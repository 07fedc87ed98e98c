package upstream

import (
	"net/http"
	"strconv"

	"github.com/gaplink/gaplink/placement"
	"github.com/gaplink/gaplink/reach"
)

// Request is one request to a backend server.
type Request struct {
	// Address is IP:port.
	Address string
	// Owner is the server process that is expected at the address, and Group its group.
	Owner placement.Incarnation
	Group reach.Group
	// MaxConnections bounds the open connections to the address; 0 means no
	// bound.
	MaxConnections int
	Method         string
	// Target is the request target as received from the caller.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// StillValid reports whether the request should still go to this server. It is called
	// once the connection is established, before the first byte is sent: on a saturated
	// link dialing takes seconds, and the server or the caller may have left meanwhile.
	// nil means always.
	StillValid func() bool
	// Match reports to which request a response belongs.
	Match func(*http.Response) MatchResult
}

// server returns what the request says about its server.
func (r *Request) server() placement.Server {
	return placement.Server{ID: r.Owner.ID, Started: r.Owner.Started, Service: r.Group.Service, Address: r.Address, Domain: r.Group.Domain}
}

// MatchResult is the relation of a response to the request that was sent.
type MatchResult int

const (
	// MatchedOther: the response names another request; it is skipped.
	MatchedOther MatchResult = iota
	// Matched: the response names this request.
	Matched
	// MatchUnknown: the response names no request but is otherwise acceptable. It is
	// accepted if the connection has carried no other request; otherwise the exchange
	// fails, because the responses after it cannot be matched either.
	MatchUnknown
)

// Stage is the progress of a failed request.
type Stage int

// Request stages.
const (
	// NotSent: no byte was written to a connection.
	NotSent Stage = iota
	// Sent: the server may have received the request.
	Sent
)

// Failure is the error of a request that got no response.
type Failure struct {
	Stage Stage
	// Full is set if a connection limit was reached and no connection was idle.
	Full bool
	// Outdated is set if StillValid reported that the request should no longer go to this
	// server.
	Outdated bool
	// NoPath is set if the server is reached only through other routers and none of them provided a
	// connection, which says nothing about the server.
	NoPath bool
	// Unanswered is set if no byte came on the connection since the request was sent. The server may then receive the
	// request later, also though the connection is closed.
	Unanswered bool
	// Router is the router through which the request was sent; empty if directly, or if it was not sent.
	Router string
	Err    error
}

// Error implements error.
func (f *Failure) Error() string { return f.Err.Error() }

// Unwrap returns the cause.
func (f *Failure) Unwrap() error { return f.Err }

// inlineBody is the body size in bytes up to which a request is written
// synchronously: it fits into the socket's send buffer.
const inlineBody = 2 << 10

// write sends the request and delivers the result on the channel. A long body is sent
// in the background, since the server may respond before it has read all of it.
func write(c *conn, r *Request, b *Backlog) <-chan error {
	done := make(chan error, 1)
	head := appendHead(make([]byte, 0, readBuffer), r)
	if len(r.Body) <= inlineBody {
		n, err := c.Write(append(head, r.Body...))
		c.counter.Sent(n)
		done <- err
		return done
	}
	go func() {
		defer b.Begin(len(r.Body), c.abort)()
		first := min(len(r.Body), cap(head)-len(head)) // goes along with the head
		n, err := c.Write(append(head, r.Body[:first]...))
		c.counter.Sent(n)
		if err == nil && first < len(r.Body) {
			n, err = c.Write(r.Body[first:])
			c.counter.Sent(n)
		}
		done <- err
	}()
	return done
}

func appendHead(b []byte, r *Request) []byte {
	b = append(b, r.Method...)
	b = append(b, ' ')
	b = append(b, r.Target...)
	b = append(b, " HTTP/1.1\r\nHost: "...)
	b = append(b, r.Host...)
	b = append(b, "\r\n"...)
	for name, values := range r.Header {
		for _, v := range values {
			b = append(b, name...)
			b = append(b, ": "...)
			b = append(b, v...)
			b = append(b, "\r\n"...)
		}
	}
	if len(r.Body) > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut {
		b = append(b, "Content-Length: "...)
		b = strconv.AppendInt(b, int64(len(r.Body)), 10)
		b = append(b, "\r\n"...)
	}
	return append(b, "\r\n"...)
}
