package sockets

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// As returns the first connection of type T in a chain of wrappers, which expose the wrapped connection
// through NetConn; false if there is none.
func As[T net.Conn](c net.Conn) (T, bool) {
	for {
		if found, ok := c.(T); ok {
			return found, true
		}
		wrapper, ok := c.(interface{ NetConn() net.Conn })
		if !ok {
			var none T
			return none, false
		}
		c = wrapper.NetConn()
	}
}

// SetUserTimeout sets the TCP user timeout of a socket: the connection is closed when its peer
// acknowledges no data for so long.
func SetUserTimeout(raw syscall.RawConn, timeout time.Duration) error {
	var err error
	control := raw.Control(func(fd uintptr) {
		err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
	})
	if control != nil {
		return control
	}
	return err
}

// SetSource makes a dialer open connections from the IP of an address, so that a firewall can
// distinguish instances. An address without one, or with the unspecified one, changes nothing.
func SetSource(d *net.Dialer, addr string) {
	host, _, err := net.SplitHostPort(addr)
	if err != nil {
		return
	}
	if ip := net.ParseIP(host); ip != nil && !ip.IsUnspecified() {
		d.LocalAddr = &net.TCPAddr{IP: ip}
	}
}
