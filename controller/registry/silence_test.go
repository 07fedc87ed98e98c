package registry_test

import (
	"encoding/json"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/gaplink/gaplink/controller/registry"
	"github.com/gaplink/gaplink/lab/tcptest"
	"github.com/gaplink/gaplink/placement"
	"github.com/gaplink/gaplink/retry"
	"github.com/gaplink/gaplink/store"
	"github.com/gaplink/gaplink/upstream"
)

// answeredAttempts records what a registry tells of attempts.
type answeredAttempts struct {
	mu             sync.Mutex
	answered, gone []string
}

// Answered implements registry.Attempts.
func (a *answeredAttempts) Answered(_ time.Time, path retry.Path, _ time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.answered = append(a.answered, path.Server.ID+path.Router)
}

// Gone implements registry.Attempts.
func (a *answeredAttempts) Gone(in placement.Incarnation) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.gone = append(a.gone, in.ID)
}

func (a *answeredAttempts) String() string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return strings.Join(a.answered, ",") + "; gone " + strings.Join(a.gone, ",")
}

// TestFrozenServerIsFoundAndReturns guards against requests and retries that pile up at a server that is frozen, against a slow
// server that is taken for one, and against attempts that occupy the retry budget after their server has gone on.
func TestFrozenServerIsFoundAndReturns(t *testing.T) {
	var frozen atomic.Bool
	frozen.Store(true)
	address := tcptest.Listen(t, func(c net.Conn, _ int) {
		for frozen.Load() {
			time.Sleep(10 * time.Millisecond)
		}
		tcptest.AnswerOnce(c, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
	})
	core, lines := observer.New(zap.InfoLevel)
	c := registry.New(decode, upstream.New(upstream.Options{DialTimeout: time.Second}), rand.New(rand.NewPCG(1, 1)), zap.New(core))
	var attempts answeredAttempts
	c.SetAttempts(&attempts)
	c.SetHealthPath(func(string) string { return "/health" })
	value, _ := json.Marshal(placement.Server{Service: "svc", Address: address}) // plain fields always encode
	c.Listed([]store.Object{{Key: "servers/a", Version: 1, Value: value}}, newest)
	go c.Run(t.Context())

	s, ok := c.Pick(placement.Query{Service: "svc"})
	if !ok {
		t.Fatal("no server")
	}
	c.Sending(s.Incarnation())
	await(t, "the server is silent", func() bool { return lines.FilterMessage("server silent").Len() == 1 })
	if _, ok := c.Pick(placement.Query{Service: "svc"}); ok {
		t.Error("a second request goes to a silent server")
	}
	if c.WasHeard(s.Incarnation()) || attempts.String() != "; gone " {
		t.Errorf("heard: %t; %s", c.WasHeard(s.Incarnation()), &attempts)
	}
	frozen.Store(false)
	await(t, "the server responds again", func() bool { return lines.FilterMessage("server responds again").Len() == 1 })
	await(t, "its attempts are settled", func() bool { return attempts.String() == "a; gone " })
	if _, ok := c.Pick(placement.Query{Service: "svc", Retry: true, OnlyHeard: true}); !ok {
		t.Error("no retry goes to a server that responds again")
	}
	c.Crashed(s.Incarnation())
	if attempts.String() != "a; gone a" {
		t.Errorf("after its process ended: %s", &attempts)
	}
}

// TestServerThatAnswersItsCheckIsNotSilent guards against a slow server that is starved.
func TestServerThatAnswersItsCheckIsNotSilent(t *testing.T) {
	var checks atomic.Int64
	address := tcptest.Listen(t, func(c net.Conn, _ int) {
		checks.Add(1)
		tcptest.AnswerOnce(c, "HTTP/1.1 "+http.StatusText(http.StatusOK)+"\r\n\r\n")
	})
	core, lines := observer.New(zap.InfoLevel)
	c := registry.New(decode, upstream.New(upstream.Options{DialTimeout: time.Second}), rand.New(rand.NewPCG(1, 1)), zap.New(core))
	c.SetAttempts(&answeredAttempts{})
	c.SetHealthPath(func(string) string { return "" })
	value, _ := json.Marshal(placement.Server{Service: "svc", Address: address}) // plain fields always encode
	c.Listed([]store.Object{{Key: "servers/a", Version: 1, Value: value}}, newest)
	go c.Run(t.Context())
	for range 3 {
		s, ok := c.Pick(placement.Query{Service: "svc"})
		if !ok {
			t.Fatal("no server")
		}
		before := checks.Load()
		await(t, "a check", func() bool {
			c.Sending(s.Incarnation()) // the answer to the check before may come only now
			return checks.Load() > before
		})
	}
	if n := lines.FilterMessage("server silent").Len(); n > 0 {
		t.Errorf("%d times silent", n)
	}
}

// await waits until a condition holds.
func await(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); !holds(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("not within 10 s: %s", what)
		}
	}
}
