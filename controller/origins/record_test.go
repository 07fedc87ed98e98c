package origins_test

import (
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
