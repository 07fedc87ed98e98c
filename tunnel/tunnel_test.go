package tunnel_test

import (
	"context"
	"errors"
	"io"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/gaplink/gaplink/peer"
	"github.com/gaplink/gaplink/placement"
	"github.com/gaplink/gaplink/sockets"
	"github.com/gaplink/gaplink/tunnel"
)

// bench is a router that provides tunnels to one server.
type bench struct {
	server *tunnel.Server
	addr   string
	target placement.Server
}

// newBench starts a router, with changed options, and a server that handles each connection.
func newBench(t *testing.T, handle func(*net.TCPConn), change func(*tunnel.Options)) *bench {
	t.Helper()
	servers := listen(t)
	go serve(servers, func(c net.Conn) { handle(c.(*net.TCPConn)) })
	b := &bench{target: placement.Server{ID: "s1", Started: 7, Address: servers.Addr().String()}}
	o := tunnel.Options{
		IsRouter: func(string) bool { return true },
		Admit:    func(placement.Incarnation) (placement.Server, error) { return b.target, nil },
		Dial: func(ctx context.Context, s placement.Server) (net.Conn, error) {
			c, err := (&net.Dialer{Timeout: time.Second}).DialContext(ctx, "tcp", s.Address)
			return sockets.NewTCPConn(c), err
		},
		Reserve: func() (func(), bool) { return func() {}, true },
		Detach:  func(net.Conn) {},
		Log:     zap.NewNop(),
	}
	change(&o)
	b.server = tunnel.NewServer(o)
	router := listen(t)
	l := tunnel.NewListener(sockets.TCPListener(router), b.server.Serve)
	t.Cleanup(func() { _ = l.Close() })
	go serve(l, func(c net.Conn) { _ = c.Close() })
	b.addr = router.Addr().String()
	return b
}

func listen(t *testing.T) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	return l
}

func serve(l net.Listener, handle func(net.Conn)) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go handle(c)
	}
}

func (b *bench) open(t testing.TB) (*sockets.TCPConn, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	c, _, err := tunnel.Open(ctx, &net.Dialer{}, "r2", b.addr, b.target)
	if err != nil {
		return nil, err
	}
	t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(3 * time.Second))
	return c.(*sockets.TCPConn), nil
}

func unchanged(*tunnel.Options) {}

// Guards against bytes that are lost or changed between two routers, in both directions and beyond all
// buffers.
func TestBytesCrossUnchanged(t *testing.T) {
	b := newBench(t, func(c *net.TCPConn) {
		_, _ = io.Copy(c, c)
		_ = c.Close()
	}, unchanged)
	c, err := b.open(t)
	if err != nil {
		t.Fatal(err)
	}
	sent := strings.Repeat("0123456789abcdef", 1<<16)
	go func() { _, _ = io.WriteString(c, sent) }()
	got := make([]byte, len(sent))
	if _, err := io.ReadFull(c, got); err != nil || string(got) != sent {
		t.Errorf("other bytes arrived: %v", err)
	}
}

// Guards against a response that only the end of its connection delimits and that looks complete
// although it is not.
func TestOnlyAnOrderlyEndOfTheServerIsPassedOnAsSuch(t *testing.T) {
	for name, c := range map[string]struct {
		end  func(*net.TCPConn)
		want error
	}{
		"the server closes": {func(c *net.TCPConn) { _ = c.Close() }, nil},
		"the server resets": {func(c *net.TCPConn) { _ = c.SetLinger(0); _ = c.Close() }, syscall.ECONNRESET},
	} {
		t.Run(name, func(t *testing.T) {
			b := newBench(t, func(conn *net.TCPConn) {
				_, _ = conn.Read(make([]byte, 1))
				_, _ = io.WriteString(conn, "part")
				time.Sleep(50 * time.Millisecond)
				c.end(conn)
			}, unchanged)
			conn, err := b.open(t)
			if err != nil {
				t.Fatal(err)
			}
			_, _ = io.WriteString(conn, "x")
			got, err := io.ReadAll(conn)
			if string(got) != "part" || !errors.Is(err, c.want) {
				t.Errorf("got %q, %v", got, err)
			}
		})
	}
}

// Guards against a server that goes on working for a caller that has gone: the reset of the first router
// must reach it.
func TestResetReachesTheServer(t *testing.T) {
	ended := make(chan error, 1)
	b := newBench(t, func(c *net.TCPConn) {
		_, err := io.Copy(io.Discard, c)
		ended <- err
	}, unchanged)
	c, err := b.open(t)
	if err != nil {
		t.Fatal(err)
	}
	_, _ = io.WriteString(c, "x")
	_ = c.SetLinger(0)
	_ = c.Close()
	select {
	case err := <-ended:
		if !errors.Is(err, syscall.ECONNRESET) {
			t.Errorf("the server saw %v", err)
		}
	case <-time.After(time.Second):
		t.Error("the server's connection stays open")
	}
}

