package limits

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/gaplink/gaplink/clock"
	"github.com/gaplink/gaplink/limiter"
	"github.com/gaplink/gaplink/peer"
	"github.com/gaplink/gaplink/placement"
	"github.com/gaplink/gaplink/result"
)

// Target is the process that a request is meant for, the rate that it takes while it is cold,
// and the urgency of the request.
type Target struct {
	Server placement.Incarnation
	// ColdRate is 0 for a process that is warm.
	ColdRate limiter.Rate
	// Rank is the urgency of the request.
	Rank limiter.Rank
}

// Permit allows one request to be sent to a server. The zero value is valid for servers
// without a limit.
type Permit struct{ requestedAt time.Time }

// valid reports whether a permit may still be used at a limited server.
func (p Permit) valid(now time.Time) bool { return now.Sub(p.requestedAt) <= limiter.PermitLife }

// rate returns the rate limit in force for a server; false: it has none. The caller holds
// c.mu.
func (c *Controller) rate(t Target) (limiter.Rate, bool) {
	named, limited := c.table.Limit(t.Server)
	switch {
	case limited && t.ColdRate > 0:
		return min(named, t.ColdRate), true
	case limited:
		return named, true
	default:
		return t.ColdRate, t.ColdRate > 0
	}
}

// MayAdmit reports whether a request for a permit for a server may succeed now.
func (c *Controller) MayAdmit(now time.Time, t Target) bool {
	return !c.mayBeLimited(t) || c.Wait(now, t) == 0
}

// mayBeLimited returns false if a server certainly has no limit, without taking the lock.
func (c *Controller) mayBeLimited(t Target) bool {
	return c.Fleet != nil && (t.ColdRate > 0 || c.watching.Load())
}

// Restricted reports whether a server has a rate limit.
func (c *Controller) Restricted(t Target) bool {
	if !c.mayBeLimited(t) {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	_, limited := c.rate(t)
	return limited
}

// Wait returns how long from now a server takes no request from this router.
func (c *Controller) Wait(now time.Time, t Target) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	rate, limited := c.rate(t)
	if !limited {
		return 0
	}
	soonest := retryDelay
	for i, o := range c.owners(now, t, rate) {
		if wait := c.ownerWait(now, t, o); i == 0 || wait < soonest {
			soonest = wait
		}
	}
	return soonest
}

// Valid reports whether a request with a permit may be sent to a server now.
func (c *Controller) Valid(now time.Time, t Target, p Permit) bool {
	return !c.Restricted(t) || p.valid(now)
}

// owner is a router that may be asked for a permit.
type owner struct {
	id string
	// share is the rate that it grants.
	share limiter.Rate
	// fallback is set if it is asked in place of the only owner, which did not answer.
	fallback bool
}

// owners returns the routers that may be asked for a permit for a server: the owners of its
// rate except those that failed to answer recently, or a fallback router in place of an only
// owner. A cold server has no fallback, since nothing determines which routers would grant in
// place of its owner. A router that may not have discovered all others yet asks them and grants
// nothing itself; those that it asks can tell whether they are owners. The caller holds c.mu.
func (c *Controller) owners(now time.Time, t Target, rate limiter.Rate) (list []owner) {
	ids := c.Fleet.Owners(t.Server.ID)
	split := rate.Split(len(ids))
	fleetDiscovered := c.FleetDiscovered()
	for rank, id := range ids {
		o := owner{id: id, share: split.Share, fallback: rank >= split.Owners}
		switch {
		case o.fallback && (split.Owners > 1 || t.ColdRate > 0 || !fleetDiscovered || rank > maxFallbacks || len(list) > 0):
			return list
		case now.Before(c.unanswered[id]), id == c.Self && !fleetDiscovered:
			continue
		case o.fallback:
			o.share = rate.Fallback()
		}
		list = append(list, o)
	}
	return list
}

// rateOwners returns the owners of a server's rate and the share of each.
func (c *Controller) rateOwners(server placement.Incarnation, rate limiter.Rate) (ids []string, share limiter.Rate) {
	ids = c.Fleet.Owners(server.ID)
	split := rate.Split(len(ids))
	return ids[:min(len(ids), split.Owners)], split.Share
}

// ownerWait returns how long from now an owner has no permit for this router. The caller holds
// c.mu.
func (c *Controller) ownerWait(now time.Time, t Target, o owner) time.Duration {
	if o.id == c.Self {
		return c.ledger.Wait(now, t.Server, o.share, t.Rank)
	}
	return c.denials.Wait(now, t.Server, o.id, t.Rank)
}

