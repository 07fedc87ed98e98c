package soak

import (
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/gaplink/gaplink/lab/tcptest"
)

// startEcho starts a server that echoes all data.
func startEcho(t *testing.T) string {
	t.Helper()
	return tcptest.Listen(t, func(c net.Conn, _ int) {
		_, _ = io.Copy(c, c)
		_ = c.Close()
	})
}

func startProxy(t *testing.T) (*Proxy, func() net.Conn) {
	t.Helper()
	p, err := NewProxy(startEcho(t))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Close)
	return p, func() net.Conn {
		c, err := net.Dial("tcp", p.Addr())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = c.Close() })
		return c
	}
}

const echoTimeout = 200 * time.Millisecond

// roundTrip sends a byte and returns the error of sending it or of reading its echo.
func roundTrip(c net.Conn) error {
	if _, err := c.Write([]byte{1}); err != nil {
		return err
	}
	_ = c.SetReadDeadline(time.Now().Add(echoTimeout))
	_, err := c.Read(make([]byte, 1))
	return err
}

func TestProxyForwards(t *testing.T) {
	_, dial := startProxy(t)
	c := dial()
	if err := roundTrip(c); err != nil {
		t.Fatal(err)
	}
	_ = c.(*net.TCPConn).CloseWrite()
	if _, err := c.Read(make([]byte, 1)); err != io.EOF {
		t.Errorf("read after a clean close: got %v, want EOF", err)
	}
}

func TestProxySilencesOpenConnectionsOnly(t *testing.T) {
	p, dial := startProxy(t)
	old := dial()
	if err := roundTrip(old); err != nil {
		t.Fatal(err)
	}
	p.Silence()
	if err := roundTrip(old); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("old connection: got %v, want a timeout", err)
	}
	if err := roundTrip(dial()); err != nil {
		t.Errorf("new connection: %v", err)
	}
}

func TestProxyResets(t *testing.T) {
	p, dial := startProxy(t)
	c := dial()
	if err := roundTrip(c); err != nil {
		t.Fatal(err)
	}
	p.Reset()
	if err := roundTrip(c); err == nil || err == io.EOF || errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("after a reset: %v", err)
	}
}

func TestProxyBlocksEachDirection(t *testing.T) {
	for _, d := range []direction{clientToServer, serverToClient} {
		p, dial := startProxy(t)
		c := dial()
		if err := roundTrip(c); err != nil {
			t.Fatal(err)
		}
		p.BlockDirection(d)
		if err := roundTrip(c); !errors.Is(err, os.ErrDeadlineExceeded) {
			t.Errorf("direction %d blocked: got %v, want a timeout", d, err)
		}
		p.Restore()
		if err := roundTrip(c); err == nil {
			t.Errorf("direction %d restored: the connection lost bytes but was not reset", d)
		}
		if err := roundTrip(dial()); err != nil {
			t.Errorf("direction %d restored, new connection: %v", d, err)
		}
	}
}

func TestProxyIsDown(t *testing.T) {
	p, dial := startProxy(t)
	c := dial()
	if err := roundTrip(c); err != nil {
		t.Fatal(err)
	}
	p.Down(true)
	if roundTrip(c) == nil {
		t.Error("an open connection forwards data while the proxy is down")
	}
	// The reset may arrive before the dial returns.
	if fresh, err := net.Dial("tcp", p.Addr()); err == nil {
		defer func() { _ = fresh.Close() }()
		if roundTrip(fresh) == nil {
			t.Error("a new connection forwards data while the proxy is down")
		}
	} else if !errors.Is(err, syscall.ECONNRESET) {
		t.Error(err)
	}
	p.Down(false)
	if err := roundTrip(dial()); err != nil {
		t.Error(err)
	}
}

// Guards against a partition of a client that lets its bytes through, strikes other clients, or does not
// end.
func TestProxyCutsOneClientOff(t *testing.T) {
	const source, other = "127.0.3.1", "127.0.3.2"
	for how, c := range map[Partition]struct{ open, fresh error }{
		PartitionSilent: {os.ErrDeadlineExceeded, os.ErrDeadlineExceeded},
		PartitionReset:  {syscall.ECONNRESET, syscall.ECONNRESET},
		PartitionNew:    {nil, syscall.ECONNRESET},
	} {
		p, _ := startProxy(t)
		dialFrom := func(ip string) (net.Conn, error) {
			c, err := (&net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(ip)}}).Dial("tcp", p.Addr())
			if err == nil {
				t.Cleanup(func() { _ = c.Close() })
			}
			return c, err
		}
		dial := func(ip string) net.Conn {
			c, err := dialFrom(ip)
			if err != nil {
				t.Fatal(err)
			}
			return c
		}
		open, unconcerned := dial(source), dial(other)
		for _, c := range []net.Conn{open, unconcerned} {
			if err := roundTrip(c); err != nil {
				t.Fatal(err)
			}
		}
		p.Cut(source, how)
		time.Sleep(20 * time.Millisecond)
		failed := func(err, want error) bool {
			if want == syscall.ECONNRESET {
				return err != nil && !errors.Is(err, os.ErrDeadlineExceeded) // by a write or by a read
			}
			return errors.Is(err, want)
		}
		if err := roundTrip(open); !failed(err, c.open) {
			t.Errorf("%d: an open connection: %v", how, err)
		}
		fresh, err := dialFrom(source)
		if err == nil {
			err = roundTrip(fresh)
		} else if !errors.Is(err, syscall.ECONNRESET) { // a reset may arrive before the dial returns
			t.Fatal(err)
		}
		if !failed(err, c.fresh) {
			t.Errorf("%d: a new connection: %v", how, err)
		}
		if err := roundTrip(unconcerned); err != nil {
			t.Errorf("%d: another client: %v", how, err)
		}
		p.Heal(source)
		if err := roundTrip(dial(source)); err != nil {
			t.Errorf("%d: after the partition: %v", how, err)
		}
	}
}

// TestProxyHoldsBytes guards against a link that loses what it holds, also if its client has reset the connection.
func TestProxyHoldsBytes(t *testing.T) {
	read := make(chan byte, 1)
	target := tcptest.Listen(t, func(c net.Conn, _ int) {
		var b [1]byte
		if _, err := c.Read(b[:]); err == nil {
			read <- b[0]
		}
		_ = c.Close()
	})
	p, err := NewProxy(target)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Close)
	release, ok := p.Hold(clientToServer)
	if _, again := p.Hold(clientToServer); !ok || again {
		t.Fatalf("held: %t, held twice: %t", ok, again)
	}
	c, err := net.Dial("tcp", p.Addr())
	if err != nil {
		t.Fatal(err)
	}
	if _, err := c.Write([]byte{7}); err != nil {
		t.Fatal(err)
	}
	time.Sleep(echoTimeout)
	_ = c.(*net.TCPConn).SetLinger(0)
	_ = c.Close()
	select {
	case <-read:
		t.Fatal("a byte arrived while it was held")
	case <-time.After(echoTimeout):
	}
	release()
	select {
	case b := <-read:
		if b != 7 {
			t.Errorf("read %d", b)
		}
	case <-time.After(time.Second):
		t.Error("the byte was lost")
	}
}
