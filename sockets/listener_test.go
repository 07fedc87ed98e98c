package sockets_test

import (
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/gaplink/gaplink/sockets"
)

// acceptor accepts connections until its listener is closed.
type acceptor struct {
	accepted chan net.Conn
	ended    chan error
}

func accept(l net.Listener) acceptor {
	a := acceptor{accepted: make(chan net.Conn, 16), ended: make(chan error, 1)}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				a.ended <- err
				return
			}
			a.accepted <- c
		}
	}()
	return a
}

// next returns the next accepted connection, or nil after the given time.
func (a acceptor) next(within time.Duration) net.Conn {
	select {
	case c := <-a.accepted:
		return c
	case <-time.After(within):
		return nil
	}
}

func listen(t *testing.T) net.Listener {
	t.Helper()
	raw, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = raw.Close() })
	return raw
}

func dial(t *testing.T, l net.Listener) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return c
}

func TestConnectionsBeyondTheLimitWait(t *testing.T) {
	raw := listen(t)
	l := sockets.NewListener(raw, 1)
	a := accept(l)
	dial(t, raw)
	dial(t, raw)
	first := a.next(time.Second)
	if first == nil || a.next(50*time.Millisecond) != nil || l.Open() != 1 {
		t.Fatalf("not one connection, but %d", l.Open())
	}
	_ = first.Close()
	_ = first.Close() // releases one slot, not two
	second := a.next(time.Second)
	if second == nil || l.Open() != 1 {
		t.Fatalf("%d connections after one was closed", l.Open())
	}
	if err := l.Close(); err != nil {
		t.Fatal(err)
	}
	if err := <-a.ended; !errors.Is(err, net.ErrClosed) {
		t.Fatal(err)
	}
	_ = second.Close()
	if l.Open() != 0 {
		t.Errorf("%d connections after all were closed", l.Open())
	}
}

// Guards against connections of peers that failed without closing them, which would block new
// connections permanently.
func TestLongestIdleConnectionIsEvicted(t *testing.T) {
	raw := listen(t)
	l := sockets.NewEvictingListener(raw, 2)
	defer func() { _ = l.Close() }()
	a := accept(l)
	silent, talking := dial(t, raw), dial(t, raw)
	inSilent, inTalking := a.next(time.Second), a.next(time.Second)
	if inSilent.RemoteAddr().String() != silent.LocalAddr().String() {
		inSilent, inTalking = inTalking, inSilent
	}
	if _, err := io.WriteString(talking, "x"); err != nil {
		t.Fatal(err)
	}
	if _, err := inTalking.Read(make([]byte, 1)); err != nil {
		t.Fatal(err)
	}
	dial(t, raw)
	if a.next(500*time.Millisecond) != nil {
		t.Fatal("a connection in use was evicted")
	}
	if a.next(3*time.Second) == nil {
		t.Fatal("no connection was evicted")
	}
	if _, err := inSilent.Read(make([]byte, 1)); !errors.Is(err, net.ErrClosed) {
		t.Errorf("the idle connection is open: %v", err)
	}
	if _, err := io.WriteString(inTalking, "y"); err != nil {
		t.Errorf("the connection in use is closed: %v", err)
	}
	if l.Open() != 2 {
		t.Errorf("%d connections", l.Open())
	}
}

// Guards against a listener without a limit that miscounts or blocks.
func TestNoLimit(t *testing.T) {
	raw := listen(t)
	l := sockets.NewListener(raw, 0)
	defer func() { _ = l.Close() }()
	a := accept(l)
	for range 5 {
		dial(t, raw)
		if a.next(time.Second) == nil {
			t.Fatal("not accepted")
		}
	}
	if l.Open() != 5 {
		t.Errorf("%d connections", l.Open())
	}
}

// exhaustedListener is the listener of a process that is out of file descriptors.
type exhaustedListener struct{ net.Listener }

func (exhaustedListener) Accept() (net.Conn, error) { return nil, syscall.EMFILE }

// Guards against failed accepts that leak slots, and against accept errors that are not reported.
func TestFailedAcceptKeepsNoSlot(t *testing.T) {
	l := sockets.NewListener(exhaustedListener{listen(t)}, 1)
	reported := 0
	l.OnError = func(error) { reported++ }
	for range 3 {
		if _, err := l.Accept(); !errors.Is(err, syscall.EMFILE) {
			t.Fatal(err)
		}
	}
	if reported != 3 || l.Open() != 0 {
		t.Errorf("%d errors reported, %d open", reported, l.Open())
	}
}
