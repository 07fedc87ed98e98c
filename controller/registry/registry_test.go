package registry_test

import (
	"encoding/json"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/gaplink/gaplink/controller/registry"
	"github.com/gaplink/gaplink/placement"
	"github.com/gaplink/gaplink/store"
	"github.com/gaplink/gaplink/upstream"
)

func decode(id string, value []byte) (placement.Server, error) {
	s := placement.Server{}
	err := json.Unmarshal(value, &s)
	s.ID = id
	return s, err
}

func entry(id string, version int64, leaving bool) store.Object {
	value, _ := json.Marshal(placement.Server{Service: "svc", Leaving: leaving}) // plain fields always encode
	return store.Object{Key: "servers/" + id, Version: version, Value: value}
}

// newest is a list revision later than any version in the tests.
const newest = int64(1) << 40

func gone(id string) store.Object { return store.Object{Key: "servers/" + id, Deleted: true} }

func run(t *testing.T, body func(*registry.Controller)) {
	synctest.Test(t, func(t *testing.T) {
		c := registry.New(decode, upstream.New(upstream.Options{}), rand.New(rand.NewPCG(1, 1)), zap.NewNop())
		go c.Run(t.Context())
		body(c)
	})
}

// newLogged returns a registry and its log lines from level info on.
func newLogged() (*registry.Controller, *observer.ObservedLogs) {
	core, lines := observer.New(zap.InfoLevel)
	return registry.New(decode, upstream.New(upstream.Options{}), rand.New(rand.NewPCG(1, 1)), zap.New(core)), lines
}

func count(c *registry.Controller) int { return c.Counts()["svc"].Up }

// Guards against requests to a deregistered server: it is removed well before the time limit
// for leaving servers.
func TestDeregisteredServerIsRemovedSoon(t *testing.T) {
	run(t, func(c *registry.Controller) {
		c.Listed([]store.Object{entry("a", 1, false), entry("b", 2, false)}, newest)
		c.Changed([]store.Object{gone("a")})
		time.Sleep(1200 * time.Millisecond)
		if count(c) != 1 {
			t.Fatalf("%d servers", count(c))
		}
	})
}

// Guards against removing live servers after an outage of the store, when a
// registration may be missing for two seconds.
func TestLapsedServersAreKept(t *testing.T) {
	run(t, func(c *registry.Controller) {
		c.Listed([]store.Object{entry("a", 1, false), entry("b", 2, false)}, newest)
		c.StoreLost()
		time.Sleep(5 * time.Second)
		if count(c) != 2 {
			t.Fatal("removed during an outage of the store")
		}
		c.StoreRestored()
		c.Listed(nil, newest)
		time.Sleep(2 * time.Second)
		if count(c) != 2 {
			t.Fatal("removed before registrations are back")
		}
		c.Changed([]store.Object{entry("b", 9, false)})
		time.Sleep(time.Second)
		if count(c) != 1 {
			t.Fatalf("%d servers, want the one that came back", count(c))
		}
	})
}

// Guards against an older version of a registration, sent by a router that is
// behind, replacing a newer one.
func TestOlderRegistrationChangesNothing(t *testing.T) {
	run(t, func(c *registry.Controller) {
		c.Changed([]store.Object{entry("a", 5, true)})
		c.Changed([]store.Object{entry("a", 4, false)})
		if n := c.Counts()["svc"]; n.Leaving != 1 {
			t.Fatalf("%+v", n)
		}
	})
}

// unreadableEntry returns an object under a server's key that cannot be decoded.
func unreadableEntry(id string, version int64) store.Object {
	return store.Object{Key: "servers/" + id, Version: version, Value: []byte("{")}
}

// Guards against an unreadable registration that adds a server, keeps the server that it
// replaces, or affects others. The server is used again after its next valid registration.
func TestUnreadableRegistrationNamesNoServer(t *testing.T) {
	run(t, func(c *registry.Controller) {
		c.Listed([]store.Object{entry("a", 1, false), unreadableEntry("b", 2), entry("c", 3, false)}, newest)
		if count(c) != 2 {
			t.Fatalf("%d servers, want the two that can be read", count(c))
		}
		c.Changed([]store.Object{unreadableEntry("a", 4)})
		if s, ok := c.Pick(placement.Query{Service: "svc"}); !ok || s.ID != "c" || count(c) != 1 {
			t.Fatalf("%+v is used, %d servers", s, count(c))
		}
		time.Sleep(5 * time.Second)
		c.Changed([]store.Object{entry("a", 5, false)})
		if count(c) != 2 {
			t.Fatal("the server has registered again and is not used")
		}
	})
}

// Guards against counting an unreadable version each time that it is listed, and
// against withholding it from other routers.
func TestUnreadableRegistrationIsCountedOnce(t *testing.T) {
	run(t, func(c *registry.Controller) {
		for range 5 {
			c.Listed([]store.Object{entry("a", 1, false), unreadableEntry("b", 2)}, newest)
		}
		c.Changed([]store.Object{unreadableEntry("b", 3)})
		if n := c.Unreadable(); n != 2 {
			t.Fatalf("%d counted, want one for each version", n)
		}
		if told, _ := c.All(); len(told) != 2 {
			t.Fatalf("%d registrations propagated to other routers, want both", len(told))
		}
	})
}

