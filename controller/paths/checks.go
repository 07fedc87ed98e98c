package paths

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/gaplink/gaplink/clock"
	"github.com/gaplink/gaplink/placement"
	"github.com/gaplink/gaplink/reach"
	"github.com/gaplink/gaplink/upstream"
)

// verify finds out whether a suspect group is cut off from this router: it does not reach a server that
// another router reaches.
func (c *Controller) verify(ctx context.Context, check reach.Check, done chan struct{}) {
	servers := c.Servers.OfGroup(check.Group, check.Server, checkedServers)
	var direct, elsewhere bool
	var both sync.WaitGroup
	both.Go(func() { direct = c.anyReached(ctx, servers, check, c.Ping) })
	both.Go(func() { elsewhere = c.anyReached(ctx, servers, check, c.pingElsewhere) })
	both.Wait()
	c.finishVerification(check, done, direct, elsewhere)
}

// pingRequest returns the request by which a check finds out whether servers are reached.
func (c *Controller) pingRequest(check reach.Check) upstream.PingRequest {
	if !check.ResponseNeeded {
		return upstream.PingRequest{}
	}
	return upstream.HealthRequest(c.HealthPath(check.Group.Service))
}

// anyReached reports whether one of the servers is reached.
func (c *Controller) anyReached(ctx context.Context, servers []placement.Server, check reach.Check, ping func(context.Context, placement.Server, upstream.PingRequest) error) bool {
	ctx, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	var reached atomic.Bool
	var all sync.WaitGroup
	for _, s := range servers {
		all.Go(func() {
			if ping(ctx, s, c.pingRequest(check)) == nil {
				reached.Store(true)
				cancel() // the others need no answer
			}
		})
	}
	all.Wait()
	return reached.Load()
}

// pingElsewhere checks a server through another router.
func (c *Controller) pingElsewhere(ctx context.Context, s placement.Server, request upstream.PingRequest) error {
	conn, _, err := c.Open(ctx, s)
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	return upstream.Respond(ctx, conn, s, request)
}

func (c *Controller) finishVerification(check reach.Check, done chan struct{}, direct, elsewhere bool) {
	c.mu.Lock()
	now, g := clock.Now(), check.Group
	fields := append(c.evidence(now, g), zap.Bool("response_needed", check.ResponseNeeded))
	cutOff := c.tracker.Verified(now, check, direct, elsewhere)
	through := c.routers.Reaching(g)
	if cutOff {
		c.counts.CutOffs++
	}
	delete(c.verifying, g)
	c.mu.Unlock()
	if cutOff {
		c.Log.Warn("cut off from servers; connecting through other routers", append(fields, zap.Strings("routers", through))...)
		c.Servers.RestoreGroup(g)
		c.CutOff(g)
	}
	close(done)
}

// probe checks whether a group that is cut off is reached directly again. A group without servers counts
// as reached.
func (c *Controller) probe(ctx context.Context, check reach.Check) {
	servers := c.Servers.OfGroup(check.Group, check.Server, checkedServers)
	passed := len(servers) == 0 || c.anyReached(ctx, servers, check, c.Ping)
	c.mu.Lock()
	now := clock.Now()
	since := c.tracker.Evidence(check.Group).First
	back := c.tracker.Probed(now, check.Group, passed)
	if back {
		c.routers.Forget(now, check.Group)
	}
	c.mu.Unlock()
	if back {
		c.Log.Info("servers reached directly again", zap.String("service", check.Group.Service), zap.String("domain", check.Group.Domain),
			zap.Duration("after_ms", age(now, since)))
	}
}

// Await waits for the verification of groups of a service that is under way, if any. It reports whether
// one ended.
func (c *Controller) Await(ctx context.Context, service string) bool {
	done := c.verificationOf(service)
	if done == nil {
		return false
	}
	timeout := time.NewTimer(checkTimeout)
	defer timeout.Stop()
	select {
	case <-done:
		return true
	case <-timeout.C:
	case <-ctx.Done():
	}
	return false
}

func (c *Controller) verificationOf(service string) chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	for g, done := range c.verifying {
		if g.Service == service {
			return done
		}
	}
	return nil
}

// ReachedElsewhere implements upstream.Paths. While other servers of the group respond to this router,
// nobody is asked: the path to them works. A connection that is closed at once shows no server, since it
// may have been accepted on its behalf.
func (c *Controller) ReachedElsewhere(ctx context.Context, s placement.Server) bool {
	c.mu.Lock()
	now, g := clock.Now(), reach.GroupOf(s)
	quiet := c.tracker.Quiet(now, g)
	c.mu.Unlock()
	if !quiet {
		return false
	}
	return c.pingElsewhere(ctx, s, upstream.PingRequest{}) == nil
}
