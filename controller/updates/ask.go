package updates

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/gaplink/gaplink/clock"
	"github.com/gaplink/gaplink/peer"
	"github.com/gaplink/gaplink/wait"
	"github.com/gaplink/gaplink/wakeups"
)

// Run requests updates at intervals in a large fleet, and in a small one while the store does
// not answer, until the context ends.
func (c *Controller) Run(ctx context.Context) {
	go c.watchRole(ctx)
	for ctx.Err() == nil {
		wakeups.Note(wakeups.Updates)
		if c.Lost() || c.Large() {
			c.startAsking(ctx)
		}
		_ = wait.For(ctx, c.pause())
	}
}

// startAsking sends a request for updates, and waits for its end or for slowAfter. A slow request
// goes on while the next candidate is asked.
func (c *Controller) startAsking(ctx context.Context) {
	select {
	case c.asking <- struct{}{}:
	default:
		return
	}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		defer func() { <-c.asking }()
		c.ask(ctx)
	}()
	slow := time.NewTimer(slowAfter)
	defer slow.Stop()
	select {
	case <-ended:
	case <-slow.C:
		c.tryNext()
	case <-ctx.Done():
	}
}

// timeout returns the time that a call may take now which takes no longer than normal while the
// link is not full.
func (c *Controller) timeout(normal time.Duration) time.Duration {
	if c.Timeout == nil {
		return normal
	}
	return c.Timeout(normal)
}

// pause returns the time until the next request.
func (c *Controller) pause() time.Duration {
	switch {
	case !c.Large() && !c.Lost():
		return askEvery
	case !c.Servers.Ready():
		return c.pauseBeforeFirst()
	case c.lacksChanges():
		return askAtOnce
	case c.Large() && c.isBehind():
		return askSoon
	case !c.UpToDate():
		return askEvery // updates may come again at any moment
	default:
		return c.interval()
	}
}

// lacksChanges tells whether the last answer held a part of the changes.
func (c *Controller) lacksChanges() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lacks
}

// pauseBeforeFirst returns the pause before the first update, more or less a half: hundreds of
// routers that start together ask the same relays.
func (c *Controller) pauseBeforeFirst() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	pause := min(askFirst<<c.firstAsks, askEvery)
	if pause < askEvery {
		c.firstAsks++
	}
	return pause/2 + rand.N(pause)
}

// isBehind tells whether this router lacks updates that it may get soon: others wait for them,
// or its state has just exceeded the bound of a relay.
func (c *Controller) isBehind() bool {
	if c.UpdatesOthers() {
		return !c.RecentlyUpdated() && !c.Fresh()
	}
	expected := 2*c.interval() + soonFor
	c.mu.Lock()
	defer c.mu.Unlock()
	ages := c.known.ages(clock.Now())
	expectsUpdate := clock.Since(c.updatedAt) <= expected || clock.Since(c.Answered()) <= expected
	return expectsUpdate && !within(ages, c.StaleAfter(true))
}

// choose returns the router to ask: the one that sent the last update, or the next candidate.
func (c *Controller) choose() (string, bool) {
	c.mu.Lock()
	relay, next := c.relay, c.next
	c.mu.Unlock()
	if relay != "" {
		return relay, true
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
		c.tryNext()
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, c.timeout(callTimeout))
	defer cancel()
	begun := clock.Now()
	answer, err := c.Calls.Updates(callCtx, addr, c.request())
	if c.Took != nil {
		c.Took(clock.Since(begun))
	}
	if err != nil {
		if c.Failed != nil {
			c.Failed(begun, err)
		}
		c.Members.Failed(id, err)
		c.tryNext()
		return
	}
	c.receiving.Lock()
	defer c.receiving.Unlock()
	c.Members.Reached(id)
	c.receiveReports(answer)
	c.receive(ctx, id, answer, begun)
}

// request returns a request for the changes after those received last.
func (c *Controller) request() *peer.UpdatesRequest {
	servers, routers := c.Servers.Revision(), int64(0)
	if c.Routers != nil {
		routers = c.Routers.Revision()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return &peer.UpdatesRequest{
		Servers: servers, Routers: routers,
		ReportSource: c.reportSource, VerdictSeq: c.verdictSeq, LimitSeq: c.limitSeq,
		StoreAnswered: !c.upToDate() && clock.Since(c.Answered()) <= askEvery,
	}
}