// incarnationEntry returns the registration of a server process started at a given time.
func incarnationEntry(id string, version, started int64, leaving bool) store.Object {
	value, _ := json.Marshal(placement.Server{Service: "svc", Started: started, Leaving: leaving}) // plain fields always encode
	return store.Object{Key: "servers/" + id, Version: version, Value: value}
}

// Guards against ignoring a server that left, or was replaced at its address, and
// restarted as a new process under the same ID. Late updates about the earlier process
// from another router change nothing.
func TestServerThatStartsAgainUnderItsIDIsUsed(t *testing.T) {
	run(t, func(c *registry.Controller) {
		c.Listed([]store.Object{incarnationEntry("a", 1, 1000, false)}, newest)
		c.Replaced(placement.Incarnation{ID: "a", Started: 1000})
		c.Changed([]store.Object{incarnationEntry("a", 2, 1000, true), incarnationEntry("a", 4, 2000, false)})
		if count(c) != 1 {
			t.Fatal("the new process is not used")
		}
		c.Changed([]store.Object{incarnationEntry("a", 3, 1000, true)})
		c.Replaced(placement.Incarnation{ID: "a", Started: 1000})
		if count(c) != 1 {
			t.Fatal("an update about the old process ejected the new one")
		}
		c.Changed([]store.Object{incarnationEntry("a", 5, 2000, true)})
		if count(c) != 0 {
			t.Fatal("the new process is leaving and still used")
		}
	})
}

// Guards against treating a registration as lapsed that is deleted just after the
// store has recovered: its server is leaving.
func TestDeletionAfterReturnIsFollowed(t *testing.T) {
	run(t, func(c *registry.Controller) {
		c.Listed([]store.Object{entry("a", 1, false), entry("b", 2, false)}, newest)
		c.StoreLost()
		time.Sleep(5 * time.Second)
		c.StoreRestored()
		c.Listed([]store.Object{entry("a", 1, false), entry("b", 2, false)}, newest)
		time.Sleep(250 * time.Millisecond)
		c.Changed([]store.Object{gone("a")})
		time.Sleep(1900 * time.Millisecond)
		if count(c) != 1 {
			t.Fatal("the server is still used 1.9 s after its registration was deleted")
		}
	})
}

// Guards against restoring a server that has left when another router sends its
// outdated registration.
func TestDeletedRegistrationStaysGone(t *testing.T) {
	run(t, func(c *registry.Controller) {
		c.Listed([]store.Object{entry("a", 5, false), entry("b", 2, false)}, newest)
		c.Changed([]store.Object{gone("a")})
		time.Sleep(1200 * time.Millisecond)
		c.Changed([]store.Object{entry("a", 5, false), gone("a")})
		if count(c) != 1 {
			t.Fatal("a server that has left is in use again")
		}
		c.Listed([]store.Object{entry("a", 5, false), entry("b", 2, false)}, newest)
		if count(c) != 1 {
			t.Fatal("a server that has left is in use again after a list of another router")
		}
		c.Changed([]store.Object{entry("a", 9, false)})
		if count(c) != 2 {
			t.Fatal("a registration that came back after a lapse is not used")
		}
	})
}

// Guards against a late deletion: a registration lapsed and was created again, and
// another router propagates the lapse only now.
func TestOlderDeletionChangesNothing(t *testing.T) {
	run(t, func(c *registry.Controller) {
		c.Listed([]store.Object{entry("a", 9, false)}, newest)
		c.Changed([]store.Object{{Key: "servers/a", Version: 5, Deleted: true}})
		time.Sleep(3 * time.Second)
		if count(c) != 1 {
			t.Fatal("removed by a deletion that is older than the registration")
		}
	})
}

// Guards against a list that removes newer registrations: a router switches to an update
// source that is slightly behind and whose list lacks a server that has registered since. The
// server must not be removed, since its registration may not change again for a long time.
func TestOlderListForgetsNothingNewer(t *testing.T) {
	run(t, func(c *registry.Controller) {
		c.Listed([]store.Object{entry("a", 1, false)}, 1)
		c.Changed([]store.Object{entry("b", 8, false)})
		c.Listed([]store.Object{entry("a", 1, false)}, 7)
		time.Sleep(5 * time.Second)
		c.Changed([]store.Object{entry("b", 8, false)})
		if count(c) != 2 {
			t.Fatal("a server was removed by a list that is older than its registration")
		}
		c.Listed([]store.Object{entry("a", 1, false)}, 9)
		time.Sleep(5 * time.Second)
		if count(c) != 1 {
			t.Fatal("a server is kept that a newer list lacks")
		}
	})
}

// Guards against a registration that makes the decoder panic and ends the router: it is
// ignored, and the other servers stay in use.
func TestDecoderPanicDoesNotEndTheRouter(t *testing.T) {
	panicking := func(id string, value []byte) (placement.Server, error) {
		if id == "bad" {
			panic("a fault in reading")
		}
		return decode(id, value)
	}
	c := registry.New(panicking, upstream.New(upstream.Options{}), rand.New(rand.NewPCG(1, 1)), zap.NewNop())
	c.Listed([]store.Object{entry("a", 1, false), entry("bad", 2, false)}, newest)
	if count(c) != 1 || c.Unreadable() != 1 {
		t.Errorf("%d servers, %d unreadable", count(c), c.Unreadable())
	}
}

func incarnationOf(id string) placement.Incarnation { return placement.Incarnation{ID: id} }
