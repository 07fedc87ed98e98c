package sockets

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
)

// TCPConn is a TCP connection that one goroutine may read while another writes, and on which Read returns io.EOF only
// if the peer has closed the connection in an orderly way.
//
// The kernel reports the end of a connection by a reset or a timeout to one system call only. If that call is a write, a
// read on a *net.TCPConn returns io.EOF as after an orderly close; here it returns the error of that write. All
// writes must go through the TCPConn.
type TCPConn struct {
	// Conn is not embedded as a *net.TCPConn, whose ReadFrom would write past Write.
	net.Conn
	tcp *net.TCPConn
	raw syscall.RawConn

	mu sync.Mutex // held during each system call that writes
	// lost is the error by which a write learned that the connection had ended without an orderly close.
	lost error
}

// NewTCPConn returns a TCPConn for a *net.TCPConn, and any other connection unchanged.
func NewTCPConn(c net.Conn) net.Conn {
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return c
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return c // not a valid connection: each use of it fails
	}
	return &TCPConn{Conn: tcp, tcp: tcp, raw: raw}
}

// NetConn returns the *net.TCPConn, for its socket options.
func (c *TCPConn) NetConn() net.Conn { return c.Conn }

// SyscallConn implements syscall.Conn, for socket options.
func (c *TCPConn) SyscallConn() (syscall.RawConn, error) { return c.raw, nil }

// SetLinger sets what Close does with unsent bytes, as for a net.TCPConn.
func (c *TCPConn) SetLinger(seconds int) error { return c.tcp.SetLinger(seconds) }

// CloseWrite sends the orderly close of this side, as for a net.TCPConn.
func (c *TCPConn) CloseWrite() error { return c.tcp.CloseWrite() }

// Write implements net.Conn.
func (c *TCPConn) Write(b []byte) (n int, err error) {
	var failed error
	err = c.raw.Write(func(fd uintptr) (done bool) {
		for n < len(b) {
			var sent int
			sent, failed = c.writeOnce(int(fd), b[n:])
			n += sent
			if failed != nil {
				return !errors.Is(failed, syscall.EAGAIN)
			}
		}
		return true
	})
	if err == nil && failed != nil {
		err = c.opError("write", failed)
	}
	return n, err
}

// writeOnce makes one system call, which does not block, and records the error that it takes from the kernel.
func (c *TCPConn) writeOnce(fd int, b []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for {
		n, err := syscall.Write(fd, b)
		switch {
		case err == nil:
			return n, nil
		case errors.Is(err, syscall.EINTR):
			continue
		case !errors.Is(err, syscall.EAGAIN) && !errors.Is(err, syscall.EPIPE) && c.lost == nil:
			c.lost = err // EPIPE follows the peer's orderly close, or an error that was reported before
		}
		return 0, err
	}
}

// Read implements net.Conn.
func (c *TCPConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if err != io.EOF {
		return n, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.lost != nil {
		err = c.opError("read", c.lost)
	}
	return n, err
}

func (c *TCPConn) opError(call string, errno error) error {
	return &net.OpError{Op: call, Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: os.NewSyscallError(call, errno)}
}

// TCPListener returns a listener that accepts each connection of l as a TCPConn.
func TCPListener(l net.Listener) net.Listener { return tcpListener{l} }

type tcpListener struct{ net.Listener }

// Accept implements net.Listener.
func (l tcpListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return NewTCPConn(c), nil
}
