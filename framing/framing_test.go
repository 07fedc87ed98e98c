package framing_test

import (
	"bufio"
	"net/http"
	"strings"
	"testing"

	"github.com/gaplink/gaplink/framing"
)

func TestProved(t *testing.T) {
	cases := []struct {
		name, method, head string
		want               bool
	}{
		{"length", "GET", "200 OK\r\nContent-Length: 1", true},
		{"chunks", "GET", "200 OK\r\nTransfer-Encoding: chunked", true},
		{"neither", "GET", "200 OK", false},
		{"neither, and the connection closes", "GET", "200 OK\r\nConnection: close", false},
		{"no body by status", "GET", "204 No Content", true},
		{"no body by method", "HEAD", "200 OK", true},
	}
	for _, k := range cases {
		resp, err := http.ReadResponse(bufio.NewReader(strings.NewReader("HTTP/1.1 "+k.head+"\r\n\r\n")), &http.Request{Method: k.method})
		if err != nil {
			t.Fatal(err)
		}
		if got := framing.Delimited(resp); got != k.want {
			t.Errorf("%s: %t", k.name, got)
		}
	}
}
