package spread

import (
	"context"
	"math/rand/v2"
	"slices"

	"github.com/gaplink/gaplink/clock"
	"github.com/gaplink/gaplink/controller/members"
	"github.com/gaplink/gaplink/peer"
)

// Recipients selects the routers that reports are sent to and requested from.
type Recipients struct {
	Members *members.Controller
	// RelayIDs returns the relays, which all other routers ask for updates, in a fleet that is
	// too large to send each report to all; nil: reports go to all.
	RelayIDs func() []string
}

// Listeners implements Fleet.
func (a Recipients) Listeners() []string {
	ids := a.relayIDs()
	if ids == nil {
		for _, m := range a.Members.Members() {
			ids = append(ids, m.ID)
		}
	}
	self := a.Members.Self().ID
	return slices.DeleteFunc(ids, func(id string) bool { return id == self })
}

func (a Recipients) relayIDs() []string {
	if a.RelayIDs == nil {
		return nil
	}
	return a.RelayIDs()
}

// Peers implements Fleet. The order is random, since a fleet of hundreds may start at once.
func (a Recipients) Peers() []string {
	ids := a.Members.Others(clock.Now())
	rand.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
	return ids
}

// Call calls a method of a listed router. It returns peer.ErrNotSent if there is none with
// that id.
func Call[Req, Resp any](ctx context.Context, a Recipients, c *peer.Client, id, method string, req *Req) (*Resp, error) {
	addr, ok := a.Members.Addr(id)
	if !ok {
		return nil, peer.ErrNotSent
	}
	return peer.Call[Req, Resp](ctx, c, addr, method, req)
}
