package sockets

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gaplink/gaplink/clock"
)

// evictIdle is the idle time from which a connection may be closed in favour of a new one.
const evictIdle = time.Second

// evictInterval is how often a listener at its limit checks for such a connection.
const evictInterval = 20 * time.Millisecond

// Listener limits the number of open connections of a listener. Connections beyond the limit wait to
// be accepted. In contrast to netutil.LimitListener its connections expose the wrapped connection
// through NetConn, which the gateway needs to reset a caller's connection, and it can evict idle
// connections.
type Listener struct {
	net.Listener
	// OnError, if not nil, is called with each error of accepting a connection.
	OnError func(error)

	evicts bool
	slots  chan struct{} // nil if there is no limit
	open   atomic.Int64
	once   sync.Once
	closed chan struct{}

	mu    sync.Mutex
	conns map[*conn]struct{} // only for a listener that evicts
}

// NewListener returns a listener with at most maxOpen open connections; 0 means no limit.
func NewListener(l net.Listener, maxOpen int) *Listener {
	b := &Listener{Listener: l, closed: make(chan struct{})}
	if maxOpen > 0 {
		b.slots = make(chan struct{}, maxOpen)
	}
	return b
}

// NewEvictingListener is like NewListener, but a listener at its limit closes the connection that
// has been idle for the longest time, at least a second, to accept another one: a peer that failed
// without closing its connections leaves them open.
func NewEvictingListener(l net.Listener, maxOpen int) *Listener {
	b := NewListener(l, maxOpen)
	b.evicts = true
	b.conns = map[*conn]struct{}{}
	return b
}

// Open returns the number of open connections; 0 for a nil listener.
func (l *Listener) Open() int64 {
	if l == nil {
		return 0
	}
	return l.open.Load()
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	if !l.acquire() {
		return nil, net.ErrClosed
	}
	raw, err := l.Listener.Accept()
	if err != nil {
		l.release()
		if l.OnError != nil {
			l.OnError(err)
		}
		return nil, err
	}
	l.open.Add(1)
	c := &conn{Conn: raw, listener: l}
	c.lastUsed.Store(int64(clock.Now().Sub(epoch)))
	if l.evicts {
		l.mu.Lock()
		l.conns[c] = struct{}{}
		l.mu.Unlock()
	}
	return c, nil
}

// acquire waits for a free slot. It returns false if the listener is closed.
func (l *Listener) acquire() bool {
	if l.slots == nil {
		return true
	}
	for {
		select {
		case l.slots <- struct{}{}:
			return true
		case <-l.closed:
			return false
		case <-l.evictTimer():
			l.evict()
		}
	}
}

// evictTimer returns a channel that fires when an evicting listener should check for an idle
// connection; nil for other listeners.
func (l *Listener) evictTimer() <-chan time.Time {
	if !l.evicts {
		return nil
	}
	return time.After(evictInterval)
}

func (l *Listener) release() {
	if l.slots != nil {
		<-l.slots
	}
}

// evict closes the connection that has been idle for the longest time, if that is at least evictIdle.
func (l *Listener) evict() {
	l.mu.Lock()
	var oldest *conn
	for c := range l.conns {
		if oldest == nil || c.lastUsed.Load() < oldest.lastUsed.Load() {
			oldest = c
		}
	}
	l.mu.Unlock()
	if oldest != nil && clock.Now().Sub(epoch)-time.Duration(oldest.lastUsed.Load()) >= evictIdle {
		_ = oldest.Close() // the peer is assumed gone, so the error is of no use
	}
}

// Reserve counts a connection that was accepted elsewhere as one of this listener until release is
// called; false means that the listener is at its limit.
func (l *Listener) Reserve() (release func(), ok bool) {
	if l.slots != nil {
		select {
		case l.slots <- struct{}{}:
		default:
			return nil, false
		}
	}
	l.open.Add(1)
	return sync.OnceFunc(func() {
		l.open.Add(-1)
		l.release()
	}), true
}

// Detach excludes a connection from the limit of the listener that accepted it, which then neither counts
// nor evicts it.
func Detach(c net.Conn) {
	if own, ok := As[*conn](c); ok {
		own.once.Do(own.unregister)
	}
}

// Close implements net.Listener.
func (l *Listener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

// epoch is the origin of times that are stored as integers.
var epoch = clock.Now()

// conn releases its slot when it is closed.
type conn struct {
	net.Conn
	listener *Listener
	lastUsed atomic.Int64 // last read or write of data, in ns since epoch
	once     sync.Once
}

// NetConn returns the wrapped connection.
func (c *conn) NetConn() net.Conn { return c.Conn }

// Read implements net.Conn.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.recordUse(n)
	return n, err
}

// Write implements net.Conn.
func (c *conn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.recordUse(n)
	return n, err
}

func (c *conn) recordUse(n int) {
	if c.listener.evicts && n > 0 {
		c.lastUsed.Store(int64(clock.Now().Sub(epoch)))
	}
}

// Close implements net.Conn.
func (c *conn) Close() error {
	err := c.Conn.Close()
	c.once.Do(c.unregister)
	return err
}

func (c *conn) unregister() {
	l := c.listener
	if l.evicts {
		l.mu.Lock()
		delete(l.conns, c)
		l.mu.Unlock()
	}
	l.open.Add(-1)
	l.release()
}
