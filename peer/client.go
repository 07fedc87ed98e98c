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

	"github.com/gaplink/gaplink/link"
	"github.com/gaplink/gaplink/sockets"
)

const (
	idleExpiry     = time.Minute
	maxIdlePerPeer = 8
	// maxConcurrentDials bounds the connections that a client opens at the same time. After an
	// outage many calls are due at once, and it is better to dial most of their peers one after
	// the other.
	maxConcurrentDials = 32
	// saturatedTimeout is the timeout of a call and of a dial while this process's link is
	// saturated: the data queued on the link then takes about a second to send.
	saturatedTimeout = 1500 * time.Millisecond
)

// Client calls other processes by address. It pools connections.
type Client struct {
	pool   *drpcpool.Pool[poolKey, drpcpool.Conn]
	dialer net.Dialer
	opts   Options
	bytes  atomic.Int64
	calls  atomic.Int64
	open   atomic.Int64
	meter  meter
	// running, conns and dialing are semaphores for concurrent calls, open connections and dials
	// in progress. conns is separate from running because the connection of a cancelled call is
	// closed slightly after the call returns. nil means no limit.
	running, conns, dialing chan struct{}
}

// poolKey identifies connections that may be used for each other's calls. A call has a connection
// to itself while it runs. Transfers have their own idle connections: one that took the connection of
// short calls would make the next of them dial, which costs another round trip on a saturated link.
type poolKey struct {
	addr     string
	transfer bool
}

// isTransfer reports whether the answers of a method may be large.
func isTransfer(method string) bool { return method == MethodConfig || method == MethodList }

// Options are the settings of a client.
type Options struct {
	// DialTimeout is the timeout for opening a connection.
	DialTimeout time.Duration
	// From is an address whose IP is the source address of calls, so that a firewall can
	// distinguish instances; empty means any.
	From string
	// MaxOpen bounds the open connections: half of them may be in use and half idle. 0 means no
	// limit.
	MaxOpen int
	// LinkSaturated reports whether this process's own link is saturated, so that calls and dials
	// get a longer timeout; nil means never.
	LinkSaturated func() bool
	// Counter counts the bytes of all connections; it may be nil.
	Counter *link.Counter
}

// NewClient returns a client that keeps idle connections for reuse.
func NewClient(o Options) *Client {
	half := o.MaxOpen / 2
	if o.MaxOpen > 0 {
		half = max(half, 1) // 0 would mean no limit
	}
	return newClient(o, half, drpcpool.Options{Expiration: idleExpiry, KeyCapacity: maxIdlePerPeer, Capacity: half})
}

// NewUnpooledClient returns a client that keeps no idle connections. It is for calls to very
// many processes, most of which are called only once: an idle connection takes
// about 20 KB on either side.
func NewUnpooledClient(o Options) *Client {
	return newClient(o, o.MaxOpen, drpcpool.Options{Capacity: -1})
}

func newClient(o Options, maxCalls int, poolOptions drpcpool.Options) *Client {
	c := &Client{
		pool:    drpcpool.New[poolKey, drpcpool.Conn](poolOptions),
		opts:    o,
		dialing: make(chan struct{}, maxConcurrentDials),
	}
	if maxCalls > 0 {
		c.running = make(chan struct{}, maxCalls)
		c.conns = make(chan struct{}, o.MaxOpen)
	}
	sockets.SetSource(&c.dialer, o.From)
	return c
}

// Close closes all idle connections.
func (c *Client) Close() error { return c.pool.Close() }

// Bytes returns the number of bytes sent and received so far.
func (c *Client) Bytes() int64 { return c.bytes.Load() }

// Calls returns the number of calls made so far.
func (c *Client) Calls() int64 { return c.calls.Load() }

// Timeout returns the timeout of a call: normal, or at least saturatedTimeout while this process's
// link is saturated.
func (c *Client) Timeout(normal time.Duration) time.Duration {
	if c.opts.LinkSaturated != nil && c.opts.LinkSaturated() {
		return max(normal, saturatedTimeout)
	}
	return normal
}

// Open returns the number of open connections.
func (c *Client) Open() int64 { return c.open.Load() }

func (c *Client) dial(ctx context.Context, key poolKey) (drpcpool.Conn, error) {
	if err := acquire(ctx, c.dialing); err != nil {
		return nil, err
	}
	defer release(c.dialing)
	ctx, cancel := context.WithTimeout(ctx, c.Timeout(c.opts.DialTimeout))
	defer cancel()
	if err := acquire(ctx, c.conns); err != nil {
		return nil, err
	}
	conn, err := c.dialer.DialContext(ctx, "tcp", key.addr)
	if err != nil {
		release(c.conns)
		return nil, errors.Join(ErrNotSent, err)
	}
	c.open.Add(1)
	return drpcconn.New(&countingConn{Conn: c.opts.Counter.Conn(conn), client: c}), nil
}

// errBusy is returned if a call's context ends while the call waits for a free slot.
var errBusy = errors.New("too many concurrent calls or connections")

// acquire waits for a free slot of a semaphore; a nil semaphore has no limit. It returns an error
// that wraps ErrNotSent if the context ends first.
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

// Call calls a method. An error with a result code comes from the peer. An error
// that wraps ErrNotSent means that the call certainly did not reach the peer.
func Call[Req, Resp any](ctx context.Context, c *Client, addr, method string, req *Req) (*Resp, error) {
	c.calls.Add(1)
	if err := acquire(ctx, c.running); err != nil {
		return nil, err
	}
	defer release(c.running)
	conn := c.pool.Get(ctx, poolKey{addr: addr, transfer: isTransfer(method)}, c.dial)
	defer conn.Close()
	resp := new(Resp)
	if err := conn.Invoke(ctx, method, c.meter.encodingFor(method), req, resp); err != nil {
		return nil, decodeError(err)
	}
	return resp, nil
}

// countingConn counts the bytes of a connection and releases its slot when it is closed.
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
