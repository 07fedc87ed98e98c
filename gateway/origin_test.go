package gateway_test

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"go.uber.org/zap"

	"github.com/gaplink/gaplink/controller/origins"
	"github.com/gaplink/gaplink/controller/registry"
	"github.com/gaplink/gaplink/gateway"
	"github.com/gaplink/gaplink/origin"
	"github.com/gaplink/gaplink/result"
	"github.com/gaplink/gaplink/store"
	"github.com/gaplink/gaplink/store/memory"
)

// newVersionedGateway returns a gateway with one server of each version, and the registrations of these.
func newVersionedGateway(t *testing.T, answer script, versions ...string) (*httptest.Server, *registry.Controller, []store.Object) {
	t.Helper()
	web, _, known := newRegisteredGateway(t, 0, 2, answer, func(*gateway.Options) {})
	entries := startListeners(t, len(versions), answer, &sync.Map{})
	for i, version := range versions {
		entries[i].Value = []byte(strings.Replace(string(entries[i].Value), `"Version":""`, `"Version":`+strconv.Quote(version), 1))
	}
	known.Listed(entries, 1)
	return web, known, entries
}

// Guards against a stream that is joined from the events of two software versions in one answer.
func TestBrokenStreamWaitsForNoOtherVersion(t *testing.T) {
	var runs atomic.Int64
	web, _, _ := newVersionedGateway(t, func(c *net.TCPConn, r *http.Request, n int) {
		runs.Add(1)
		if n == 1 {
			send(c, head(r, 200, chunkedField), chunk(events(1, 3)))
			return
		}
		send(c, head(r, 200, chunkedField), chunk(events(4, 6)), lastChunk)
	}, "v1", "v2")
	if got := post(t, web, "/stream/x"); got.claim != broken || got.body != events(1, 3) || runs.Load() != 1 {
		t.Errorf("%s answer after %d runs: %q", got.claim, runs.Load(), got.body)
	}
}

// Guards against a run that brings no event and binds its stream to the version of its server.
func TestRunWithoutEventsBindsNothing(t *testing.T) {
	web, _, _ := newVersionedGateway(t, func(c *net.TCPConn, r *http.Request, n int) {
		if n == 1 {
			send(c, head(r, 200, chunkedField))
			return
		}
		send(c, head(r, 200, chunkedField), chunk(events(1, 3)), lastChunk)
	}, "v1", "v2")
	if got := post(t, web, "/stream/x"); got.claim != complete || got.body != events(1, 3) {
		t.Errorf("%s answer: %q", got.claim, got.body)
	}
}

// Guards against a stream that is taken up at any version when nobody knows the one that began it, or when that one is
// no longer served: it is refused at once, as not run.
func TestStreamIsRefusedWithoutItsVersion(t *testing.T) {
	var runs atomic.Int64
	web, known, entries := newVersionedGateway(t, func(c *net.TCPConn, r *http.Request, n int) {
		if runs.Add(1); n == 1 {
			send(c, head(r, 200, chunkedField), chunk(events(1, 3)))
			return
		}
		send(c, head(r, 200, chunkedField), chunk(events(4, 6)), lastChunk)
	}, "v1", "v2")
	refused := func(name string, fields ...string) {
		t.Helper()
		before := runs.Load()
		got := call(t, web, "HTTP/1.1", http.MethodPost, "/stream/x", fields...)
		code := strconv.Itoa(int(result.VersionUnavailable))
		if got.status != http.StatusServiceUnavailable || got.header.Get("Gaplink-Code") != code || got.header.Get("Retry-After") == "" || runs.Load() != before {
			t.Errorf("%s: status %d, %v, %d runs", name, got.status, got.header, runs.Load()-before)
		}
	}
	refused("unknown", headerLastEvent+": 3", headerFirstTry+": never")
	refused("not named", headerLastEvent+": 3")
	post(t, web, "/stream/x") // r1 begins at one of the two
	took := call(t, web, "HTTP/1.1", http.MethodPost, "/stream/x", headerLastEvent+": 3", headerFirstTry+": r1")
	if took.claim != complete || took.body != events(4, 6) {
		t.Errorf("taken up: %s answer: %q", took.claim, took.body)
	}
	for _, gone := range entries {
		known.Changed([]store.Object{{Key: gone.Key, Version: 2, Deleted: true}})
	}
	refused("no server", headerLastEvent+": 3", headerFirstTry+": r1")
}

