// Package link measures the utilization of the instance's own network link.
//
// A saturated link delays all of a router's traffic: requests arrive late, and connections to
// healthy servers time out, so that the router would take the servers for dead. The package
// counts the bytes of the router's connections in each direction and compares them with the
// link's capacity.
package link

import (
	"net"
	"sync/atomic"
	"time"
)

const (
	// Window is the time over which bytes are counted, and the interval at which to call Tick.
	Window = 250 * time.Millisecond
	// overhead is the factor by which packet headers increase the transferred bytes, for packets
	// of a few hundred bytes.
	overhead = 1.1
)

// Load is the utilization of the link in the last window, by direction; 1 is the full capacity.
type Load struct{ In, Out float64 }

// Meter counts the bytes of an instance's connections. It is safe for
// concurrent use. A nil Meter counts nothing.
type Meter struct {
	capacity float64 // bytes a second
	in, out  atomic.Int64
	tickedAt time.Time
	load     atomic.Pointer[Load]
}

// New returns a meter for a link with the given capacity in bytes per second in each direction.
// With a capacity of 0, which means unknown, the load is always 0.
func New(capacity float64, now time.Time) *Meter {
	m := &Meter{capacity: capacity, tickedAt: now}
	m.load.Store(&Load{})
	return m
}

// Received adds n bytes received by a connection.
func (m *Meter) Received(n int) {
	if m != nil {
		m.in.Add(int64(n))
	}
}

// Sent adds n bytes sent by a connection.
func (m *Meter) Sent(n int) {
	if m != nil {
		m.out.Add(int64(n))
	}
}

// Tick ends a window and returns its load. It must be called by one goroutine only.
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

// Listener returns a listener that counts the bytes of its connections.
func (m *Meter) Listener(l net.Listener) net.Listener { return &listener{Listener: l, meter: m} }

// listener wraps accepted connections in conn.
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

// conn counts the bytes read and written. It embeds the net.Conn interface and not a concrete type,
// so that methods such as ReadFrom cannot transfer bytes uncounted.
type conn struct {
	net.Conn
	meter *Meter
}

// NetConn returns the wrapped connection, for its socket options; bytes transferred on it directly
// are not counted.
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
