package origins_test

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// Guards against streams that are refused after two thirds of a small fleet were killed, while the store does not answer: all
// routers that kept the origin are among them.
func TestOriginsOutliveMostRoutersOfASmallFleet(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		net := newNetwork(t, 6, "v1", "v2")
		net.storeDown.Store(true)
		lost, all := 0, 0
		for a := range net.all {
			for b := range a {
				left := []*router{net.all[a], net.all[b]}
				id := fmt.Sprint("s", a, "-", b)
				for i, r := range net.all {
					r.begin(fmt.Sprint(id, "-", i), "v2")
				}
				time.Sleep(100 * time.Millisecond) // until the last copy is there
				for _, r := range net.all {
					if !slices.Contains(left, r) {
						net.kill(r)
					}
				}
				for i := range net.all {
					if all++; left[i%2].find(fmt.Sprint(id, "-", i)) != "v2" {
						lost++
					}
				}
				net.mu.Lock()
				for _, r := range net.all {
					r.dead = false
				}
				net.mu.Unlock()
			}
		}
		if lost > 0 {
			t.Errorf("%d of %d streams are refused", lost, all)
		}
	})
}
