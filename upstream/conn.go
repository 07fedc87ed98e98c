package upstream

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/gaplink/gaplink/clock"
	"github.com/gaplink/gaplink/framing"
	"github.com/gaplink/gaplink/link"
	"github.com/gaplink/gaplink/placement"
	"github.com/gaplink/gaplink/reach"
	"github.com/gaplink/gaplink/sockets"
)

// conn is one connection to a backend server.
type conn struct {
	net.Conn
	reader *bufio.Reader
	// head is below reader.
	head    *framing.HeadReader
	counter *link.Counter
	paths   Paths
	heard   func(placement.Incarnation)
	addr    string
	group   reach.Group
	// router is the router through which the connection leads; empty for a direct one.
	router string
	// owner is the process that the connection was opened for: an address may be
	// reassigned to another server.
	owner placement.Incarnation
	// openedAt is when the connection was opened, usedAt when it last became idle, and expires when it is
	// to be closed.
	openedAt        time.Time
	usedAt, expires time.Time
	// readAt is when bytes last arrived, and reportedAt when that was last reported to paths.
	readAt, reportedAt time.Time
	// used is set once the connection has carried a request.
	used bool
}

func (p *Pool) newConn(raw net.Conn, r *Request) *conn {
	c := &conn{Conn: raw, counter: p.opts.Counter, paths: p.opts.Paths, heard: p.opts.Heard, addr: r.Address, group: r.Group, owner: r.Owner, openedAt: clock.Now()}
	c.head = framing.NewHeadReader(observedReader{c})
	c.reader = bufio.NewReaderSize(c.head, readBuffer)
	return c
}

// startWait and endWait report that a response is awaited on a direct connection.
func (c *conn) startWait() {
	if c.router == "" {
		c.paths.Sent(c.group)
	}
}

func (c *conn) endWait() {
	if c.router == "" {
		c.paths.Ended(c.group)
	}
}

// reportNotAnswered reports that no byte of a response came since the request was sent.
func (c *conn) reportNotAnswered(began time.Time) {
	if c.router == "" {
		c.paths.NotAnswered(began, c.group)
	} else {
		c.paths.Unheard(began, c.router)
	}
}

// reportRead reports that bytes of a response arrived.
func (c *conn) reportRead() {
	c.heard(c.owner)
	if c.router == "" {
		c.paths.Responded(c.group)
	} else {
		c.paths.Heard(c.router)
	}
}

// lentConn is a connection that is opened for another router.
type lentConn struct {
	net.Conn
	once    sync.Once
	release func()
}

// NetConn returns the wrapped connection.
func (c *lentConn) NetConn() net.Conn { return c.Conn }

// Close implements net.Conn.
func (c *lentConn) Close() error {
	err := c.Conn.Close()
	c.once.Do(c.release)
	return err
}

// reportInterval is the minimum time between two reports that bytes arrived on a connection.
const reportInterval = 100 * time.Millisecond

// observedReader counts and reports the bytes that are read from a connection.
type observedReader struct{ c *conn }

// Read implements io.Reader.
func (r observedReader) Read(b []byte) (int, error) {
	c := r.c
	n, err := c.Conn.Read(b)
	c.counter.Received(n)
	if n > 0 {
		c.readAt = clock.Now()
		if c.readAt.Sub(c.reportedAt) >= reportInterval {
			c.reportedAt = c.readAt
			c.reportRead()
		}
	}
	return n, err
}

// errHTTP10TransferEncoding is returned for an HTTP/1.0 response with a Transfer-Encoding
// header. HTTP/1.0 does not define it, so the framing cannot be trusted.
var errHTTP10TransferEncoding = errors.New("HTTP/1.0 response has a Transfer-Encoding header")

// http10Prefix is the start of the status line of an HTTP/1.0 response.
const http10Prefix = "HTTP/1.0 "

// readResponse reads the next response header. net/http silently drops the
// Transfer-Encoding of an HTTP/1.0 response and would return its chunk framing as part
// of the body, so the headers of these responses are checked first. Their connections
// are not reused.
func (c *conn) readResponse(request *http.Request) (*http.Response, error) {
	if start, err := c.reader.Peek(len(http10Prefix)); err != nil || string(start) != http10Prefix {
		return framing.ReadResponse(c.reader, request) // not HTTP/1.0, or too short to tell: ReadResponse reports the error
	}
	head, err := c.readHTTP10Head()
	if err != nil {
		return nil, err
	}
	resp, err := framing.ReadResponse(bufio.NewReader(io.MultiReader(bytes.NewReader(head), c.reader)), request)
	if err != nil {
		return nil, err
	}
	resp.Close = true
	return resp, nil
}

// readHTTP10Head reads the header of an HTTP/1.0 response and rejects a Transfer-Encoding.
func (c *conn) readHTTP10Head() ([]byte, error) {
	var head []byte
	for {
		line, err := c.reader.ReadSlice('\n')
		head = append(head, line...)
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
			continue // the rest of a long line follows
		case err != nil:
			return nil, err
		}
		name, _, _ := bytes.Cut(line, []byte{':'})
		if bytes.EqualFold(bytes.TrimSpace(name), []byte("transfer-encoding")) {
			return nil, errHTTP10TransferEncoding
		}
		if len(bytes.TrimRight(line, "\r\n")) == 0 {
			return head, nil
		}
	}
}

// healthy reports whether an idle connection can carry a request: it is open, and
// no unsolicited bytes have arrived on it.
func (c *conn) healthy() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	raw, err := c.Conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return false
	}
	noData := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, err := syscall.Read(int(fd), one[:])
		noData = err == syscall.EAGAIN || err == syscall.EWOULDBLOCK
		return true
	})
	return err == nil && noData
}

// reset makes the following Close reset the connection (TCP RST), which drops
// undelivered data.
func (c *conn) reset() {
	if tcp, ok := sockets.As[*net.TCPConn](c.Conn); ok {
		_ = tcp.SetLinger(0) // fails only if the connection is already closed
	}
}

// abort resets the connection, also while it is in use: the exchange on it fails.
func (c *conn) abort() {
	c.reset()
	_ = c.Conn.Close()
}
