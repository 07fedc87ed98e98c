package upstream

import (
	"bufio"
	"bytes"
	"errors"
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
	// used tells that it has carried a request.
	used bool
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

// errOldChunks marks an answer of HTTP/1.0 that names a transfer encoding, which that
// version does not have. net/http would take the chunks for the body.
var errOldChunks = errors.New("a transfer encoding in an answer of HTTP/1.0")

// refuseOldChunks looks at the head that comes next and fails if it is one of
// HTTP/1.0 whose framing cannot be trusted. Of a head longer than the read buffer
// it sees the beginning.
func (c *conn) refuseOldChunks() error {
	version := []byte("HTTP/1.0 ")
	if start, err := c.reader.Peek(len(version)); err != nil || !bytes.Equal(start, version) {
		return nil // reading it will tell what is wrong
	}
	for size := len(version); ; size = c.reader.Buffered() + 1 {
		seen, err := c.reader.Peek(size)
		head, _, ended := bytes.Cut(seen, []byte("\r\n\r\n"))
		if bytes.Contains(bytes.ToLower(head), []byte("\ntransfer-encoding:")) {
			return errOldChunks
		}
		if ended || err != nil {
			return nil
		}
	}
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
