package origins_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/gaplink/gaplink/origin"
)

// restartAll kills all routers and starts them after a time, at which the given versions are registered.
func (n *network) restartAll(down time.Duration, serving ...string) {
	n.kill(n.all...)
	time.Sleep(down)
	for _, r := range n.all {
		r.known.set(serving...)
		r.start()
	}
	n.release(serving...)
}

// beginAll begins a stream of a version at every router, at most 40, and returns their IDs.
func (n *network) beginAll(prefix, version string) (ids []string) {
	for i, r := range n.all[:min(len(n.all), 40)] {
		ids = append(ids, fmt.Sprint(prefix, i))
		r.begin(ids[i], version)
	}
	return ids
}

// expectNoOther fails if a router lets one of the streams go on at any version or at another one than theirs.
func (n *network) expectNoOther(t *testing.T, ids []string, version string) {
	t.Helper()
	for i, id := range ids {
		r := n.all[(i*7+3)%len(n.all)]
		for r.isDead() {
			r = n.all[(indexOf(n.all, r)+1)%len(n.all)]
		}
		if got := r.find(id); got != "" && got != version {
			t.Errorf("router %s lets stream %s of %s go on at %q", r.id, id, version, got)
		}
	}
}

func indexOf(all []*router, r *router) int {
	for i, o := range all {
		if o == r {
			return i
		}
	}
	return -1
}

func (r *router) isDead() bool {
	r.net.mu.Lock()
	defer r.net.mu.Unlock()
	return r.dead
}

// Guards against streams that go on at another version after all routers were killed during a release: a process that
// starts takes the one version that is registered for the only one that has served.
func TestKillOfAllDuringAReleaseJoinsNoStreams(t *testing.T) {
	atAllSizes(t, func(t *testing.T, n int) {
		net := newNetwork(t, n, "v1")
		net.release("v1", "v2")
		ids := net.beginAll("s", "v1")
		net.restartAll(2*time.Second, "v2")
		net.expectNoOther(t, ids, "v1")
		net.restartAll(2*time.Second, "v2")
		net.expectNoOther(t, ids, "v1")
	})
}

// Guards against the same where the servers of the old version have left before the kill, and where those of the new one
// join only while all routers are down.
func TestKillOfAllAroundAReleaseJoinsNoStreams(t *testing.T) {
	atAllSizes(t, func(t *testing.T, n int) {
		net := newNetwork(t, n, "v1")
		first := net.beginAll("a", "v1")
		net.release("v1", "v2")
		net.release("v2")
		second := net.beginAll("b", "v2")
		net.restartAll(time.Second, "v2")
		net.expectNoOther(t, first, "v1")
		third := net.beginAll("c", "v2")
		net.restartAll(time.Second, "v3")
		net.expectNoOther(t, second, "v2")
		net.expectNoOther(t, third, "v2")
	})
}

// Guards against streams that are joined after planned restarts of all routers, one after the other, within the time for
// which streams are remembered: no process dies unasked, and yet none has seen the earlier version.
func TestRollingRestartsJoinNoStreams(t *testing.T) {
	atAllSizes(t, func(t *testing.T, n int) {
		net := newNetwork(t, n, "v1")
		net.release("v1", "v2")
		ids := net.beginAll("s", "v1")
		net.release("v2")
		for _, r := range net.all {
			r.start()
			r.control.Tick()
			time.Sleep(origin.Retention / time.Duration(4*n))
		}
		net.expectNoOther(t, ids, "v1")
	})
}

// Guards against streams that are joined after most routers were killed: the few that have watched are not always asked.
func TestKillOfMostJoinsNoStreams(t *testing.T) {
	atAllSizes(t, func(t *testing.T, n int) {
		net := newNetwork(t, n, "v1")
		net.release("v1", "v2")
		ids := net.beginAll("s", "v1")
		net.release("v2")
		most := net.all[n/6:]
		net.kill(most...)
		time.Sleep(time.Second)
		for _, r := range most {
			r.start()
		}
		net.release("v2")
		net.expectNoOther(t, ids, "v1")
	})
}

