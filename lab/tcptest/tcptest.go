// Package tcptest provides helpers for tests with raw TCP connections.
package tcptest

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
)

// Listen starts a loopback listener and calls serve for each connection in a separate
// goroutine, with the number of the connection, starting at 0. It returns the address. The
// listener is closed at the end of the test.
func Listen(t testing.TB, serve func(c net.Conn, n int)) (addr string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for n := 0; ; n++ {
			c, err := l.Accept()
			if err != nil {
				return // closed
			}
			go serve(c, n)
		}
	}()
	return l.Addr().String()
}

// AnswerOnce reads one HTTP request from a connection, writes answer and closes the
// connection.
func AnswerOnce(c net.Conn, answer string) {
	defer func() { _ = c.Close() }()
	r, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, r.Body) // an error here shows up at the client under test
	_, _ = io.WriteString(c, answer)
}
