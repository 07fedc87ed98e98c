// Package health updates the routes to backend servers from the platform's list,
// from the servers' own reports, and from notices of other routers. A server counts
// as leaving as soon as any of these sources reports it.
package health

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"github.com/gaplink/gaplink/clock"
	"github.com/gaplink/gaplink/controller/members"
	"github.com/gaplink/gaplink/engine"
	"github.com/gaplink/gaplink/membership"
	"github.com/gaplink/gaplink/peer"
	"github.com/gaplink/gaplink/route"
	"github.com/gaplink/gaplink/table"
)

const (
	// pollInterval is the interval at which the router assigned to a server polls
	// it. That router notifies the others when the server is leaving.
	pollInterval  = time.Second
	pollTimeout   = 500 * time.Millisecond
	noticeTimeout = time.Second
)

// Controller maintains the routes. It is safe for concurrent use.
type Controller struct {
	members *members.Controller
	engines *engine.Client
	peers   *peer.Client
	log     *zap.Logger

	mu     sync.Mutex
	routes *route.Routes
	rng    *rand.Rand
	listed map[string]membership.State
	// leaving is the set of leaving servers, including those in no pool yet.
	leaving map[string]bool
}

// New returns a controller without servers.
func New(m *members.Controller, e *engine.Client, p *peer.Client, rng *rand.Rand, log *zap.Logger) *Controller {
	return &Controller{
		members: m,
		engines: e,
		peers:   p,
		log:     log,
		routes:  route.New(),
		rng:     rng,
		listed:  map[string]membership.State{},
		leaving: map[string]bool{},
	}
}

// SetState applies a new configuration.
func (c *Controller) SetState(s *table.State) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.routes.SetPools(s.Pools)
	for id := range c.leaving {
		c.routes.SetLeaving(id)
	}
}

// SetList applies the backend servers of the platform's list. Since the list lags,
// a server known to be leaving is used again only when the list reports it as live
// after it reported it as leaving or did not contain it.
func (c *Controller) SetList(backends []membership.Member) {
	c.mu.Lock()
	defer c.mu.Unlock()
	next := map[string]membership.State{}
	for _, m := range backends {
		next[m.ID] = m.State
		was := c.listed[m.ID]
		switch {
		case m.State == membership.Leaving:
			c.setLeaving(m.ID)
		case was != membership.Live && len(c.listed) > 0:
			delete(c.leaving, m.ID)
			c.routes.Returned(m.ID)
		}
	}
	c.listed = next
}

// Run polls the servers assigned to this router until the context ends.
func (c *Controller) Run(ctx context.Context) {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			c.poll(ctx)
		case <-ctx.Done():
			return
		}
	}
}

func (c *Controller) poll(ctx context.Context) {
	c.mu.Lock()
	ids := c.routes.ServerIDs()
	c.mu.Unlock()
	// Rank once per round: ranking for each server would take time proportional to
	// servers times members. The assignment of servers to routers need not be stable.
	routers := c.members.Rank(clock.Now(), "poll")
	for _, id := range ids {
		if len(routers) > 0 && routers[xxhash.Sum64String(id)%uint64(len(routers))] == c.members.Self().ID {
			go c.pollServer(ctx, id)
		}
	}
}

func (c *Controller) pollServer(ctx context.Context, id string) {
	c.mu.Lock()
	server, ok := c.routes.Server(id)
	c.mu.Unlock()
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	h, err := c.engines.Health(ctx, server.Addr)
	if err != nil {
		return
	}
	c.Load(id, h.InFlight)
	if h.Leaving {
		c.ReportLeaving(id)
	}
}

// ReportLeaving marks a server as leaving and notifies the other routers if it was not
// marked before.
func (c *Controller) ReportLeaving(id string) {
	if c.recordLeaving(id) {
		c.log.Info("backend server is leaving", zap.String("server", id))
		go c.notifyRouters(id)
	}
}

func (c *Controller) recordLeaving(id string) (changed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.setLeaving(id)
}

// setLeaving marks a server as leaving and reports whether it was not marked before.
// The caller holds the lock.
func (c *Controller) setLeaving(id string) (changed bool) {
	changed = !c.leaving[id]
	c.leaving[id] = true
	c.routes.SetLeaving(id)
	return changed
}

// Leaving returns the servers known to be leaving.
func (c *Controller) Leaving() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Sorted(maps.Keys(c.leaving))
}

// MarkLeaving marks a server as leaving after a notice of another router.
func (c *Controller) MarkLeaving(id string) { c.recordLeaving(id) }

func (c *Controller) notifyRouters(id string) {
	SendLeaving(c.members, c.peers, &peer.LeavingRequest{Kind: "backend", ID: id})
}

// SendLeaving sends a leaving notice once to each other router.
func SendLeaving(m *members.Controller, p *peer.Client, notice *peer.LeavingRequest) {
	ctx, cancel := context.WithTimeout(context.Background(), noticeTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for _, other := range m.Members() {
		if other.ID == m.Self().ID {
			continue
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			_, _ = peer.Call[peer.LeavingRequest, peer.Empty](ctx, p, other.Addr, peer.MethodLeaving, notice)
		}()
	}
	wg.Wait()
}

// Pick chooses a server for an attempt.
func (c *Controller) Pick(req route.Request) (route.Choice, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.routes.Pick(clock.Now(), c.rng, req)
}

// Started records a dispatched attempt.
func (c *Controller) Started(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.routes.Started(id)
}

// Finished records the end of an attempt.
func (c *Controller) Finished(id string, failed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.routes.Finished(clock.Now(), id, failed)
}

// maxBackoff is the longest backoff that is applied: a faulty response must not take a server out
// of use for good.
const maxBackoff = time.Hour

// BackOff records that a server refused a request and asked for no further ones for the given time.
func (c *Controller) BackOff(id string, asked time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.routes.BackOff(id, clock.Now().Add(min(asked, maxBackoff)))
}

// Load records the load that a server reported.
func (c *Controller) Load(id string, load float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.routes.Load(clock.Now(), id, load)
}
