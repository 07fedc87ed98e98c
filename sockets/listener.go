package sockets

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gaplink/gaplink/clock"
)

// evictIdle is how long a connection has carried no bytes that may be closed for a new one.
const evictIdle = time.Second

// evictEvery is how often a full listener looks for such a connection.
const evictEvery = 20 * time.Millisecond

// Listener bounds the open connections of a listener. Connections beyond the bound wait to be
// accepted. It differs from netutil.LimitListener in that its connections tell the one below
// (NetConn), which the gateway needs to reset a caller's, and in that it can evict.
type Listener struct {
	net.Listener
	// Failed is told each error of accepting a connection; nil: nobody is.
	Failed func(error)

	evicts bool
	slots  chan struct{} // nil: there is no bound
	open   atomic.Int64
	once   sync.Once
	closed chan struct{}

	mu    sync.Mutex
	conns map[*conn]struct{} // of a listener that evicts
}

// Bound returns a listener with at most so many open connections; 0: any number.
func Bound(l net.Listener, most int) *Listener {
	b := &Listener{Listener: l, closed: make(chan struct{})}
	if most > 0 {
		b.slots = make(chan struct{}, most)
	}
	return b
}

// BoundEvicting is Bound, but where all connections are open it closes the one that has been
// idle for the longest time, at least a second, to accept another one: a peer that went away
// without a word leaves its connections open.
func BoundEvicting(l net.Listener, most int) *Listener {
	b := Bound(l, most)
	b.evicts = true
	b.conns = map[*conn]struct{}{}
	return b
}

// Open returns how many connections are open; a listener that is nil has none.
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
		if l.Failed != nil {
			l.Failed(err)
		}
		return nil, err
	}
	l.open.Add(1)
	c := &conn{Conn: raw, listener: l}
	c.used.Store(int64(clock.Now().Sub(epoch)))
	if l.evicts {
		l.mu.Lock()
		l.conns[c] = struct{}{}
		l.mu.Unlock()
	}
	return c, nil
}

// acquire waits for room for one more connection; false: the listener is closed.
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
		case <-l.retry():
			l.evict()
		}
	}
}

// retry fires when a listener that evicts should look for an idle connection.
func (l *Listener) retry() <-chan time.Time {
	if !l.evicts {
		return nil
	}
	return time.After(evictEvery)
}

func (l *Listener) release() {
	if l.slots != nil {
		<-l.slots
	}
}

// evict closes the connection that has been idle for the longest time, if it was for long.
func (l *Listener) evict() {
	l.mu.Lock()
	var oldest *conn
	for c := range l.conns {
		if oldest == nil || c.used.Load() < oldest.used.Load() {
			oldest = c
		}
	}
	l.mu.Unlock()
	if oldest != nil && clock.Now().Sub(epoch)-time.Duration(oldest.used.Load()) >= evictIdle {
		_ = oldest.Close() // nobody waits for it
	}
}

// Close implements net.Listener.
func (l *Listener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

// epoch is what moments are counted from that are kept as numbers.
var epoch = clock.Now()

// conn gives its slot back when it is closed.
type conn struct {
	net.Conn
	listener *Listener
	used     atomic.Int64 // when it last carried bytes, in ns since epoch
	once     sync.Once
}

// NetConn returns the connection below.
func (c *conn) NetConn() net.Conn { return c.Conn }

// Read implements net.Conn.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.noteUse(n)
	return n, err
}

// Write implements net.Conn.
func (c *conn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.noteUse(n)
	return n, err
}

func (c *conn) noteUse(n int) {
	if c.listener.evicts && n > 0 {
		c.used.Store(int64(clock.Now().Sub(epoch)))
	}
}

// Close implements net.Conn.
func (c *conn) Close() error {
	err := c.Conn.Close()
	c.once.Do(c.closedOnce)
	return err
}

func (c *conn) closedOnce() {
	l := c.listener
	if l.evicts {
		l.mu.Lock()
		delete(l.conns, c)
		l.mu.Unlock()
	}
	l.open.Add(-1)
	l.release()
}
