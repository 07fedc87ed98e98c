package tcptest

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
)

const (
	malformedBody   = "12345"
	malformedLength = "Content-Length: 5\r\n"
)

// malformedStatuses, malformedVersions and malformedLines are parts of response heads that HTTP does not allow.
var (
	malformedStatuses = []string{"000", "001", "020", "099", "101", "600", "999", "+20", "-00", "20", "2000", "abc", "", "2 0"}
	malformedVersions = []string{"HTTP/0.9", "HTTP/1.2", "HTTP/2.0", "HTTP/3.7", "HTTP/1.10", "HTTP/01.1", "http/1.1", "ICY"}
	malformedLines    = map[string]string{
		"blank before the colon of a length": "Content-Length : 5\r\n",
		"blank before the colon of chunks":   "Transfer-Encoding : chunked\r\n",
		"blank in a name":                    "X Y: v\r\n" + malformedLength,
		"tab in a name":                      "X\tY: v\r\n" + malformedLength,
		"control byte in a name":             "X\x01Y: v\r\n" + malformedLength,
		"NUL in a name":                      "X\x00Y: v\r\n" + malformedLength,
		"separator in a name":                "X(Y): v\r\n" + malformedLength,
		"byte beyond ASCII in a name":        "X\xe9: v\r\n" + malformedLength,
		"no name":                            ": v\r\n" + malformedLength,
		"no colon":                           "XY\r\n" + malformedLength,
		"control byte in a value":            "X: a\x01b\r\n" + malformedLength,
		"NUL in a value":                     "X: a\x00b\r\n" + malformedLength,
		"two lengths":                        "Content-Length: 5\r\nContent-Length: 4\r\n",
		"signed length":                      "Content-Length: +5\r\n",
		"negative length":                    "Content-Length: -5\r\n",
		"hexadecimal length":                 "Content-Length: 0x5\r\n",
		"unknown transfer coding":            "Transfer-Encoding: gzip\r\n",
		"transfer coding after chunks":       "Transfer-Encoding: chunked, identity\r\n",
	}
)

// MalformedResponses returns by name HTTP responses whose heads HTTP does not allow. Each has the given header lines.
func MalformedResponses(fields string) map[string]string {
	const line, end = "HTTP/1.1 200 OK\r\n", "\r\n" + malformedBody
	responses := map[string]string{
		"status 000 without a body":  "HTTP/1.1 000 None\r\n" + fields + "Content-Length: 0\r\n\r\n",
		"status 004 without a body":  "HTTP/1.1 004 No Content\r\n" + fields + "\r\n",
		"version HTTP/0.9, chunks":   "HTTP/0.9 200 OK\r\n" + fields + "Transfer-Encoding: chunked\r\n\r\n5\r\n" + malformedBody + "\r\n0\r\n\r\n",
		"HTTP/1.0, blank in a name":  "HTTP/1.0 200 OK\r\n" + fields + "X Y: v\r\n" + malformedLength + end,
		"HTTP/1.0 with status 000":   "HTTP/1.0 000 None\r\n" + fields + malformedLength + end,
		"blank in a name, no body":   "HTTP/1.1 200 OK\r\n" + fields + "X Y: v\r\nContent-Length: 0\r\n\r\n",
		"tab after the status":       "HTTP/1.1 200\tOK\r\n" + fields + malformedLength + end,
		"tab after the version":      "HTTP/1.1\t200 OK\r\n" + fields + malformedLength + end,
		"blank line before the head": "\r\n" + line + fields + malformedLength + end,
	}
	for _, status := range malformedStatuses {
		responses["status "+status] = "HTTP/1.1 " + status + " OK\r\n" + fields + malformedLength + end
	}
	for _, version := range malformedVersions {
		responses["version "+version] = version + " 200 OK\r\n" + fields + malformedLength + end
	}
	for name, lines := range malformedLines {
		responses[name] = line + fields + lines + end
	}
	return responses
}

// ListenAnswering starts a server that reads a request of each connection, writes the answer to it and keeps the
// connection open. It returns the address.
func ListenAnswering(t testing.TB, answer func(*http.Request) string) string {
	t.Helper()
	return Listen(t, func(c net.Conn, _ int) {
		defer func() { _ = c.Close() }()
		r, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return // shows up at the client under test, like the errors below
		}
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = io.WriteString(c, answer(r))
		_, _ = io.Copy(io.Discard, c)
	})
}
