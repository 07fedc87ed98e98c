package registry

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/gaplink/gaplink/clock"
	"github.com/gaplink/gaplink/placement"
	"github.com/gaplink/gaplink/retry"
	"github.com/gaplink/gaplink/upstream"
)

const (
	// silenceCheckTimeout is how long the check of a server that does not respond waits for a byte. The next check of
	// the server follows after minCheckInterval, then after twice the interval before, up to maxCheckInterval.
	silenceCheckTimeout = 600 * time.Millisecond
	minCheckInterval    = 500 * time.Millisecond
	maxCheckInterval    = 4 * time.Second
	// maxChecksPerTick bounds the checks started in one tick: to a router that is cut off no server responds.
	maxChecksPerTick = 8
)

// Attempts are the attempts that ended without an answer and may still arrive at their servers. They are
// implemented by retry.Budgets.
type Attempts interface {
	// Answered records that a server answered a request on a path that was sent at a given time.
	Answered(now time.Time, path retry.Path, sentAt time.Time)
	// Gone records that a process has ended.
	Gone(in placement.Incarnation)
}

// SetAttempts sets the attempts that are settled when a server responds to a check or its process ends.
func (c *Controller) SetAttempts(a Attempts) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.attempts = a
}

// silenceCheck is when a server that does not respond is checked again.
type silenceCheck struct {
	next     time.Time
	interval time.Duration
}

// SetHealthPath sets the function that returns the path of a service's health check; empty if it has none.
func (c *Controller) SetHealthPath(path func(service string) string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.healthPath = path
}

// Sending records that a request is being sent to a server process.
func (c *Controller) Sending(in placement.Incarnation) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.servers.Sending(clock.Now(), in)
}

// Heard records that bytes of a response came from a server process.
func (c *Controller) Heard(in placement.Incarnation) {
	c.mu.Lock()
	since := c.servers.Heard(in)
	delete(c.silenceChecks, in)
	c.mu.Unlock()
	if !since.IsZero() {
		c.log.Info("server responds again", zap.String("server", in.ID), zap.Int64("started", in.Started), zap.Duration("silent_for", clock.Since(since)))
	}
}

// WasHeard reports whether a byte of a response has come from a server process.
func (c *Controller) WasHeard(in placement.Incarnation) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.servers.WasHeard(in)
}

// silenceChecksDue returns the servers that do not respond and are to be checked now. The caller holds c.mu.
func (c *Controller) silenceChecksDue(now time.Time) (due []placement.Server) {
	if c.healthPath == nil || c.attempts == nil {
		return nil
	}
	for _, s := range c.servers.Unheard(now) {
		check := c.silenceChecks[s.Incarnation()]
		if now.Before(check.next) {
			continue
		}
		if len(due) == maxChecksPerTick {
			break
		}
		check.interval = min(max(2*check.interval, minCheckInterval), maxCheckInterval)
		check.next = now.Add(silenceCheckTimeout + check.interval)
		c.silenceChecks[s.Incarnation()] = check
		due = append(due, s)
	}
	return due
}

// checkSilence checks whether a server that does not respond to requests responds to its health check.
func (c *Controller) checkSilence(ctx context.Context, s placement.Server) {
	ctx, cancel := context.WithTimeout(ctx, silenceCheckTimeout)
	defer cancel()
	began := clock.Now()
	in := s.Incarnation()
	router, err := c.pool.CheckResponse(ctx, s, upstream.HealthRequest(c.healthPath(s.Service)))
	if err == nil {
		c.Heard(in)
		c.attempts.Answered(clock.Now(), retry.Path{Server: in, Router: router}, began)
		return
	}
	c.mu.Lock()
	silent := c.servers.Silent(in, began)
	c.mu.Unlock()
	if silent {
		c.log.Warn("server silent", zap.String("server", in.ID), zap.Int64("started", in.Started), zap.String("service", s.Service), zap.Error(err))
	}
}
