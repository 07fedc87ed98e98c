package gateway

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"
)

// accepted returns both sides of a connection, and a request that came over it.
func accepted(t *testing.T) (caller, router *net.TCPConn, r *http.Request) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	out, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	in, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = out.Close()
		_ = in.Close()
	})
	r = httptest.NewRequest(http.MethodGet, "/", nil)
	return out.(*net.TCPConn), in.(*net.TCPConn), r.WithContext(ConnContext(context.Background(), in))
}

// eventually waits for what another goroutine of the kernel does.
func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for range 200 {
		if holds() {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Error(what)
}

// TestCallerGoneIsSeenWithoutReading: the pattern is an instance short of processor
// time whose callers give up: nobody has read from their connections yet.
func TestCallerGoneIsSeenWithoutReading(t *testing.T) {
	caller, router, r := accepted(t)
	if callerGone(r) {
		t.Fatal("gone while it waits")
	}
	if _, err := io.WriteString(caller, "GET"); err != nil {
		t.Fatal(err)
	}
	time.Sleep(20 * time.Millisecond)
	if callerGone(r) {
		t.Fatal("gone although it sends its next request")
	}
	got := make([]byte, 3)
	if _, err := io.ReadFull(router, got); err != nil || string(got) != "GET" {
		t.Fatalf("looking took bytes away: %q, %v", got, err)
	}
	_ = caller.Close()
	eventually(t, "not gone after it closed", func() bool { return callerGone(r) })
}

// TestCallerThatResetIsGone: a caller that gave up with bytes unread.
func TestCallerThatResetIsGone(t *testing.T) {
	caller, _, r := accepted(t)
	if err := caller.SetLinger(0); err != nil {
		t.Fatal(err)
	}
	_ = caller.Close()
	eventually(t, "not gone after a reset", func() bool { return callerGone(r) })
}
