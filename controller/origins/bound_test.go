package origins_test

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/gaplink/gaplink/controller/origins"
	"github.com/gaplink/gaplink/origin"
	"github.com/gaplink/gaplink/store"
)

func (l linkToStore) List(ctx context.Context, prefix string) ([]store.Object, int64, error) {
	if reached, f := l.state(); !reached || f.down {
		return nil, 0, store.ErrUnknown
	}
	time.Sleep(2 * linkDelay)
	return l.Store.List(ctx, prefix)
}

// streamAll has every router begin streams of both versions, and returns the versions by the IDs of the streams.
func (n *network) streamAll(prefix string, routers ...*router) map[string]string {
	all := map[string]string{}
	for i := range 4 * len(routers) {
		id, version := fmt.Sprint(prefix, i), fmt.Sprint("v", 1+i%2)
		routers[i%len(routers)].begin(id, version)
		all[id] = version
	}
	return all
}

// expectFound fails unless the streams are found at the routers to be of their versions.
func expectFound(t *testing.T, streams map[string]string, at ...*router) {
	t.Helper()
	wrong, found := 0, 0
	for id, version := range streams {
		switch got := at[len(id)%len(at)].find(id); got {
		case version:
			found++
		case "":
		default:
			wrong++
		}
	}
	if found < len(streams) || wrong > 0 {
		t.Errorf("%d of %d streams are found, %d at another version", found, len(streams), wrong)
	}
}

// stored returns the number of changes of stored origins since a revision, and the new revision.
func (n *network) stored(t *testing.T, since int64) (writes int, revision int64) {
	events, err := n.store.Watch(t.Context(), origins.BoundKind, since, time.Millisecond)
	if err != nil {
		t.Fatal(err)
	}
	return len(events.Objects), events.Revision
}

var sizesThatStore = []int{6, 24}

func atSizesThatStore(t *testing.T, test func(t *testing.T, n int)) {
	for _, n := range sizesThatStore {
		t.Run(fmt.Sprint(n, " routers"), func(t *testing.T) { inBubble(t, func(t *testing.T) { test(t, n) }) })
	}
}

// Guards against streams that are refused after a kill of all routers though servers of their version are there, also
// after a second one.
func TestOriginsOutliveAllRouters(t *testing.T) {
	atSizesThatStore(t, func(t *testing.T, n int) {
		net := newNetwork(t, n, "v1", "v2")
		streams := net.streamAll("a", net.all...)
		net.run(5 * time.Second)
		net.restartAll(2*time.Second, "v1", "v2")
		expectFound(t, streams, net.all...)
		again := net.streamAll("b", net.all...)
		net.run(5 * time.Second)
		net.restartAll(2*time.Second, "v1", "v2")
		expectFound(t, streams, net.all...)
		expectFound(t, again, net.all...)
	})
}

// Guards against streams that are refused after a third of the routers has stood still and all others were killed: what
// began meanwhile is on record at the dead ones alone.
func TestOriginsOutliveTheRoutersThatDidNotStandStill(t *testing.T) {
	atSizesThatStore(t, func(t *testing.T, n int) {
		net := newNetwork(t, n, "v1", "v2")
		still, others := net.all[:n/3], net.all[n/3:]
		streams := net.streamAll("a", others...)
		net.kill(still...)
		for id, version := range net.streamAll("b", others...) {
			streams[id] = version
		}
		net.run(5 * time.Second)
		net.kill(others...)
		net.mu.Lock()
		for _, r := range still {
			r.dead = false
		}
		net.mu.Unlock()
		expectFound(t, streams, still...)
	})
}

// Guards against streams that began before a second version served, when nothing was recorded, and were running when it
// did.
func TestOriginsFromBeforeAReleaseOutliveAllRouters(t *testing.T) {
	atSizesThatStore(t, func(t *testing.T, n int) {
		net := newNetwork(t, n, "v1")
		for i := range n {
			net.all[i].begin(fmt.Sprint("s", i), "v1")
		}
		net.release("v1", "v2")
		net.run(5 * time.Second)
		net.restartAll(time.Second, "v1", "v2")
		for i := range n {
			if got := net.all[(i+1)%n].find(fmt.Sprint("s", i)); got != "v1" {
				t.Errorf("stream %d is found to be %q", i, got)
			}
		}
	})
}

// Guards against a stream that goes on at the version of an attempt that brought no event.
func TestAttemptsWithoutEventsAreNotStored(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		net := newNetwork(t, 6, "v1", "v2")
		first := net.all[0]
		first.attempt("s", "v1", 1)
		first.attempt("never bound", "v1", 1)
		first.begin("other", "v1")
		first.attempt("s", "v2", 2)
		net.run(2 * time.Second)
		net.restartAll(time.Second, "v1", "v2")
		for _, id := range []string{"s", "never bound"} {
			if got := net.all[1].find(id); got != "" {
				t.Errorf("stream %s, of which no event came, may go on at %q", id, got)
			}
		}
	})
}

