package gateway

import (
	"math/rand/v2"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/gaplink/gaplink/clock"
	"github.com/gaplink/gaplink/result"
	"github.com/gaplink/gaplink/retryafter"
)

// elsewhereAfter is how long the store must have been lost here before an update received through it
// shows that it answers other routers: an update counts for about a second after it was received, also
// when the store is lost to all of them.
const elsewhereAfter = 1500 * time.Millisecond

// storeCheckInterval is the minimum interval between two checks of whether the store answers.
const storeCheckInterval = 50 * time.Millisecond

// returns computes when refused callers should come back. It is safe for concurrent use. A nil
// *returns computes nothing.
type returns struct {
	storeLost func() bool

	mu        sync.Mutex
	planner   *retryafter.Planner
	refusals  *retryafter.Refusals
	checkedAt time.Time // when the store was last checked
}

func newReturns(storeLost func() bool) *returns {
	rng := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	return &returns{storeLost: storeLost, planner: retryafter.NewPlanner(rng), refusals: retryafter.NewRefusals()}
}

// observeStore checks whether the store answers, unless that was done just now.
func (r *returns) observeStore() {
	if r == nil || r.storeLost == nil {
		return
	}
	now := clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	if now.Sub(r.checkedAt) < storeCheckInterval {
		return
	}
	r.checkedAt = now
	r.planner.ObserveStore(now, r.storeLost())
}

// plan returns the Retry-After of a refusal and its inputs.
func (r *returns) plan(refusal retryafter.Refusal) (time.Duration, retryafter.Input) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.planner.Plan(clock.Now(), refusal)
}

// arrived returns what is known of a request of an account; content is called if refusals of the account
// are remembered.
func (r *returns) arrived(account string, content func() uint64) retryafter.Return {
	r.mu.Lock()
	known := r.refusals.Knows(account)
	r.mu.Unlock()
	if !known {
		return retryafter.Return{}
	}
	request := content()
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.refusals.Arrived(clock.Now(), account, request)
}

// remember remembers a refusal of an account's request.
func (r *returns) remember(account string, request uint64, after, left time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refusals.Refused(clock.Now(), account, request, after, left)
}

// roomShort reports whether a request was refused just now because the servers of a service are busy.
func (r *returns) roomShort(service string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.planner.RoomShort(clock.Now(), retryafter.Busy, service)
}

// ended records that a server of a service ended a request.
func (r *returns) ended(service string) {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.planner.Ended(clock.Now(), service)
}

// rates returns the number of requests per second that the servers of a service end for this router at
// present, and the highest one of the last seconds; 0: unknown.
func (r *returns) rates(service string) (present, highest float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := clock.Now()
	return r.planner.EndsPerSecond(now, service), r.planner.HighestEndsPerSecond(now, service)
}

// StoreRemaining returns the predicted time until the store answers again; 0 if it answers or if
// there is no prediction.
func (g *Gateway) StoreRemaining() time.Duration {
	if g.returns == nil {
		return 0
	}
	g.returns.observeStore()
	g.returns.mu.Lock()
	defer g.returns.mu.Unlock()
	return g.returns.planner.StoreRemaining(clock.Now())
}

// temporary marks a refusal as temporary: its Retry-After is computed from the cause and from the
// predicted time until there is room, where that is known and above 0.
func (c *call) temporary(refusal *result.Error, cause retryafter.Cause, wait time.Duration) *result.Error {
	c.temporaryRefusal = refusal
	c.reason = retryafter.Refusal{Cause: cause, Wait: wait}
	return refusal
}

// planReturn sets the Retry-After of a temporary refusal; others are left as they are.
func (c *call) planReturn(refusal *result.Error) {
	if c.g.returns == nil || refusal != c.temporaryRefusal {
		return
	}
	r := c.reason
	r.Limited = c.refusedAsLimited
	if c.service != nil {
		r.Key = c.service.Name
	}
	if c.route != nil {
		r.Rank = c.returnRank()
		r.Left = max(clock.Until(c.deadline), 0)
	}
	if after := c.returned.Remaining - clock.Since(c.arrived); after > 0 && !r.Cause.RoomElsewhere() {
		c.setReturn(refusal, after, retryafter.Input{Cause: r.Cause, Wait: after, Rank: r.Rank, Left: r.Left})
		return // coming back early does not change the time
	}
	after, input := c.g.returns.plan(r)
	c.setReturn(refusal, after, input)
	if c.identifiable() && !r.Cause.RoomElsewhere() {
		c.g.returns.remember(c.account.Name, c.content(), after, r.Left)
	}
}

// setReturn sets the Retry-After of a refusal and records what it was computed from.
func (c *call) setReturn(refusal *result.Error, after time.Duration, input retryafter.Input) {
	refusal.After(after)
	c.planned = &input
	if input.Cause.RoomElsewhere() {
		c.reply.w.Header().Set("Connection", "close") // a kept connection would lead back to this router
	}
	c.g.Metrics.planned(input.Cause, after)
}

// returnFields returns what a computed Retry-After was computed from, and for how long the request was
// held, as log fields.
func (c *call) returnFields() []zap.Field {
	var fields []zap.Field
	if c.heldFor > 0 {
		fields = append(fields, zap.Duration("held_ms", c.heldFor))
	}
	if p := c.planned; p != nil {
		fields = append(fields, zap.Stringer("return_cause", p.Cause), zap.Duration("return_after_ms", c.temporaryRefusal.RetryAfter),
			zap.Duration("room_in_ms", p.Wait), zap.Float64("room_per_second", p.Rate), zap.Int("returns_ahead", p.Ahead+p.Same),
			zap.Duration("left_ms", p.Left), zap.Bool("early_return", c.returned.Remaining > 0), zap.Bool("limited", c.returned.Limited))
	}
	return fields
}

// returnRank returns the urgency of the request among the refused ones: its priority, but the least for
// an account whose callers return too early.
func (c *call) returnRank() int {
	if c.returned.Limited {
		return retryafter.Ranks - 1
	}
	return c.urgency()
}

// tokenCause returns the cause of a refusal for lack of an answer about tokens: a router that only
// itself cannot reach the store, or whose link is saturated, sends its callers elsewhere.
func (g *Gateway) tokenCause() retryafter.Cause {
	if g.linkSaturated() || g.lostHereAlone() {
		return retryafter.Isolated
	}
	return retryafter.Tokens
}

// lostHereAlone reports whether the store answers other routers but not this one.
func (g *Gateway) lostHereAlone() bool {
	if g.returns == nil || g.StoreElsewhere == nil || !g.StoreElsewhere() {
		return false
	}
	g.returns.mu.Lock()
	defer g.returns.mu.Unlock()
	return g.returns.planner.StoreLostFor(clock.Now()) >= elsewhereAfter
}

// timeoutCause returns the cause of a refusal because no server took the request in time.
func (g *Gateway) timeoutCause() retryafter.Cause {
	if g.linkSaturated() {
		return retryafter.Isolated
	}
	return retryafter.Busy
}
