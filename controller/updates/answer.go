package updates

import (
	"context"
	"time"

	"github.com/gaplink/gaplink/clock"
	"github.com/gaplink/gaplink/peer"
)

// Config answers another router that fetches the configuration.
func (c *Controller) Config(context.Context, *peer.Empty) (*peer.ConfigAnswer, error) {
	packed, err := c.Configs.Packed()
	return &peer.ConfigAnswer{Packed: packed}, err
}

// noteAnsweredElsewhere records that the store answers another router, which waits for updates
// from this one.
func (c *Controller) noteAnsweredElsewhere() {
	if !c.UpdatesOthers() || c.StoreFresh() {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if clock.Since(c.answeredElsewhere) >= storeRetryInterval {
		c.answeredElsewhere = clock.Now()
	}
}

// StoreAnswered returns when the store last answered a call of this process, or of another
// router that waits for updates from this one.
func (c *Controller) StoreAnswered() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return later(c.Answered(), c.answeredElsewhere)
}

// unknownSeq is a sequence number before the start of every log.
const unknownSeq = -1

// Answer answers another router's update request.
func (c *Controller) Answer(_ context.Context, req *peer.UpdatesRequest) (*peer.UpdatesAnswer, error) {
	if req.StoreAnswered {
		c.noteAnsweredElsewhere()
	}
	// The ages are read before everything that they are the ages of, which may be newer.
	answer := &peer.UpdatesAnswer{Ages: c.Ages(), Source: c.Self}
	answer.Config = c.Configs.Version()
	verdicts, limits := req.VerdictSeq, req.LimitSeq
	if req.ReportSource != c.Self {
		verdicts, limits = unknownSeq, unknownSeq
	}
	answer.Verdicts, answer.VerdictSeq = c.Verdicts.Since(verdicts)
	answer.Limits, answer.LimitSeq = c.Limits.Since(limits)
	c.setSourceState(answer)
	answer.Routers = c.changesSince(peer.KindRouters, req.Routers)
	if !answer.Current {
		return answer, nil
	}
	answer.Evacuated, answer.EvacuatedAt = c.Evacuations.Known()
	answer.Servers = c.changesSince(peer.KindServers, req.Servers)
	return answer, nil
}

// setSourceState sets whether this router has current state from the store, whether the store is
// lost, and where it knows this from: the store itself or, at a relay, the watchers.
func (c *Controller) setSourceState(answer *peer.UpdatesAnswer) {
	answer.Lost = c.StoreCallFailed()
	answer.Current = c.StoreFresh() && c.Servers.Ready()
	if answer.Lost || answer.Current {
		answer.Direct = true
		answer.Origin = c.Members.Self().ID
		return
	}
	relays := c.Large() && c.IsRelay()
	c.mu.Lock()
	defer c.mu.Unlock()
	if !relays {
		return
	}
	answer.Lost = c.lostAtRelays()
	answer.Current = c.upToDate()
	answer.Origin = c.origin
}
