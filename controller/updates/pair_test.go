package updates_test

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"github.com/gaplink/gaplink/catalog"
	"github.com/gaplink/gaplink/controller/configs"
	"github.com/gaplink/gaplink/controller/evacuations"
	"github.com/gaplink/gaplink/controller/limits"
	"github.com/gaplink/gaplink/controller/members"
	"github.com/gaplink/gaplink/controller/registry"
	"github.com/gaplink/gaplink/controller/updates"
	"github.com/gaplink/gaplink/controller/verdicts"
	"github.com/gaplink/gaplink/peer"
	"github.com/gaplink/gaplink/placement"
	"github.com/gaplink/gaplink/store"
	"github.com/gaplink/gaplink/upstream"
)

// pair is a router that requests updates from another one.
type pair struct {
	asked, asking *updates.Controller
	// theirs is the registry of the asked router, and ours that of the asking one.
	theirs, ours *registry.Controller
	// fresh is set while the asking router follows the store itself.
	fresh bool
	// ages returns the timestamps of the asked router's state.
	ages func() updates.Timestamps
	// stuck is set while transfers of the configuration hang.
	stuck bool
	// theirConfigs and ourConfigs hold the configurations of both routers.
	theirConfigs, ourConfigs *configs.Controller
}

// Updates implements updates.Calls.
func (p *pair) Updates(ctx context.Context, _ string, req *peer.UpdatesRequest) (*peer.UpdatesAnswer, error) {
	return p.asked.Answer(ctx, req)
}

// Config implements updates.Calls.
func (p *pair) Config(ctx context.Context, _ string) (*peer.ConfigAnswer, error) {
	if p.stuck {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return p.asked.Config(ctx, &peer.Empty{})
}

// List implements updates.Calls.
func (p *pair) List(ctx context.Context, _ string, req *peer.ListRequest) (*peer.ListAnswer, error) {
	return p.asked.List(ctx, req)
}

// newPair returns two routers of a large fleet; the asked one follows the store.
func newPair() *pair {
	p := &pair{ages: func() updates.Timestamps { return updates.Timestamps{Config: time.Now(), Servers: time.Now()} }}
	router := func(self int, held *configs.Controller, servers *registry.Controller, fresh func() bool, asOf func() updates.Timestamps) *updates.Controller {
		known := members.New(member(self), nil, 0, zap.NewNop())
		known.AddOrUpdate(member(1 - self))
		return updates.New(updates.Options{
			Configs: held,
			Servers: servers, Members: known, Calls: p,
			Verdicts:    verdicts.New(verdicts.Options{Checker: goneChecker{}, Servers: allUsable{}, Log: zap.NewNop()}),
			Limits:      limits.New(limits.Options{Log: zap.NewNop()}),
			Evacuations: evacuations.New(evacuations.Options{Log: zap.NewNop()}),
			Self:        member(self).ID + "/1", Domain: member(self).Domain,
			StoreCallFailed: func() bool { return false }, StoreFresh: fresh,
			AsOf:       asOf,
			StaleAfter: (&fleet{}).staleAfter, Answered: never,
			Large: func() bool { return true },
			Log:   zap.NewNop(),
		})
	}
	p.theirs, p.ours = newRegistry(), newRegistry()
	p.theirConfigs, p.ourConfigs = newConfigs(), newConfigs()
	p.asked = router(0, p.theirConfigs, p.theirs, func() bool { return true }, func() updates.Timestamps { return p.ages() })
	p.asking = router(1, p.ourConfigs, p.ours, func() bool { return p.fresh }, func() updates.Timestamps { return updates.Timestamps{} })
	return p
}

func newConfigs() *configs.Controller {
	return configs.New(configKey, decodeConfig, func(*catalog.Catalog) {}, zap.NewNop())
}

func newRegistry() *registry.Controller {
	return registry.New(decodeServer, upstream.New(upstream.Options{}), rand.New(rand.NewPCG(1, 1)), zap.NewNop())
}

func registration(id string, version int64) store.Object {
	value, _ := json.Marshal(placement.Server{Service: "svc"}) // plain fields always encode
	return store.Object{Key: "servers/" + id, Version: version, Value: value}
}

// TestListNewerThanTheStoresLastAnswerIsApplied guards against ignoring another router's list while
// this router follows the store. A list newer than the store's last answer holds changes that the
// store would send next. If this router then becomes idle, it receives them from nobody, and a
// server that has left stays in use forever.
func TestListNewerThanTheStoresLastAnswerIsApplied(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPair()
		p.theirs.Listed([]store.Object{registration("a", 1)}, 9)
		p.ours.Listed([]store.Object{registration("a", 1), registration("b", 2)}, 5)
		p.fresh = true
		go p.asking.Run(t.Context())
		time.Sleep(2 * time.Second)
		p.fresh = false
		time.Sleep(2 * time.Second)
		if p.ours.AcceptsRequests(placement.Incarnation{ID: "b"}) {
			t.Error("a server that left between two answers of the store stays in use")
		}
	})
}

