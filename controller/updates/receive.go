package updates

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/gaplink/gaplink/clock"
	"github.com/gaplink/gaplink/peer"
)

// receiveReports takes the reports on requests that crash servers and on rate limits of an
// answer, which may hold them without an update from the store.
func (c *Controller) receiveReports(answer *peer.UpdatesAnswer) {
	c.Verdicts.Receive(answer.Verdicts)
	c.Limits.Receive(answer.Limits)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reportSource, c.verdictSeq, c.limitSeq = "", answer.VerdictSeq, answer.LimitSeq
	if answer.VerdictSeq > 0 || answer.LimitSeq > 0 { // empty logs need not be named
		c.reportSource = answer.Source
	}
}

// tryNext turns to the next candidate.
func (c *Controller) tryNext() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.next++
	c.relay = ""
	c.lacks = false
	c.logged = false
}

// askNext sends the next request to a router from which another one has its updates.
func (c *Controller) askNext(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.relay = id
}

// noteStoreLost notes that the store does not answer a watcher.
func (c *Controller) noteStoreLost() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lostAt = clock.Now()
}

// receive takes the answer of a router to a request sent at a time. A router that updates others
// accepts only what the answering router has from the store itself.
func (c *Controller) receive(ctx context.Context, id string, answer *peer.UpdatesAnswer, sent time.Time) {
	c.notePromise(id, answer)
	newer := answer.Config > c.Configs.Version()
	if newer {
		c.fetchOnce(ctx, id)
	}
	var due []peer.Kind
	defer func() { c.readLists(ctx, id, due) }()
	routers, err := c.take(peer.KindRouters, answer.Routers)
	if err != nil {
		c.unreadable(id, err)
		return
	}
	if routers == takenNone {
		due = append(due, peer.KindRouters)
	}
	accepted := answer.Direct || !c.UpdatesOthers()
	switch {
	case answer.Current && !accepted && answer.Origin != c.Members.Self().ID:
		c.askNext(answer.Origin)
		return
	case !answer.Current || !accepted:
		if answer.Lost && accepted {
			c.noteStoreLost()
		}
		c.tryNext()
		return
	}
	if !c.UpToDate() && !c.Fresh() {
		c.Servers.Regained()
	}
	c.Evacuations.Take(answer.Evacuated, answer.EvacuatedAt, id)
	received := timestampsOf(answer.Ages, sent)
	if newer {
		received.Config = time.Time{} // it is being fetched
	}
	servers, err := c.take(peer.KindServers, answer.Servers)
	if err != nil {
		c.unreadable(id, err)
		return
	}
	if servers == takenNone {
		due = append(due, peer.KindServers)
	}
	if servers != takenAll {
		received.Servers = time.Time{} // not all changes have come
	}
	c.noteUpdate(id, answer, received, servers == takenSome)
}

// unreadable turns to another router than one whose changes cannot be read.
func (c *Controller) unreadable(id string, cause error) {
	c.Log.Error("changes are not readable", zap.String("router", id), zap.Error(cause))
	c.tryNext()
}

// noteUpdate notes an update, up to when all changes have come with it, and whether some lack.
func (c *Controller) noteUpdate(id string, answer *peer.UpdatesAnswer, received Timestamps, lacks bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.updatedAt, c.relay, c.origin = clock.Now(), id, answer.Origin
	c.known = c.known.or(received)
	c.lacks = lacks
	if !c.logged {
		c.logged = true
		c.Log.Info("receiving updates from another router", zap.String("router", id), zap.String("origin", answer.Origin), zap.Int64("revision", answer.Servers.UpTo))
	}
}

// fetchOnce fetches the configuration of another router in the background, unless a transfer is
// under way.
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
	return c.Configs.TakePacked(answer.Packed, id)
}
