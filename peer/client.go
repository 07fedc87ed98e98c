package peer

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcpool"
)

const (
	idleExpiry  = time.Minute
	keptPerPeer = 8
	// dialsAtOnce bounds the connections that a client opens at a time. After an outage many
	// calls are due at once, and most of their peers are better reached one after the other.
	dialsAtOnce = 32
	// congestedTimeout bounds a call, and the opening of a connection, while this process's link
	// is full: what waits there is about a second's worth.
	congestedTimeout = 1500 * time.Millisecond
)

// Client calls other processes by address and keeps connections open.
type Client struct {
	pool   *drpcpool.Pool[string, drpcpool.Conn]
	dialer net.Dialer
	opts   Options
	bytes  atomic.Int64
	calls  atomic.Int64
	open   atomic.Int64
	meter  meter
	// running has room for the calls under way, and conns for the open connections: one whose
	// call was given up is closed a moment later. nil: there is no bound. dialing has room for
	// the connections being opened.
	running, conns, dialing chan struct{}
}

// Options are the settings of a client.
type Options struct {
	// DialTimeout bounds the opening of a connection.
	DialTimeout time.Duration
	// From is an address from whose IP the client calls, so that a firewall can tell instances
	// apart; empty: any.
	From string
	// MaxOpen bounds the open connections: half of it may be in use, and half kept. 0: there
	// is no bound.
	MaxOpen int
	// Congested tells whether this process's own link is full, so that calls and dials take
	// longer; nil: it never is.
	Congested func() bool
}

// NewClient returns a client that keeps connections.
func NewClient(o Options) *Client {
	half := o.MaxOpen / 2
	if o.MaxOpen > 0 {
		half = max(half, 1) // 0 is no bound
	}
	return newClient(o, half, drpcpool.Options{Expiration: idleExpiry, KeyCapacity: keptPerPeer, Capacity: half})
}

// NewGreeter returns a client that keeps no connection: for calls to very many
// processes, to most of which there will be no other call. A kept connection takes
// some 20 KB on either side.
func NewGreeter(o Options) *Client {
	return newClient(o, o.MaxOpen, drpcpool.Options{Capacity: -1})
}

func newClient(o Options, calls int, kept drpcpool.Options) *Client {
	c := &Client{
		pool:    drpcpool.New[string, drpcpool.Conn](kept),
		opts:    o,
		dialing: make(chan struct{}, dialsAtOnce),
	}
	if calls > 0 {
		c.running = make(chan struct{}, calls)
		c.conns = make(chan struct{}, o.MaxOpen)
	}
	if host, _, err := net.SplitHostPort(o.From); err == nil {
		if ip := net.ParseIP(host); ip != nil && !ip.IsUnspecified() {
			c.dialer.LocalAddr = &net.TCPAddr{IP: ip}
		}
	}
	return c
}

// Close closes all kept connections.
func (c *Client) Close() error { return c.pool.Close() }

// Bytes returns the bytes sent and received so far.
func (c *Client) Bytes() int64 { return c.bytes.Load() }

// Calls returns the calls made so far.
func (c *Client) Calls() int64 { return c.calls.Load() }

// Timeout returns the time that a call may take which takes no longer than normal while this
// process's link is not full.
func (c *Client) Timeout(normal time.Duration) time.Duration {
	if c.opts.Congested != nil && c.opts.Congested() {
		return max(normal, congestedTimeout)
	}
	return normal
}

// Open returns how many connections are open.
func (c *Client) Open() int64 { return c.open.Load() }

func (c *Client) dial(ctx context.Context, addr string) (drpcpool.Conn, error) {
	if err := acquire(ctx, c.dialing); err != nil {
		return nil, err
	}
	defer release(c.dialing)
	ctx, cancel := context.WithTimeout(ctx, c.Timeout(c.opts.DialTimeout))
	defer cancel()
	if err := acquire(ctx, c.conns); err != nil {
		return nil, err
	}
	conn, err := c.dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		release(c.conns)
		return nil, errors.Join(ErrNotSent, err)
	}
	c.open.Add(1)
	return drpcconn.New(&countingConn{Conn: conn, client: c}), nil
}

// errBusy means that too many calls were under way until the call's time was over.
var errBusy = errors.New("too many calls under way")

// acquire waits for room in a bound; nil has room always.
func acquire(ctx context.Context, slots chan struct{}) error {
	if slots == nil {
		return nil
	}
	select {
	case slots <- struct{}{}:
		return nil
	case <-ctx.Done():
		return errors.Join(ErrNotSent, errBusy, ctx.Err())
	}
}

func release(slots chan struct{}) {
	if slots != nil {
		<-slots
	}
}

// Call calls a method. An error with a result code comes from the peer; one
// that is ErrNotSent certainly did not reach it.
func Call[Req, Resp any](ctx context.Context, c *Client, addr, method string, req *Req) (*Resp, error) {
	c.calls.Add(1)
	if err := acquire(ctx, c.running); err != nil {
		return nil, err
	}
	defer release(c.running)
	conn := c.pool.Get(ctx, addr, c.dial)
	defer conn.Close()
	resp := new(Resp)
	if err := conn.Invoke(ctx, method, c.meter.of(method), req, resp); err != nil {
		return nil, decodeError(err)
	}
	return resp, nil
}

// countingConn counts the bytes of a connection, and its end.
type countingConn struct {
	net.Conn
	client *Client
	once   sync.Once
}

// Close implements net.Conn.
func (c *countingConn) Close() error {
	err := c.Conn.Close()
	c.once.Do(func() {
		c.client.open.Add(-1)
		release(c.client.conns)
	})
	return err
}

// Read implements net.Conn.
func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.client.bytes.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.client.bytes.Add(int64(n))
	return n, err
}
