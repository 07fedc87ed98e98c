package slots_test

import (
	"testing"

	"go.uber.org/zap"

	"github.com/gaplink/gaplink/controller/members"
	"github.com/gaplink/gaplink/controller/slots"
	"github.com/gaplink/gaplink/controller/spread"
	"github.com/gaplink/gaplink/membership"
)

// Guards against slots that stay for a minute with routers that were killed, and against taking back those of
// routers that run.
func TestRouterThatIsNotListedDoesNotRun(t *testing.T) {
	m := members.New(membership.Member{ID: "self", Kind: "router", State: membership.Live}, nil, 0, zap.NewNop())
	m.AddOrUpdate(membership.Member{ID: "known", Kind: "router", State: membership.Live, Incarnation: "known/1"})
	m.AddOrUpdate(membership.Member{ID: "unheard", Kind: "router", State: membership.Live})
	f := slots.PeerFleet{Recipients: spread.Recipients{Members: m}}
	for process, want := range map[[2]string]bool{
		{"self", "self/1"}: true, {"known", "known/1"}: true, {"known", "known/0"}: false, {"unheard", "unheard/1"}: true, {"gone", "gone/1"}: false,
	} {
		if got := f.Runs(process[0], process[1]); got != want {
			t.Errorf("%v runs: %v", process, got)
		}
	}
}
