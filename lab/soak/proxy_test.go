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

// echo starts a server that sends back what it gets.
func echo(t *testing.T) string {
	t.Helper()
	return tcptest.Listen(t, func(c net.Conn, _ int) {
		_, _ = io.Copy(c, c)
		_ = c.Close()
	})
}

func proxied(t *testing.T) (*Proxy, func() net.Conn) {
	t.Helper()
	p, err := NewProxy(echo(t))
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

const short = 200 * time.Millisecond

// ask sends a byte and returns how its echo fails to come, if it does.
func ask(c net.Conn) error {
	if _, err := c.Write([]byte{1}); err != nil {
		return err
	}
	_ = c.SetReadDeadline(time.Now().Add(short))
	_, err := c.Read(make([]byte, 1))
	return err
}

func TestProxyPassesOn(t *testing.T) {
	_, dial := proxied(t)
	c := dial()
	if err := ask(c); err != nil {
		t.Fatal(err)
	}
	_ = c.(*net.TCPConn).CloseWrite()
	if _, err := c.Read(make([]byte, 1)); err != io.EOF {
		t.Errorf("an orderly end arrives as %v", err)
	}
}

func TestProxySilencesOpenConnectionsOnly(t *testing.T) {
	p, dial := proxied(t)
	old := dial()
	if err := ask(old); err != nil {
		t.Fatal(err)
	}
	p.Silence()
	if err := ask(old); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("the old connection: %v", err)
	}
	if err := ask(dial()); err != nil {
		t.Errorf("a new connection: %v", err)
	}
}

func TestProxyResets(t *testing.T) {
	p, dial := proxied(t)
	c := dial()
	if err := ask(c); err != nil {
		t.Fatal(err)
	}
	p.Reset()
	if err := ask(c); err == nil || err == io.EOF || errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("after a reset: %v", err)
	}
}

func TestProxyCutsEachWay(t *testing.T) {
	for _, d := range []direction{forth, back} {
		p, dial := proxied(t)
		c := dial()
		if err := ask(c); err != nil {
			t.Fatal(err)
		}
		p.CutOneWay(d)
		if err := ask(c); !errors.Is(err, os.ErrDeadlineExceeded) {
			t.Errorf("way %d cut: %v", d, err)
		}
		p.Mend()
		if err := ask(c); err == nil {
			t.Errorf("way %d mended: the connection lost bytes and goes on", d)
		}
		if err := ask(dial()); err != nil {
			t.Errorf("way %d mended, a new connection: %v", d, err)
		}
	}
}

func TestProxyIsDown(t *testing.T) {
	p, dial := proxied(t)
	c := dial()
	if err := ask(c); err != nil {
		t.Fatal(err)
	}
	p.Down(true)
	if ask(c) == nil {
		t.Error("an open connection passes on while it is down")
	}
	// The reset may come before the dial is through.
	if fresh, err := net.Dial("tcp", p.Addr()); err == nil {
		defer func() { _ = fresh.Close() }()
		if ask(fresh) == nil {
			t.Error("a new connection passes on while it is down")
		}
	} else if !errors.Is(err, syscall.ECONNRESET) {
		t.Error(err)
	}
	p.Down(false)
	if err := ask(dial()); err != nil {
		t.Error(err)
	}
}
