// Package link measures the utilization of the instance's own network link.
//
// A saturated link delays all of a router's traffic: requests arrive late, and connections to
// healthy servers time out, so that the router would take the servers for dead. The package
// counts the bytes of the router's connections in each direction and compares them with the
// link's capacity.
package link

import (
	"net"
	"sync"
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

// Purpose is what connections are for.
type Purpose int

// The purposes of connections.
const (
	Callers Purpose = iota
	Servers
	Routers
	Store
	purposes
)

// Purposes are all purposes.
var Purposes = [purposes]Purpose{Callers, Servers, Routers, Store}

// String implements fmt.Stringer.
func (p Purpose) String() string {
	return [purposes]string{"callers", "servers", "routers", "store"}[p]
}

// Bytes are numbers of bytes by direction.
type Bytes struct{ In, Out int64 }

// Counter counts the bytes of connections. It is safe for concurrent use. A nil Counter counts
// nothing.
type Counter struct{ in, out atomic.Int64 }

// Received adds n bytes received by a connection.
func (c *Counter) Received(n int) {
	if c != nil {
		c.in.Add(int64(n))
	}
}

// Sent adds n bytes sent by a connection.
func (c *Counter) Sent(n int) {
	if c != nil {
		c.out.Add(int64(n))
	}
}

func (c *Counter) bytes() Bytes { return Bytes{In: c.in.Load(), Out: c.out.Load()} }

// Usage is what a window showed.
type Usage struct {
	Load Load
	// Rates are bytes per second by purpose.
	Rates [purposes]Bytes
	// Accounts are the accounts of callers with the most bytes in both directions, the heaviest
	// first, and AccountBytes the bytes of all accounts.
	Accounts     []Heavy
	AccountBytes int64
}

// Heaviest returns the account with the most bytes and its share of all accounts' bytes; the share
// is 0 if there were none.
func (u *Usage) Heaviest() (account string, share float64) {
	if len(u.Accounts) == 0 || u.AccountBytes == 0 {
		return "", 0
	}
	return u.Accounts[0].Key, float64(u.Accounts[0].Bytes) / float64(u.AccountBytes)
}

// Meter counts the bytes of an instance's connections by purpose. It is safe for
// concurrent use. A nil Meter counts nothing.
type Meter struct {
	capacity float64 // bytes a second
	counters [purposes]Counter
	tickedAt time.Time
	ticked   [purposes]Bytes // the counters at the end of the last window
	usage    atomic.Pointer[Usage]

	mu       sync.Mutex
	accounts Sketch // of the current window
}

// New returns a meter for a link with the given capacity in bytes per second in each direction.
// With a capacity of 0, which means unknown, the load is always 0.
func New(capacity float64, now time.Time) *Meter {
	m := &Meter{capacity: capacity, tickedAt: now}
	m.usage.Store(&Usage{})
	return m
}

// Of returns the counter of a purpose.
func (m *Meter) Of(p Purpose) *Counter {
	if m == nil {
		return nil
	}
	return &m.counters[p]
}

// Account adds bytes of a request or a response of an account. They are part of those of Callers.
func (m *Meter) Account(account string, bytes int) {
	if m == nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.accounts.Add(account, int64(bytes))
}

// Tick ends a window and returns its load. It must be called by one goroutine only.
func (m *Meter) Tick(now time.Time) Load {
	span := now.Sub(m.tickedAt).Seconds()
	m.tickedAt = now
	u := &Usage{}
	for p := range m.counters {
		total := m.counters[p].bytes()
		moved := Bytes{In: total.In - m.ticked[p].In, Out: total.Out - m.ticked[p].Out}
		m.ticked[p] = total
		if span > 0 {
			u.Rates[p] = Bytes{In: int64(float64(moved.In) / span), Out: int64(float64(moved.Out) / span)}
		}
		if m.capacity > 0 && span > 0 && carriesRequests(Purpose(p)) {
			u.Load.In += float64(moved.In) * overhead / (m.capacity * span)
			u.Load.Out += float64(moved.Out) * overhead / (m.capacity * span)
		}
	}
	m.mu.Lock()
	u.Accounts, u.AccountBytes = m.accounts.Heaviest(), m.accounts.Total()
	m.accounts = Sketch{}
	m.mu.Unlock()
	m.usage.Store(u)
	return u.Load
}

// carriesRequests reports whether the bytes of a purpose are part of the load. saturatedLoad was
// measured without those of routers and of the store, which are a few percent of a small link.
func carriesRequests(p Purpose) bool { return p == Callers || p == Servers }

// Load returns the load of the last window.
func (m *Meter) Load() Load { return m.usage.Load().Load }

// Usage returns what the last window showed.
func (m *Meter) Usage() Usage { return *m.usage.Load() }

// Total returns the bytes of a purpose since the start.
func (m *Meter) Total(p Purpose) Bytes { return m.counters[p].bytes() }

// Listener returns a listener that counts the bytes of its connections.
func (c *Counter) Listener(l net.Listener) net.Listener { return &listener{Listener: l, counter: c} }

// Conn returns a connection that counts its bytes.
func (c *Counter) Conn(raw net.Conn) net.Conn { return &conn{Conn: raw, counter: c} }

// listener wraps accepted connections in conn.
type listener struct {
	net.Listener
	counter *Counter
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.counter.Conn(c), nil
}

// conn counts the bytes read and written. It embeds the net.Conn interface and not a concrete type,
// so that methods such as ReadFrom cannot transfer bytes uncounted.
type conn struct {
	net.Conn
	counter *Counter
}

// NetConn returns the wrapped connection, for its socket options; bytes transferred on it directly
// are not counted.
func (c *conn) NetConn() net.Conn { return c.Conn }

// Read implements net.Conn.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.counter.Received(n)
	return n, err
}

// Write implements net.Conn.
func (c *conn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.counter.Sent(n)
	return n, err
}
