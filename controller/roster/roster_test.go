package roster_test

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/gaplink/gaplink/controller/members"
	"github.com/gaplink/gaplink/controller/roster"
	"github.com/gaplink/gaplink/membership"
	"github.com/gaplink/gaplink/peer"
	"github.com/gaplink/gaplink/store"
	"github.com/gaplink/gaplink/store/memory"
)

// nowhere is an address at which nothing listens.
const nowhere = "127.0.0.1:1"

// router returns the roster of a router that starts.
func router(s store.Store, addr string) *roster.Controller {
	self := peer.Router{ID: "r", Addr: addr, Domain: "z", Incarnation: "r/1", LinkMbps: 20}
	return roster.New(roster.Options{
		Self:    self,
		Seeds:   func() []string { return []string{nowhere} },
		Store:   s,
		Members: members.New(membership.Member{ID: "r", Kind: "router", Addr: addr, Domain: "z"}, nil, 0, zap.NewNop()),
		Calls:   roster.Over(peer.NewGreeter(peer.Options{DialTimeout: 100 * time.Millisecond})),
		Log:     zap.NewNop(),
	})
}

// started runs a roster until its registration lies in the store and it is introduced.
func started(t *testing.T, s store.Store, addr string) *roster.Controller {
	t.Helper()
	c := router(s, addr)
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	go c.Run(ctx)
	<-c.Introduced()
	for range 200 {
		if registered(t, s).Addr == addr {
			return c
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Fatal("not registered")
	return nil
}

// registered returns the router's registration, a zero one if there is none.
func registered(t *testing.T, s store.Store) peer.Router {
	t.Helper()
	var r peer.Router
	o, err := s.Get(t.Context(), "routers/r")
	if err != nil {
		return r
	}
	if err := json.Unmarshal(o.Value, &r); err != nil {
		t.Fatal(err)
	}
	return r
}

// TestRestartWritesNothing: all routers start again at once after a loss of power.
// Their registrations hold, and a write each, three calls with the conflict that it
// meets, would be the most of what the fleet asks of the store then.
func TestRestartWritesNothing(t *testing.T) {
	objects := memory.New()
	started(t, objects, "127.0.0.1:9")
	counting := store.NewCounting(objects)
	started(t, counting, "127.0.0.1:9")
	for p, n := range counting.ByPurpose() {
		if p.Call != store.CallGet && p.Call != store.CallStaleList {
			t.Errorf("%d calls %v", n, p)
		}
	}
}

// TestMovedRouterRegistersAnew: the registration names another address.
func TestMovedRouterRegistersAnew(t *testing.T) {
	objects := memory.New()
	started(t, objects, "127.0.0.1:9")
	started(t, objects, "127.0.0.1:10")
}

// TestLeaveRemovesTheRegistration, also one that was written since it was seen.
func TestLeaveRemovesTheRegistration(t *testing.T) {
	objects := memory.New()
	c := started(t, objects, "127.0.0.1:9")
	o, err := objects.Get(t.Context(), "routers/r")
	if err != nil {
		t.Fatal(err)
	}
	if _, err := objects.Update(t.Context(), "routers/r", o.Version, o.Value); err != nil {
		t.Fatal(err)
	}
	c.Leave(t.Context())
	if r := registered(t, objects); r.Addr != "" {
		t.Fatalf("still registered: %+v", r)
	}
}

// TestEntriesOfOtherWritersNameNoRouter: the others hold, and nothing is called that
// has no address.
func TestEntriesOfOtherWritersNameNoRouter(t *testing.T) {
	objects := memory.New()
	for key, value := range map[string]string{
		"routers/a": "null", "routers/b": "{", "routers/c": `{"ID":"c"}`, "routers/d": `{"ID":7,"Addr":"127.0.0.1:1"}`,
		"routers/e": `{"Addr":"127.0.0.1:1"}`, "routers/f": `"r"`,
	} {
		if _, err := objects.Create(t.Context(), key, []byte(value)); err != nil {
			t.Fatal(err)
		}
	}
	started(t, objects, "127.0.0.1:9")
}
