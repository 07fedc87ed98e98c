package verdicts

import (
	"context"

	"github.com/gaplink/gaplink/controller/spread"
	"github.com/gaplink/gaplink/peer"
)

// PeerFleet implements Fleet with calls to the other routers.
type PeerFleet struct {
	spread.Recipients
	Client *peer.Client
}

var _ Fleet = PeerFleet{}

// Report implements Fleet.
func (o PeerFleet) Report(ctx context.Context, id string, req *peer.VerdictsRequest) (*peer.VerdictsAnswer, error) {
	return spread.Call[peer.VerdictsRequest, peer.VerdictsAnswer](ctx, o.Recipients, o.Client, id, peer.MethodVerdicts, req)
}
