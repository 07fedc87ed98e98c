package placement_test

import (
	"math/rand/v2"
	"testing"

	"github.com/gaplink/gaplink/placement"
)

// TestEvacuatedDomainGetsNoWork: neither new requests nor ones that were picked before and
// are sent now, with and without a prefix; when it is taken back its servers are used at
// once, and with all domains evacuated none is chosen.
func TestEvacuatedDomainGetsNoWork(t *testing.T) {
	servers := placement.New()
	for _, s := range []placement.Server{{ID: "a1", Domain: "a"}, {ID: "a2", Domain: "a"}, {ID: "b1", Domain: "b"}} {
		s.Service = "svc"
		servers.Put(s)
	}
	rng := rand.New(rand.NewPCG(1, 2))
	held := placement.Incarnation{ID: "a1"}
	servers.SetEvacuated([]string{"a", "unknown"})
	if servers.MaySend(held) {
		t.Error("a request that was held for a server of an evacuated domain may be sent")
	}
	for affinity := range uint64(50) {
		s, ok := servers.Pick(rng, placement.Query{Service: "svc", Affinity: affinity, Domain: "a"})
		if !ok || s.Domain == "a" {
			t.Fatalf("picked %+v, %v", s, ok)
		}
	}
	servers.SetEvacuated([]string{"a", "b"})
	if s, ok := servers.Pick(rng, placement.Query{Service: "svc"}); ok {
		t.Errorf("picked %+v with all domains evacuated", s)
	}
	servers.SetEvacuated(nil)
	if !servers.MaySend(held) {
		t.Error("the domain was taken back and is not used")
	}
}
