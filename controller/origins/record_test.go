package origins_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/gaplink/gaplink/controller/origins"
	"github.com/gaplink/gaplink/origin"
)

// deleteRecord deletes the record of the versions that have served.
func (n *network) deleteRecord(t *testing.T) {
	t.Helper()
	key := origins.Kind + "/served"
	o, err := n.store.Get(t.Context(), key)
	if err == nil {
		err = n.store.Delete(t.Context(), key, o.Version)
	}
	if err != nil {
		t.Fatal(err)
	}
}

func (n *network) setFaults(f storeFaults) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.faults = f
}

// Guards against streams that are joined after somebody has deleted the record: a process of the first start of the fleet, or one
// that has watched for long, creates it anew as complete, without the versions that have left shortly before.
func TestDeletedRecordForgetsNoVersion(t *testing.T) {
	for name, watched := range map[string]time.Duration{"after the first start": time.Second, "after a long time": 2 * origin.Retention} {
		t.Run(name, func(t *testing.T) {
			inBubble(t, func(t *testing.T) {
				net := newNetwork(t, 6, "v1")
				net.run(watched)
				ids := net.beginAll("s", "v1")
				net.release("v2")
				net.deleteRecord(t)
				net.release("v2", "v3")
				net.release("v3")
				net.run(2 * time.Second)
				for _, left := range []string{"v1", "v2"} {
					o, err := net.store.Get(t.Context(), origins.Kind+"/served")
					if err != nil {
						t.Fatal(err)
					}
					s, err := origin.DecodeServed(o.Value)
					if err != nil || !s.Incomplete && !s.Has(service, left) {
						t.Errorf("the record is complete without %s: %s, %v", left, o.Value, err)
					}
				}
				net.restartAll(time.Second, "v3")
				net.expectNoOther(t, ids, "v1")
			})
		})
	}
}

// Guards against refusals until the next release after somebody has deleted the record.
func TestDeletedRecordIsCreatedAnew(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		net := newNetwork(t, 6, "v1")
		net.run(2 * origin.Retention)
		net.deleteRecord(t)
		net.all[0].find("unknown")
		net.run(time.Second)
		if got := net.all[0].find("unknown"); got != "v1" {
			t.Errorf("a second after the record was deleted a stream goes on at %q", got)
		}
	})
}

// Guards against a version that is never put on record since its servers leave before the store accepts a write.
func TestVersionThatLeavesBeforeItIsRecorded(t *testing.T) {
	atAllSizes(t, func(t *testing.T, n int) {
		net := newNetwork(t, n, "v1")
		net.setFaults(storeFaults{noWrites: true})
		net.release("v1", "v2")
		net.all[0].begin("s", "v2")
		net.release("v1")
		net.setFaults(storeFaults{})
		net.run(4 * time.Second)
		net.restartAll(time.Second, "v1")
		net.expectNoOther(t, []string{"s"}, "v2")
	})
}

// Guards against a router that is behind and takes the record for the whole truth before the others have answered: while the
// store refuses writes, versions serve that are not on record.
func TestRecordAloneDoesNotDecide(t *testing.T) {
	atAllSizes(t, func(t *testing.T, n int) {
		net := newNetwork(t, n, "v1")
		net.setFaults(storeFaults{noWrites: true})
		behind := net.releaseToAllButOne("v1", "v2")
		for i := range 20 {
			id := fmt.Sprint("s", i)
			net.all[i%(n-1)].begin(id, "v2")
			if got := behind.find(id); got != "v2" && got != "" {
				t.Errorf("a router that is behind lets a stream of v2 go on at %q", got)
			}
		}
	})
}

// Guards against a process that has stood still for longer than streams are remembered and removes a version from the record that
// has served meanwhile: it is asked for a stream before it has noticed the gap.
func TestProcessThatStoodStillRemovesNoVersion(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		net := newNetwork(t, 2, "v1", "v2")
		still, awake := net.all[0], net.all[1]
		net.release("v2")
		net.run(100 * time.Second)
		for i := range 340 { // 85 s
			if i == 320 {
				awake.known.set("v1", "v2")
			}
			awake.control.Tick()
			time.Sleep(250 * time.Millisecond)
		}
		awake.begin("s", "v1")
		for _, r := range net.all {
			r.known.set("v2")
		}
		still.find("another")
		net.run(2 * time.Second)
		net.restartAll(time.Second, "v2")
		net.expectNoOther(t, []string{"s"}, "v1")
	})
}

// Guards against routers that all stood still while a version joined, and that without the store take their answers to each other
// for evidence that none has.
func TestRoutersThatStoodStillAreNoEvidence(t *testing.T) {
	atAllSizes(t, func(t *testing.T, n int) {
		net := newNetwork(t, n, "v1")
		first, others := net.all[0], net.all[1:]
		net.freeze(true, others...)
		first.known.set("v1", "v2")
		first.control.Tick()
		time.Sleep(500 * time.Millisecond)
		first.begin("s", "v2")
		time.Sleep(3 * time.Second)
		net.kill(first)
		net.setFaults(storeFaults{down: true})
		net.freeze(false, others...)
		for _, r := range others {
			r.age.Store(int64(3500 * time.Millisecond))
		}
		for _, r := range others[:5] {
			if got := r.find("s"); got != "" && got != "v2" {
				t.Errorf("router %s lets a stream of v2 go on at %q", r.id, got)
			}
		}
	})
}

