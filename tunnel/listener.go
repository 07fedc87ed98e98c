package tunnel

import (
	"net"
	"sync"
	"time"
)

// firstByte begins a request for a tunnel. No message of the protocol between routers begins with it.
const firstByte = 'C'

// firstByteTimeout bounds the wait for the first byte of a connection.
const firstByteTimeout = 10 * time.Second

// Listener passes connections that request tunnels to a handler, and returns the others from Accept.
type Listener struct {
	net.Listener
	handle func(net.Conn)
	others chan net.Conn
	once   sync.Once
	closed chan struct{}
	failed error // set before closed is closed
}

// NewListener returns a listener over l. It accepts connections at once.
func NewListener(l net.Listener, handle func(net.Conn)) *Listener {
	t := &Listener{Listener: l, handle: handle, others: make(chan net.Conn), closed: make(chan struct{})}
	go t.run()
	return t
}

func (l *Listener) run() {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			if temporary(err) {
				continue
			}
			l.end(err)
			return
		}
		go l.pass(c)
	}
}

// temporary reports whether an error of accepting is expected to pass, as when no descriptor is left.
func temporary(err error) bool {
	t, ok := err.(interface{ Temporary() bool })
	if ok && t.Temporary() {
		time.Sleep(temporaryPause)
		return true
	}
	return false
}

// temporaryPause is the pause after a temporary error of accepting.
const temporaryPause = 20 * time.Millisecond

// pass reads the first byte of a connection and passes it on.
func (l *Listener) pass(c net.Conn) {
	var first [1]byte
	_ = c.SetReadDeadline(time.Now().Add(firstByteTimeout))
	if _, err := c.Read(first[:]); err != nil {
		_ = c.Close()
		return
	}
	_ = c.SetReadDeadline(time.Time{})
	p := &prefixedConn{Conn: c, prefix: first[:]}
	if first[0] == firstByte {
		l.handle(p)
		return
	}
	select {
	case l.others <- p:
	case <-l.closed:
		_ = c.Close()
	}
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.others:
		return c, nil
	case <-l.closed:
		return nil, l.failed
	}
}

// end makes Accept return an error.
func (l *Listener) end(err error) {
	l.once.Do(func() {
		l.failed = err
		close(l.closed)
	})
}

// Close implements net.Listener.
func (l *Listener) Close() error {
	err := l.Listener.Close()
	l.end(net.ErrClosed)
	return err
}

// prefixedConn returns bytes that were read before the rest of a connection.
type prefixedConn struct {
	net.Conn
	prefix []byte
}

// NetConn returns the wrapped connection.
func (c *prefixedConn) NetConn() net.Conn { return c.Conn }

// Read implements net.Conn.
func (c *prefixedConn) Read(b []byte) (int, error) {
	if len(c.prefix) == 0 {
		return c.Conn.Read(b)
	}
	n := copy(b, c.prefix)
	c.prefix = c.prefix[n:]
	return n, nil
}
