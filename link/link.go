// Package link watches how full the instance's own network link is.
//
// A router whose link is full delays everything that it does: requests reach
// it late, connections to sound servers time out, and it would take them for
// dead. It counts the bytes that its connections carry, in each direction, and
// compares them with the link's capacity.
package link

import (
	"net"
	"sync/atomic"
	"time"
)

const (
	// Window is the time over which bytes are counted. Call Tick that often.
	Window = 250 * time.Millisecond
	// overhead is the part that packet heads add to the bytes that connections
	// carry, for packets of some hundred bytes.
	overhead = 1.1
)

// Load is the part of the link's capacity that was used in the last window,
// by direction; 1 is a full link.
type Load struct{ In, Out float64 }

// Meter counts the bytes of an instance's connections. It is safe for
// concurrent use. A nil Meter counts nothing.
type Meter struct {
	capacity float64 // bytes a second
	in, out  atomic.Int64
	tickedAt time.Time
	load     atomic.Pointer[Load]
}

// New returns a meter for a link that carries so many bytes a second in each
// direction; 0 means that it is not known, and the load is always 0.
func New(capacity float64, now time.Time) *Meter {
	m := &Meter{capacity: capacity, tickedAt: now}
	m.load.Store(&Load{})
	return m
}

// Received counts bytes that a connection has received.
func (m *Meter) Received(n int) {
	if m != nil {
		m.in.Add(int64(n))
	}
}

// Sent counts bytes that a connection has sent.
func (m *Meter) Sent(n int) {
	if m != nil {
		m.out.Add(int64(n))
	}
}

// Tick ends a window. It is called by one goroutine.
func (m *Meter) Tick(now time.Time) Load {
	span := now.Sub(m.tickedAt).Seconds()
	in, out := m.in.Swap(0), m.out.Swap(0)
	m.tickedAt = now
	load := Load{}
	if m.capacity > 0 && span > 0 {
		load.In = float64(in) * overhead / (m.capacity * span)
		load.Out = float64(out) * overhead / (m.capacity * span)
	}
	m.load.Store(&load)
	return load
}

// Load returns the load of the last window.
func (m *Meter) Load() Load { return *m.load.Load() }

// Listener returns a listener whose connections are counted.
func (m *Meter) Listener(l net.Listener) net.Listener { return &listener{Listener: l, meter: m} }

// listener counts the connections it accepts.
type listener struct {
	net.Listener
	meter *Meter
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &conn{Conn: c, meter: l.meter}, nil
}

// conn counts its bytes. It embeds the interface, so that no method of the
// connection below moves bytes past the counting.
type conn struct {
	net.Conn
	meter *Meter
}

// NetConn returns the connection below, for its options; bytes moved there are not
// counted.
func (c *conn) NetConn() net.Conn { return c.Conn }

// Read implements net.Conn.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.meter.Received(n)
	return n, err
}

// Write implements net.Conn.
func (c *conn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.meter.Sent(n)
	return n, err
}
