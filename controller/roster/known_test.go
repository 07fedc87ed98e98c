package roster_test

import (
	"testing"

	"github.com/gaplink/gaplink/clock"
	"github.com/gaplink/gaplink/membership"
	"github.com/gaplink/gaplink/store/memory"
)

// TestRoutersThatDoNotAnswerAreKnown guards against limits of the fleet of which each router takes a larger part
// because it is cut off from the others.
func TestRoutersThatDoNotAnswerAreKnown(t *testing.T) {
	c := newRoster(memory.New(), "127.0.0.1:9")
	for _, id := range []string{"a", "b", "d"} {
		c.Members.AddOrUpdate(membership.Member{ID: id, Kind: "router", Addr: closedAddr, State: membership.Live})
		c.Members.ReportFailure(id, nil)
		if !c.Members.Suspected(clock.Now(), id) {
			t.Fatal("not suspected")
		}
	}
	if n := c.Known(); n != 4 {
		t.Errorf("%d routers known, want 4 (Size: %d)", n, c.Size())
	}
}
