package placement_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/gaplink/gaplink/placement"
)

// TestChoiceIsTheFirstOfTheOrderThatIsNotSpared generates random server states and compares each
// pick with the result of a full scan.
func TestChoiceIsTheFirstOfTheOrderThatIsNotSpared(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const servers = 12
		f := fleet(servers)
		for n := range rapid.IntRange(0, 60).Draw(t, "events") {
			in := incarnation(fmt.Sprintf("s%02d", rapid.IntRange(0, servers-1).Draw(t, "server")))
			switch rapid.IntRange(0, 8).Draw(t, "event") {
			case 0:
				f.Sent(in, int64(rapid.IntRange(0, 70000).Draw(t, "tokens")))
			case 1:
				f.RecordOutcome(in, placement.Outcome(rapid.IntRange(0, 4).Draw(t, "outcome")))
			case 2:
				f.Leave(time.Time{}, in)
			case 3:
				f.Restored(in)
			case 4:
				f.Remove(in.ID)
			case 5:
				f.Put(placement.Server{ID: in.ID, Service: "llm", Domain: "z0", Leaving: n%4 == 0})
			case 6:
				f.RecordEventInterval(time.Unix(1000, 0), in, time.Duration(1+n)*time.Millisecond)
			case 7:
				f.BackOff(noon, in, noon.Add(time.Duration(rapid.IntRange(1, 4000).Draw(t, "backoff"))*time.Millisecond))
			case 8:
				f.RecordAccepted(noon, in)
			}
		}
		f.SetEvacuated(rapid.SampledFrom([][]string{nil, {"z1"}, {"z0", "z2"}}).Draw(t, "evacuated"))
		q := placement.Query{Service: "llm", Affinity: rapid.Uint64Range(1, 50).Draw(t, "prefix"), Domain: "z1"}
		q.Now = noon.Add(time.Duration(rapid.IntRange(0, 8000).Draw(t, "later")) * time.Millisecond)
		got, ok := f.Pick(seeded(), q)
		if ok != f.ScanFindsAny(q) {
			t.Fatalf("Pick returned %v, the full scan the opposite", ok)
		}
		if want, found := f.ScanByPrefix(q); found && ok && got.ID != want {
			t.Fatalf("Pick returned %s, the full scan %s", got.ID, want)
		}
	})
}

// TestRoutersSpreadOverIdleServersOfADomain guards against many routers with few requests each that
// all prefer the same idle server. A single router must prefer one server, so that it can reuse its
// connections.
func TestRoutersSpreadOverIdleServersOfADomain(t *testing.T) {
	const routers, servers = 200, 305
	chosen := map[string]int{}
	for n := range routers {
		f := placement.New()
		f.SetOrder(rand.New(rand.NewPCG(7, uint64(n))).Uint64())
		for i := range servers {
			f.Put(placement.Server{ID: fmt.Sprintf("s%03d", i), Service: "app", Domain: fmt.Sprint("z", i%5)})
		}
		own := map[string]bool{}
		for range 10 {
			s, ok := f.Pick(seeded(), placement.Query{Service: "app", Domain: "z2"})
			if !ok || s.Domain != "z2" {
				t.Fatalf("picked %+v, want a server of domain z2", s)
			}
			own[s.ID] = true
			chosen[s.ID]++
		}
		if len(own) != 1 {
			t.Fatalf("a router sent ten sequential requests to %d servers, want 1", len(own))
		}
	}
	most := 0
	for _, n := range chosen {
		most = max(most, n)
	}
	if mean := routers * 10 / (servers / 5); most > 5*mean {
		t.Errorf("one server got %d requests; the mean of its domain is %d", most, mean)
	}
}

// TestChoiceDoesNotGrowWithTheServers checks that Pick does not allocate memory in proportion to
// the number of servers.
func TestChoiceDoesNotGrowWithTheServers(t *testing.T) {
	servers := placement.New()
	put(servers, 20000)
	rng := seeded()
	prefix := uint64(1)
	if n := testing.AllocsPerRun(50, func() {
		prefix++
		s, _ := servers.Pick(rng, placement.Query{Service: "svc", Affinity: prefix, Prompt: int64(prefix), Now: time.Unix(int64(prefix), 0)})
		servers.Sent(s.Incarnation(), 1000)
	}); n > 1 {
		t.Errorf("%v allocations per pick, want at most 1", n)
	}
}
