// Package limit enforces the limits of the requests' table rows.
//
// The limits apply to the whole fleet. Each router enforces its share, which is the limit
// divided by the number of listed routers, without calling the store.
package limit

import (
	"context"
	"math"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/gaplink/gaplink/clock"
	"github.com/gaplink/gaplink/filter"
	"github.com/gaplink/gaplink/result"
	"github.com/gaplink/gaplink/table"
)

// inFlightRetryAfter is the Retry-After value when the limit on requests in flight is
// reached.
const inFlightRetryAfter = 500 * time.Millisecond

// Config provides the configuration in force and the number of routers.
type Config interface {
	State() *table.State
	// Blocked reports whether the outcome of a change to the request's rows is pending.
	Blocked(account, target string) bool
	// Routers returns the number of routers that share the limits, at least 1.
	Routers() int
}

// usage tracks this router's use of the limits of one account and target.
type usage struct {
	inFlight int
	requests *rate.Limiter
	tokens   *rate.Limiter
}

type handler struct {
	next   filter.Handler
	config Config

	mu     sync.Mutex
	usages map[string]*usage
}

// New returns the filter.
func New(next filter.Handler, config Config) filter.Handler {
	return &handler{next: next, config: config, usages: map[string]*usage{}}
}

// Serve implements filter.Handler.
func (h *handler) Serve(ctx context.Context, x *filter.Exchange) error {
	if h.config.Blocked(x.Account.ID, x.Target) {
		return result.New(result.TablePending, "a change of the table is not yet decided here").After(time.Second)
	}
	limits, name := combineRows(h.config.State().RowsFor(x.Account.ID, x.Target), x)
	if err := h.acquire(x, limits, name); err != nil {
		return err
	}
	defer h.release(name)
	return h.next.Serve(ctx, x)
}

// combineRows returns the sum of the rows' limits, because an account's limits for a target
// apply to all sites together. A site without one of the limits lifts that limit only.
func combineRows(rows map[string]table.Row, x *filter.Exchange) (table.Row, string) {
	var sum table.Row
	unlimitedInFlight, unlimitedRate, unlimitedTokens := len(rows) == 0, len(rows) == 0, len(rows) == 0
	for _, r := range rows {
		sum.MaxInFlight += r.MaxInFlight
		sum.RatePerSecond += r.RatePerSecond
		sum.TokensPerSecond += r.TokensPerSecond
		unlimitedInFlight = unlimitedInFlight || r.MaxInFlight == 0
		unlimitedRate = unlimitedRate || r.RatePerSecond == 0
		unlimitedTokens = unlimitedTokens || r.TokensPerSecond == 0
	}
	if unlimitedInFlight {
		sum.MaxInFlight = 0
	}
	if unlimitedRate {
		sum.RatePerSecond = 0
	}
	if unlimitedTokens {
		sum.TokensPerSecond = 0
	}
	return sum, x.Account.ID + "/" + x.Target
}

func (h *handler) acquire(x *filter.Exchange, limits table.Row, name string) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	routers := float64(h.config.Routers())
	g := h.usageOf(name)
	g.setLimits(limits, routers)
	if limits.MaxInFlight > 0 && g.inFlight >= int(math.Ceil(float64(limits.MaxInFlight)/routers)) {
		return result.New(result.TooManyInFlight, "%s has its limit of requests in flight", name).After(inFlightRetryAfter)
	}
	now := clock.Now()
	undo, err := consume(now, g.requests, 1, "requests", name)
	if err != nil {
		return err
	}
	if _, err := consume(now, g.tokens, int(x.MaxTokens), "tokens", name); err != nil {
		undo()
		return err
	}
	g.inFlight++
	return nil
}

func (h *handler) usageOf(name string) *usage {
	g, ok := h.usages[name]
	if !ok {
		g = &usage{requests: rate.NewLimiter(rate.Inf, 1), tokens: rate.NewLimiter(rate.Inf, 1)}
		h.usages[name] = g
	}
	return g
}

// setLimits updates the limiters to this router's share of the limits.
func (g *usage) setLimits(limits table.Row, routers float64) {
	setLimiter(g.requests, limits.RatePerSecond/routers)
	setLimiter(g.tokens, limits.TokensPerSecond/routers)
}

func setLimiter(l *rate.Limiter, perSecond float64) {
	if perSecond <= 0 {
		l.SetLimit(rate.Inf)
		return
	}
	if l.Limit() != rate.Limit(perSecond) {
		l.SetLimit(rate.Limit(perSecond))
		l.SetBurst(int(math.Ceil(perSecond)))
	}
}

// consume consumes n tokens of a limiter, or fails with the time to wait. The returned function
// gives them back.
func consume(now time.Time, l *rate.Limiter, n int, what, name string) (undo func(), err error) {
	if l.Limit() == rate.Inf {
		return func() {}, nil
	}
	r := l.ReserveN(now, min(n, l.Burst()))
	undo = func() { r.CancelAt(now) }
	delay := r.DelayFrom(now)
	if delay == 0 {
		return undo, nil
	}
	undo()
	return nil, result.New(result.RateLimited, "%s has its limit of %s a second", name, what).After(delay)
}

func (h *handler) release(name string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.usages[name].inFlight--
}
