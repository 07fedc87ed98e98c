package updates_test

import (
	"testing"

	"go.uber.org/zap"

	"github.com/gaplink/gaplink/controller/members"
	"github.com/gaplink/gaplink/controller/updates"
	"github.com/gaplink/gaplink/membership"
)

// TestRelaysGrowWithTheirDomain checks that the number of routers for each relay is bounded,
// whatever the size of the fleet.
func TestRelaysGrowWithTheirDomain(t *testing.T) {
	for size, relays := range map[int]int{20: 2, 300: 2, 984: 2, 2000: 4, 5000: 8} {
		known := members.New(modelMember(0), nil, 0, zap.NewNop())
		var all []membership.Member
		for n := range size {
			all = append(all, modelMember(n))
		}
		known.Registered(all, nil)
		c := updates.New(updates.Options{Members: known, Domain: "z0", Large: func() bool { return true }, Log: zap.NewNop()})
		if n := len(c.RelayIDs()); n < relays*domains || n > relays*domains+2 {
			t.Errorf("%d routers: %d relays and watchers, %d relays in each of %d domains are expected", size, n, relays, domains)
		}
	}
}
