package health

import (
	"context"
	"errors"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/gaplink/gaplink/membership"
	"github.com/gaplink/gaplink/peer"
	"github.com/gaplink/gaplink/wait"
)

const (
	// fetchPeers is the number of routers that a new router asks at a time for leaving servers, and
	// fetchRounds how often it asks until one answers.
	fetchPeers  = 3
	fetchRounds = 3
	// fetchTimeout bounds each question, and fetchPause is the time between two rounds.
	fetchTimeout = 400 * time.Millisecond
	fetchPause   = 100 * time.Millisecond
)

// FetchLeaving asks a few other routers which servers are leaving, so that a router that has
// just started does not send requests to them. Until one has answered it asks others, or the same
// ones again, fetchRounds times.
func (c *Controller) FetchLeaving(ctx context.Context) {
	var others []membership.Member
	for _, m := range c.members.Members() {
		if m.ID != c.members.Self().ID {
			others = append(others, m)
		}
	}
	for round := 0; len(others) > 0 && round < fetchRounds; round++ {
		first := round * fetchPeers % len(others)
		err := c.fetchFrom(ctx, others[first:min(first+fetchPeers, len(others))])
		if err == nil {
			return
		}
		c.log.Warn("no router answered which servers are leaving", zap.Int("round", round+1), zap.Int("rounds", fetchRounds), zap.Error(err))
		if err := wait.For(ctx, fetchPause); err != nil {
			return
		}
	}
}

// fetchFrom asks several routers at once. It returns an error if none of them answered.
func (c *Controller) fetchFrom(ctx context.Context, routers []membership.Member) error {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	failures := make([]error, len(routers))
	var asked sync.WaitGroup
	for i, other := range routers {
		asked.Go(func() { failures[i] = c.fetchFromOne(ctx, other.Addr) })
	}
	asked.Wait()
	for _, err := range failures {
		if err == nil {
			return nil
		}
	}
	return errors.Join(failures...)
}

func (c *Controller) fetchFromOne(ctx context.Context, addr string) error {
	resp, err := peer.Call[peer.Empty, peer.LeftAnswer](ctx, c.peers, addr, peer.MethodLeft, &peer.Empty{})
	if err != nil {
		return err
	}
	for _, id := range resp.Servers {
		c.MarkLeaving(id)
	}
	return nil
}
