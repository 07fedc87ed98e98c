package registry

import (
	"context"
	"time"

	"github.com/gaplink/gaplink/clock"
	"github.com/gaplink/gaplink/controller/limits"
	"github.com/gaplink/gaplink/limiter"
	"github.com/gaplink/gaplink/placement"
)

// Limits enforces rate limits of servers across all routers.
type Limits interface {
	// MayAdmit reports whether a permit for a server may be available now, and Wait how long it
	// takes until one may be.
	MayAdmit(now time.Time, t limits.Target) bool
	Wait(now time.Time, t limits.Target) time.Duration
	// Restricted reports whether a server has a rate limit.
	Restricted(t limits.Target) bool
	// Admit acquires a permit for a request to a server, or returns false.
	Admit(ctx context.Context, t limits.Target) (limits.Permit, bool)
	// Valid reports whether a request with a permit may be sent now.
	Valid(now time.Time, t limits.Target, p limits.Permit) bool
}

// SetLimits sets the component that enforces the rate limits of servers. Call it before the first
// registration is applied; without it no rate is limited.
func (c *Controller) SetLimits(l Limits) { c.limits = l }

// limitTarget returns the target of a rate limit for a request to a server. The caller holds
// the lock.
func (c *Controller) limitTarget(s placement.Server, cold bool, rank int) limits.Target {
	t := limits.Target{Server: s.Incarnation(), Rank: limiter.Rank(rank)}
	if cold {
		t.ColdRate = c.warmups[s.Service].Rate
	}
	return t
}

// allowedByRate reports whether the rate limit of a server allows a request. The caller holds the
// lock.
func (c *Controller) allowedByRate(q placement.Query, s placement.Server, cold bool) bool {
	switch t := c.limitTarget(s, cold, q.Rank); {
	case c.limits == nil:
		return true
	case q.Unrestricted:
		return !c.limits.Restricted(t)
	default:
		return c.limits.MayAdmit(q.Now, t)
	}
}

// Admit acquires a permit for a request of the given rank to a server. It returns false if
// the rate limit allows no request now and the request must go to another server.
func (c *Controller) Admit(ctx context.Context, s placement.Server, rank int) (limits.Permit, bool) {
	if c.limits == nil {
		return limits.Permit{}, true
	}
	c.mu.Lock()
	t := c.limitTarget(s, c.servers.IsCold(clock.Now(), s.Incarnation()), rank)
	c.mu.Unlock()
	return c.limits.Admit(ctx, t)
}

// MaySend reports whether an admitted request may be sent now to the server process that was
// picked for it.
func (c *Controller) MaySend(s placement.Server, p limits.Permit) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := clock.Now()
	if !c.servers.MaySend(now, s.Incarnation()) {
		return false
	}
	return c.limits == nil || c.limits.Valid(now, c.limitTarget(s, c.servers.IsCold(now, s.Incarnation()), 0), p)
}

// NextPermit returns the shortest time until a server of a service may get a request again, for
// a service whose candidates are all closed by rate limits now. It returns false if there is no
// candidate or if no rate is enforced.
func (c *Controller) NextPermit(q placement.Query) (wait time.Duration, limited bool) {
	if c.limits == nil {
		return 0, false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	q.Now = clock.Now()
	q.MayAdmit = func(s placement.Server, cold bool) bool {
		if left := c.limits.Wait(q.Now, c.limitTarget(s, cold, q.Rank)); !limited || left < wait {
			wait, limited = left, true
		}
		return false
	}
	c.servers.Pick(c.rng, q)
	return wait, limited
}