// Guards against a stream that goes on at a version that has come since it was taken up: that only one had served until then
// says which one began it.
func TestStreamOfTheSoleVersionStaysThere(t *testing.T) {
	var joined atomic.Int64
	var release func()
	var control *origins.Controller
	answer := func(c *net.TCPConn, r *http.Request, n int) {
		if n == 1 {
			release()
			send(c, head(r, 200, chunkedField)) // breaks off without an event
			return
		}
		joined.Add(1)
		send(c, head(r, 200, chunkedField), chunk(events(4, 6)), lastChunk)
	}
	web, _, known := newRegisteredGateway(t, 0, 2, answer, func(o *gateway.Options) {
		control = origins.New(origins.Options{Servers: o.Servers, Store: memory.New(), FirstStart: true, Log: zap.NewNop()})
		o.Origins = control
	})
	entries := startListeners(t, 2, answer, &sync.Map{})
	for i, version := range []string{"v1", "v2"} {
		entries[i].Value = []byte(strings.Replace(string(entries[i].Value), `"Version":""`, `"Version":`+strconv.Quote(version), 1))
	}
	release = func() {
		known.Listed(entries[1:], 2)
	}
	known.Listed(entries[:1], 1)
	first := control.Begin(origins.Stream{Tries: []string{"first"}}, origin.Version{Service: "svc", Name: "v1"}, 1)
	first.Bind(t.Context()) // until v1 is on record
	got := call(t, web, "HTTP/1.1", http.MethodPost, "/stream/x", headerLastEvent+": 3", headerFirstTry+": elsewhere")
	if joined.Load() != 0 {
		t.Errorf("a stream of v1 went on at v2: status %d, %q", got.status, got.body)
	}
}

// releasingStore is a store during whose first read release is called.
type releasingStore struct {
	store.Store
	release func()
	once    sync.Once
}

func (s *releasingStore) Get(ctx context.Context, key string) (store.Object, error) {
	o, err := s.Store.Get(ctx, key)
	s.once.Do(s.release)
	return o, err
}

// Guards against a stream that goes on at another version than the only one that had served when it was taken up: a
// server of a new version joins after that was found out, and before the request is sent to a server.
func TestStreamOfTheOnlyVersionStaysAtIt(t *testing.T) {
	for _, kept := range []bool{false, true} {
		record := &releasingStore{Store: memory.New()}
		if _, err := record.Create(t.Context(), origins.Kind+"/served", []byte(`{"versions": {"svc": ["v1"]}}`)); err != nil {
			t.Fatal(err)
		}
		var ran sync.Map
		answer := func(version string) script {
			return func(c *net.TCPConn, r *http.Request, _ int) {
				ran.Store(version, true)
				send(c, head(r, 200, chunkedField), chunk(events(4, 6)), lastChunk)
			}
		}
		web, _, known := newRegisteredGateway(t, 0, 2, answer(""), func(o *gateway.Options) {
			o.Origins = origins.New(origins.Options{Servers: o.Servers, Store: record, Log: zap.NewNop()})
		})
		first, second := versionedServer(t, "v1", answer("v1")), versionedServer(t, "v2", answer("v2"))
		second.Key, second.Version = "servers/second", 2
		known.Listed([]store.Object{first}, 1)
		record.release = func() {
			known.Changed([]store.Object{second, {Key: first.Key, Version: 3, Deleted: !kept, Value: first.Value}})
		}
		got := call(t, web, "HTTP/1.1", http.MethodPost, "/stream/x", headerLastEvent+": 3", headerFirstTry+": before")
		if _, joined := ran.Load("v2"); joined {
			t.Errorf("the stream goes on at the new version; servers of the old one are kept: %t", kept)
		}
		if want := map[bool]int{false: http.StatusServiceUnavailable, true: http.StatusOK}[kept]; got.status != want {
			t.Errorf("status %d, wanted %d; servers of the old version are kept: %t", got.status, want, kept)
		}
	}
}

// versionedServer starts a server of a version.
func versionedServer(t *testing.T, version string, answer script) store.Object {
	t.Helper()
	entry := startListeners(t, 1, answer, &sync.Map{})[0]
	entry.Value = []byte(strings.Replace(string(entry.Value), `"Version":""`, `"Version":`+strconv.Quote(version), 1))
	return entry
}
