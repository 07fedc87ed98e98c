package peer_test

import (
	"context"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/gaplink/gaplink/lab/tcptest"
	"github.com/gaplink/gaplink/peer"
)

// message has the field types of real messages: numbers, flags, bytes and lists.
type message struct {
	Name  string
	Count int64
	Full  bool
	Value []byte
	List  []peer.Registration
}

func sample() message {
	return message{Name: "n", Count: 7, Full: true, Value: []byte("vvvv"), List: []peer.Registration{
		{Key: "servers/a", Version: 3, Value: []byte(`{"a":1}`)}, {Key: "servers/b", Version: 4, Deleted: true},
	}}
}

// echo serves a method that returns its request, and counts its calls.
func echo(t *testing.T, calls *atomic.Int64) (addr string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	m := peer.NewMux()
	peer.Handle(m, "echo", func(_ context.Context, req *message) (*message, error) {
		calls.Add(1)
		return req, nil
	})
	go func() { _ = peer.Serve(ctx, l, m) }()
	return l.Addr().String()
}

// truncatingProxy relays connections to target and closes both sides after the given
// number of bytes of the request or of the answer; a negative number means no limit.
type truncatingProxy struct {
	target           string
	request, answer  int64
	reqSeen, ansSeen atomic.Int64
}

func (c *truncatingProxy) listen(t *testing.T) (addr string) {
	t.Helper()
	return tcptest.Listen(t, func(conn net.Conn, _ int) { c.relay(conn) })
}

func (c *truncatingProxy) relay(conn net.Conn) {
	server, err := net.Dial("tcp", c.target)
	if err != nil {
		_ = conn.Close()
		return
	}
	closeBoth := func() {
		_ = conn.Close()
		_ = server.Close()
	}
	go func() {
		c.copy(server, conn, c.request, &c.reqSeen)
		closeBoth()
	}()
	c.copy(conn, server, c.answer, &c.ansSeen)
	closeBoth()
}

func (c *truncatingProxy) copy(to io.Writer, from io.Reader, limit int64, seen *atomic.Int64) {
	if limit >= 0 {
		from = io.LimitReader(from, limit)
	}
	n, _ := io.Copy(to, from)
	seen.Add(n)
}

func callThroughProxy(t *testing.T, c *truncatingProxy) (*message, error) {
	t.Helper()
	client := peer.NewClient(peer.Options{DialTimeout: time.Second})
	defer func() { _ = client.Close() }()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	req := sample()
	return peer.Call[message, message](ctx, client, c.listen(t), "echo", &req)
}

// TestTruncatedMessagesAreErrors truncates the request and the response of a call at each
// byte: no handler may receive a partial request, and no call may return a partial
// response.
func TestTruncatedMessagesAreErrors(t *testing.T) {
	var calls atomic.Int64
	target := echo(t, &calls)
	encoded, err := peer.Marshal(sample())
	if err != nil {
		t.Fatal(err)
	}
	if got, err := callThroughProxy(t, &truncatingProxy{target: target, request: -1, answer: -1}); err != nil || len(got.List) != 2 {
		t.Fatalf("not truncated: %+v, %v", got, err)
	}
	calls.Store(0)
	size := int64(len(encoded)) // without the frame header
	for n := range size {
		if got, err := callThroughProxy(t, &truncatingProxy{target: target, request: n, answer: -1}); err == nil {
			t.Errorf("request truncated at byte %d: %+v", n, got)
		}
	}
	if calls.Load() != 0 {
		t.Errorf("%d handlers received a partial request", calls.Load())
	}
	for n := range size {
		if got, err := callThroughProxy(t, &truncatingProxy{target: target, request: -1, answer: n}); err == nil {
			t.Errorf("response truncated at byte %d: %+v", n, got)
		}
	}
}

// TestMessagesWithOtherFieldsAreErrors checks that a message with fewer or more fields
// than expected is an error and not decoded with fields of value 0.
func TestMessagesWithOtherFieldsAreErrors(t *testing.T) {
	type shorter struct {
		Name  string
		Count int64
	}
	var calls atomic.Int64
	client := peer.NewClient(peer.Options{DialTimeout: time.Second})
	t.Cleanup(func() { _ = client.Close() })
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	if got, err := peer.Call[shorter, message](ctx, client, echo(t, &calls), "echo", &shorter{Name: "n"}); err == nil || calls.Load() != 0 {
		t.Errorf("request with missing fields: got %+v after %d calls", got, calls.Load())
	}
	if got, err := peer.Call[message, shorter](ctx, client, echo(t, &calls), "echo", &message{}); err == nil {
		t.Errorf("response with additional fields: got %+v", got)
	}
}

// TestUnpooledClientKeepsNoConnection checks that an unpooled client closes each
// connection after its call, and that a client with a pool reuses the first connection.
func TestUnpooledClientKeepsNoConnection(t *testing.T) {
	for name, c := range map[string]struct {
		client *peer.Client
		opened int64
	}{
		"greeter": {peer.NewUnpooledClient(peer.Options{DialTimeout: time.Second}), 3},
		"client":  {peer.NewClient(peer.Options{DialTimeout: time.Second}), 1},
	} {
		var calls, opened, ended atomic.Int64
		target := echo(t, &calls)
		addr := tcptest.Listen(t, func(conn net.Conn, _ int) {
			opened.Add(1)
			defer ended.Add(1)
			proxy := &truncatingProxy{target: target, request: -1, answer: -1}
			proxy.relay(conn)
		})
		for range 3 {
			if _, err := peer.Call[message, message](t.Context(), c.client, addr, "echo", &message{Name: "n"}); err != nil {
				t.Fatalf("%s: %v", name, err)
			}
		}
		for range 200 {
			if opened.Load()-ended.Load() == opened.Load()%3 {
				break
			}
			time.Sleep(5 * time.Millisecond)
		}
		if opened.Load() != c.opened || opened.Load()-ended.Load() != c.opened%3 {
			t.Errorf("%s: %d connections opened, %d still open", name, opened.Load(), opened.Load()-ended.Load())
		}
	}
}
