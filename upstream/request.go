package upstream

import (
	"net"
	"net/http"
	"strconv"

	"github.com/gaplink/gaplink/placement"
)

// Request is one request to a backend server.
type Request struct {
	// Address is IP:port.
	Address string
	// Owner is the process of a server that is expected there.
	Owner placement.Incarnation
	// MaxConnections bounds the open connections to the address; 0 means no
	// bound.
	MaxConnections int
	Method         string
	// Target is the request target as the caller sent it.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// Holds tells, when the connection is there and before the first byte goes out,
	// whether the request should still go to this server: on a link that is full a
	// connection takes seconds, and the server or the caller may have left meanwhile.
	// nil: it should.
	Holds func() bool
	// Belongs tells whose answer one is.
	Belongs func(*http.Response) Belonging
}

// Belonging says to which request an answer belongs.
type Belonging int

const (
	// Foreign: another request's; it is skipped.
	Foreign Belonging = iota
	// Mine: this request's.
	Mine
	// Unnamed: it names no request, and would be acceptable as this one's. It is
	// taken where the connection has carried no other request, and else ends the
	// exchange: what follows it cannot be told apart either.
	Unnamed
)

// Stage says how far a failed request had come.
type Stage int

// The stages.
const (
	// NotSent: no byte was handed to a connection.
	NotSent Stage = iota
	// Sent: the server may have received the request.
	Sent
)

// Failure is a request without an answer.
type Failure struct {
	Stage Stage
	// Full tells that the server's connections are all in use.
	Full bool
	// Outdated tells that the request should not go to this server any more.
	Outdated bool
	Err      error
}

// Error implements error.
func (f *Failure) Error() string { return f.Err.Error() }

// Unwrap returns the cause.
func (f *Failure) Unwrap() error { return f.Err }

// inlineBody is the size up to which a body is written before the answer is
// awaited: it fits the socket's buffer.
const inlineBody = 2 << 10

// write sends the request; the channel gives the outcome. A long body is sent
// in the background, since the server may answer before it has read it all.
func write(c *conn, r *Request) <-chan error {
	done := make(chan error, 1)
	head := appendHead(make([]byte, 0, readBuffer), r)
	if len(r.Body) <= inlineBody {
		n, err := c.Write(append(head, r.Body...))
		c.meter.Sent(n)
		done <- err
		return done
	}
	go func() {
		buffers := net.Buffers{head, r.Body}
		n, err := buffers.WriteTo(c.Conn)
		c.meter.Sent(int(n))
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
