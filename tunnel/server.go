package tunnel

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"go.uber.org/zap"

	"github.com/gaplink/gaplink/clock"
	"github.com/gaplink/gaplink/framing"
	"github.com/gaplink/gaplink/logs"
	"github.com/gaplink/gaplink/placement"
	"github.com/gaplink/gaplink/sockets"
)

const (
	// requestTimeout bounds the time to receive the request for a tunnel.
	requestTimeout = time.Second
	// deadTimeout is the TCP user timeout towards the other router, and the time that it has to close after the
	// server: it exceeds the time for which a caller may stop reading a response.
	deadTimeout = 30 * time.Second
	// idleTime is the time without bytes after which a tunnel counts as idle if the server sent last.
	idleTime = time.Second
	// copyBuffer is the buffer of one direction of a tunnel, in bytes.
	copyBuffer = 4 << 10
	// refusalLogInterval is the minimum time between two log lines about refused tunnels.
	refusalLogInterval = time.Second
)

// Reasons for which there is no tunnel.
const (
	reasonRefused    = "connection refused"
	reasonTimeout    = "connection timed out"
	reasonNotRouter  = "not from a registered router"
	reasonStopping   = "the router is stopping"
	reasonFull       = "the router has no room"
	reasonBadRequest = "malformed request"
)

// Options are the dependencies of a server.
type Options struct {
	// IsRouter reports whether an IP address is that of a registered router.
	IsRouter func(ip string) bool
	// Admit returns the server with the given identity, or why this router connects nobody to it.
	Admit func(placement.Incarnation) (placement.Server, error)
	// Dial opens a connection to a server. Like the one that Serve is called with, it must be a sockets.TCPConn, on
	// which an orderly close differs from a reset, or wrap one.
	Dial func(context.Context, placement.Server) (net.Conn, error)
	// Reserve reserves room for a tunnel; false means that there is none.
	Reserve func() (release func(), ok bool)
	// Detach excludes a connection from the limits of its listener.
	Detach func(net.Conn)
	Log    *zap.Logger
}

// Server provides tunnels to other routers. It is safe for concurrent use.
type Server struct {
	Options
	stopping atomic.Bool
	opened   atomic.Int64
	refused  atomic.Int64
	lines    logs.RateLimit

	mu   sync.Mutex
	open map[*tunnel]struct{}
}

// NewServer returns a server without tunnels.
func NewServer(o Options) *Server { return &Server{Options: o, open: map[*tunnel]struct{}{}} }

// Serve serves one connection until the tunnel ends.
func (s *Server) Serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	_ = c.SetReadDeadline(time.Now().Add(requestTimeout)) // fails only on a closed connection
	head := framing.NewHeadReader(c)
	head.Expect(framing.MaxHead)
	reader := bufio.NewReaderSize(head, responseBuffer)
	r, err := http.ReadRequest(reader)
	if err != nil || r.Method != http.MethodConnect || reader.Buffered() > 0 {
		s.refuse(c, placement.Incarnation{}, http.StatusBadRequest, reasonBadRequest)
		return
	}
	owner, err := decodeOwner(r.Header)
	if err != nil {
		s.refuse(c, owner, http.StatusBadRequest, err.Error())
		return
	}
	_ = c.SetReadDeadline(time.Time{})
	s.connect(c, owner)
}

// connect connects the other router with a server.
func (s *Server) connect(c net.Conn, owner placement.Incarnation) {
	host, _, _ := net.SplitHostPort(c.RemoteAddr().String())
	if !s.IsRouter(host) {
		s.refuse(c, owner, http.StatusForbidden, reasonNotRouter)
		return
	}
	if s.stopping.Load() {
		s.refuse(c, owner, http.StatusServiceUnavailable, reasonStopping)
		return
	}
	target, err := s.Admit(owner)
	switch {
	case errors.Is(err, ErrNotInUse):
		s.refuse(c, owner, http.StatusBadGateway, err.Error())
		return
	case err != nil:
		s.refuse(c, owner, http.StatusServiceUnavailable, err.Error())
		return
	}
	release, ok := s.Reserve()
	if !ok {
		s.refuse(c, owner, http.StatusServiceUnavailable, reasonFull)
		return
	}
	defer release()
	s.Detach(c)
	out, err := s.Dial(context.Background(), target)
	if err != nil {
		status, reason := dialFailure(err)
		s.refuse(c, owner, status, reason)
		return
	}
	defer func() { _ = out.Close() }()
	t := newTunnel(c, out, host)
	if t == nil {
		return
	}
	s.add(t)
	defer s.remove(t)
	if _, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %d\r\n\r\n", openHeader, s.Open()); err != nil {
		return
	}
	s.opened.Add(1)
	t.run()
}

// dialFailure returns the status and the reason for a server that this router did not reach. Other errors
// are its own, as when it may open no further connection.
func dialFailure(err error) (status int, reason string) {
	var timeout net.Error
	switch {
	case errors.Is(err, syscall.ECONNREFUSED), errors.Is(err, syscall.ECONNRESET):
		return http.StatusBadGateway, reasonRefused
	case errors.As(err, &timeout) && timeout.Timeout(), errors.Is(err, syscall.EHOSTUNREACH), errors.Is(err, syscall.ENETUNREACH):
		return http.StatusBadGateway, reasonTimeout
	default:
		return http.StatusServiceUnavailable, reasonFull
	}
}