func (n *network) freeze(frozen bool, routers ...*router) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, r := range routers {
		r.trouble.frozen = frozen
	}
}

// Guards against refusals in an outage of the store while one version serves: streams that began before it or in it go on at any
// router, whatever the age of the registrations.
func TestStreamsGoOnInAnOutageOfTheStore(t *testing.T) {
	atAllSizes(t, func(t *testing.T, n int) {
		net := newNetwork(t, n, "v1")
		ids := net.beginAll("before", "v1")
		net.setFaults(storeFaults{down: true})
		for age := range 20 {
			for _, r := range net.all {
				r.age.Store(int64(age) * int64(250*time.Millisecond))
			}
			net.run(250 * time.Millisecond)
		}
		ids = append(ids, net.beginAll("in", "v1")...)
		net.kill(net.all[0])
		for i, id := range ids {
			if got := net.all[1+i%(n-1)].find(id); got != "v1" && got != "any" {
				t.Errorf("stream %s goes on at %q", id, got)
			}
		}
	})
}

// Guards against a first event that goes out before its version is on record, and against one that waits for longer than
// callers do.
func TestFirstEventWaitsForTheRecord(t *testing.T) {
	atAllSizes(t, func(t *testing.T, n int) {
		net := newNetwork(t, n, "v1")
		net.setFaults(storeFaults{noWrites: true})
		time.AfterFunc(1200*time.Millisecond, func() { net.setFaults(storeFaults{}) })
		net.release("v1", "v2")
		go net.run(5 * time.Second)
		net.all[0].begin("s", "v2")
		o, err := net.store.Get(t.Context(), origins.Kind+"/served")
		if err != nil {
			t.Fatal(err)
		}
		if s, err := origin.DecodeServed(o.Value); err != nil || !s.Has(service, "v2") {
			t.Errorf("the first event goes out with the record %s, %v", o.Value, err)
		}
		time.Sleep(6 * time.Second)
		net.setFaults(storeFaults{noWrites: true})
		net.all[1].known.set("v3")
		begun := time.Now()
		net.all[1].begin("t", "v3")
		if took := time.Since(begun); took > 1600*time.Millisecond {
			t.Errorf("a first event waits for %s", took)
		}
	})
}

// Guards against a version that returns and counts as recorded at a router whose history began anew after a gap, though others have
// removed it from the record.
func TestVersionThatReturnsIsRecordedAgain(t *testing.T) {
	for _, sinceGap := range []time.Duration{30 * time.Second, 100 * time.Second} {
		t.Run(fmt.Sprint(sinceGap, " after a gap"), func(t *testing.T) {
			inBubble(t, func(t *testing.T) {
				net := newNetwork(t, 2, "v1", "v2")
				still, awake := net.all[0], net.all[1]
				net.release("v2")
				net.run(170 * time.Second)
				for range 120 { // 30 s
					awake.control.Tick()
					time.Sleep(250 * time.Millisecond)
				}
				net.run(sinceGap)
				still.known.set("v1", "v2")
				still.begin("s", "v1")
				net.restartAll(time.Second, "v2")
				net.expectNoOther(t, []string{"s"}, "v1")
			})
		})
	}
}

// Guards against a version that counts as recorded at a router without current registrations for so long that others may have
// removed it.
func TestRecordIsReadAnewAfterALongTimeWithoutRegistrations(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		net := newNetwork(t, 2, "v1", "v2")
		old, current := net.all[0], net.all[1]
		current.known.set("v2")
		old.age.Store(int64(time.Minute))
		net.run(origin.Retention + 10*time.Second)
		old.age.Store(0)
		old.control.Tick()
		old.begin("s", "v1")
		net.restartAll(time.Second, "v2")
		net.expectNoOther(t, []string{"s"}, "v1")
	})
}

// Guards against a version that is removed from the record by a write that was under way when it returned: the router at which it
// returned has read the record before, and takes it for recorded.
func TestVersionThatReturnsDuringItsRemoval(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		net := newNetwork(t, 2, "v1", "v2")
		first, removes := net.all[0], net.all[1]
		net.release("v2")
		net.run(50 * time.Second)
		for range 100 { // first stands still for 25 s, so that it does not remove the version itself
			removes.control.Tick()
			time.Sleep(250 * time.Millisecond)
		}
		net.run(origin.Retention - 76*time.Second)
		net.setFaults(storeFaults{delay: 1500 * time.Millisecond})
		net.run(3 * time.Second) // until its write is under way
		net.setFaults(storeFaults{})
		net.kill(removes)
		first.known.set("v1", "v2")
		first.begin("s", "v1")
		for range 20 {
			first.control.Tick()
			time.Sleep(250 * time.Millisecond)
		}
		net.restartAll(time.Second, "v2")
		net.expectNoOther(t, []string{"s"}, "v1")
	})
}
