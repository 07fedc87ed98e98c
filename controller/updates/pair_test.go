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

// pair is a router that asks another one.
type pair struct {
	asked, asking *updates.Controller
	// of the asked and of the asking router
	theirs, ours *registry.Controller
	// fresh tells that the asking router follows the store itself.
	fresh bool
	// ages of the asked router's state.
	ages func() updates.Timestamps
	// stuck tells that no configuration arrives.
	stuck bool
	// theirConfigs and ourConfigs are what both have in force.
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
		known.Met(member(1 - self))
		return updates.New(updates.Options{
			Configs: held,
			Servers: servers, Members: known, Calls: p,
			Verdicts:    verdicts.New(verdicts.Options{Checker: gone{}, Servers: allWork{}, Log: zap.NewNop()}),
			Limits:      limits.New(limits.Options{Log: zap.NewNop()}),
			Evacuations: evacuations.New(evacuations.Options{Log: zap.NewNop()}),
			Self:        member(self).ID + "/1", Domain: member(self).Domain,
			Lost: func() bool { return false }, Fresh: fresh,
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

// TestListThatIsNewerThanTheStoresLastAnswerIsTaken: a router that follows the store itself
// knows all registrations up to the store's last answer. A list of another router that is
// newer than that answer holds what the store would send next; if the router is idle by then,
// nobody sends it any more, and a server that left stays in use for good.
func TestListThatIsNewerThanTheStoresLastAnswerIsTaken(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPair()
		p.theirs.Listed([]store.Object{registration("a", 1)}, 9)
		p.ours.Listed([]store.Object{registration("a", 1), registration("b", 2)}, 5)
		p.fresh = true
		go p.asking.Run(t.Context())
		time.Sleep(2 * time.Second)
		p.fresh = false
		time.Sleep(2 * time.Second)
		if p.ours.TakesWork(placement.Incarnation{ID: "b"}) {
			t.Error("a server that left between two answers of the store is in use for good")
		}
	})
}

// TestListThatTheStoreHasSentAlreadyChangesNothing: a list that was packed before the
// store's last answer.
func TestListThatTheStoreHasSentAlreadyChangesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPair()
		p.theirs.Listed([]store.Object{registration("a", 1)}, 9)
		p.ours.Listed([]store.Object{registration("a", 1), registration("c", 11)}, 12)
		p.fresh = true
		go p.asking.Run(t.Context())
		time.Sleep(2 * time.Second)
		if !p.ours.TakesWork(placement.Incarnation{ID: "c"}) {
			t.Error("a server was dropped by a list that is older than its registration")
		}
	})
}

// TestUpdatesAreAsOldAsTheStoresAnswer, and not as the answer of the router that passes them on:
// one whose watch stalls counts its state as current for two seconds more, and those that
// asked it went by them for another second. They look for the store in time now.
func TestUpdatesAreAsOldAsTheStoresAnswer(t *testing.T) {
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
			t.Errorf("goes by updates over %v old that it received just now", limit)
		}
		if age := p.asking.Ages().Servers; age < limit {
			t.Errorf("takes them for %v old", age)
		}
	})
}

// TestUnknownKindsAreStale: updates of servers say nothing of the configuration.
func TestUnknownKindsAreStale(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPair()
		p.theirs.Listed([]store.Object{registration("a", 1)}, 9)
		p.ages = func() updates.Timestamps { return updates.Timestamps{Servers: time.Now()} }
		go p.asking.Run(t.Context())
		time.Sleep(time.Second)
		if p.asking.UpToDate() {
			t.Error("goes by updates of a router without a configuration")
		}
	})
}

// TestConfigurationThatDoesNotArriveIsLookedForAtTheStore: the router that tells of it cannot
// bring it across a full link, and each failed fetching is followed by the next one.
func TestConfigurationThatDoesNotArriveIsLookedForAtTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPair()
		p.theirs.Listed([]store.Object{registration("a", 1)}, 9)
		go p.asking.Run(t.Context())
		time.Sleep(time.Second)
		p.stuck = true
		p.theirConfigs.Take([]byte("7"), "store")
		parts := (&fleet{}).parts()
		for range 100 { // a change is due within the bound
			time.Sleep(parts.Sum() / 100)
			if !p.asking.UpToDate() {
				return
			}
		}
		t.Errorf("goes by others after %v, with a configuration %v old that they cannot bring", parts.Sum(), p.asking.Ages().Config)
	})
}
