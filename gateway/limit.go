package gateway

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/gaplink/gaplink/limiter"
	"github.com/gaplink/gaplink/placement"
	"github.com/gaplink/gaplink/result"
	"github.com/gaplink/gaplink/retryafter"
)

const (
	// maxPermitDenials is how many servers may deny a request a permit before only servers
	// without a rate limit are considered: each denial may cost a call to another router.
	maxPermitDenials = 3
	// limitedRetryJitter spreads the retries of callers that were refused because all servers
	// are at their rate limit: their next permits are due at about the same time.
	limitedRetryJitter = 500 * time.Millisecond
)

// Limits observes the rate limits that servers announce.
type Limits interface {
	Observe(limiter.Observation)
}

// pick chooses a server for the next attempt that admits it; the error says why there is none.
func (c *call) pick(ctx context.Context, tried map[placement.Incarnation]bool) (*attempt, *result.Error) {
	q := c.query(tried)
	c.slotDenied = false
	for denied := 0; ; denied++ {
		q.Unrestricted = denied >= maxPermitDenials
		server, ok := c.g.Servers.Pick(q)
		if !ok {
			return nil, c.noServer(q)
		}
		if a, ok := c.admit(ctx, server, q.Rank); ok {
			return a, nil
		}
		c.g.Servers.CancelPick(server.Incarnation(), q.Tokens)
		if err := ctx.Err(); err != nil {
			return nil, c.timeoutRefusal(err)
		}
	}
}

// admit obtains a permit for an attempt at a server, and a loan of a slot if the server is brittle.
func (c *call) admit(ctx context.Context, s placement.Server, rank int) (*attempt, bool) {
	loan, ok := c.g.Servers.Borrow(ctx, s)
	if !ok {
		c.slotDenied = true
		return nil, false
	}
	permit, ok := c.g.Servers.Admit(ctx, s, rank)
	if !ok {
		c.g.Servers.ReturnSlot(s, loan, false)
		return nil, false
	}
	return &attempt{call: c, server: s, permit: permit, loan: loan, record: attemptRecord{server: s.ID, version: s.Version, registrationAge: unknownAge}}, true
}

// noServer returns the error for a request for which no server can be chosen.
func (c *call) noServer(q placement.Query) *result.Error {
	if refusal := c.overloadRefusal(); refusal != nil {
		return refusal
	}
	q.Unrestricted = false
	wait, limited := c.g.Servers.NextPermit(q)
	if !limited {
		return c.noServerInUse()
	}
	after := wait + rand.N(limitedRetryJitter)
	refusal := result.New(result.ServersLimited, "the servers of %s take no further request now", c.service.Name).After(after)
	return c.temporary(refusal, retryafter.RateLimited, wait)
}

// noServerInUse returns the error for a request that can be sent to no further server. If one of the
// servers refused it, they are busy; otherwise nothing predicts when there is one.
func (c *call) noServerInUse() *result.Error {
	if c.versionGone() {
		return result.New(result.VersionUnavailable, "no server of the version of %s that began the stream is in use", c.service.Name).After(noServerRetryAfter)
	}
	refusal := result.New(result.NoBackend, "no server of %s is in use", c.service.Name).After(noServerRetryAfter)
	if !c.refusedByServer {
		return refusal
	}
	return c.temporary(refusal, retryafter.Busy, 0)
}
