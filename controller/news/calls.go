package news

import (
	"context"

	"github.com/gaplink/gaplink/peer"
)

// Calls asks the router at an address.
type Calls interface {
	// News asks for what is newer than what the asking router has.
	News(ctx context.Context, addr string, req *peer.NewsRequest) (*peer.NewsAnswer, error)
	// Config fetches the configuration.
	Config(ctx context.Context, addr string) (*peer.ConfigAnswer, error)
}

// Over returns calls over the protocol between routers.
func Over(client *peer.Client) Calls { return overPeers{client} }

type overPeers struct{ client *peer.Client }

// News implements Calls.
func (p overPeers) News(ctx context.Context, addr string, req *peer.NewsRequest) (*peer.NewsAnswer, error) {
	return peer.Call[peer.NewsRequest, peer.NewsAnswer](ctx, p.client, addr, peer.MethodNews, req)
}

// Config implements Calls.
func (p overPeers) Config(ctx context.Context, addr string) (*peer.ConfigAnswer, error) {
	return peer.Call[peer.Empty, peer.ConfigAnswer](ctx, p.client, addr, peer.MethodConfig, &peer.Empty{})
}
