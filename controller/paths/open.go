package paths

import (
	"context"
	"errors"
	"fmt"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"go.uber.org/zap"

	"github.com/gaplink/gaplink/clock"
	"github.com/gaplink/gaplink/placement"
	"github.com/gaplink/gaplink/reach"
	"github.com/gaplink/gaplink/tunnel"
	"github.com/gaplink/gaplink/upstream"
)

const (
	// maxTries is the number of routers that are asked for a connection.
	maxTries = 3
	// openTimeout bounds one of these tries.
	openTimeout = 400 * time.Millisecond
	// searchWidth is the number of routers that a search asks at the same time, and searchRounds how
	// often it does.
	searchWidth  = 6
	searchRounds = 4
	// fewRouters is the number of routers with which a search ends.
	fewRouters = 4
	// reachTimeout bounds the answer of one router.
	reachTimeout = 200 * time.Millisecond
)

// errNoRouter is returned if no router is known that reaches the servers.
var errNoRouter = fmt.Errorf("no other router reaches the servers: %w", upstream.ErrNoPath)

// Open implements upstream.Paths.
func (c *Controller) Open(ctx context.Context, s placement.Server) (net.Conn, string, error) {
	var tried []string
	last := errNoRouter
	for len(tried) < maxTries && ctx.Err() == nil {
		id, ok := c.pick(ctx, reach.GroupOf(s), tried)
		if !ok {
			break
		}
		tried = append(tried, id)
		conn, err := c.openThrough(ctx, id, s)
		if err == nil {
			return conn, id, nil
		}
		var notReached *tunnel.ServerError
		if errors.As(err, &notReached) {
			return nil, id, serverError(notReached)
		}
		last = fmt.Errorf("%w: %w", upstream.ErrNoPath, err)
	}
	return nil, "", last
}

// serverError returns the error of a server that another router did not reach.
func serverError(e *tunnel.ServerError) error {
	if e.Refused {
		return fmt.Errorf("%w: %w", e, syscall.ECONNREFUSED)
	}
	return e
}

// openThrough opens a connection through a router, and records the outcome.
func (c *Controller) openThrough(ctx context.Context, id string, s placement.Server) (net.Conn, error) {
	try, cancel := context.WithTimeout(ctx, openTimeout)
	defer cancel()
	conn, load, err := c.Fleet.Open(try, id, s)
	var notReached *tunnel.ServerError
	var refused *tunnel.RefusedError
	c.mu.Lock()
	defer c.mu.Unlock()
	now, g := clock.Now(), reach.GroupOf(s)
	switch {
	case err == nil:
		c.counts.Opened++
		c.routers.Provided(g, id, load)
	case errors.As(err, &notReached):
		c.counts.Failed++
		if !notReached.NotInUse {
			c.routers.ServerNotReached(g, id)
		}
	case errors.As(err, &refused) && refused.NotReaching():
		c.counts.Failed++
		c.routers.NotReaching(g, id)
	case errors.As(err, &refused) && refused.Temporary():
		c.counts.Failed++
		c.routers.Busy(now, id)
	case ctx.Err() == nil:
		c.counts.Failed++
		c.routers.Failed(now, id)
	}
	return conn, err
}

// Usable implements upstream.Paths.
func (c *Controller) Usable(router string, opened time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.routers.KeepsConnection(clock.Now(), opened, router)
}

// Unheard implements upstream.Paths.
func (c *Controller) Unheard(began time.Time, router string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.routers.Unheard(clock.Now(), began, router)
}

// Heard implements upstream.Paths.
func (c *Controller) Heard(router string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.routers.Heard(clock.Now(), router)
}

// RouterLeaving records that a router is stopping, so that no further request goes through it.
func (c *Controller) RouterLeaving(router string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.routers.Leaving(clock.Now(), router)
}

// pick returns a router that reaches a group. If none is known, it searches for one.
func (c *Controller) pick(ctx context.Context, g reach.Group, tried []string) (string, bool) {
	if id, ok := c.pickKnown(g, tried); ok {
		return id, true
	}
	if !c.search(ctx, g) {
		return "", false
	}
	return c.pickKnown(g, tried)
}

