package upstream

import (
	"context"
	"errors"
	"net"
	"time"

	"github.com/gaplink/gaplink/placement"
	"github.com/gaplink/gaplink/reach"
)

// Paths observes how servers are reached, and decides whether connections to them are opened through
// another router. It must be safe for concurrent use.
type Paths interface {
	// Path returns the current path to the servers of a group.
	Path(g reach.Group) reach.Path
	// Open opens a connection to a server through another router, whose id it returns. The error wraps
	// ErrNoPath unless another router failed to reach the server.
	Open(ctx context.Context, s placement.Server) (c net.Conn, router string, err error)
	// Usable reports whether a connection through a router that was opened at a given time may carry
	// another request.
	Usable(router string, opened time.Time) bool
	// Unheard reports that no byte of a response came through a router for a request that was sent at a
	// given time, and Heard that bytes arrived.
	Unheard(began time.Time, router string)
	Heard(router string)
	// ReachedElsewhere reports whether another router reaches a server that refuses this router.
	ReachedElsewhere(ctx context.Context, s placement.Server) bool

	// Connected and ConnectFailed report the outcome of opening a direct connection to a server.
	Connected(g reach.Group)
	ConnectFailed(began time.Time, g reach.Group, owner placement.Incarnation)
	// Sent reports that a request is being sent over a direct connection, Responded that bytes of a
	// response arrived, and Ended that the wait for the head of the response is over. NotAnswered
	// reports that no byte of it came.
	Sent(g reach.Group)
	Responded(g reach.Group)
	Ended(g reach.Group)
	NotAnswered(began time.Time, g reach.Group)
}

// ErrNoPath is wrapped by the error of a connection that no router could open for another one. It says
// nothing about the server.
var ErrNoPath = errors.New("no router provides a connection to the server")

// direct is the Paths of a pool without other routers.
type direct struct{}

func (direct) Path(reach.Group) reach.Path { return reach.Path{} }
func (direct) Open(context.Context, placement.Server) (net.Conn, string, error) {
	return nil, "", ErrNoPath
}
func (direct) Usable(string, time.Time) bool                               { return false }
func (direct) Unheard(time.Time, string)                                   {}
func (direct) Heard(string)                                                {}
func (direct) ReachedElsewhere(context.Context, placement.Server) bool     { return false }
func (direct) Connected(reach.Group)                                       {}
func (direct) ConnectFailed(time.Time, reach.Group, placement.Incarnation) {}
func (direct) Sent(reach.Group)                                            {}
func (direct) Responded(reach.Group)                                       {}
func (direct) Ended(reach.Group)                                           {}
func (direct) NotAnswered(time.Time, reach.Group)                          {}

// allows reports whether a connection may carry a request on the current path to its server.
func (p *Pool) allows(c *conn, path reach.Path) bool {
	if c.router != "" {
		return path.Indirect && p.opts.Paths.Usable(c.router, c.openedAt)
	}
	return !path.Indirect || path.OpenWork
}

// DropThrough closes the idle connections through a router.
func (p *Pool) DropThrough(router string) {
	p.dropIdle(func(c *conn) bool { return c.router != router })
}

// dropIdle closes the idle connections that keep does not accept.
func (p *Pool) dropIdle(keep func(*conn) bool) {
	var dropped []*conn
	p.mu.Lock()
	for addr, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if keep(c) {
				kept = append(kept, c)
			} else {
				dropped = append(dropped, c)
			}
		}
		p.idle[addr] = kept
		if len(kept) == 0 {
			delete(p.idle, addr)
		}
	}
	p.mu.Unlock()
	for _, c := range dropped {
		p.drop(c)
	}
}

// RouterDialer returns a dialer for connections to another router, through which servers are reached. Its
// timeouts are those of direct connections.
func (p *Pool) RouterDialer() *net.Dialer {
	return &net.Dialer{Timeout: p.opts.dialTimeout(), KeepAlive: -1, ControlContext: setUserTimeout}
}

// tunnelKey counts the connections that are opened for other routers apart from own ones, which have a
// limit for each server.
const tunnelKey = "for other routers"

// OpenFor opens a direct connection to a server for another router. It counts against the limit of
// all connections until it is closed.
func (p *Pool) OpenFor(ctx context.Context, s placement.Server) (net.Conn, error) {
	unused, ok := p.reserve(&Request{Address: tunnelKey})
	if unused != nil {
		p.drop(unused)
	}
	if !ok {
		return nil, errFull
	}
	raw, err := p.connect(ctx, requestTo(s))
	if err != nil {
		p.release(tunnelKey)
		return nil, err
	}
	setSendBuffer(raw)
	return &lentConn{Conn: p.opts.Counter.Conn(raw), release: func() { p.release(tunnelKey) }}, nil
}
