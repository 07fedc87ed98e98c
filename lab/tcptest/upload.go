package tcptest

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"
)

// UploadBytes is the size of a request body that is still being written when a server answers early: it exceeds the
// buffers of the kernel on both sides.
const UploadBytes = 4 << 20

// UploadReading is how much of a request's body an early server reads.
type UploadReading string

// Ways of reading a request's body.
const (
	ReadsNothing UploadReading = "reads nothing"
	ReadsHalf    UploadReading = "reads half"
	ReadsSlowly  UploadReading = "reads slowly"
)

// UploadEnding is how an early server ends its connection.
type UploadEnding string

// Ways of ending a connection.
const (
	EndsByReset     UploadEnding = "reset"
	EndsByHalfClose UploadEnding = "half-close"
	// EndsByHalfCloseAndReset resets the connection after its orderly close.
	EndsByHalfCloseAndReset UploadEnding = "half-close, then reset"
)

// EarlyServer answers each request at once and ends the connection while the request's body is still being written.
type EarlyServer struct {
	Reading UploadReading
	Ending  UploadEnding
	// After is the time between the answer and the end of the connection.
	After time.Duration
	// Answer returns the bytes of the answer to a request.
	Answer func(*http.Request) string
}

// String names the server in tests.
func (s EarlyServer) String() string {
	return fmt.Sprintf("%s, %s after %s", s.Reading, s.Ending, s.After)
}

// EarlyServers returns servers with each way of reading and each delay of the given ending.
func EarlyServers(ending UploadEnding, answer func(*http.Request) string) (all []EarlyServer) {
	for _, reading := range []UploadReading{ReadsNothing, ReadsHalf, ReadsSlowly} {
		for _, after := range []time.Duration{0, time.Millisecond, 20 * time.Millisecond, 200 * time.Millisecond} {
			all = append(all, EarlyServer{Reading: reading, Ending: ending, After: after, Answer: answer})
		}
	}
	return all
}

// Serve serves one connection.
func (s EarlyServer) Serve(conn net.Conn) {
	c := conn.(*net.TCPConn)
	defer func() { _ = c.Close() }()
	r, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return // shows up at the client under test
	}
	switch s.Reading {
	case ReadsHalf:
		_, _ = io.CopyN(io.Discard, r.Body, UploadBytes/2) // likewise
	case ReadsSlowly:
		go readSlowly(r.Body)
	}
	_, _ = io.WriteString(c, s.Answer(r)) // likewise
	time.Sleep(s.After)
	if s.Ending == EndsByReset {
		_ = c.SetLinger(0)
		return
	}
	_ = c.CloseWrite()
	if s.Ending == EndsByHalfCloseAndReset {
		_ = c.SetLinger(0)
		return
	}
	_, _ = io.Copy(io.Discard, c)
}

// readSlowly reads a part of a body each millisecond until the connection ends.
func readSlowly(body io.Reader) {
	for {
		if _, err := io.CopyN(io.Discard, body, 4<<10); err != nil {
			return
		}
		time.Sleep(time.Millisecond)
	}
}

// concurrentTries is how many tries of Count run concurrently.
const concurrentTries = 6

// Count returns how many of a number of tries succeed.
func Count(t testing.TB, tries int, try func() bool) (succeeded int) {
	t.Helper()
	var mu sync.Mutex
	var running sync.WaitGroup
	slots := make(chan struct{}, concurrentTries)
	for range tries {
		slots <- struct{}{}
		running.Go(func() {
			defer func() { <-slots }()
			if try() {
				mu.Lock()
				defer mu.Unlock()
				succeeded++
			}
		})
	}
	running.Wait()
	return succeeded
}