// Guards against a stream of which the stored origins of two routers contradict each other.
func TestContradictingStoredOriginsAreUnknown(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		net := newNetwork(t, 6, "v1", "v2")
		net.all[0].begin("s", "v1")
		net.all[1].begin("s", "v2")
		net.run(2 * time.Second)
		net.restartAll(time.Second, "v1", "v2")
		if got := net.all[2].find("s"); got != "" {
			t.Errorf("a stream that two versions have begun goes on at %q", got)
		}
	})
}

// Guards against a stream that is refused because it has ended for its router: its caller may not have all of it.
func TestEndedStreamIsFoundAtItsKeepers(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		net := newNetwork(t, 6, "v1", "v2")
		net.all[0].begin("s", "v2")
		net.all[0].control.End(stream("s"))
		for _, r := range net.all {
			if got := r.find("s"); got != "v2" {
				t.Errorf("an ended stream is found to be %q", got)
			}
		}
	})
}

// Guards against a cost while one version serves, or without new streams, and against one that grows with the number of
// streams or of routers.
func TestCostOfStoredOrigins(t *testing.T) {
	atSizesThatStore(t, func(t *testing.T, n int) {
		net := newNetwork(t, n, "v1")
		net.all[0].begin("sole", "v1")
		net.run(3 * time.Second)
		writes, revision := net.stored(t, 0)
		if writes > 0 {
			t.Errorf("%d writes while one version serves", writes)
		}
		net.release("v1", "v2")
		const seconds = 10
		for i := range seconds * 4 {
			for j, r := range net.all {
				r.begin(fmt.Sprint("s", i, "-", j), "v1")
			}
			net.run(250 * time.Millisecond)
		}
		writes, revision = net.stored(t, revision)
		if most := min(2*seconds+2, 17*seconds/n+2) * n; writes == 0 || writes > most {
			t.Errorf("%d writes in %d s, at most %d wanted", writes, seconds, most)
		}
		net.run(8 * time.Second)
		_, revision = net.stored(t, revision)
		net.run(20 * time.Second)
		if writes, _ = net.stored(t, revision); writes > 0 {
			t.Errorf("%d writes without new streams", writes)
		}
	})
}

// Guards against store calls for streams in a fleet that is too large for them.
func TestLargeFleetsStoreNoOrigins(t *testing.T) {
	for _, n := range []int{87, 984} {
		t.Run(fmt.Sprint(n, " routers"), func(t *testing.T) {
			inBubble(t, func(t *testing.T) {
				net := newNetwork(t, n, "v1", "v2")
				net.streamAll("s", net.all[:4]...)
				net.run(2 * time.Second)
				if writes, _ := net.stored(t, 0); writes > 0 {
					t.Errorf("%d writes", writes)
				}
			})
		})
	}
}

// Guards against objects that stay in the store after their routers have gone.
func TestObjectsOfRoutersThatAreGoneAreDeleted(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		net := newNetwork(t, 6, "v1", "v2")
		net.streamAll("s", net.all...)
		net.run(3 * time.Second)
		net.kill(net.all[5])
		for range 5 {
			net.run(origin.Retention / 4)
			net.all[0].find("nobody knows it")
			net.all[0].begin(fmt.Sprint("t", time.Now()), "v1")
		}
		time.Sleep(time.Second)
		objects, _, err := net.store.List(t.Context(), origins.BoundKind)
		if err != nil {
			t.Fatal(err)
		}
		var names []string
		for _, o := range objects {
			names = append(names, store.NameOf(o.Key))
		}
		if got := strings.Join(names, " "); strings.Contains(got, "r5") || !strings.Contains(got, "r0") {
			t.Errorf("objects of %s", got)
		}
	})
}

// Guards against refusals that wait for a store which does not answer, again and again.
func TestStoreThatFailsDelaysNoRefusals(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		net := newNetwork(t, 6, "v1", "v2")
		net.storeDown.Store(true)
		begun := time.Now()
		for i := range 50 {
			if got := net.all[0].find(fmt.Sprint("unknown", i)); got != "" {
				t.Errorf("an unknown stream goes on at %q", got)
			}
		}
		if took := time.Since(begun) / 50; took > 10*time.Millisecond {
			t.Errorf("a refusal takes %s", took)
		}
	})
}

// Guards against streams that are refused after planned restarts of all routers, one after the other: each process forgets what
// it kept.
func TestOriginsOutliveRollingRestarts(t *testing.T) {
	atSizesThatStore(t, func(t *testing.T, n int) {
		net := newNetwork(t, n, "v1", "v2")
		streams := net.streamAll("s", net.all...)
		net.run(5 * time.Second)
		for _, r := range net.all {
			r.start()
			net.run(500 * time.Millisecond)
		}
		expectFound(t, streams, net.all...)
	})
}
