package upstream

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"syscall"
	"time"

	"github.com/gaplink/gaplink/link"
	"github.com/gaplink/gaplink/placement"
)

// conn is one connection to a backend server.
type conn struct {
	net.Conn
	reader *bufio.Reader
	meter  *link.Meter
	addr   string
	// owner is the process that it was opened for: an address may pass to another
	// server.
	owner placement.Incarnation
	// usedAt is when it was last put back, and expires until when it is kept.
	usedAt, expires time.Time
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
// version does not have, so that its framing cannot be trusted.
var errOldChunks = errors.New("a transfer encoding in an answer of HTTP/1.0")

const (
	// oldVersion begins an answer of HTTP/1.0.
	oldVersion = "HTTP/1.0 "
	// maxOldHead bounds the head of one, in bytes. Heads are a few hundred.
	maxOldHead = 64 << 10
)

// readResponse reads the next head. net/http drops the transfer encoding of an
// answer of HTTP/1.0 unseen and would take its chunks for the body, so the heads of
// these are looked at first. Their connections are not used again.
func (c *conn) readResponse(request *http.Request) (*http.Response, error) {
	if start, err := c.reader.Peek(len(oldVersion)); err != nil || string(start) != oldVersion {
		return http.ReadResponse(c.reader, request) // which tells what is wrong with less
	}
	head, err := c.readOldHead()
	if err != nil {
		return nil, err
	}
	resp, err := http.ReadResponse(bufio.NewReader(io.MultiReader(bytes.NewReader(head), c.reader)), request)
	if err != nil {
		return nil, err
	}
	resp.Close = true
	return resp, nil
}

// readOldHead reads the head of an answer of HTTP/1.0.
func (c *conn) readOldHead() ([]byte, error) {
	var head []byte
	for len(head) < maxOldHead {
		line, err := c.reader.ReadSlice('\n')
		head = append(head, line...)
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
			continue // a long line; its rest comes next
		case err != nil:
			return nil, err
		}
		name, _, _ := bytes.Cut(line, []byte{':'})
		if bytes.EqualFold(bytes.TrimSpace(name), []byte("transfer-encoding")) {
			return nil, errOldChunks
		}
		if len(bytes.TrimRight(line, "\r\n")) == 0 {
			return head, nil
		}
	}
	return nil, errLongHead
}

// errLongHead marks an answer whose head passes all bounds.
var errLongHead = errors.New("the head of the answer is too long")

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
