package httpstore_test

import (
	"bytes"
	"compress/gzip"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"github.com/gaplink/gaplink/lab/tcptest"
	"github.com/gaplink/gaplink/store"
	"github.com/gaplink/gaplink/store/httpstore"
)

// newClientOf returns a client of a server that writes answer on each connection and
// closes it.
func newClientOf(t *testing.T, answer string) *httpstore.Client {
	t.Helper()
	addr := tcptest.Listen(t, func(c net.Conn, _ int) { tcptest.AnswerOnce(c, answer) })
	return httpstore.New("http://"+addr, time.Second)
}

const head = "HTTP/1.1 200 OK\r\nConnection: close\r\n" + httpstore.VersionHeader + ": 5\r\n"

func withContentLength(body string) string {
	return fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(body), body)
}

func gzipped(body string) string {
	var b bytes.Buffer
	w := gzip.NewWriter(&b)
	_, _ = io.WriteString(w, body)
	_ = w.Close()
	return b.String()
}

// TestTruncatedValueIsRejected checks that a value counts only if the HTTP framing
// shows its end. A body with neither Content-Length nor chunked encoding was accepted
// as complete when the connection closed.
func TestTruncatedValueIsRejected(t *testing.T) {
	for name, c := range map[string]struct {
		answer string
		ok     bool
	}{
		"length":           {withContentLength("value"), true},
		"empty, by length": {withContentLength(""), true},
		"last chunk":       {head + "Transfer-Encoding: chunked\r\n\r\n5\r\nvalue\r\n0\r\n\r\n", true},
		"length, cut":      {head + "Content-Length: 5\r\n\r\nval", false},
		"no last chunk":    {head + "Transfer-Encoding: chunked\r\n\r\n5\r\nvalue\r\n", false},
		"gzip":             {head + "Content-Encoding: gzip\r\n\r\n" + gzipped("value"), true},
		"gzip, cut":        {head + "Content-Encoding: gzip\r\n\r\n" + gzipped("value")[:len(gzipped("value"))-1], false},
		"unframed":         {head + "\r\nvalue", false},
		"unframed, empty":  {head + "\r\n", false},
	} {
		t.Run(name, func(t *testing.T) {
			o, err := newClientOf(t, c.answer).Get(context.Background(), "k/a")
			if c.ok != (err == nil) || !c.ok && !errors.Is(err, store.ErrUnknown) {
				t.Fatalf("%q, %v", o.Value, err)
			}
		})
	}
}

// TestIncompleteListIsRejected checks that lists and watches count only if they are
// complete. A response without a revision was taken for an empty list or a watch without
// changes, and a null instance list for an empty one. Data after the first JSON value
// was not read, and neither was the end of the body.
func TestIncompleteListIsRejected(t *testing.T) {
	const list, instances = `{"objects":[],"revision":4}`, `[{"id":"r1"}]`
	ctx := context.Background()
	calls := map[string]func(*httpstore.Client) error{
		"list":      func(c *httpstore.Client) error { _, _, err := c.List(ctx, "k/"); return err },
		"watch":     func(c *httpstore.Client) error { _, err := c.Watch(ctx, "k/", 3, time.Millisecond); return err },
		"instances": func(c *httpstore.Client) error { _, err := c.Instances(ctx); return err },
	}
	complete := map[string]string{"list": list, "watch": list, "instances": instances}
	for name, call := range calls {
		body := complete[name]
		if err := call(newClientOf(t, withContentLength(body))); err != nil {
			t.Errorf("%s, whole: %v", name, err)
		}
		incomplete := []string{withContentLength(`{}`), withContentLength(`null`), withContentLength(body + "x"),
			fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(body)+9, body),
			fmt.Sprintf("%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", head, len(body), body)}
		for n := range len(body) {
			incomplete = append(incomplete, head+"\r\n"+body[:n])
		}
		for _, answer := range incomplete {
			if err := call(newClientOf(t, answer)); !errors.Is(err, store.ErrUnknown) {
				t.Errorf("%s, %q: %v", name, answer[len(head):], err)
			}
		}
	}
	if err := calls["list"](newClientOf(t, withContentLength(`{"gap":true}`))); !errors.Is(err, store.ErrUnknown) {
		t.Errorf("a list with a gap: %v", err)
	}
	if err := calls["watch"](newClientOf(t, withContentLength(`{"gap":true}`))); err != nil {
		t.Errorf("a gap needs no revision: %v", err)
	}
}
