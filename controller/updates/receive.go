package updates

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/gaplink/gaplink/clock"
	"github.com/gaplink/gaplink/peer"
)

// receiveReports merges the reports on rate limits and on requests that crash servers. An answer
// may hold them without an update from the store.
func (c *Controller) receiveReports(answer *peer.UpdatesAnswer) {
	c.Verdicts.Receive(answer.Verdicts)
	c.Limits.Receive(answer.Limits)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reportSource, c.verdictSeq, c.limitSeq = "", answer.VerdictSeq, answer.LimitSeq
	if answer.VerdictSeq > 0 || answer.LimitSeq > 0 { // the source of empty logs is not needed
		c.reportSource = answer.Source
	}
}

// tryNext switches to the next candidate.
func (c *Controller) tryNext() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.nextIndex++
	c.relay = ""
	c.moreChanges = false
	c.relayLogged = false
}

// switchTo directs the next request to the router from which the last answer originates.
func (c *Controller) switchTo(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.relay = id
}

// noteStoreLost records that the store does not answer a watcher.
func (c *Controller) noteStoreLost() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lostAt = clock.Now()
}

// receive handles a router's answer to a request sent at a time. A router that updates others
// accepts only updates that the answering router received from the store itself.
func (c *Controller) receive(ctx context.Context, id string, answer *peer.UpdatesAnswer, sent time.Time) {
	c.noteSyncing(id, answer)
	newer := answer.Config > c.Configs.Version()
	if newer {
		c.fetchOnce(ctx, id)
	}
	var kindsToList []peer.Kind
	defer func() { c.readLists(ctx, id, kindsToList) }()
	routers, err := c.applyChanges(peer.KindRouters, answer.Routers)
	if err != nil {
		c.rejectChanges(id, err)
		return
	}
	if routers == listRequired {
		kindsToList = append(kindsToList, peer.KindRouters)
	}
	accepted := answer.Direct || !c.UpdatesOthers()
	switch {
	case answer.Current && !accepted && answer.Origin != c.Members.Self().ID:
		c.switchTo(answer.Origin)
		return
	case !answer.Current || !accepted:
		if answer.Lost && accepted {
			c.noteStoreLost()
		}
		c.tryNext()
		return
	}
	if !c.UpToDate() && !c.StoreFresh() {
		c.Servers.StoreRestored()
	}
	c.Evacuations.Apply(answer.Evacuated, answer.EvacuatedAt, id)
	received := timestampsOf(answer.Ages, sent)
	if newer {
		received.Config = time.Time{} // still being fetched
	}
	servers, err := c.applyChanges(peer.KindServers, answer.Servers)
	if err != nil {
		c.rejectChanges(id, err)
		return
	}
	if servers == listRequired {
		kindsToList = append(kindsToList, peer.KindServers)
	}
	if servers != appliedAll {
		received.Servers = time.Time{} // not all changes have been received
	}
	c.noteUpdate(id, answer, received, servers == appliedPart)
}

// rejectChanges logs that a router's changes cannot be decoded and switches to the next
// candidate.
func (c *Controller) rejectChanges(id string, cause error) {
	c.Log.Error("failed to decode changes", zap.String("router", id), zap.Error(cause))
	c.tryNext()
}

// noteUpdate records an update, the times up to which all changes have been received with it, and
// whether more changes are to follow.
func (c *Controller) noteUpdate(id string, answer *peer.UpdatesAnswer, received Timestamps, moreChanges bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.updatedAt, c.relay, c.origin = clock.Now(), id, answer.Origin
	c.known = c.known.latest(received)
	c.moreChanges = moreChanges
	if !c.relayLogged {
		c.relayLogged = true
		c.Log.Info("receiving updates from another router", zap.String("router", id), zap.String("origin", answer.Origin), zap.Int64("revision", answer.Servers.UpTo))
	}
}

// fetchOnce fetches the configuration from another router in the background, unless a transfer is
// in progress.
func (c *Controller) fetchOnce(ctx context.Context, id string) {
	if !c.fetching.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer c.fetching.Store(false)
		if err := c.fetch(ctx, id); err != nil {
			c.Log.Info("configuration not fetched", zap.String("router", id), zap.Error(err))
			c.tryNext()
		}
	}()
}

func (c *Controller) fetch(ctx context.Context, id string) error {
	addr, ok := c.Members.Addr(id)
	if !ok {
		return peer.ErrNotSent
	}
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	answer, err := c.Calls.Config(ctx, addr)
	if err != nil {
		return err
	}
	return c.Configs.ApplyPacked(answer.Packed, id)
}
