package registry_test

import (
	"encoding/json"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

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

// newest is the revision of lists that are not older than anything known.
const newest = int64(1) << 40

func gone(id string) store.Object { return store.Object{Key: "servers/" + id, Deleted: true} }

func run(t *testing.T, body func(*registry.Controller)) {
	synctest.Test(t, func(t *testing.T) {
		c := registry.New(decode, upstream.New(upstream.Options{}), rand.New(rand.NewPCG(1, 1)), zap.NewNop())
		go c.Run(t.Context())
		body(c)
	})
}

func count(c *registry.Controller) int { return c.Counts()["svc"].Up }

// TestGoneServerIsDroppedSoon: well before the bound on leaving servers.
func TestGoneServerIsDroppedSoon(t *testing.T) {
	run(t, func(c *registry.Controller) {
		c.Listed([]store.Object{entry("a", 1, false), entry("b", 2, false)}, newest)
		c.Changed([]store.Object{gone("a")})
		time.Sleep(1200 * time.Millisecond)
		if count(c) != 1 {
			t.Fatalf("%d servers", count(c))
		}
	})
}

// TestLapsedServersAreKept: after the store was away, a registration may be
// missing for two seconds.
func TestLapsedServersAreKept(t *testing.T) {
	run(t, func(c *registry.Controller) {
		c.Listed([]store.Object{entry("a", 1, false), entry("b", 2, false)}, newest)
		c.Lost()
		time.Sleep(5 * time.Second)
		if count(c) != 2 {
			t.Fatal("dropped while the store is away")
		}
		c.Regained()
		c.Listed(nil, newest)
		time.Sleep(2 * time.Second)
		if count(c) != 2 {
			t.Fatal("dropped before registrations are back")
		}
		c.Changed([]store.Object{entry("b", 9, false)})
		time.Sleep(time.Second)
		if count(c) != 1 {
			t.Fatalf("%d servers, want the one that came back", count(c))
		}
	})
}

// TestOlderRegistrationChangesNothing: another router may know less.
func TestOlderRegistrationChangesNothing(t *testing.T) {
	run(t, func(c *registry.Controller) {
		c.Changed([]store.Object{entry("a", 5, true)})
		c.Changed([]store.Object{entry("a", 4, false)})
		if n := c.Counts()["svc"]; n.Leaving != 1 {
			t.Fatalf("%+v", n)
		}
	})
}

// unreadableEntry is what another writer left under a server's key.
func unreadableEntry(id string, version int64) store.Object {
	return store.Object{Key: "servers/" + id, Version: version, Value: []byte("{")}
}

// TestUnreadableRegistrationNamesNoServer: neither a new one nor one that takes the
// place of a server's; the others hold, and the server is back with its next one.
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
			t.Fatal("the server has registered anew and is not used")
		}
	})
}

// TestUnreadableRegistrationIsToldOnce: a version is counted once, however often it
// is listed, and other routers are told of it too.
func TestUnreadableRegistrationIsToldOnce(t *testing.T) {
	run(t, func(c *registry.Controller) {
		for range 5 {
			c.Listed([]store.Object{entry("a", 1, false), unreadableEntry("b", 2)}, newest)
		}
		c.Changed([]store.Object{unreadableEntry("b", 3)})
		if n := c.Unreadable(); n != 2 {
			t.Fatalf("%d counted, want one for each version", n)
		}
		if told, _ := c.All(); len(told) != 2 {
			t.Fatalf("%d registrations told to other routers, want both", len(told))
		}
	})
}

// incarnationEntry is the registration of a server's process.
func incarnationEntry(id string, version, started int64, leaving bool) store.Object {
	value, _ := json.Marshal(placement.Server{Service: "svc", Started: started, Leaving: leaving}) // plain fields always encode
	return store.Object{Key: "servers/" + id, Version: version, Value: value}
}

// TestServerThatStartsAgainUnderItsIDIsUsed: it left, or was replaced at its
// address, and is back as another process. Older news of the process before, through
// another router, changes nothing.
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
			t.Fatal("the old process's news ejected the new one")
		}
		c.Changed([]store.Object{incarnationEntry("a", 5, 2000, true)})
		if count(c) != 0 {
			t.Fatal("the new process leaves and is used")
		}
	})
}

// TestDeletionAfterReturnIsFollowed: a registration that is deleted just after
// the store is back is a server that leaves, and no lapse.
func TestDeletionAfterReturnIsFollowed(t *testing.T) {
	run(t, func(c *registry.Controller) {
		c.Listed([]store.Object{entry("a", 1, false), entry("b", 2, false)}, newest)
		c.Lost()
		time.Sleep(5 * time.Second)
		c.Regained()
		c.Listed([]store.Object{entry("a", 1, false), entry("b", 2, false)}, newest)
		time.Sleep(250 * time.Millisecond)
		c.Changed([]store.Object{gone("a")})
		time.Sleep(1900 * time.Millisecond)
		if count(c) != 1 {
			t.Fatal("the server is still used 1.9 s after its registration was deleted")
		}
	})
}

// TestDeletedRegistrationStaysGone: another router may tell the history of a
// server that has left long ago.
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

// TestOlderDeletionChangesNothing: a registration lapsed and came back, and
// another router tells of the lapse only now.
func TestOlderDeletionChangesNothing(t *testing.T) {
	run(t, func(c *registry.Controller) {
		c.Listed([]store.Object{entry("a", 9, false)}, newest)
		c.Changed([]store.Object{{Key: "servers/a", Version: 5, Deleted: true}})
		time.Sleep(3 * time.Second)
		if count(c) != 1 {
			t.Fatal("dropped by a deletion that is older than the registration")
		}
	})
}

// TestOlderListForgetsNothingNewer: a router turns from one teller to another that is
// a moment behind, and whose list lacks a server that has registered since. The
// server must not be dropped: its entry does not change again for a long time.
func TestOlderListForgetsNothingNewer(t *testing.T) {
	run(t, func(c *registry.Controller) {
		c.Listed([]store.Object{entry("a", 1, false)}, 1)
		c.Changed([]store.Object{entry("b", 8, false)})
		c.Listed([]store.Object{entry("a", 1, false)}, 7)
		time.Sleep(5 * time.Second)
		c.Changed([]store.Object{entry("b", 8, false)})
		if count(c) != 2 {
			t.Fatal("a server was dropped by a list that is older than its registration")
		}
		c.Listed([]store.Object{entry("a", 1, false)}, 9)
		time.Sleep(5 * time.Second)
		if count(c) != 1 {
			t.Fatal("a server is kept that a newer list lacks")
		}
	})
}

// TestRegistrationThatCannotBeReadEndsNoProcess: it names no server, and the others hold.
func TestRegistrationThatCannotBeReadEndsNoProcess(t *testing.T) {
	poisonous := func(id string, value []byte) (placement.Server, error) {
		if id == "bad" {
			panic("a fault in reading")
		}
		return decode(id, value)
	}
	c := registry.New(poisonous, upstream.New(upstream.Options{}), rand.New(rand.NewPCG(1, 1)), zap.NewNop())
	c.Listed([]store.Object{entry("a", 1, false), entry("bad", 2, false)}, newest)
	if count(c) != 1 || c.Unreadable() != 1 {
		t.Errorf("%d servers, %d unreadable", count(c), c.Unreadable())
	}
}

func incarnationOf(id string) placement.Incarnation { return placement.Incarnation{ID: id} }
