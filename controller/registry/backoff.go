package registry

import (
	"time"

	"go.uber.org/zap"

	"github.com/gaplink/gaplink/clock"
	"github.com/gaplink/gaplink/placement"
	"github.com/gaplink/gaplink/retry"
)

const (
	// maxBackoff is the longest backoff that is applied: a faulty response must not take a server
	// out of use for good.
	maxBackoff = time.Hour
	// A backoff is extended by a random time of up to backoffJitterShare of it and up to
	// maxBackoffJitter, since a server often asks many routers at once for the same time.
	backoffJitterShare = 0.1
	maxBackoffJitter   = 500 * time.Millisecond
	// backoffLogInterval is the minimum time between two log lines about backoffs.
	backoffLogInterval = 100 * time.Millisecond
)

// BackOff records that a process has rejected a request and asked this router for no further
// requests for the given time.
func (c *Controller) BackOff(in placement.Incarnation, asked time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := clock.Now()
	applied := min(asked, maxBackoff) + c.backoffJitter(asked)
	if !c.servers.BackOff(now, in, now.Add(applied)) {
		return
	}
	if leftOut, allowed := c.backoffLines.Allow(now, backoffLogInterval); allowed {
		c.log.Info("server asks for a backoff", zap.String("server", in.ID), zap.Int64("started", in.Started),
			zap.Duration("asked_ms", asked), zap.Duration("applied_ms", applied), zap.Int64("lines_left_out", leftOut))
	}
}

// backoffJitter returns the random extension of a backoff. The caller holds the lock.
func (c *Controller) backoffJitter(asked time.Duration) time.Duration {
	most := min(time.Duration(backoffJitterShare*float64(asked)), maxBackoffJitter)
	if most <= 0 {
		return 0
	}
	return time.Duration(c.rng.Int64N(int64(most)))
}

// RecordAccepted records that a process has accepted a request, as its response shows.
func (c *Controller) RecordAccepted(in placement.Incarnation) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.servers.RecordAccepted(clock.Now(), in)
}

// ReturnAfter returns when a caller should come back that was refused because no server takes
// requests for the given time, as retry.ReturnAfter does.
func (c *Controller) ReturnAfter(wait time.Duration, priority int) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return retry.ReturnAfter(c.rng, wait, priority)
}

// BackoffWait returns how long all servers that could run a request will be backing off. It
// returns false if one of them is not, or if there is none.
func (c *Controller) BackoffWait(q placement.Query) (wait time.Duration, backingOff bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	q.Now = clock.Now()
	at, backingOff := c.servers.BackoffEnd(q)
	return at.Sub(q.Now), backingOff
}
