package placement_test

import (
	"math/rand/v2"
	"testing"

	"github.com/gaplink/gaplink/placement"
)

// TestEvacuatedDomainGetsNoWork checks that an evacuated domain gets neither new requests, with
// or without a prefix, nor requests that were picked before the evacuation. With all domains
// evacuated no server is picked, and a restored domain is used at once.
func TestEvacuatedDomainGetsNoWork(t *testing.T) {
	servers := placement.New()
	for _, s := range []placement.Server{{ID: "a1", Domain: "a"}, {ID: "a2", Domain: "a"}, {ID: "b1", Domain: "b"}} {
		s.Service = "svc"
		servers.Put(s)
	}
	rng := rand.New(rand.NewPCG(1, 2))
	held := placement.Incarnation{ID: "a1"}
	servers.SetEvacuated([]string{"a", "unknown"})
	if servers.MaySend(noon, held) {
		t.Error("MaySend allows a server of an evacuated domain that was picked before")
	}
	for affinity := range uint64(50) {
		s, ok := servers.Pick(rng, placement.Query{Service: "svc", Affinity: affinity, Domain: "a"})
		if !ok || s.Domain == "a" {
			t.Fatalf("picked %+v, %v; want a server of domain b", s, ok)
		}
	}
	servers.SetEvacuated([]string{"a", "b"})
	if s, ok := servers.Pick(rng, placement.Query{Service: "svc"}); ok {
		t.Errorf("picked %+v with all domains evacuated", s)
	}
	servers.SetEvacuated(nil)
	if !servers.MaySend(noon, held) {
		t.Error("MaySend refuses a server of a restored domain")
	}
}
