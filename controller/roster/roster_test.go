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

// closedAddr is an address without a listener.
const closedAddr = "127.0.0.1:1"

// newRoster returns the roster of a router that starts.
func newRoster(s store.Store, addr string) *roster.Controller {
	self := peer.Router{ID: "r", Addr: addr, Domain: "z", Incarnation: "r/1", LinkMbps: 20}
	return roster.New(roster.Options{
		Self:    self,
		Seeds:   func() []string { return []string{closedAddr} },
		Store:   s,
		Members: members.New(membership.Member{ID: "r", Kind: "router", Addr: addr, Domain: "z"}, nil, 0, zap.NewNop()),
		Calls:   roster.NewPeerCalls(peer.NewUnpooledClient(peer.Options{DialTimeout: 100 * time.Millisecond})),
		Log:     zap.NewNop(),
	})
}

// startRoster runs a roster until it is registered in the store and introduced.
func startRoster(t *testing.T, s store.Store, addr string) *roster.Controller {
	t.Helper()
	c := newRoster(s, addr)
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

// registered returns the router's registration, or a zero one if none exists.
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

// Guards against a write by each router when all restart at once after a power failure.
// Their registrations are still valid, and the three calls of a conflicting write per
// router would be most of the fleet's load on the store.
func TestRestartWritesNothing(t *testing.T) {
	objects := memory.New()
	startRoster(t, objects, "127.0.0.1:9")
	counting := store.NewCounting(objects)
	startRoster(t, counting, "127.0.0.1:9")
	for p, n := range counting.ByPurpose() {
		if p.Call != store.CallGet && p.Call != store.CallStaleList {
			t.Errorf("%d calls %v", n, p)
		}
	}
}

// Guards against a router that keeps its registration although its address has changed.
func TestMovedRouterRegistersAgain(t *testing.T) {
	objects := memory.New()
	startRoster(t, objects, "127.0.0.1:9")
	startRoster(t, objects, "127.0.0.1:10")
}

// Guards against a registration that stays after the router has left, also if it was
// written again since the router last read it.
func TestLeaveRemovesTheRegistration(t *testing.T) {
	objects := memory.New()
	c := startRoster(t, objects, "127.0.0.1:9")
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

// Guards against invalid entries in the store that prevent a router from starting or
// make it call a router without an address.
func TestInvalidRegistrationsAreIgnored(t *testing.T) {
	objects := memory.New()
	for key, value := range map[string]string{
		"routers/a": "null", "routers/b": "{", "routers/c": `{"ID":"c"}`, "routers/d": `{"ID":7,"Addr":"127.0.0.1:1"}`,
		"routers/e": `{"Addr":"127.0.0.1:1"}`, "routers/f": `"r"`,
	} {
		if _, err := objects.Create(t.Context(), key, []byte(value)); err != nil {
			t.Fatal(err)
		}
	}
	startRoster(t, objects, "127.0.0.1:9")
}

// Guards against a registration under another name than its router's: a router took it for its own and did
// not register, and others took its address for that of the router that it names.
func TestRegistrationUnderAnotherNameIsIgnored(t *testing.T) {
	objects := memory.New()
	for key, value := range map[string]string{
		"routers/b":   `{"ID":"b","Addr":"127.0.0.1:2","Domain":"z"}`,
		"routers/odd": `{"ID":"r","Addr":"127.0.0.1:9","Domain":"z","Incarnation":"r/1","LinkMbps":20}`,
		"routers/z":   `{"ID":"b","Addr":"127.0.0.1:3","Domain":"z"}`,
	} {
		if _, err := objects.Create(t.Context(), key, []byte(value)); err != nil {
			t.Fatal(err)
		}
	}
	c := startRoster(t, objects, "127.0.0.1:9")
	if addr, ok := c.Members.Addr("b"); !ok || addr != "127.0.0.1:2" {
		t.Errorf("router b has the address %q", addr)
	}
}
