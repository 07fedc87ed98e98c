// Package tcptest has what tests of raw connections share.
package tcptest

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
)

// Listen starts a listener on loopback and hands each connection to serve, in a
// goroutine of its own and with its number from 0. It returns the address; the
// listener is closed at the test's end.
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

// AnswerOnce reads one request from a connection, writes these bytes and closes it.
func AnswerOnce(c net.Conn, answer string) {
	defer func() { _ = c.Close() }()
	r, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, r.Body) // what fails here fails for the test's caller
	_, _ = io.WriteString(c, answer)
}
