package upstream

import (
	"bufio"
	"net"
	"syscall"
	"time"

	"github.com/gaplink/gaplink/link"
)

// conn is one connection to a backend server.
type conn struct {
	net.Conn
	reader *bufio.Reader
	meter  *link.Meter
	// addr is the server's address and owner the id of the server that it was
	// opened for: an address may pass to another server.
	addr, owner string
	expires     time.Time
}

func newConn(raw net.Conn, r *Request, m *link.Meter) *conn {
	c := &conn{Conn: raw, meter: m, addr: r.Address, owner: r.Owner}
	c.reader = bufio.NewReaderSize(counted{raw, m}, readBuffer)
	return c
}

// counted counts the bytes that are read from a connection.
type counted struct {
	net.Conn
	meter *link.Meter
}

// Read implements io.Reader.
func (c counted) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.meter.Received(n)
	return n, err
}

// sound tells whether an idle connection can carry a request: it is open, and
// no byte has arrived that belongs to no request.
func (c *conn) sound() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	raw, err := c.Conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, err := syscall.Read(int(fd), one[:])
		quiet = err == syscall.EAGAIN || err == syscall.EWOULDBLOCK
		return true
	})
	return err == nil && quiet
}

// reset makes the coming Close reset the connection: what is not delivered yet
// is dropped.
func (c *conn) reset() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // fails only on a connection that is closed already
	}
}
