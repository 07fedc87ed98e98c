package sockets_test

import (
	"errors"
	"io"
	"net"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/gaplink/gaplink/sockets"
)

// connect returns a connection to be tested, its peer, and a number of bytes that exceeds the kernel's buffers.
func connect(t *testing.T) (c net.Conn, peer *net.TCPConn, beyondBuffers int) {
	t.Helper()
	l := listen(t)
	raw := dial(t, l)
	accepted, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = accepted.Close() })
	return sockets.NewTCPConn(raw), accepted.(*net.TCPConn), 16 << 20
}

// Guards against a reset that only a write sees, so that a read takes it for an orderly close.
func TestReadReturnsTheResetThatAWriteGot(t *testing.T) {
	c, peer, size := connect(t)
	written := make(chan error, 1)
	go func() {
		_, err := c.Write(make([]byte, size))
		written <- err
	}()
	if _, err := io.CopyN(io.Discard, peer, 1<<10); err != nil {
		t.Fatal(err)
	}
	_, _ = io.WriteString(peer, "part")
	_ = peer.SetLinger(0)
	_ = peer.Close()
	if err := <-written; !errors.Is(err, syscall.ECONNRESET) {
		t.Fatalf("the write ended with %v", err)
	}
	if got, err := io.ReadAll(c); string(got) != "part" || !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("read %q, %v", got, err)
	}
}

// Guards against an orderly close that counts as a reset because the peer later rejected bytes.
func TestReadReturnsTheEndThatCameBeforeAReset(t *testing.T) {
	c, peer, size := connect(t)
	_, _ = io.WriteString(peer, "whole")
	_ = peer.CloseWrite()
	_ = peer.SetLinger(0)
	_ = peer.Close()
	var err error
	for deadline := time.Now().Add(3 * time.Second); err == nil && time.Now().Before(deadline); {
		_, err = c.Write(make([]byte, size))
	}
	if !errors.Is(err, syscall.EPIPE) {
		t.Fatalf("the write ended with %v", err)
	}
	if got, err := io.ReadAll(c); string(got) != "whole" || err != nil {
		t.Errorf("read %q, %v", got, err)
	}
}

// Guards against writes that lose bytes where the kernel takes a part of them.
func TestWriteTakesAllBytes(t *testing.T) {
	c, peer, size := connect(t)
	text := strings.Repeat("0123456789abcdef", size/16)
	go func() {
		_, _ = io.WriteString(c, text)
		_ = c.Close()
	}()
	if got, err := io.ReadAll(peer); string(got) != text || err != nil {
		t.Errorf("%d of %d bytes arrived: %v", len(got), size, err)
	}
}

// Guards against a write that its deadline or the close of its connection does not end.
func TestWriteEndsAtItsDeadline(t *testing.T) {
	c, _, size := connect(t)
	_ = c.SetWriteDeadline(time.Now().Add(50 * time.Millisecond))
	if n, err := c.Write(make([]byte, size)); n == 0 || n == size || !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("wrote %d of %d bytes, %v", n, size, err)
	}
	_ = c.Close()
	if _, err := c.Write([]byte("x")); !errors.Is(err, net.ErrClosed) {
		t.Errorf("a write to a closed connection: %v", err)
	}
}

// Guards against options that do not reach the connection, and against a listener that returns other connections.
func TestTCPConnExposesTheConnection(t *testing.T) {
	l := sockets.TCPListener(listen(t))
	dial(t, l)
	c, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	if _, ok := sockets.As[*net.TCPConn](c); !ok {
		t.Error("no *net.TCPConn inside")
	}
	if _, ok := c.(*sockets.TCPConn); !ok {
		t.Errorf("accepted a %T", c)
	}
	if other, _ := net.Pipe(); sockets.NewTCPConn(other) != other {
		t.Error("a connection of another kind was changed")
	}
}
