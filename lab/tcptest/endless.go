package tcptest

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
)

const (
	// endlessBytes is how much an endless response sends at the most.
	endlessBytes = 64 << 20
	// kernelBuffers bounds what the kernel holds of a connection in bytes.
	kernelBuffers = 8 << 20
	// heapAllowance bounds the growth of the heap in bytes besides what the client may keep, and
	// bufferGrowth that of a buffer that is enlarged step by step, as a factor.
	heapAllowance = 8 << 20
	bufferGrowth  = 3
)

// EndlessResponse is a response that begins with Begin and goes on with More, again and again.
type EndlessResponse struct{ Begin, More string }

// EndlessHeads are HTTP responses whose heads do not end, by name.
var EndlessHeads = map[string]EndlessResponse{
	"header lines":             {"HTTP/1.1 200 OK\r\n", "X-Field: value\r\n"},
	"one header line":          {"HTTP/1.1 200 OK\r\nX-Field: ", "xxxxxxxxxxxxxxxx"},
	"continued header line":    {"HTTP/1.1 200 OK\r\nX-Field: a\r\n", " folded\r\n"},
	"one status line":          {"HTTP/1.1 200 ", "OK OK OK OK OK "},
	"no line end":              {"", "\x00\x01\x02\x03"},
	"empty lines":              {"", "\r\n"},
	"interim responses":        {"", "HTTP/1.1 100 Continue\r\n\r\n"},
	"interim response's lines": {"HTTP/1.1 103 Early Hints\r\n", "Link: </a>\r\n"},
	"HTTP/1.0 header lines":    {"HTTP/1.0 200 OK\r\n", "X-Field: value\r\n"},
}

// endlessChunk is a chunk of a body.
const endlessChunk = "10\r\naaaaaaaaaaaaaaaa\r\n"

// CheckEndlessResponses calls request with a server for each of EndlessHeads, and for a chunked body without end whose
// response has the given header lines. It fails if more of one is taken than may be kept in memory, in bytes.
func CheckEndlessResponses(t *testing.T, fields string, mayKeepHead, mayKeepBody int64, request func(t *testing.T, addr string)) {
	for name, c := range EndlessHeads {
		t.Run(name, func(t *testing.T) { checkEndless(t, c, mayKeepHead, request) })
	}
	body := EndlessResponse{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n" + fields + "\r\n", endlessChunk}
	t.Run("body", func(t *testing.T) { checkEndless(t, body, mayKeepBody, request) })
}

func checkEndless(t *testing.T, c EndlessResponse, mayKeep int64, request func(t *testing.T, addr string)) {
	e := ListenEndless(t, c.Begin, c.More)
	request(t, e.Addr)
	e.Check(t, mayKeep)
}

// Endless is a server whose responses don't end.
type Endless struct {
	Addr    string
	written atomic.Int64
	before  uint64
}

// ListenEndless starts a server that responds to each HTTP request with begin, and then with more again and again
// until its client closes the connection.
func ListenEndless(t testing.TB, begin, more string) *Endless {
	t.Helper()
	return listenEndless(t, begin, more, func(c net.Conn) error {
		r, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return err
		}
		_, err = io.Copy(io.Discard, r.Body)
		return err
	})
}

// ListenEndlessAtOnce is like ListenEndless for another protocol: its server waits for a first byte.
func ListenEndlessAtOnce(t testing.TB, begin, more string) *Endless {
	t.Helper()
	return listenEndless(t, begin, more, func(c net.Conn) error {
		_, err := c.Read(make([]byte, 1))
		return err
	})
}

// ListenEndlessUnasked is like ListenEndless for a server that sends without being asked.
func ListenEndlessUnasked(t testing.TB, begin, more string) *Endless {
	t.Helper()
	return listenEndless(t, begin, more, func(net.Conn) error { return nil })
}

func listenEndless(t testing.TB, begin, more string, awaitRequest func(net.Conn) error) *Endless {
	t.Helper()
	e := &Endless{}
	block := strings.Repeat(more, max((32<<10)/len(more), 1))
	e.Addr = Listen(t, func(c net.Conn, _ int) {
		defer func() { _ = c.Close() }()
		if err := awaitRequest(c); err != nil {
			return // shows up at the client under test
		}
		if _, err := io.WriteString(c, begin); err != nil {
			return
		}
		for e.written.Load() < endlessBytes {
			n, err := io.WriteString(c, block)
			e.written.Add(int64(n))
			if err != nil {
				return
			}
		}
	})
	e.before = heapInUse()
	return e
}

// Check fails the test if the client took more of a response than it may keep in memory, in bytes.
func (e *Endless) Check(t testing.TB, mayKeep int64) {
	t.Helper()
	grown := int64(heapInUse()) - int64(e.before)
	if n := e.written.Load(); n > mayKeep+kernelBuffers {
		t.Errorf("the client took %d MB", n>>20)
	}
	if grown > bufferGrowth*mayKeep+heapAllowance {
		t.Errorf("the heap grew by %d MB", grown>>20)
	}
}

// heapInUse returns the bytes of the heap, including those that are no longer referenced.
func heapInUse() uint64 {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapSys - m.HeapReleased
}
