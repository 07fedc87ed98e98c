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

// connectCaller returns both sides of a connection and a request received over it.
func connectCaller(t *testing.T) (caller, router *net.TCPConn, r *http.Request) {
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

// eventually waits for an effect of the kernel's asynchronous TCP processing.
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

// TestCallerGoneIsDetectedWithoutReading covers an instance short of CPU whose callers
// disconnect before any goroutine has read from their connections.
func TestCallerGoneIsDetectedWithoutReading(t *testing.T) {
	caller, router, r := connectCaller(t)
	if callerGone(r) {
		t.Fatal("reported gone while still waiting")
	}
	if _, err := io.WriteString(caller, "GET"); err != nil {
		t.Fatal(err)
	}
	time.Sleep(20 * time.Millisecond)
	if callerGone(r) {
		t.Fatal("reported gone after sending its next request")
	}
	got := make([]byte, 3)
	if _, err := io.ReadFull(router, got); err != nil || string(got) != "GET" {
		t.Fatalf("the check consumed bytes: %q, %v", got, err)
	}
	_ = caller.Close()
	eventually(t, "close not detected", func() bool { return callerGone(r) })
}

// TestCallerResetIsDetected covers a caller that disconnects with unread bytes, which resets
// the connection.
func TestCallerResetIsDetected(t *testing.T) {
	caller, _, r := connectCaller(t)
	if err := caller.SetLinger(0); err != nil {
		t.Fatal(err)
	}
	_ = caller.Close()
	eventually(t, "reset not detected", func() bool { return callerGone(r) })
}
