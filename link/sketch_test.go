package link_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/gaplink/gaplink/link"
)

// Guards against a heavy key that is missing or whose bytes are off by more than the stated excess,
// in whatever order the keys arrive: many light keys displace each other.
func TestSketchHoldsEachHeavyKey(t *testing.T) {
	for seed := range uint64(50) {
		random := rand.New(rand.NewPCG(seed, 1))
		var s link.Sketch
		exact, total := map[string]int64{}, int64(0)
		for range 2000 {
			key := fmt.Sprint("light", random.IntN(100))
			if random.IntN(4) == 0 {
				key = "heavy"
			}
			bytes := random.Int64N(1000)
			s.Add(key, bytes)
			exact[key] += bytes
			total += bytes
		}
		all := s.Heaviest()
		if s.Total() != total || len(all) != 8 || all[0].Key != "heavy" {
			t.Fatalf("seed %d: total %d of %d, held %+v", seed, s.Total(), total, all)
		}
		for _, h := range all {
			if excess := h.Bytes - exact[h.Key]; excess < 0 || excess > h.Excess {
				t.Errorf("seed %d: %+v, in fact %d", seed, h, exact[h.Key])
			}
		}
	}
	var empty link.Sketch
	if len(empty.Heaviest()) != 0 || empty.Total() != 0 {
		t.Error("an empty sketch holds keys")
	}
}
