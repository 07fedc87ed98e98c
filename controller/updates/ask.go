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

// Run requests updates periodically until the context ends. In a small fleet it does so only
// while the store does not answer.
func (c *Controller) Run(ctx context.Context) {
	go c.checkRoles(ctx)
	for ctx.Err() == nil {
		wakeups.Count(wakeups.Updates)
		if c.StoreCallFailed() || c.Large() {
			c.startRequest(ctx)
		}
		_ = wait.For(ctx, c.pause())
	}
}

// startRequest sends an update request and waits until it ends or hedgeDelay has passed, unless
// requests overlap. A slow request continues while the next candidate is queried. Only Run calls it.
func (c *Controller) startRequest(ctx context.Context) {
	if len(c.inFlight) >= c.maxRequests() {
		return
	}
	c.inFlight <- struct{}{}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		defer func() { <-c.inFlight }()
		c.requestUpdates(ctx)
	}()
	if c.overlaps() {
		go c.hedge(ctx, ended)
		return
	}
	c.hedge(ctx, ended)
}

// hedge waits for a request to end and switches to the next candidate if it is slow.
func (c *Controller) hedge(ctx context.Context, ended <-chan struct{}) {
	slow := time.NewTimer(hedgeDelay)
	defer slow.Stop()
	select {
	case <-ended:
	case <-slow.C:
		c.tryNext()
	case <-ctx.Done():
	}
}

// timeout returns the current timeout of a call, which is normal while the link is not saturated.
func (c *Controller) timeout(normal time.Duration) time.Duration {
	if c.Timeout == nil {
		return normal
	}
	return c.Timeout(normal)
}

// pause returns the time until the next request.
func (c *Controller) pause() time.Duration {
	switch {
	case !c.Large() && !c.StoreCallFailed():
		return requestInterval
	case !c.Servers.Ready():
		return c.startupPause()
	case c.hasMoreChanges():
		return moreChangesPause
	case c.Large() && c.isBehind():
		return catchUpInterval
	case !c.UpToDate():
		return c.forLink(requestInterval) // updates may resume at any time
	default:
		return c.forLink(c.interval())
	}
}

// hasMoreChanges reports whether the last answer held only part of the changes.
func (c *Controller) hasMoreChanges() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.moreChanges
}

// startupPause returns the pause between requests before the first update, with a jitter of half
// the pause either way: hundreds of routers that start together query the same relays.
func (c *Controller) startupPause() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	pause := min(initialRequestInterval<<c.startupRequests, requestInterval)
	if pause < requestInterval {
		c.startupRequests++
	}
	return pause/2 + rand.N(pause)
}

// isBehind reports whether this router lacks updates that it may receive soon: other routers wait
// for them, or its state has recently exceeded the staleness bound of a relay.
func (c *Controller) isBehind() bool {
	if c.UpdatesOthers() {
		return !c.RecentlyUpdated() && !c.StoreFresh()
	}
	expected := 2*c.interval() + catchUpGrace
	c.mu.Lock()
	defer c.mu.Unlock()
	ages := c.known.ages(clock.Now())
	expectsUpdate := clock.Since(c.updatedAt) <= expected || clock.Since(c.Answered()) <= expected
	return expectsUpdate && !withinLimits(ages, c.StaleAfter(true))
}

// chooseRouter returns the router to query: the sender of the last update, or the next candidate.
func (c *Controller) chooseRouter() (string, bool) {
	c.mu.Lock()
	relay, next := c.relay, c.nextIndex
	c.mu.Unlock()
	if relay != "" {
		return relay, true
	}
	ids := c.candidates()
	if next%randomPeerEvery == randomPeerEvery-1 {
		ids = c.Members.Others(clock.Now())
		next = rand.IntN(max(len(ids), 1))
	}
	if len(ids) == 0 {
		return "", false
	}
	return ids[next%len(ids)], true
}

func (c *Controller) requestUpdates(ctx context.Context) {
	id, ok := c.chooseRouter()
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
	answer, err := c.Calls.Updates(callCtx, addr, c.newRequest())
	c.observeDuration(clock.Since(begun), err)
	if err != nil {
		if c.OnFailure != nil {
			c.OnFailure(begun, err)
		}
		c.Members.ReportFailure(id, err)
		c.tryNext()
		return
	}
	c.receiveMu.Lock()
	defer c.receiveMu.Unlock()
	c.Members.ReportSuccess(id)
	c.receiveReports(answer)
	c.receive(ctx, id, answer, begun)
}

// observeDuration reports the duration of a request. One without an answer counts with at most the
// timeout of an idle link: it shows that the other router is silent rather than a longer queue.
func (c *Controller) observeDuration(took time.Duration, err error) {
	if c.ObserveDuration == nil {
		return
	}
	if err != nil {
		took = min(took, callTimeout)
	}
	c.ObserveDuration(took)
}

// newRequest returns a request for the changes since the last received ones.
func (c *Controller) newRequest() *peer.UpdatesRequest {
	servers, routers := c.Servers.Revision(), int64(0)
	if c.Routers != nil {
		routers = c.Routers.Revision()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return &peer.UpdatesRequest{
		Servers: servers, Routers: routers,
		ReportSource: c.reportSource, VerdictSeq: c.verdictSeq, LimitSeq: c.limitSeq,
		StoreAnswered: !c.upToDate() && clock.Since(c.Answered()) <= requestInterval,
	}
}