// Guards against tunnels for others than registered routers, to other servers than registered ones, or
// beyond the room of a router, and against blaming a server for any of these.
func TestRefusals(t *testing.T) {
	refuse := tunnel.ErrNotReaching
	for name, change := range map[string]func(*tunnel.Options){
		"not a router": func(o *tunnel.Options) { o.IsRouter = func(string) bool { return false } },
		"server not reached": func(o *tunnel.Options) {
			o.Admit = func(placement.Incarnation) (placement.Server, error) { return placement.Server{}, refuse }
		},
		"no room": func(o *tunnel.Options) { o.Reserve = func() (func(), bool) { return nil, false } },
	} {
		t.Run(name, func(t *testing.T) {
			b := newBench(t, func(c *net.TCPConn) { t.Error("a connection reached the server") }, change)
			_, err := b.open(t)
			var own *tunnel.RouterError
			if !errors.As(err, &own) || b.server.Open() != 0 || b.server.Refused() != 1 {
				t.Errorf("got %v, %d open", err, b.server.Open())
			}
		})
	}
}

// Guards against a router that is blamed for a server which refuses connections.
func TestServerThatRefusesIsReportedAsSuch(t *testing.T) {
	b := newBench(t, func(*net.TCPConn) {}, unchanged)
	closed := listen(t)
	_ = closed.Close()
	b.target.Address = closed.Addr().String()
	_, err := b.open(t)
	var notReached *tunnel.ServerError
	if !errors.As(err, &notReached) || !notReached.Refused {
		t.Errorf("got %v", err)
	}
}

// Guards against a planned stop that cuts a request in a tunnel, or that never ends because of idle ones.
func TestStopRefusesNewTunnelsAndCountsBusyOnes(t *testing.T) {
	answer := make(chan struct{})
	b := newBench(t, func(c *net.TCPConn) {
		_, _ = c.Read(make([]byte, 8))
		<-answer
		_, _ = io.WriteString(c, "done")
		_, _ = io.Copy(io.Discard, c)
	}, unchanged)
	c, err := b.open(t)
	if err != nil {
		t.Fatal(err)
	}
	_, _ = io.WriteString(c, "request")
	if hosts := b.server.Stop(); len(hosts) != 1 || hosts[0] != "127.0.0.1" {
		t.Errorf("told %v", hosts)
	}
	if _, err := b.open(t); err == nil {
		t.Error("a stopping router opened a tunnel")
	}
	if b.server.Busy() != 1 {
		t.Error("a request is under way, and no tunnel is busy")
	}
	close(answer)
	if _, err := io.ReadFull(c, make([]byte, 4)); err != nil {
		t.Fatal(err)
	}
	deadline := time.Now().Add(3 * time.Second)
	for b.server.Busy() > 0 && time.Now().Before(deadline) {
		time.Sleep(20 * time.Millisecond)
	}
	if b.server.Busy() != 0 || b.server.Open() != 1 {
		t.Errorf("%d busy, %d open", b.server.Busy(), b.server.Open())
	}
}

// Guards against routers of two releases that hang on each other: one without tunnels must be passed over
// soon, and calls must work beside tunnels.
func TestRouterOfAnOlderReleaseAndCallsBesideTunnels(t *testing.T) {
	old := listen(t)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go func() { _ = peer.Serve(ctx, old, peer.NewMux()) }()
	try, cancelTry := context.WithTimeout(t.Context(), 400*time.Millisecond)
	defer cancelTry()
	_, _, err := tunnel.Open(try, &net.Dialer{}, "r2", old.Addr().String(), placement.Server{ID: "s", Address: "127.0.0.1:1"})
	var own *tunnel.RouterError
	if !errors.As(err, &own) {
		t.Errorf("got %v", err)
	}

	raw := listen(t)
	m := peer.NewMux()
	peer.Handle(m, "test.Echo", func(_ context.Context, req *peer.WhoAnswer) (*peer.WhoAnswer, error) { return req, nil })
	go func() { _ = peer.Serve(ctx, tunnel.NewListener(raw, func(c net.Conn) { _ = c.Close() }), m) }()
	client := peer.NewClient(peer.Options{DialTimeout: time.Second})
	defer func() { _ = client.Close() }()
	for range 3 {
		got, err := peer.Call[peer.WhoAnswer, peer.WhoAnswer](t.Context(), client, raw.Addr().String(), "test.Echo", &peer.WhoAnswer{Incarnation: "x"})
		if err != nil || got.Incarnation != "x" {
			t.Fatalf("got %v, %v", got, err)
		}
	}
}

// Guards against a process that ends because the opening of a tunnel is given up at the moment in which the
// other router closes the connection.
func TestOpeningThatIsGivenUpAsTheRouterCloses(t *testing.T) {
	router := listen(t)
	accepted := make(chan net.Conn)
	go serve(router, func(c net.Conn) { accepted <- c })
	for range 500 {
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan error)
		go func() {
			_, _, err := tunnel.Open(ctx, &net.Dialer{}, "r2", router.Addr().String(), placement.Server{ID: "s", Address: "127.0.0.1:1"})
			ended <- err
		}()
		c := <-accepted
		go cancel()
		_ = c.Close()
		if err := <-ended; err == nil {
			t.Fatal("a tunnel was opened")
		}
	}
}

// Guards against a router that is blamed, and not asked for a while, because a server has left.
func TestServerThatLeftIsReportedAsSuch(t *testing.T) {
	b := newBench(t, func(*net.TCPConn) { t.Error("a connection reached the server") }, func(o *tunnel.Options) {
		o.Admit = func(placement.Incarnation) (placement.Server, error) { return placement.Server{}, tunnel.ErrNotInUse }
	})
	_, err := b.open(t)
	var notReached *tunnel.ServerError
	if !errors.As(err, &notReached) || !notReached.NotInUse || notReached.Refused {
		t.Errorf("got %v", err)
	}
}
