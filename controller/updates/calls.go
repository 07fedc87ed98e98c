package updates

import (
	"context"

	"github.com/gaplink/gaplink/peer"
)

// Calls sends requests to the router at an address.
type Calls interface {
	// Updates requests the changes that the calling router does not have yet.
	Updates(ctx context.Context, addr string, req *peer.UpdatesRequest) (*peer.UpdatesAnswer, error)
	// Config fetches the configuration.
	Config(ctx context.Context, addr string) (*peer.ConfigAnswer, error)
	// List reads a page of all objects of a kind.
	List(ctx context.Context, addr string, req *peer.ListRequest) (*peer.ListAnswer, error)
}

// NewPeerCalls returns an implementation of Calls that uses the peer protocol.
func NewPeerCalls(client *peer.Client) Calls { return peerCalls{client} }

type peerCalls struct{ client *peer.Client }

// Updates implements Calls.
func (p peerCalls) Updates(ctx context.Context, addr string, req *peer.UpdatesRequest) (*peer.UpdatesAnswer, error) {
	return peer.Call[peer.UpdatesRequest, peer.UpdatesAnswer](ctx, p.client, addr, peer.MethodUpdates, req)
}

// Config implements Calls.
func (p peerCalls) Config(ctx context.Context, addr string) (*peer.ConfigAnswer, error) {
	return peer.Call[peer.Empty, peer.ConfigAnswer](ctx, p.client, addr, peer.MethodConfig, &peer.Empty{})
}

// List implements Calls.
func (p peerCalls) List(ctx context.Context, addr string, req *peer.ListRequest) (*peer.ListAnswer, error) {
	return peer.Call[peer.ListRequest, peer.ListAnswer](ctx, p.client, addr, peer.MethodList, req)
}
