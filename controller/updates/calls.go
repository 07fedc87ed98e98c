package updates

import (
	"context"

	"github.com/gaplink/gaplink/peer"
)

// Calls calls the router at an address.
type Calls interface {
	// Updates requests the changes after those that the calling router has.
	Updates(ctx context.Context, addr string, req *peer.UpdatesRequest) (*peer.UpdatesAnswer, error)
	// Config fetches the configuration.
	Config(ctx context.Context, addr string) (*peer.ConfigAnswer, error)
	// List reads a page of all objects of a kind.
	List(ctx context.Context, addr string, req *peer.ListRequest) (*peer.ListAnswer, error)
}

// Over returns calls over the protocol between routers.
func Over(client *peer.Client) Calls { return overPeers{client} }

type overPeers struct{ client *peer.Client }

// Updates implements Calls.
func (p overPeers) Updates(ctx context.Context, addr string, req *peer.UpdatesRequest) (*peer.UpdatesAnswer, error) {
	return peer.Call[peer.UpdatesRequest, peer.UpdatesAnswer](ctx, p.client, addr, peer.MethodUpdates, req)
}

// Config implements Calls.
func (p overPeers) Config(ctx context.Context, addr string) (*peer.ConfigAnswer, error) {
	return peer.Call[peer.Empty, peer.ConfigAnswer](ctx, p.client, addr, peer.MethodConfig, &peer.Empty{})
}

// List implements Calls.
func (p overPeers) List(ctx context.Context, addr string, req *peer.ListRequest) (*peer.ListAnswer, error) {
	return peer.Call[peer.ListRequest, peer.ListAnswer](ctx, p.client, addr, peer.MethodList, req)
}
