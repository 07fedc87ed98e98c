package registry

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/gaplink/gaplink/clock"
	"github.com/gaplink/gaplink/limiter"
	"github.com/gaplink/gaplink/placement"
)

// Warmup limits the requests that the servers of a service accept while they are cold.
type Warmup struct {
	// Duration is how long a server stays cold after its start.
	Duration time.Duration
	// Rate is the rate limit of a cold server for all routers together; 0 disables
	// warm-up.
	Rate limiter.Rate
}

// SetWarmups sets the warm-up limits by service.
func (c *Controller) SetWarmups(warmups map[string]Warmup) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.warmups = warmups
}

// recordCold records until when a server stays cold, from a registration received at a given
// time. It reports whether the change must be propagated to other routers.
func (c *Controller) recordCold(s placement.Server, heard time.Time) (changed bool) {
	if s.Cold <= 0 || !c.servers.SetCold(s.Incarnation(), heard.Add(s.Cold)) {
		return false
	}
	c.log.Info("server cold", zap.String("server", s.ID), zap.String("service", s.Service), zap.Duration("for_ms", s.Cold),
		zap.Duration("heard_ms_ago", clock.Since(heard)))
	return true
}

// SetEvacuated sets the evacuated failure domains. Their servers receive no requests, not
// even requests that were already waiting for them. The servers of a restored domain may
// have become cold without having reported it yet, so they are treated as cold for the
// whole warm-up time.
func (c *Controller) SetEvacuated(domains []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := clock.Now()
	for _, domain := range c.evacuated {
		if slices.Contains(domains, domain) {
			continue
		}
		for _, s := range c.servers.In(domain) {
			c.servers.SetCold(s.Incarnation(), now.Add(c.warmups[s.Service].Duration))
		}
	}
	c.evacuated = domains
	c.servers.SetEvacuated(domains)
}

// Cold returns the number of servers known to be cold.
func (c *Controller) Cold() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.servers.Cold(clock.Now())
}
