// Package upstream sends requests to backend servers over persistent HTTP/1.1
// connections.
//
// It replaces net/http's transport because the caller must know what a server
// may have received: the package never retries, it matches each response to its
// request by the request id, and it does not reuse a connection that carried
// unsolicited bytes. Messages are parsed by net/http.
package upstream

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/gaplink/gaplink/clock"
	"github.com/gaplink/gaplink/link"
	"github.com/gaplink/gaplink/placement"
	"github.com/gaplink/gaplink/reach"
	"github.com/gaplink/gaplink/sockets"
)

const (
	// readBuffer fits a response header and one event of a stream, in bytes.
	readBuffer = 4 << 10
	// unackedLimit is the TCP user timeout: a connection is closed when its peer
	// acknowledges no data for so long, as in a network partition, or reads none while its
	// receive window is full. A server that works may do so for a second or two.
	unackedLimit = 3 * time.Second
)

// Options are the settings of a pool.
type Options struct {
	// DialTimeout is the timeout for opening a connection.
	DialTimeout time.Duration
	// Source is the IP address from which connections are opened; nil: the system chooses.
	Source net.IP
	// IdleTimeout is how long an idle connection is kept if the server declares
	// no keep-alive timeout.
	IdleTimeout time.Duration
	// MaxOpen bounds the connections to all servers together. At the limit an idle
	// connection is closed to open a new one; if none is idle, dialing fails. 0 means no
	// limit.
	MaxOpen int
	// Counter counts the bytes of all connections; it may be nil.
	Counter *link.Counter
	// Backlog bounds the requests that servers read slowly; nil: nothing does.
	Backlog *Backlog
	// LinkSaturated reports whether the router's own link is saturated. The dial
	// timeout is then SaturatedDialTimeout. LinkSaturated may be nil.
	LinkSaturated        func() bool
	SaturatedDialTimeout time.Duration
	// Heard is called when bytes come from a server process, at intervals of reportInterval for a connection; nil: nothing is.
	Heard func(owner placement.Incarnation)
	// Paths observes and decides how servers are reached; nil: directly.
	Paths Paths
}

// dialTimeout returns the current timeout for opening a connection.
func (o *Options) dialTimeout() time.Duration {
	if o.LinkSaturated != nil && o.LinkSaturated() {
		return o.SaturatedDialTimeout
	}
	return o.DialTimeout
}

// Pool holds connections to backend servers. It is safe for concurrent use.
type Pool struct {
	opts Options

	mu    sync.Mutex
	idle  map[string][]*conn // by address, most recently used last
	open  map[string]int     // by address
	total int                // all open connections

	dials, reuses atomic.Int64
}

// New returns an empty pool.
func New(opts Options) *Pool {
	if opts.Heard == nil {
		opts.Heard = func(placement.Incarnation) {}
	}
	if opts.Paths == nil {
		opts.Paths = direct{}
	}
	return &Pool{opts: opts, idle: map[string][]*conn{}, open: map[string]int{}}
}

// Stats counts dialed and reused connections since the start.
type Stats struct{ Dials, Reuses int64 }

// Stats returns the current counts.
func (p *Pool) Stats() Stats { return Stats{Dials: p.dials.Load(), Reuses: p.reuses.Load()} }

// Open returns the number of connections that are open or being opened.
func (p *Pool) Open() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.total
}

// Send sends a request and waits for the response header. The context
// bounds the whole exchange including the response body: when it ends,
// the connection is closed, which cancels the request at the server.
func (p *Pool) Send(ctx context.Context, r *Request) (*Answer, *Failure) {
	c, err := p.get(ctx, r)
	if err != nil {
		return nil, &Failure{Stage: NotSent, Full: errors.Is(err, errFull), NoPath: errors.Is(err, ErrNoPath), Err: err}
	}
	if r.StillValid != nil && !r.StillValid() {
		p.drop(c)
		return nil, &Failure{Stage: NotSent, Outdated: true, Err: errOutdated}
	}
	stop := context.AfterFunc(ctx, func() { _ = c.SetDeadline(time.Unix(1, 0)) })
	a := &Answer{pool: p, conn: c, stop: stop, ctx: ctx, first: !c.used}
	c.used = true
	began := clock.Now()
	c.startWait()
	a.written = write(c, r, p.opts.Backlog)
	resp, err := a.readHead(r)
	c.endWait()
	if err != nil {
		unanswered := c.readAt.Before(began)
		if unanswered && !errors.Is(context.Cause(ctx), context.Canceled) {
			c.reportNotAnswered(began)
		}
		a.discard()
		if ctx.Err() != nil {
			err = ctx.Err()
		}
		return nil, &Failure{Stage: Sent, Unanswered: unanswered, Router: c.router, Err: err}
	}
	a.resp = resp
	a.StatusCode, a.Header, a.ContentLength = resp.StatusCode, resp.Header, resp.ContentLength
	return a, nil
}

// errOutdated is returned if the request should no longer go to the server.
var errOutdated = errors.New("the server or the caller left while connecting")

// errFull is returned if a connection limit is reached.
var errFull = errors.New("connection limit reached")

func (p *Pool) get(ctx context.Context, r *Request) (*conn, error) {
	path := p.opts.Paths.Path(r.Group)
	for {
		c := p.takeIdle(r.Address)
		if c == nil {
			break
		}
		if c.owner == r.Owner && p.allows(c, path) && clock.Now().Before(c.expires) && c.healthy() {
			p.reuses.Add(1)
			return c, nil
		}
		p.drop(c)
	}
	return p.dial(ctx, r, path)
}

