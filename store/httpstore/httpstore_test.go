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

// rawStore answers one call a connection with these bytes and closes it.
func rawStore(t *testing.T, answer string) *httpstore.Client {
	t.Helper()
	addr := tcptest.Listen(t, func(c net.Conn, _ int) { tcptest.AnswerOnce(c, answer) })
	return httpstore.New("http://"+addr, time.Second)
}

const head = "HTTP/1.1 200 OK\r\nConnection: close\r\n" + httpstore.VersionHeader + ": 5\r\n"

func byLength(body string) string {
	return fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(body), body)
}

func zipped(body string) string {
	var b bytes.Buffer
	w := gzip.NewWriter(&b)
	_, _ = io.WriteString(w, body)
	_ = w.Close()
	return b.String()
}

// TestValueNeedsProofOfItsEnd: a value is the bare body, so that only HTTP's
// framing tells whether it is whole; one with neither a length nor chunks was
// taken as whole when the connection ended.
func TestValueNeedsProofOfItsEnd(t *testing.T) {
	for name, c := range map[string]struct {
		answer string
		ok     bool
	}{
		"length":           {byLength("value"), true},
		"empty, by length": {byLength(""), true},
		"last chunk":       {head + "Transfer-Encoding: chunked\r\n\r\n5\r\nvalue\r\n0\r\n\r\n", true},
		"length, cut":      {head + "Content-Length: 5\r\n\r\nval", false},
		"no last chunk":    {head + "Transfer-Encoding: chunked\r\n\r\n5\r\nvalue\r\n", false},
		"gzip":             {head + "Content-Encoding: gzip\r\n\r\n" + zipped("value"), true},
		"gzip, cut":        {head + "Content-Encoding: gzip\r\n\r\n" + zipped("value")[:len(zipped("value"))-1], false},
		"unframed":         {head + "\r\nvalue", false},
		"unframed, empty":  {head + "\r\n", false},
	} {
		t.Run(name, func(t *testing.T) {
			o, err := rawStore(t, c.answer).Get(context.Background(), "k/a")
			if c.ok != (err == nil) || !c.ok && !errors.Is(err, store.ErrUnknown) {
				t.Fatalf("%q, %v", o.Value, err)
			}
		})
	}
}

// TestListsNeedTheirEnd: answers without a revision were lists of nothing and
// watches without changes, a list of instances of null was one of no instance,
// and what followed the first JSON value was not read, nor whether its end came.
func TestListsNeedTheirEnd(t *testing.T) {
	const list, instances = `{"objects":[],"revision":4}`, `[{"id":"r1"}]`
	ctx := context.Background()
	calls := map[string]func(*httpstore.Client) error{
		"list":      func(c *httpstore.Client) error { _, _, err := c.List(ctx, "k/"); return err },
		"watch":     func(c *httpstore.Client) error { _, err := c.Watch(ctx, "k/", 3, time.Millisecond); return err },
		"instances": func(c *httpstore.Client) error { _, err := c.Instances(ctx); return err },
	}
	whole := map[string]string{"list": list, "watch": list, "instances": instances}
	for name, call := range calls {
		body := whole[name]
		if err := call(rawStore(t, byLength(body))); err != nil {
			t.Errorf("%s, whole: %v", name, err)
		}
		short := []string{byLength(`{}`), byLength(`null`), byLength(body + "x"),
			fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(body)+9, body),
			fmt.Sprintf("%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", head, len(body), body)}
		for n := range len(body) {
			short = append(short, head+"\r\n"+body[:n])
		}
		for _, answer := range short {
			if err := call(rawStore(t, answer)); !errors.Is(err, store.ErrUnknown) {
				t.Errorf("%s, %q: %v", name, answer[len(head):], err)
			}
		}
	}
	if err := calls["list"](rawStore(t, byLength(`{"gap":true}`))); !errors.Is(err, store.ErrUnknown) {
		t.Errorf("a list with a gap: %v", err)
	}
	if err := calls["watch"](rawStore(t, byLength(`{"gap":true}`))); err != nil {
		t.Errorf("a gap needs no revision: %v", err)
	}
}
