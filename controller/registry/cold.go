package registry

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/gaplink/gaplink/clock"
	"github.com/gaplink/gaplink/limiter"
	"github.com/gaplink/gaplink/placement"
)

// Warmup is what the servers of a service take while they are cold.
type Warmup struct {
	// Lasts is how long a server stays cold after its start.
	Lasts time.Duration
	// Rate is what a cold server takes from all routers together; 0: servers are never
	// cold.
	Rate limiter.Rate
}

// SetWarmups sets what the servers of each service take while they are cold.
func (c *Controller) SetWarmups(warmups map[string]Warmup) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.warmups = warmups
}

// noteCold notes how long a server stays cold, by what it said at a time, and tells whether that
// is a change for other routers.
func (c *Controller) noteCold(s placement.Server, heard time.Time) (changed bool) {
	if s.Cold <= 0 || !c.servers.SetCold(s.Incarnation(), heard.Add(s.Cold)) {
		return false
	}
	c.log.Info("server cold", zap.String("server", s.ID), zap.String("service", s.Service), zap.Duration("for_ms", s.Cold),
		zap.Duration("heard_ms_ago", clock.Since(heard)))
	return true
}

// SetEvacuated says which failure domains are evacuated: their servers get no request, also
// none that was held for them. The servers of a domain that is used again may have become
// cold meanwhile without having said so yet: they are taken for cold as long as one is
// after a start.
func (c *Controller) SetEvacuated(domains []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := clock.Now()
	for _, domain := range c.evacuated {
		if slices.Contains(domains, domain) {
			continue
		}
		for _, s := range c.servers.In(domain) {
			c.servers.SetCold(s.Incarnation(), now.Add(c.warmups[s.Service].Lasts))
		}
	}
	c.evacuated = domains
	c.servers.SetEvacuated(domains)
}

// Cold returns how many servers are known to be cold.
func (c *Controller) Cold() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.servers.Cold(clock.Now())
}