// TestListOlderThanTheStoresLastAnswerChangesNothing checks that a list made before the store's last
// answer removes no server.
func TestListOlderThanTheStoresLastAnswerChangesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPair()
		p.theirs.Listed([]store.Object{registration("a", 1)}, 9)
		p.ours.Listed([]store.Object{registration("a", 1), registration("c", 11)}, 12)
		p.fresh = true
		go p.asking.Run(t.Context())
		time.Sleep(2 * time.Second)
		if !p.ours.AcceptsRequests(placement.Incarnation{ID: "c"}) {
			t.Error("a server was dropped by a list that is older than its registration")
		}
	})
}

// TestUpdateAgeCountsFromTheStoresAnswer checks that the age of updates counts from the store's
// answer, not from that of the relaying router. A router whose watch stalls regards its state as
// current for two seconds more, and the routers that it updates relied on that state for another
// second before they queried the store.
func TestUpdateAgeCountsFromTheStoresAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPair()
		p.theirs.Listed([]store.Object{registration("a", 1)}, 9)
		stalled := time.Now()
		p.ages = func() updates.Timestamps { return updates.Timestamps{Config: stalled, Servers: stalled} }
		go p.asking.Run(t.Context())
		limit := (&fleet{}).parts().RelayStaleAfter() // both routers are relays
		time.Sleep(limit - 50*time.Millisecond)
		if !p.asking.UpToDate() {
			t.Errorf("queries the store after %v, though the bound is %v", limit-50*time.Millisecond, limit)
		}
		time.Sleep(100 * time.Millisecond)
		if p.asking.UpToDate() {
			t.Errorf("relies on updates over %v old that it has just received", limit)
		}
		if age := p.asking.Ages().Servers; age < limit {
			t.Errorf("regards the updates as %v old", age)
		}
	})
}

// TestUnknownKindsAreStale checks that updates of servers do not make the configuration current.
func TestUnknownKindsAreStale(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPair()
		p.theirs.Listed([]store.Object{registration("a", 1)}, 9)
		p.ages = func() updates.Timestamps { return updates.Timestamps{Servers: time.Now()} }
		go p.asking.Run(t.Context())
		time.Sleep(time.Second)
		if p.asking.UpToDate() {
			t.Error("relies on updates of a router without a configuration")
		}
	})
}

// TestConfigurationThatDoesNotArriveMakesTheRouterQueryTheStore simulates a router that announces a
// configuration but cannot transfer it over a saturated link, so that each failed fetch is followed
// by the next one.
func TestConfigurationThatDoesNotArriveMakesTheRouterQueryTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPair()
		p.theirs.Listed([]store.Object{registration("a", 1)}, 9)
		go p.asking.Run(t.Context())
		time.Sleep(time.Second)
		p.stuck = true
		p.theirConfigs.Apply([]byte("7"), "store")
		parts := (&fleet{}).parts()
		for range 100 { // a change is due within the bound
			time.Sleep(parts.Sum() / 100)
			if !p.asking.UpToDate() {
				return
			}
		}
		t.Errorf("relies on other routers after %v, with a configuration %v old that they fail to transfer", parts.Sum(), p.asking.Ages().Config)
	})
}

// Guards against a router that answers, as only an older configuration allows, with the age of a newer one: the version in
// an update must be at least as new as its age says, also if the store sends one while the update is made.
func TestAgeOfAnUpdateIsNotNewerThanItsConfiguration(t *testing.T) {
	p := newPair()
	p.theirs.Listed([]store.Object{registration("a", 1)}, 9)
	p.theirConfigs.Apply([]byte("1"), "store")
	p.ages = func() updates.Timestamps {
		p.theirConfigs.Apply([]byte("2"), "store")
		return updates.Timestamps{Config: time.Now(), Servers: time.Now()}
	}
	answer, err := p.asked.Answer(t.Context(), &peer.UpdatesRequest{})
	if err != nil || answer.Config != 2 {
		t.Errorf("version %d of age %v, %v", answer.Config, answer.Ages.Config, err)
	}
}