// chooseOwner returns the owner to ask: this router if it has a permit, or else a random one
// of those that have not denied one recently; false: there is none.
func (c *Controller) chooseOwner(t Target) (chosen owner, req *peer.PermitRequest, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := clock.Now()
	rate, limited := c.rate(t)
	if !limited {
		return owner{}, nil, false
	}
	open := 0
	for _, o := range c.owners(now, t, rate) {
		if c.ownerWait(now, t, o) > 0 {
			continue
		}
		open++
		if o.id == c.Self {
			chosen = o
			break
		}
		if rand.IntN(open) == 0 {
			chosen = o
		}
	}
	return chosen, &peer.PermitRequest{Server: t.Server, Rate: rate, Rank: t.Rank, Fallback: chosen.fallback}, open > 0
}

// Admit gets a permit for a request to a server. False means that the server takes no further
// request from this router for a while. Just after the start it waits until the limits are known.
func (c *Controller) Admit(ctx context.Context, t Target) (Permit, bool) {
	c.loading.Wait(ctx)
	if !c.Restricted(t) {
		return Permit{}, true
	}
	requestedAt := clock.Now()
	granted := c.requestPermit(ctx, t)
	c.mu.Lock()
	defer c.mu.Unlock()
	if !granted {
		c.counts.Denied++
		return Permit{}, false
	}
	c.counts.Granted++
	return Permit{requestedAt: requestedAt}, true
}

// requestPermit asks the owners of a server's rate for a permit, one after the other, up to
// maxOwnersAsked.
func (c *Controller) requestPermit(ctx context.Context, t Target) bool {
	for n := range maxOwnersAsked {
		o, req, ok := c.chooseOwner(t)
		if !ok {
			return false
		}
		req.Again = n > 0
		answer, err := c.requestPermitFrom(ctx, o.id, req)
		switch {
		case errors.Is(err, context.DeadlineExceeded), ctx.Err() != nil:
			return false // no time is left for another owner
		case err != nil:
			continue
		case answer.Granted:
			return true
		}
		c.recordDenial(t, o.id, answer.Wait)
	}
	return false
}

func (c *Controller) recordDenial(t Target, id string, wait time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.denials.Add(t.Server, id, t.Rank, clock.Now().Add(wait))
}

// requestPermitFrom asks one owner, which may be this router.
func (c *Controller) requestPermitFrom(ctx context.Context, id string, req *peer.PermitRequest) (*peer.PermitAnswer, error) {
	if id == c.Self {
		return c.grant(req), nil
	}
	askCtx, cancel := context.WithTimeout(ctx, permitTimeout)
	defer cancel()
	answer, err := c.Fleet.Ask(askCtx, id, req)
	if err != nil && ctx.Err() == nil { // otherwise the caller's request ended, which says nothing about the owner
		c.recordUnanswered(id, req.Server, err)
	}
	return answer, err
}

func (c *Controller) recordUnanswered(id string, server placement.Incarnation, cause error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts.Unanswered++
	c.unanswered[id] = clock.Now().Add(unansweredBackoff)
	c.Log.Info("owner of a server's rate does not answer", zap.String("router", id), zap.String("server", server.ID), zap.Error(cause))
}

// OnPermit handles another router's request for a permit. Until this router has had time
// to discover the others it returns result.Starting, and the other one asks elsewhere.
func (c *Controller) OnPermit(_ context.Context, req *peer.PermitRequest) (*peer.PermitAnswer, error) {
	if !c.FleetDiscovered() {
		return nil, result.New(result.Starting, "the process has just started")
	}
	return c.grant(req), nil
}

// grant grants a permit if this router's share of the server's rate allows one now. It applies
// the lower of the asking router's rate and its own, since either may have missed a change.
func (c *Controller) grant(req *peer.PermitRequest) *peer.PermitAnswer {
	c.mu.Lock()
	defer c.mu.Unlock()
	rate := req.Rate
	if own, limited := c.table.Limit(req.Server); limited {
		rate = min(rate, own)
	}
	ids, share := c.rateOwners(req.Server, rate)
	if req.Fallback {
		share = rate.Fallback()
	}
	if !req.Fallback && !slices.Contains(ids, c.Self) {
		return &peer.PermitAnswer{Wait: retryDelay}
	}
	if !req.Again {
		c.ledger.Ask(clock.Now(), req.Server, req.Rank)
	}
	granted, wait := c.ledger.Grant(clock.Now(), req.Server, share, req.Rank)
	return &peer.PermitAnswer{Granted: granted, Wait: wait}
}