func (c *Controller) pickKnown(g reach.Group, tried []string) (string, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.routers.Pick(clock.Now(), c.rng, g, tried)
}

// searches are the searches under way; each channel is closed when one ends.
type searches struct {
	mu      sync.Mutex
	running map[reach.Group]chan struct{}
}

// search asks other routers whether they reach a group, or waits for a search that is under way. It
// returns false if the last one was too recent.
func (c *Controller) search(ctx context.Context, g reach.Group) bool {
	c.searches.mu.Lock()
	done, running := c.searches.running[g]
	if !running {
		if !c.searchDue(g) {
			c.searches.mu.Unlock()
			return false
		}
		done = make(chan struct{})
		c.searches.running[g] = done
		go c.runSearch(g, done)
	}
	c.searches.mu.Unlock()
	select {
	case <-done:
		return true
	case <-ctx.Done():
		return false
	}
}

func (c *Controller) searchDue(g reach.Group) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.routers.SearchDue(clock.Now(), g)
}

// runSearch asks random routers in rounds until some are known that reach the group. While none is, the
// first of a round are those through which others of the last round reach it: that finds the few routers
// that are not cut off when nearly all are. Otherwise these are asked no sooner than others, since all
// routers that are cut off would choose the same.
func (c *Controller) runSearch(g reach.Group, done chan struct{}) {
	candidates := c.candidates(g)
	asked, found := 0, 0
	for range searchRounds {
		round := candidates[:min(searchWidth, len(candidates))]
		candidates = candidates[len(round):]
		asked += len(round)
		hints, reaching, enough := c.askAll(g, round)
		found += reaching
		if enough || found >= fewRouters || found == 0 && len(hints) == 0 {
			break
		}
		if found == 0 {
			candidates = promote(candidates, hints)
		}
	}
	if found == 0 {
		c.logNotFound(g, asked)
	}
	c.searches.mu.Lock()
	delete(c.searches.running, g)
	c.searches.mu.Unlock()
	close(done)
}

func (c *Controller) logNotFound(g reach.Group, asked int) {
	if omitted, allowed := c.searchLines.Allow(clock.Now(), reportInterval); allowed {
		c.Log.Warn("no other router reaches the servers", zap.String("service", g.Service), zap.String("domain", g.Domain),
			zap.Int("asked", asked), zap.Int64("lines_left_out", omitted))
	}
}

// candidates returns the routers that may be asked, in random order.
func (c *Controller) candidates(g reach.Group) []string {
	others := slices.Clone(c.Fleet.Others(g))
	c.mu.Lock()
	defer c.mu.Unlock()
	now := clock.Now()
	others = slices.DeleteFunc(others, func(id string) bool { return !c.routers.Usable(now, id) })
	c.rng.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	return others
}

// promote moves the hinted candidates to the front.
func promote(candidates, hints []string) []string {
	var first, rest []string
	for _, id := range candidates {
		if slices.Contains(hints, id) {
			first = append(first, id)
		} else {
			rest = append(rest, id)
		}
	}
	return append(first, rest...)
}

// askAll asks routers whether they reach a group. It returns the routers through which others reach it,
// how many reach it themselves, and whether enough are known.
func (c *Controller) askAll(g reach.Group, routers []string) (hints []string, reaching int, enough bool) {
	ctx, cancel := context.WithTimeout(context.Background(), reachTimeout)
	defer cancel()
	var mu sync.Mutex
	var all sync.WaitGroup
	for _, id := range routers {
		all.Go(func() {
			direct, through, err := c.Fleet.Reach(ctx, id, g)
			mu.Lock()
			defer mu.Unlock()
			c.mu.Lock()
			defer c.mu.Unlock()
			switch {
			case err != nil:
				c.routers.Failed(clock.Now(), id)
			case direct:
				reaching++
				enough = !c.routers.Add(g, id) || enough
			default:
				hints = append(hints, through...)
			}
		})
	}
	all.Wait()
	return hints, reaching, enough
}
