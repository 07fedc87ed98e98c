package limits

import (
	"context"

	"github.com/gaplink/gaplink/clock"
	"github.com/gaplink/gaplink/controller/spread"
	"github.com/gaplink/gaplink/limiter"
	"github.com/gaplink/gaplink/peer"
)

// ownerRole is the key prefix by which routers are ranked as owners of a server's rate.
const ownerRole = "rate/"

// PeerFleet implements Fleet with calls to the other routers.
type PeerFleet struct {
	spread.Recipients
	Client *peer.Client
}

var _ Fleet = PeerFleet{}

// Owners implements Fleet.
func (o PeerFleet) Owners(server string) []string {
	return o.Members.Owners(clock.Now(), ownerRole+server, limiter.MaxOwners)
}

// Ask implements Fleet.
func (o PeerFleet) Ask(ctx context.Context, id string, req *peer.PermitRequest) (*peer.PermitAnswer, error) {
	return spread.Call[peer.PermitRequest, peer.PermitAnswer](ctx, o.Recipients, o.Client, id, peer.MethodPermit, req)
}

// Report implements Fleet.
func (o PeerFleet) Report(ctx context.Context, id string, req *peer.LimitsRequest) (*peer.LimitsAnswer, error) {
	return spread.Call[peer.LimitsRequest, peer.LimitsAnswer](ctx, o.Recipients, o.Client, id, peer.MethodLimits, req)
}
