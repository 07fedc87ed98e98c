package server

import (
	"net"
	"sync"
)

// boundedListener bounds the open connections of a listener; further ones wait to
// be accepted. It differs from netutil.LimitListener in one thing: its connections
// tell the one below (NetConn), which the gateway needs to reset a caller's.
type boundedListener struct {
	net.Listener
	slots  chan struct{}
	once   sync.Once
	closed chan struct{}
}

func bounded(l net.Listener, most int) *boundedListener {
	return &boundedListener{Listener: l, slots: make(chan struct{}, most), closed: make(chan struct{})}
}

// Accept implements net.Listener.
func (l *boundedListener) Accept() (net.Conn, error) {
	select {
	case l.slots <- struct{}{}:
	case <-l.closed:
		return nil, net.ErrClosed
	}
	c, err := l.Listener.Accept()
	if err != nil {
		<-l.slots
		return nil, err
	}
	return &boundedConn{Conn: c, listener: l}, nil
}

// Close implements net.Listener.
func (l *boundedListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

// boundedConn gives its slot back when it is closed.
type boundedConn struct {
	net.Conn
	listener *boundedListener
	once     sync.Once
}

// NetConn returns the connection below.
func (c *boundedConn) NetConn() net.Conn { return c.Conn }

// Close implements net.Conn.
func (c *boundedConn) Close() error {
	err := c.Conn.Close()
	c.once.Do(func() { <-c.listener.slots })
	return err
}
