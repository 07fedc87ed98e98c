package placement_test

import (
	"testing"
	"time"

	"github.com/gaplink/gaplink/placement"
)

// A router announces only its own load, with the mean of recent event intervals; older ones would
// describe a batch that has ended.
func TestOwnLoadCoversRecentEventsOnly(t *testing.T) {
	now := time.Unix(1000, 0)
	f := placement.New()
	f.Put(placement.Server{ID: "a", Service: "s"})
	f.Put(placement.Server{ID: "b", Service: "s"})
	in := placement.Incarnation{ID: "a"}
	f.Sent(in, 700)
	f.RecordEventInterval(now, in, 20*time.Millisecond)
	f.RecordEventInterval(now, in, 40*time.Millisecond)
	loads := f.OwnLoad(now)
	if len(loads) != 1 || loads[0].Server != in || loads[0].InFlight != 1 || loads[0].PendingTokens != 700 {
		t.Fatalf("own load %+v", loads)
	}
	if loads[0].EventInterval != 30*time.Millisecond || loads[0].Events != 2 {
		t.Fatalf("event intervals %+v", loads[0])
	}
	f.RecordPromptRead(in, 700)
	f.RecordOutcome(in, placement.Answered)
	if loads := f.OwnLoad(now.Add(3 * time.Second)); len(loads) != 0 {
		t.Fatalf("load three seconds after the last event: %+v", loads)
	}
}

// The load of other routers expires: without updates it must not steer requests for long.
func TestFleetLoadExpires(t *testing.T) {
	now := time.Unix(1000, 0)
	f := placement.New()
	f.Put(placement.Server{ID: "a", Service: "s"})
	in := placement.Incarnation{ID: "a"}
	f.SetFleetLoad([]placement.ServerLoad{{Server: in, InFlight: 9, At: now}, {Server: placement.Incarnation{ID: "gone"}, At: now}})
	if l, ok := f.OthersLoad(now.Add(placement.MaxLoadAge), in); !ok || l.InFlight != 9 {
		t.Fatalf("%+v, %v", l, ok)
	}
	if _, ok := f.OthersLoad(now.Add(placement.MaxLoadAge+1), in); ok {
		t.Fatal("an old load counts as known")
	}
	f.SetFleetLoad(nil)
	if _, ok := f.OthersLoad(now, in); ok {
		t.Fatal("a server that is no longer reported has a load")
	}
}
