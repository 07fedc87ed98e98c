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

// message has what real messages have: numbers, flags, bytes and lists.
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

// echo serves a method that gives the sample back, and counts its calls.
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

// cutter relays connections to target and closes both sides after so many bytes
// of the request or of the answer; a negative number cuts nothing.
type cutter struct {
	target           string
	request, answer  int64
	reqSeen, ansSeen atomic.Int64
}

func (c *cutter) listen(t *testing.T) (addr string) {
	t.Helper()
	return tcptest.Listen(t, func(conn net.Conn, _ int) { c.relay(conn) })
}

func (c *cutter) relay(conn net.Conn) {
	onward, err := net.Dial("tcp", c.target)
	if err != nil {
		_ = conn.Close()
		return
	}
	closeBoth := func() {
		_ = conn.Close()
		_ = onward.Close()
	}
	go func() {
		c.copy(onward, conn, c.request, &c.reqSeen)
		closeBoth()
	}()
	c.copy(conn, onward, c.answer, &c.ansSeen)
	closeBoth()
}

func (c *cutter) copy(to io.Writer, from io.Reader, limit int64, seen *atomic.Int64) {
	if limit >= 0 {
		from = io.LimitReader(from, limit)
	}
	n, _ := io.Copy(to, from)
	seen.Add(n)
}

func callThrough(t *testing.T, c *cutter) (*message, error) {
	t.Helper()
	client := peer.NewClient(peer.Options{DialTimeout: time.Second})
	defer func() { _ = client.Close() }()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	req := sample()
	return peer.Call[message, message](ctx, client, c.listen(t), "echo", &req)
}

// TestCutMessagesAreErrors cuts the request and the answer of a call at each
// byte: no handler sees a part of a message, and no caller takes one.
func TestCutMessagesAreErrors(t *testing.T) {
	var calls atomic.Int64
	target := echo(t, &calls)
	whole, err := peer.Marshal(sample())
	if err != nil {
		t.Fatal(err)
	}
	if got, err := callThrough(t, &cutter{target: target, request: -1, answer: -1}); err != nil || len(got.List) != 2 {
		t.Fatalf("uncut: %+v, %v", got, err)
	}
	calls.Store(0)
	size := int64(len(whole)) // a frame adds a head to it
	for n := range size {
		if got, err := callThrough(t, &cutter{target: target, request: n, answer: -1}); err == nil {
			t.Errorf("request cut at %d: %+v", n, got)
		}
	}
	if calls.Load() != 0 {
		t.Errorf("%d handlers saw a part of a request", calls.Load())
	}
	for n := range size {
		if got, err := callThrough(t, &cutter{target: target, request: -1, answer: n}); err == nil {
			t.Errorf("answer cut at %d: %+v", n, got)
		}
	}
}

// TestMessagesOfOtherFieldsAreErrors: a message with fewer or more fields than
// are known is no message with fields of 0.
func TestMessagesOfOtherFieldsAreErrors(t *testing.T) {
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
		t.Errorf("%+v after %d calls", got, calls.Load())
	}
	if got, err := peer.Call[message, shorter](ctx, client, echo(t, &calls), "echo", &message{}); err == nil {
		t.Errorf("answer: %+v", got)
	}
}

// TestGreeterKeepsNoConnection: the server sees each connection end after its call,
// and a client that keeps them uses the first one again.
func TestGreeterKeepsNoConnection(t *testing.T) {
	for name, c := range map[string]struct {
		client *peer.Client
		opened int64
	}{
		"greeter": {peer.NewGreeter(peer.Options{DialTimeout: time.Second}), 3},
		"client":  {peer.NewClient(peer.Options{DialTimeout: time.Second}), 1},
	} {
		var calls, opened, ended atomic.Int64
		target := echo(t, &calls)
		addr := tcptest.Listen(t, func(conn net.Conn, _ int) {
			opened.Add(1)
			defer ended.Add(1)
			whole := &cutter{target: target, request: -1, answer: -1}
			whole.relay(conn)
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