// Guards against refusals after a kill of all where one version alone has served, and of new streams then.
func TestKillOfAllWithOneVersionLetsStreamsGoOn(t *testing.T) {
	atAllSizes(t, func(t *testing.T, n int) {
		net := newNetwork(t, n, "v1")
		net.release("v1")
		ids := net.beginAll("s", "v1")
		net.restartAll(2*time.Second, "v1")
		for i, id := range ids {
			if got := net.all[(i+1)%n].find(id); got != "v1" {
				t.Errorf("with one version ever a stream is refused after a kill of all: %q", got)
			}
		}
	})
}

// Guards against refusals for good: once a version has been gone for longer than streams are remembered, it is forgotten, also
// by the processes that start after.
func TestVersionIsForgottenAfterItsRetention(t *testing.T) {
	atAllSizes(t, func(t *testing.T, n int) {
		net := newNetwork(t, n, "v1")
		net.release("v1", "v2")
		net.release("v2")
		for range 20 {
			time.Sleep(origin.Retention / 16)
			net.release("v2")
		}
		net.restartAll(time.Second, "v2")
		if got := net.all[0].find("unknown"); got != "v2" {
			t.Errorf("long after the release a stream is refused after a kill of all: %q", got)
		}
	})
}

// Guards against first events that wait for the store at a router that starts while the store is down, though others know that
// the version is on record; and against refusals of streams there for longer than until registrations exceed the bound.
func TestRouterThatStartsWithoutTheStoreServes(t *testing.T) {
	atAllSizes(t, func(t *testing.T, n int) {
		net := newNetwork(t, n, "v1")
		net.all[1].begin("s", "v1")
		net.storeDown.Store(true)
		started := net.all[0]
		started.start()
		net.run(time.Second)
		begun := time.Now()
		started.begin("new", "v1")
		if took := time.Since(begun); took > 60*time.Millisecond {
			t.Errorf("a first event waits %s", took)
		}
		for _, r := range net.all {
			r.age.Store(int64(3 * time.Second)) // over the bound
		}
		net.run(time.Second)
		if got := started.find("s"); got != "v1" {
			t.Errorf("a stream of the only version is refused: %q", got)
		}
	})
}

// Guards against a record that counts as complete after it was deleted in the first life of the fleet.
func TestDeletedRecordIsIncomplete(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		net := newNetwork(t, 6, "v1")
		net.release("v1", "v2")
		ids := net.beginAll("s", "v1")
		net.release("v2")
		object, err := net.store.Get(t.Context(), "softwareversions/served")
		if err != nil {
			t.Fatal(err)
		}
		if err := net.store.Delete(t.Context(), object.Key, object.Version); err != nil {
			t.Fatal(err)
		}
		net.release("v3") // written anew
		net.restartAll(time.Second, "v3")
		net.expectNoOther(t, ids, "v1")
	})
}

// Guards against a malformed record that stays in the store, where it makes each process that starts refuse streams.
func TestMalformedRecordIsReplaced(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		net := newNetwork(t, 6, "v1")
		object, err := net.store.Get(t.Context(), "softwareversions/served")
		if err != nil {
			t.Fatal(err)
		}
		if _, err := net.store.Update(t.Context(), object.Key, object.Version, []byte("null")); err != nil {
			t.Fatal(err)
		}
		if got := net.all[0].find("unknown"); got != "" {
			t.Errorf("a stream goes on at %q while it is not known which versions have served", got)
		}
		time.Sleep(time.Second)
		object, err = net.store.Get(t.Context(), "softwareversions/served")
		if err != nil {
			t.Fatal(err)
		}
		if served, err := origin.DecodeServed(object.Value); err != nil || !served.Incomplete || !served.Has(service, "v1") {
			t.Errorf("the record is %s", object.Value)
		}
	})
}
