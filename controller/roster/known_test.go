package roster_test

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/gaplink/gaplink/clock"
	"github.com/gaplink/gaplink/controller/roster"
	"github.com/gaplink/gaplink/membership"
	"github.com/gaplink/gaplink/peer"
	"github.com/gaplink/gaplink/store"
	"github.com/gaplink/gaplink/store/memory"
)

// TestRoutersThatDoNotAnswerAreKnown guards against limits of the fleet of which each router takes a larger part
// because it is cut off from the others.
func TestRoutersThatDoNotAnswerAreKnown(t *testing.T) {
	c := newRoster(memory.New(), "127.0.0.1:9")
	for _, id := range []string{"a", "b", "d"} {
		c.Members.AddOrUpdate(membership.Member{ID: id, Kind: "router", Addr: closedAddr, State: membership.Live})
		c.Members.ReportFailure(id, nil)
		if !c.Members.Suspected(clock.Now(), id) {
			t.Fatal("not suspected")
		}
	}
	if n := c.Known(); n != 4 {
		t.Errorf("%d routers known, want 4 (Size: %d)", n, c.Size())
	}
}

// Guards against routers that start in a large fleet and take a larger part of its limits each, because the router that
// tells them its size does not reach most of the others.
func TestStartingRouterIsToldOfRoutersThatDoNotAnswer(t *testing.T) {
	const registered, unreachable = 300, 200
	seed := newRoster(memory.New(), "127.0.0.1:9")
	seed.Contacts = func(string) []string { return []string{"p0"} }
	var objects []store.Object
	for i := range registered {
		value, _ := json.Marshal(peer.Router{ID: fmt.Sprint("p", i), Addr: closedAddr, Domain: "z"}) // plain fields always encode
		objects = append(objects, store.Object{Key: fmt.Sprint("routers/p", i), Version: int64(i + 1), Value: value})
	}
	seed.Listed(objects, registered)
	for i := range unreachable {
		seed.Members.ReportFailure(fmt.Sprint("p", i), nil)
	}
	time.Sleep(300 * time.Millisecond) // the number of usable routers is computed a few times a second
	young := newRoster(memory.New(), "127.0.0.1:10")
	young.Calls = helloOf{seed}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go young.Run(ctx)
	<-young.Introduced()
	if n := young.Known(); n < registered {
		t.Errorf("%d routers known of %d", n, registered)
	}
	if !young.IsLarge() {
		t.Error("the fleet is taken for a small one")
	}
}

// helloOf passes all introductions to one router.
type helloOf struct{ to *roster.Controller }

func (h helloOf) Hello(ctx context.Context, _ string, req *peer.HelloRequest) (*peer.HelloAnswer, error) {
	return h.to.Hello(ctx, req)
}
