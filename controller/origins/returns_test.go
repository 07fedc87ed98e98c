package origins_test

import (
	"fmt"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/gaplink/gaplink/controller/origins"
	"github.com/gaplink/gaplink/origin"
)

// beginAt begins streams of a version at routers in turn, and returns their IDs.
func beginAt(routers []*router, version string) (ids []string) {
	for i := range 6 {
		ids = append(ids, fmt.Sprint("s", i))
		routers[i%len(routers)].begin(ids[i], version)
	}
	return ids
}

// Guards against a version that is removed from the record though it serves again: the router that removes it has not heard of
// its return, within the bound, and ends before it does.
func TestRouterBehindRemovesNoVersionThatHasReturned(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		net := newNetwork(t, 6, "v1", "v2")
		behind := net.all[0]
		net.release("v2")
		net.run(origin.Retention - 1500*time.Millisecond)
		for _, r := range net.all[1:] {
			r.known.set("v1", "v2")
		}
		net.run(1900 * time.Millisecond)
		ids := beginAt(net.all[1:], "v1")
		net.kill(behind)
		net.run(20 * time.Second)
		net.restartAll(time.Second, "v2")
		net.expectNoOther(t, ids, "v1")
	})
}

// Guards against a removal whose answer was lost and that is done seconds later, when the version has returned.
func TestLateRemovalConflictsWithTheReturn(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		net := newNetwork(t, 6, "v1", "v2")
		net.release("v2")
		net.run(origin.Retention - 2*time.Second)
		removed, err := net.store.Get(t.Context(), origins.Kind+"/served")
		if err != nil {
			t.Fatal(err)
		}
		net.setFaults(storeFaults{loseUndone: true})
		net.run(3 * time.Second)
		net.setFaults(storeFaults{})
		for _, r := range net.all {
			r.known.set("v1", "v2")
			r.control.Tick()
		}
		net.run(6 * time.Second)
		if _, err := net.store.Update(t.Context(), removed.Key, removed.Version, []byte(`{"versions":{"llm":["v2"]}}`)); err == nil {
			t.Error("the late removal takes effect")
		}
		ids := beginAt(net.all, "v1")
		net.run(time.Minute)
		net.restartAll(time.Second, "v2")
		net.expectNoOther(t, ids, "v1")
	})
}

// Guards against a record that a router makes complete without the versions that it has itself seen leave: another one, which had
// not seen them, created it anew.
func TestRecordIsCompletedWithAllThatWasSeen(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		net := newNetwork(t, 6, "v1")
		net.run(origin.Retention + 10*time.Second)
		net.release("v1", "v2")
		ids := net.beginAll("s", "v1")
		net.release("v2")
		net.run(10 * time.Second)
		net.deleteRecord(t)
		net.all[0].start()
		net.all[0].control.Tick()
		net.run(2 * time.Second)
		net.all[1].control.Find(t.Context(), "acme", "x", []string{"other"})
		net.run(2 * time.Second)
		net.restartAll(time.Second, "v2")
		net.expectNoOther(t, ids, "v1")
	})
}

// twoServices are servers of two services with one version each.
type twoServices struct{}

func (twoServices) Services() []string         { return []string{"a", "b"} }
func (twoServices) Versions(s string) []string { return []string{s + "1"} }

// Guards against a stream of a route that is split between services which goes on at another service than the one that began
// it: each has one version alone.
func TestStreamOfASplitRouteStaysAtItsService(t *testing.T) {
	atAllSizes(t, func(t *testing.T, n int) {
		net := newNetwork(t, n, "v1")
		for _, r := range net.all {
			r.control = origins.New(origins.Options{Servers: twoServices{}, Fleet: r, Self: r.id, Log: zap.NewNop(), Store: linkToStore{net.store, r}, FirstStart: true})
		}
		net.run(3 * time.Second)
		for i := range 40 {
			s := stream(fmt.Sprint("s", i))
			s.Split = true
			net.all[i%n].control.Begin(s, origin.Version{Service: "a", Name: "a1"}, 1).Bind(t.Context())
			f := net.all[(i+1)%n].control.Find(t.Context(), "acme", s.Tries[0], []string{"a", "b"})
			if _, sole := f.Sole("b"); sole || !f.Known || f.Origin.Service != "a" {
				t.Errorf("stream %d of service a: %+v", i, f)
			}
		}
	})
}

// Guards against a stream that goes on at another version while the store does not answer: the router that began it was cut
// off from the others and has died, and they have not heard of its version, within the bound.
func TestRouterCutOffBeforeTheStoreFallsSilentJoinsNoStreams(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		net := newNetwork(t, 6, "v1")
		begins, others := net.all[0], net.all[1:]
		begins.known.set("v1", "v2")
		net.run(500 * time.Millisecond)
		net.kill(others...) // as seen from the one that is cut off
		begins.begin("s", "v2")
		net.mu.Lock()
		for _, r := range others {
			r.dead = false
		}
		begins.dead = true
		net.all = others
		net.mu.Unlock()
		net.storeDown.Store(true)
		if got := others[2].find("s"); got != "" && got != "v2" {
			t.Errorf("a stream of v2 goes on at %q", got)
		}
	})
}
