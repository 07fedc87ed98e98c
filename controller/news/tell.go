package news

import (
	"context"
	"time"

	"github.com/gaplink/gaplink/clock"
	"github.com/gaplink/gaplink/peer"
)

// This file answers the questions of other routers.

// Config answers another router that fetches the configuration.
func (c *Controller) Config(context.Context, *peer.Empty) (*peer.ConfigAnswer, error) {
	packed, err := c.Configs.Packed()
	return &peer.ConfigAnswer{Packed: packed}, err
}

// noteAnsweredElsewhere notes that the store answers another router, which waits for this one.
func (c *Controller) noteAnsweredElsewhere() {
	if !c.passesOn() || c.Fresh() {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if clock.Since(c.answeredElsewhere) >= retryEvery {
		c.answeredElsewhere = clock.Now()
	}
}

// StoreAnswered tells when the store last answered a call of this process, or another router
// that waits for this one.
func (c *Controller) StoreAnswered() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return later(c.Answered(), c.answeredElsewhere)
}

// unknownSeq is a number that no log goes back to.
const unknownSeq = -1

// Answer answers another router's question.
func (c *Controller) Answer(_ context.Context, req *peer.NewsRequest) (*peer.NewsAnswer, error) {
	if req.StoreAnswered {
		c.noteAnsweredElsewhere()
	}
	answer := &peer.NewsAnswer{Config: c.Configs.Version(), Source: c.Self}
	verdicts, limits := req.VerdictSeq, req.LimitSeq
	if req.ReportSource != c.Self {
		verdicts, limits = unknownSeq, unknownSeq
	}
	answer.Verdicts, answer.VerdictSeq = c.Verdicts.Since(verdicts)
	answer.Limits, answer.LimitSeq = c.Limits.Since(limits)
	c.tell(answer)
	answer.Ages = c.Ages()
	if !answer.Current {
		return answer, nil
	}
	seq := req.Seq
	if req.Source != c.Self {
		seq = 0
	}
	answer.Emptied, answer.EmptiedAt = c.Evacuations.Known()
	changed, last, held := c.Servers.Since(seq)
	if !held {
		return answer, c.tellAll(answer)
	}
	answer.Servers, answer.Seq = registrations(changed), last
	return answer, nil
}

// tell fills in what is known of the store, from itself or, at a teller, from those
// that watch it.
func (c *Controller) tell(answer *peer.NewsAnswer) {
	answer.Lost = c.Lost()
	answer.Current = c.Fresh() && c.Servers.Ready()
	if answer.Lost || answer.Current {
		answer.Direct = true
		answer.Origin = c.Members.Self().ID
		answer.Revision = c.Revision()
		return
	}
	relays := c.Large() && c.isTeller()
	c.mu.Lock()
	defer c.mu.Unlock()
	if !relays {
		return
	}
	answer.Lost = c.toldLost()
	answer.Current = c.heard()
	answer.Origin = c.origin
	answer.Revision = c.revision
}
