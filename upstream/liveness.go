package upstream

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"syscall"
	"time"

	"github.com/gaplink/gaplink/clock"
	"github.com/gaplink/gaplink/placement"
)

// Liveness is the state of a server process as far as its connections show it.
type Liveness int

// Liveness states.
const (
	// Unknown: there is no response, as in a network partition or after a power failure.
	Unknown Liveness = iota
	// Alive: a connection to the process stays open.
	Alive
	// Gone: the host refuses connections, or closes each new one at once.
	Gone
)

// String returns the name of the state for logs.
func (l Liveness) String() string { return [...]string{"unknown", "alive", "gone"}[l] }

// minOpenTime is how long a new connection must stay open to show that a process
// listens: a proxy in front of a stopped server accepts a connection and resets it
// within a round trip.
const minOpenTime = 50 * time.Millisecond

// Check reports whether a process is alive. An open idle connection proves it at no
// cost; without one a new connection is opened and kept for later requests.
func (p *Pool) Check(ctx context.Context, s placement.Server) Liveness {
	if p.hasHealthyIdle(s.Address, s.Incarnation()) {
		return Alive
	}
	r := requestTo(s)
	c, err := p.dial(ctx, r, p.opts.Paths.Path(r.Group))
	switch {
	case errors.Is(err, syscall.ECONNREFUSED), errors.Is(err, syscall.ECONNRESET):
		return p.goneUnlessElsewhere(ctx, s)
	case err != nil:
		return Unknown
	}
	err = c.stayedOpen()
	if err == nil {
		p.put(c, p.opts.IdleTimeout)
		return Alive
	}
	p.drop(c)
	if errors.Is(err, io.EOF) || errors.Is(err, syscall.ECONNRESET) {
		return p.goneUnlessElsewhere(ctx, s)
	}
	return Unknown // unsolicited bytes, or an inconclusive error
}

var errUnsolicited = errors.New("upstream: the server sent bytes before a request")

// stayedOpen returns an error if a new connection does not stay open for minOpenTime.
func (c *conn) stayedOpen() error {
	_ = c.SetReadDeadline(time.Now().Add(minOpenTime)) // fails only on a closed connection, where the read fails too
	switch _, err := c.reader.Peek(1); {
	case errors.Is(err, os.ErrDeadlineExceeded):
		return c.SetReadDeadline(time.Time{})
	case err != nil:
		return err
	default:
		return errUnsolicited
	}
}

// goneUnlessElsewhere returns the state of a process whose address refuses this router: in a network
// partition that refuses connections, other routers reach it.
func (p *Pool) goneUnlessElsewhere(ctx context.Context, s placement.Server) Liveness {
	if p.opts.Paths.ReachedElsewhere(ctx, s) {
		return Unknown
	}
	return Gone
}

// Ping checks that a server is reached over a direct connection: it accepts one, and responds to a request
// if one is given. The result is not reported to Paths.
func (p *Pool) Ping(ctx context.Context, s placement.Server, request PingRequest) error {
	raw, err := p.directDialer().DialContext(ctx, "tcp", s.Address)
	if err != nil {
		return err
	}
	defer func() { _ = raw.Close() }()
	return Respond(ctx, raw, s, request)
}

// CheckResponse checks that a server responds to a request on its current path, on a new connection. It returns the router
// through which the path leads; empty if it is direct.
func (p *Pool) CheckResponse(ctx context.Context, s placement.Server, request PingRequest) (router string, err error) {
	r := requestTo(s)
	c, err := p.dial(ctx, r, p.opts.Paths.Path(r.Group))
	if err != nil {
		return "", err
	}
	defer p.drop(c)
	began := clock.Now()
	c.startWait()
	err = Respond(ctx, c, s, request)
	c.endWait()
	if err != nil && !errors.Is(ctx.Err(), context.Canceled) {
		c.reportNotAnswered(began)
	}
	return c.router, err
}

// PingRequest is the request of a check whether a server is reached. The zero value sends none: an open
// connection is enough.
type PingRequest struct{ Method, Target string }

// HealthRequest returns a request for the health check of a service at a path, or, if it has none, one that
// concerns no resource.
func HealthRequest(path string) PingRequest {
	if path == "" {
		return PingRequest{http.MethodOptions, "*"}
	}
	return PingRequest{http.MethodGet, path}
}

// Respond checks that a server responds on a new connection: it does not close it at once, and if a request
// is given, it sends a response. Any status shows that the server is reached.
func Respond(ctx context.Context, c net.Conn, s placement.Server, request PingRequest) error {
	deadline, ok := ctx.Deadline()
	openIsEnough := request == PingRequest{}
	if openIsEnough {
		deadline, ok = time.Now().Add(minOpenTime), true
	} else if _, err := fmt.Fprintf(c, "%s %s HTTP/1.1\r\nHost: %s\r\nConnection: close\r\n\r\n", request.Method, request.Target, s.Address); err != nil {
		return err
	}
	if ok {
		_ = c.SetReadDeadline(deadline) // fails only on a closed connection, where the read fails too
	}
	var first [1]byte
	_, err := c.Read(first[:])
	if openIsEnough && errors.Is(err, os.ErrDeadlineExceeded) {
		return nil
	}
	return err
}

// hasHealthyIdle reports whether there is a healthy idle connection to a process. It
// drops the other ones that it finds.
func (p *Pool) hasHealthyIdle(address string, owner placement.Incarnation) bool {
	for {
		c := p.takeIdle(address)
		if c == nil {
			return false
		}
		if c.owner == owner && c.healthy() {
			p.putBack(c)
			return true
		}
		p.drop(c)
	}
}

// putBack returns an unused connection to the idle list.
func (p *Pool) putBack(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle[c.addr] = append(p.idle[c.addr], c)
}
