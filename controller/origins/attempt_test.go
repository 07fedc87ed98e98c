package origins_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/gaplink/gaplink/origin"
)

// Guards against a stream that goes on at the version of an attempt that brought no event, where those that know of the later
// attempt have died and the others have stood still since before it.
func TestEarlierAttemptIsNoEvidenceOfTheVersion(t *testing.T) {
	atAllSizes(t, func(t *testing.T, n int) {
		net := newNetwork(t, n, "v1", "v2")
		first, wrong := net.all[0], 0
		for i := range 20 {
			id := fmt.Sprint("s", i)
			first.attempt(id, "v1", 1)
			time.Sleep(100 * time.Millisecond)
			keepers := first.Keepers(origin.KeyOf("acme", id), 4)
			var kept, others []*router
			for _, r := range net.all[1:] {
				if slices.Contains(keepers, r.id) {
					kept = append(kept, r)
				} else {
					others = append(others, r)
				}
			}
			net.kill(kept...)
			first.attempt(id, "v2", 2).Bind(t.Context())
			net.kill(first)
			net.mu.Lock()
			for _, r := range kept {
				r.dead = false
			}
			net.mu.Unlock()
			if got := others[0].find(id); got != "" && got != "v2" {
				wrong++
			}
			net.mu.Lock()
			first.dead = false
			net.mu.Unlock()
		}
		if wrong > 0 {
			t.Errorf("%d of 20 streams of v2 go on at v1", wrong)
		}
	})
}
