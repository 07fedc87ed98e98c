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

// Target is a process for which a request is meant, the rate that it takes while it is cold,
// and the urgency of the request.
type Target struct {
	Server placement.Incarnation
	// Cold is 0 for a process that is warm.
	Cold limiter.Rate
	// Rank is the urgency of the request.
	Rank limiter.Rank
}

// Permit allows one request to be sent to a server. The zero value allows requests to
// servers without a limit.
type Permit struct{ asked time.Time }

// valid tells whether a permit may be used at a limited server.
func (p Permit) valid(now time.Time) bool { return now.Sub(p.asked) <= limiter.PermitLife }

// rate returns the rate that a server takes; false: it has no limit. It is called under the
// lock.
func (c *Controller) rate(t Target) (limiter.Rate, bool) {
	named, limited := c.table.Limit(t.Server)
	switch {
	case limited && t.Cold > 0:
		return min(named, t.Cold), true
	case limited:
		return named, true
	default:
		return t.Cold, t.Cold > 0
	}
}

// Open tells whether a permit for a server is worth asking for.
func (c *Controller) Open(now time.Time, t Target) bool {
	return !c.mayBeLimited(t) || c.Wait(now, t) == 0
}

// mayBeLimited is false where a server has no limit for certain, which costs no lock.
func (c *Controller) mayBeLimited(t Target) bool {
	return c.Fleet != nil && (t.Cold > 0 || c.watching.Load())
}

// Restricted tells whether a server takes requests at a limited rate.
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
	soonest := retryAfter
	for i, o := range c.owners(now, t, rate) {
		if wait := c.wait(now, t, o); i == 0 || wait < soonest {
			soonest = wait
		}
	}
	return soonest
}

// Valid tells whether a request with a permit may be sent to a server now.
func (c *Controller) Valid(now time.Time, t Target, p Permit) bool {
	return !c.Restricted(t) || p.valid(now)
}

// owner is a router that may be asked for a permit.
type owner struct {
	id string
	// share is the rate that it grants.
	share limiter.Rate
	// fallback tells that it is asked in place of the only owner, which did not answer.
	fallback bool
}

// owners returns the routers that may be asked for a permit for a server: the owners of its
// rate that have not failed to answer lately, or another router in place of an only owner.
// For a cold server nobody grants in place of its owner, since nothing says which routers
// would do so. A router that may not know the others asks them, and grants nothing itself;
// those that it asks know whether they are owners. It is called under the lock.
func (c *Controller) owners(now time.Time, t Target, rate limiter.Rate) (list []owner) {
	ids := c.Fleet.Owners(t.Server.ID)
	split := rate.Split(len(ids))
	settled := c.Settled()
	for rank, id := range ids {
		o := owner{id: id, share: split.Share, fallback: rank >= split.Owners}
		switch {
		case o.fallback && (split.Owners > 1 || t.Cold > 0 || !settled || rank > fallbacks || len(list) > 0):
			return list
		case now.Before(c.unanswered[id]), id == c.Self && !settled:
			continue
		case o.fallback:
			o.share = rate.Fallback()
		}
		list = append(list, o)
	}
	return list
}

// sharers returns the owners of a server's rate and the share of each.
func (c *Controller) sharers(server placement.Incarnation, rate limiter.Rate) (ids []string, share limiter.Rate) {
	ids = c.Fleet.Owners(server.ID)
	split := rate.Split(len(ids))
	return ids[:min(len(ids), split.Owners)], split.Share
}

// wait returns how long from now an owner has no permit for this router. It is called under
// the lock.
func (c *Controller) wait(now time.Time, t Target, o owner) time.Duration {
	if o.id == c.Self {
		return c.ledger.Wait(now, t.Server, o.share, t.Rank)
	}
	return c.gate.Wait(now, t.Server, o.id, t.Rank)
}

// choose returns the owner to ask: this router if it has a permit, or else any other one
// that has not denied one lately; false: there is none.
func (c *Controller) choose(t Target) (chosen owner, req *peer.PermitRequest, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := clock.Now()
	rate, limited := c.rate(t)
	if !limited {
		return owner{}, nil, false
	}
	open := 0
	for _, o := range c.owners(now, t, rate) {
		if c.wait(now, t, o) > 0 {
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

// Admit gets a permit for a request to a server. False means that the server takes no
// further request from this router for a while.
func (c *Controller) Admit(ctx context.Context, t Target) (Permit, bool) {
	if !c.Restricted(t) {
		return Permit{}, true
	}
	asked := clock.Now()
	granted := c.ask(ctx, t)
	c.mu.Lock()
	defer c.mu.Unlock()
	if !granted {
		c.counts.Denied++
		return Permit{}, false
	}
	c.counts.Granted++
	return Permit{asked: asked}, true
}

// ask asks one owner of a server's rate after another for a permit.
func (c *Controller) ask(ctx context.Context, t Target) bool {
	for n := range askAtMost {
		o, req, ok := c.choose(t)
		if !ok {
			return false
		}
		req.Again = n > 0
		answer, err := c.askOne(ctx, o.id, req)
		switch {
		case errors.Is(err, context.DeadlineExceeded), ctx.Err() != nil:
			return false // the caller has waited long enough
		case err != nil:
			continue
		case answer.Granted:
			return true
		}
		c.closeGate(t, o.id, answer.Wait)
	}
	return false
}

func (c *Controller) closeGate(t Target, id string, wait time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.gate.Close(t.Server, id, t.Rank, clock.Now().Add(wait))
}

// askOne asks one owner, which may be this router.
func (c *Controller) askOne(ctx context.Context, id string, req *peer.PermitRequest) (*peer.PermitAnswer, error) {
	if id == c.Self {
		return c.grant(req), nil
	}
	askCtx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	answer, err := c.Fleet.Ask(askCtx, id, req)
	if err != nil && ctx.Err() == nil { // else the request is over, which says nothing about the owner
		c.noteUnanswered(id, req.Server, err)
	}
	return answer, err
}

func (c *Controller) noteUnanswered(id string, server placement.Incarnation, cause error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts.Unanswered++
	c.unanswered[id] = clock.Now().Add(unansweredFor)
	c.Log.Info("owner of a server's rate does not answer", zap.String("router", id), zap.String("server", server.ID), zap.Error(cause))
}

// OnPermit answers another router that asks for a permit. Until this router knows the others
// it returns result.Starting, and the other one asks elsewhere.
func (c *Controller) OnPermit(_ context.Context, req *peer.PermitRequest) (*peer.PermitAnswer, error) {
	if !c.Settled() {
		return nil, result.New(result.Starting, "the process has just started")
	}
	return c.grant(req), nil
}

// grant grants a permit if this router's share of the server's rate allows one now. The
// lower one of the asking router's rate and this one's counts, since either may have missed
// a change.
func (c *Controller) grant(req *peer.PermitRequest) *peer.PermitAnswer {
	c.mu.Lock()
	defer c.mu.Unlock()
	rate := req.Rate
	if own, limited := c.table.Limit(req.Server); limited {
		rate = min(rate, own)
	}
	ids, share := c.sharers(req.Server, rate)
	if req.Fallback {
		share = rate.Fallback()
	}
	if !req.Fallback && !slices.Contains(ids, c.Self) {
		return &peer.PermitAnswer{Wait: retryAfter}
	}
	if !req.Again {
		c.ledger.Ask(clock.Now(), req.Server, req.Rank)
	}
	granted, wait := c.ledger.Grant(clock.Now(), req.Server, share, req.Rank)
	return &peer.PermitAnswer{Granted: granted, Wait: wait}
}
