package slots

import (
	"context"

	"github.com/gaplink/gaplink/clock"
	"github.com/gaplink/gaplink/controller/spread"
	"github.com/gaplink/gaplink/peer"
)

// ownerRole is the key prefix by which routers are ranked as owners of a server's slots.
const ownerRole = "slots/"

// PeerFleet implements Fleet with calls to the other routers.
type PeerFleet struct {
	spread.Recipients
	Client *peer.Client
}

var _ Fleet = PeerFleet{}

// Owner implements Fleet.
func (f PeerFleet) Owner(server string) (string, bool) {
	ids := f.Members.Owners(clock.Now(), ownerRole+server, 1)
	if len(ids) == 0 {
		return "", false
	}
	return ids[0], true
}

// Size implements Fleet.
func (f PeerFleet) Size() int { return f.Members.Live() }

// Runs implements Fleet. The process of a router that is listed, but has not been heard yet, is unknown.
func (f PeerFleet) Runs(router, process string) bool {
	m, listed := f.Members.Get(router)
	return listed && (m.Incarnation == "" || m.Incarnation == process)
}

// Lend implements Fleet.
func (f PeerFleet) Lend(ctx context.Context, id string, req *peer.LendRequest) (*peer.LendAnswer, error) {
	return spread.Call[peer.LendRequest, peer.LendAnswer](ctx, f.Recipients, f.Client, id, peer.MethodLend, req)
}

// Return implements Fleet.
func (f PeerFleet) Return(ctx context.Context, id string, req *peer.ReturnRequest) error {
	_, err := spread.Call[peer.ReturnRequest, peer.Empty](ctx, f.Recipients, f.Client, id, peer.MethodReturn, req)
	return err
}
