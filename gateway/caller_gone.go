package gateway

import (
	"errors"
	"net"
	"net/http"
	"syscall"
)

// callerGone reports whether the caller has closed its connection. The request's context is
// cancelled by that too, but only once the goroutine that reads from the connection is
// scheduled: on an instance short of CPU, requests would be sent to servers for callers that
// disconnected long before.
func callerGone(r *http.Request) bool {
	if r.Context().Err() != nil {
		return true
	}
	conn, ok := r.Context().Value(callerConn{}).(*net.TCPConn)
	if !ok {
		return false // not served by a server with ConnContext
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return true // closed on this side
	}
	gone := false
	err = raw.Control(func(fd uintptr) { gone = peerClosed(int(fd)) })
	return gone || err != nil
}

// peerClosed reports whether the peer has closed a socket. It consumes none of the received
// bytes.
func peerClosed(fd int) bool {
	var buf [1]byte
	n, _, err := syscall.Recvfrom(fd, buf[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	return err == nil && n == 0 || errors.Is(err, syscall.ECONNRESET)
}