// refuse ends a request for a tunnel.
func (s *Server) refuse(c net.Conn, owner placement.Incarnation, status int, reason string) {
	s.refused.Add(1)
	if omitted, allowed := s.lines.Allow(clock.Now(), refusalLogInterval); allowed {
		s.Log.Info("tunnel refused", zap.Stringer("router", c.RemoteAddr()), zap.String("server", owner.ID), zap.Int64("started", owner.Started),
			zap.Int("status", status), zap.String("reason", reason), zap.Int64("lines_left_out", omitted))
	}
	_, _ = fmt.Fprintf(c, "HTTP/1.1 %d %s\r\n%s: %s\r\nContent-Length: 0\r\nConnection: close\r\n\r\n", status, http.StatusText(status), reasonHeader, reason)
}

func (s *Server) add(t *tunnel) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.open[t] = struct{}{}
}

func (s *Server) remove(t *tunnel) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.open, t)
}

// Open returns the number of open tunnels.
func (s *Server) Open() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.open)
}

// Opened and Refused return how many tunnels were opened and refused since the start.
func (s *Server) Opened() int64 { return s.opened.Load() }

// Refused returns how many tunnels were refused since the start.
func (s *Server) Refused() int64 { return s.refused.Load() }

// Stop refuses new tunnels and returns the IP addresses of the routers that have tunnels, which should
// be notified to send no further request through them.
func (s *Server) Stop() (routers []string) {
	s.stopping.Store(true)
	s.mu.Lock()
	defer s.mu.Unlock()
	for t := range s.open {
		if !slices.Contains(routers, t.host) {
			routers = append(routers, t.host)
		}
	}
	return routers
}

// Close resets all tunnels.
func (s *Server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for t := range s.open {
		t.end(t.routerTCP, net.ErrClosed)
	}
}

// Busy returns the number of tunnels that may carry a request.
func (s *Server) Busy() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n, now := 0, clock.Now()
	for t := range s.open {
		if t.busy(now) {
			n++
		}
	}
	return n
}

// tunnel is an open tunnel.
type tunnel struct {
	router, server       net.Conn
	routerTCP, serverTCP *sockets.TCPConn
	// host is the IP address of the other router.
	host string
	// lastAt is when bytes last passed, in ns since epoch; it is negative if the server sent them.
	lastAt atomic.Int64
	// closing is set once the server has closed its connection in an orderly way.
	closing atomic.Bool
	closed  sync.Once
}

// epoch is the origin of times that are stored as integers.
var epoch = clock.Now().Add(-time.Second)

// newTunnel returns a tunnel whose ends are reset when it ends unless end is called, also if this
// process is killed; nil if a connection is closed or not a sockets.TCPConn.
func newTunnel(router, server net.Conn, host string) *tunnel {
	routerTCP, ok := sockets.As[*sockets.TCPConn](router)
	serverTCP, serverOK := sockets.As[*sockets.TCPConn](server)
	if !ok || !serverOK || routerTCP.SetLinger(0) != nil || serverTCP.SetLinger(0) != nil {
		return nil
	}
	t := &tunnel{router: router, server: server, routerTCP: routerTCP, serverTCP: serverTCP, host: host}
	if raw, err := routerTCP.SyscallConn(); err == nil {
		_ = sockets.SetUserTimeout(raw, deadTimeout) // fails only on a closed connection
	}
	t.lastAt.Store(int64(clock.Now().Sub(epoch)))
	return t
}

// run copies both directions until one ends.
func (t *tunnel) run() {
	done := make(chan struct{})
	go func() {
		defer close(done)
		if err := t.copy(t.server, t.router, 1); !t.serverClosed(err) {
			t.end(t.serverTCP, err)
		}
	}()
	err := t.copy(t.router, t.server, -1)
	if err == nil {
		t.passOnClose()
	}
	t.end(t.routerTCP, err)
	<-done
}

// serverClosed reports whether the copy to the server ended since the server closed its connection in an orderly way.
// The copy from the server then ends the tunnel.
func (t *tunnel) serverClosed(err error) bool {
	return errors.Is(err, syscall.EPIPE) || err != nil && t.closing.Load()
}

// passOnClose passes an orderly close of the server on to the first router, and waits until that router has closed
// the connection: closing one on which unread bytes of a request arrive resets it, and the end of the response is lost.
func (t *tunnel) passOnClose() {
	t.closing.Store(true)
	_ = t.server.Close()
	_ = t.routerTCP.CloseWrite() // fails only on a closed connection, like the two calls below
	_ = t.router.SetReadDeadline(time.Now().Add(deadTimeout))
	_, _ = io.Copy(io.Discard, t.router)
}

// copy copies one direction. It returns nil if the source was closed in an orderly way.
func (t *tunnel) copy(to, from net.Conn, sign int64) error {
	buf := make([]byte, copyBuffer)
	for {
		n, err := from.Read(buf)
		if n > 0 {
			t.lastAt.Store(sign * int64(clock.Now().Sub(epoch)))
			if _, err := to.Write(buf[:n]); err != nil {
				return err
			}
		}
		switch {
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return err
		}
	}
}

// end closes both connections: the receiving one in an orderly way if the other was, the rest by a
// reset.
func (t *tunnel) end(receiver *sockets.TCPConn, err error) {
	t.closed.Do(func() {
		if err == nil {
			_ = receiver.SetLinger(-1) // fails only on a closed connection
		}
		_ = t.router.Close()
		_ = t.server.Close()
	})
}

// busy reports whether the tunnel may carry a request.
func (t *tunnel) busy(now time.Time) bool {
	last := t.lastAt.Load()
	if last > 0 {
		return true
	}
	return now.Sub(epoch)-time.Duration(-last) < idleTime
}
