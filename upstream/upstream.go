// Package upstream carries requests to backend servers over kept HTTP/1.1
// connections.
//
// It is used in place of net/http's transport because the caller must know
// what a server may have received: nothing is repeated here, an answer counts
// only if it names its request, and a connection that carried bytes of no
// request is not used again. Messages are parsed by net/http.
package upstream

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/gaplink/gaplink/clock"
	"github.com/gaplink/gaplink/link"
	"github.com/gaplink/gaplink/placement"
)

const (
	// readBuffer is enough for the head of an answer and an event of a stream.
	readBuffer = 4 << 10
	// unackedLimit ends a connection whose peer acknowledges nothing, as one
	// behind a cut does.
	unackedLimit = 1500 * time.Millisecond
)

// Options are the settings of a pool.
type Options struct {
	// DialTimeout bounds the opening of a connection.
	DialTimeout time.Duration
	// IdleTimeout is how long an unused connection is kept when the server
	// names no time itself.
	IdleTimeout time.Duration
	// MaxOpen bounds the connections to all servers together: an unused one makes way
	// for a new one, and beyond that none is opened. 0: no bound.
	MaxOpen int
	// Meter counts the bytes of all connections; it may be nil.
	Meter *link.Meter
	// Congested tells whether the router's own link is full, so that a
	// connection may take up to CongestedDialTimeout; it may be nil.
	Congested            func() bool
	CongestedDialTimeout time.Duration
}

// dialTimeout bounds the opening of a connection now.
func (o *Options) dialTimeout() time.Duration {
	if o.Congested != nil && o.Congested() {
		return o.CongestedDialTimeout
	}
	return o.DialTimeout
}

// Pool holds connections to backend servers. It is safe for concurrent use.
type Pool struct {
	opts Options

	mu   sync.Mutex
	idle map[string][]*conn // by address, the last used at the end
	open map[string]int     // by address
	all  int                // open ones

	dials, reuses atomic.Int64
}

// New returns an empty pool.
func New(opts Options) *Pool {
	return &Pool{opts: opts, idle: map[string][]*conn{}, open: map[string]int{}}
}

// Stats are counts since the start.
type Stats struct{ Dials, Reuses int64 }

// Stats returns the counts.
func (p *Pool) Stats() Stats { return Stats{Dials: p.dials.Load(), Reuses: p.reuses.Load()} }

// Open returns how many connections are open or being opened.
func (p *Pool) Open() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.all
}

// Send sends a request and waits for the head of its answer. The context
// bounds the whole exchange, the body of the answer included: when it ends,
// the connection is closed, which cancels the run at the server.
func (p *Pool) Send(ctx context.Context, r *Request) (*Answer, *Failure) {
	c, err := p.get(ctx, r)
	if err != nil {
		return nil, &Failure{Stage: NotSent, Full: errors.Is(err, errFull), Err: err}
	}
	if r.Holds != nil && !r.Holds() {
		p.drop(c)
		return nil, &Failure{Stage: NotSent, Outdated: true, Err: errOutdated}
	}
	stop := context.AfterFunc(ctx, func() { _ = c.SetDeadline(time.Unix(1, 0)) })
	a := &Answer{pool: p, conn: c, stop: stop, ctx: ctx, first: !c.used}
	c.used = true
	a.written = write(c, r)
	resp, err := a.readHead(r)
	if err != nil {
		a.discard()
		if ctx.Err() != nil {
			err = ctx.Err()
		}
		return nil, &Failure{Stage: Sent, Err: err}
	}
	a.resp = resp
	a.StatusCode, a.Header, a.ContentLength = resp.StatusCode, resp.Header, resp.ContentLength
	return a, nil
}

// errOutdated means that the request should not go to the server any more.
var errOutdated = errors.New("the server or the caller left while the connection was made")

// errFull means that no connection may be opened to the server.
var errFull = errors.New("all connections to the server are in use")

func (p *Pool) get(ctx context.Context, r *Request) (*conn, error) {
	for {
		c := p.takeIdle(r.Address)
		if c == nil {
			break
		}
		if c.owner == r.Owner && clock.Now().Before(c.expires) && c.sound() {
			p.reuses.Add(1)
			return c, nil
		}
		p.drop(c)
	}
	return p.dial(ctx, r)
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

func (p *Pool) dial(ctx context.Context, r *Request) (*conn, error) {
	unused, ok := p.admit(r)
	if unused != nil {
		p.drop(unused)
	}
	if !ok {
		return nil, errFull
	}
	p.dials.Add(1)
	dialer := net.Dialer{Timeout: p.opts.dialTimeout(), KeepAlive: -1, ControlContext: limitUnacked}
	raw, err := dialer.DialContext(ctx, "tcp", r.Address)
	if err != nil {
		p.closed(r.Address)
		return nil, err
	}
	return newConn(raw, r, p.opts.Meter), nil
}

// admit counts a connection that is about to be opened; false means that there may
// be no more. An unused connection that has to make way is returned.
func (p *Pool) admit(r *Request) (unused *conn, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if r.MaxConnections > 0 && p.open[r.Address] >= r.MaxConnections {
		return nil, false
	}
	if p.opts.MaxOpen > 0 && p.all >= p.opts.MaxOpen {
		if unused = p.longestUnused(); unused == nil {
			return nil, false
		}
	}
	p.open[r.Address]++
	p.all++
	return unused, true
}

// longestUnused takes the idle connection out that was not used for the longest time;
// nil if none is idle. It is called under the lock.
func (p *Pool) longestUnused() *conn {
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

func (p *Pool) closed(addr string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.all--
	p.open[addr]--
	if p.open[addr] <= 0 {
		delete(p.open, addr)
	}
}

func (p *Pool) drop(c *conn) {
	_ = c.Close()
	p.closed(c.addr)
}

func (p *Pool) put(c *conn, keep time.Duration) {
	c.usedAt = clock.Now()
	c.expires = c.usedAt.Add(keep)
	p.putBack(c)
}

// Probe opens a connection to a server and keeps it for a request; an error
// means that the server cannot be reached.
func (p *Pool) Probe(ctx context.Context, address string, owner placement.Incarnation) error {
	c, err := p.dial(ctx, &Request{Address: address, Owner: owner})
	if err != nil {
		return err
	}
	p.put(c, p.opts.IdleTimeout)
	return nil
}

// Sweep closes idle connections that are past their time or whose server is
// not kept.
func (p *Pool) Sweep(now time.Time, keep func(owner placement.Incarnation) bool) {
	var stale []*conn
	p.mu.Lock()
	for addr, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if now.Before(c.expires) && keep(c.owner) {
				kept = append(kept, c)
			} else {
				stale = append(stale, c)
			}
		}
		p.idle[addr] = kept
		if len(kept) == 0 {
			delete(p.idle, addr)
		}
	}
	p.mu.Unlock()
	for _, c := range stale {
		p.drop(c)
	}
}

// limitUnacked sets how long sent bytes may stay unacknowledged.
func limitUnacked(_ context.Context, _, _ string, raw syscall.RawConn) error {
	var err error
	control := raw.Control(func(fd uintptr) {
		err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedLimit.Milliseconds()))
	})
	return errors.Join(control, err)
}