func (p *Pool) takeIdle(addr string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[addr]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	if list = list[:len(list)-1]; len(list) > 0 {
		p.idle[addr] = list
	} else {
		delete(p.idle, addr)
	}
	return c
}

// dial opens a connection to a server on a path.
func (p *Pool) dial(ctx context.Context, r *Request, path reach.Path) (*conn, error) {
	unused, ok := p.reserve(r)
	if unused != nil {
		p.drop(unused)
	}
	if !ok {
		return nil, errFull
	}
	p.dials.Add(1)
	var raw net.Conn
	var router string
	var err error
	if path.Indirect {
		raw, router, err = p.opts.Paths.Open(ctx, r.server())
	} else {
		raw, err = p.connect(ctx, r)
	}
	if err != nil {
		p.release(r.Address)
		return nil, err
	}
	setSendBuffer(raw)
	c := p.newConn(raw, r)
	c.router = router
	return c, nil
}

// connect opens a direct connection to a server.
func (p *Pool) connect(ctx context.Context, r *Request) (net.Conn, error) {
	began := clock.Now()
	raw, err := p.directDialer().DialContext(ctx, "tcp", r.Address)
	switch {
	case err == nil:
		p.opts.Paths.Connected(r.Group)
	case !errors.Is(ctx.Err(), context.Canceled) && !p.linkSaturated():
		p.opts.Paths.ConnectFailed(began, r.Group, r.Owner)
	}
	if err != nil {
		return nil, err
	}
	return sockets.NewTCPConn(raw), nil
}

// setSendBuffer bounds the bytes that the kernel holds for a connection; c may be nil.
func setSendBuffer(c net.Conn) {
	if tcp, ok := sockets.As[*net.TCPConn](c); ok {
		_ = tcp.SetWriteBuffer(SendBuffer) // fails only on a closed connection
	}
}

// directDialer returns a dialer for direct connections to servers.
func (p *Pool) directDialer() *net.Dialer {
	d := p.RouterDialer()
	if p.opts.Source != nil {
		d.LocalAddr = &net.TCPAddr{IP: p.opts.Source}
	}
	return d
}

func (p *Pool) linkSaturated() bool { return p.opts.LinkSaturated != nil && p.opts.LinkSaturated() }

// reserve counts a connection that is about to be opened; false means that a limit is
// reached. It may return an idle connection that the caller must close to stay within
// the limit.
func (p *Pool) reserve(r *Request) (unused *conn, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if r.MaxConnections > 0 && p.open[r.Address] >= r.MaxConnections {
		return nil, false
	}
	if p.opts.MaxOpen > 0 && p.total >= p.opts.MaxOpen {
		if unused = p.takeLeastRecentlyUsed(); unused == nil {
			return nil, false
		}
	}
	p.open[r.Address]++
	p.total++
	return unused, true
}

// takeLeastRecentlyUsed removes and returns the idle connection that was unused for the
// longest time, or nil if none is idle. The caller must hold p.mu.
func (p *Pool) takeLeastRecentlyUsed() *conn {
	var oldest *conn
	for _, list := range p.idle {
		if c := list[0]; oldest == nil || c.usedAt.Before(oldest.usedAt) {
			oldest = c
		}
	}
	if oldest == nil {
		return nil
	}
	if rest := p.idle[oldest.addr][1:]; len(rest) > 0 {
		p.idle[oldest.addr] = rest
	} else {
		delete(p.idle, oldest.addr)
	}
	return oldest
}

func (p *Pool) release(addr string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.total--
	p.open[addr]--
	if p.open[addr] <= 0 {
		delete(p.open, addr)
	}
}

func (p *Pool) drop(c *conn) {
	_ = c.Close()
	p.release(c.addr)
}

func (p *Pool) put(c *conn, keep time.Duration) {
	if c.router != "" && !p.opts.Paths.Usable(c.router, c.openedAt) {
		p.drop(c)
		return
	}
	c.usedAt = clock.Now()
	c.expires = c.usedAt.Add(keep)
	p.putBack(c)
}

// requestTo returns a request to a server that opens a connection and sends nothing.
func requestTo(s placement.Server) *Request {
	return &Request{Address: s.Address, Owner: s.Incarnation(), Group: reach.GroupOf(s)}
}

// Probe opens a connection to a server and keeps it for later requests; an error
// means that the server is unreachable, or closes new connections at once.
func (p *Pool) Probe(ctx context.Context, s placement.Server) error {
	r := requestTo(s)
	c, err := p.dial(ctx, r, p.opts.Paths.Path(r.Group))
	if err != nil {
		return err
	}
	if err := c.stayedOpen(); err != nil {
		p.drop(c)
		return err
	}
	p.put(c, p.opts.IdleTimeout)
	return nil
}

// Sweep closes idle connections that have expired or for whose process keep
// returns false.
func (p *Pool) Sweep(now time.Time, keep func(owner placement.Incarnation) bool) {
	p.dropIdle(func(c *conn) bool { return now.Before(c.expires) && keep(c.owner) })
}

// setUserTimeout sets the TCP user timeout of a new socket to unackedLimit.
func setUserTimeout(_ context.Context, _, _ string, raw syscall.RawConn) error {
	return sockets.SetUserTimeout(raw, unackedLimit)
}
