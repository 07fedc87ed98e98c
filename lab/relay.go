package lab

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
)

// relays are TCP proxies in front of the routers' peer addresses. Each router is listed
// under the address of its relay, so that traffic between two routers can be counted and
// cut. A router connects from its own loopback IP, which identifies it to the relay.
type relays struct {
	mu    sync.Mutex
	cut   map[[2]string]bool
	conns map[net.Conn][2]string
	bytes atomic.Int64
}

func newRelays() *relays {
	return &relays{cut: map[[2]string]bool{}, conns: map[net.Conn][2]string{}}
}

// add starts a relay to a router's peer address and returns the relay's address.
func (r *relays) add(target string) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go r.accept(listener, target)
	return listener.Addr().String(), nil
}

func (r *relays) accept(listener net.Listener, target string) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go r.forward(conn, target)
	}
}

func (r *relays) forward(conn net.Conn, target string) {
	pair := [2]string{host(conn.RemoteAddr().String()), host(target)}
	if !r.track(conn, pair) {
		_ = conn.Close()
		return
	}
	defer r.untrack(conn)
	onward, err := net.Dial("tcp", target)
	if err != nil {
		return
	}
	defer func() { _ = onward.Close() }()
	go func() {
		r.copy(onward, conn)
		_ = onward.Close()
	}()
	r.copy(conn, onward)
}

func (r *relays) copy(to io.Writer, from io.Reader) {
	buf := make([]byte, 16<<10)
	for {
		n, err := from.Read(buf)
		if n > 0 {
			r.bytes.Add(int64(n))
			if _, err := to.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

func (r *relays) track(conn net.Conn, pair [2]string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.cut[pair] {
		return false
	}
	r.conns[conn] = pair
	return true
}

func (r *relays) untrack(conn net.Conn) {
	r.mu.Lock()
	delete(r.conns, conn)
	r.mu.Unlock()
	_ = conn.Close()
}

// setCut cuts or restores the traffic between two hosts in both directions.
func (r *relays) setCut(a, b string, cut bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, pair := range [][2]string{{a, b}, {b, a}} {
		r.cut[pair] = cut
	}
	for conn, pair := range r.conns {
		if r.cut[pair] {
			_ = conn.Close()
		}
	}
}

func host(addr string) string {
	h, _, err := net.SplitHostPort(addr)
	if err != nil {
		return addr
	}
	return h
}
