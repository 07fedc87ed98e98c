package news

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/gaplink/gaplink/clock"
	"github.com/gaplink/gaplink/peer"
	"github.com/gaplink/gaplink/wait"
)

// This file is whom this router asks for news, and how often.

// Run asks another router every so often in a large fleet, and in a small one while
// the store does not answer.
func (c *Controller) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if c.Lost() || c.Large() {
			c.ask(ctx)
		}
		_ = wait.For(ctx, c.pause())
	}
}

// pause is the time until the next question.
func (c *Controller) pause() time.Duration {
	switch {
	case !c.Large() && !c.Lost():
		return askEvery
	case !c.Servers.Ready():
		return askFirst
	case c.Large() && c.isBehind():
		return askSoon
	default:
		return askEvery
	}
}

// isBehind tells whether this router should soon hear what others have found: others wait
// for it, or its news have just become too old to be passed on.
func (c *Controller) isBehind() bool {
	if c.passesOn() {
		return !c.HeardLately() && !c.Fresh()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	ages := c.asOf.ages(clock.Now())
	mayBeTold := clock.Since(c.current) <= soonFor || clock.Since(c.Answered()) <= soonFor
	return mayBeTold && !within(ages, c.TooOld(true))
}

// choose returns the router to ask: the one that told the newest last, or else the
// next one.
func (c *Controller) choose() (string, bool) {
	c.mu.Lock()
	teller, next := c.teller, c.next
	c.mu.Unlock()
	if teller != "" {
		return teller, true
	}
	ids := c.candidates()
	if next%strayEvery == strayEvery-1 {
		ids = c.Members.Others(clock.Now())
		next = rand.IntN(max(len(ids), 1))
	}
	if len(ids) == 0 {
		return "", false
	}
	return ids[next%len(ids)], true
}

func (c *Controller) ask(ctx context.Context) {
	id, ok := c.choose()
	if !ok {
		return
	}
	addr, ok := c.Members.Addr(id)
	if !ok {
		c.failed()
		return
	}
	c.mu.Lock()
	req := &peer.NewsRequest{Source: c.source, Seq: c.seq, ReportSource: c.reportSource, VerdictSeq: c.verdictSeq, LimitSeq: c.limitSeq}
	req.StoreAnswered = !c.heard() && clock.Since(c.Answered()) <= askEvery
	c.mu.Unlock()
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	begun := clock.Now()
	answer, err := c.Calls.News(callCtx, addr, req)
	if c.Took != nil {
		c.Took(clock.Since(begun))
	}
	if err != nil {
		if c.Failed != nil {
			c.Failed(begun, err)
		}
		c.Members.Failed(id, err)
		c.failed()
		return
	}
	c.Members.Reached(id)
	c.takeReports(answer)
	c.take(ctx, id, answer, begun)
}

// ToldRevision returns the store's revision up to which other routers have told all changes of
// registrations; 0: they have told none.
func (c *Controller) ToldRevision() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.revision
}
