package gateway

import (
	"errors"
	"net"
	"net/http"
	"syscall"
)

// callerGone tells whether the caller has closed its connection. The context of a
// request ends by that too, but only when the goroutine that reads from the
// connection has had its turn: on an instance whose processor time is used up, requests
// would be sent to servers for callers that left long before.
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

// peerClosed tells whether the other side of a socket has closed it. It takes nothing
// of what has arrived.
func peerClosed(fd int) bool {
	var one [1]byte
	n, _, err := syscall.Recvfrom(fd, one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	return err == nil && n == 0 || errors.Is(err, syscall.ECONNRESET)
}
