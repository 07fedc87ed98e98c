package registry

import (
	"github.com/gaplink/gaplink/clock"
	"github.com/gaplink/gaplink/placement"
)

// Versions returns the software versions of the registered servers of a service, sorted.
func (c *Controller) Versions(service string) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.servers.Versions(service)
}

// Services returns the services that have, or had, registered servers.
func (c *Controller) Services() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.servers.Services()
}

// CanRun reports whether a request may be sent to some server now, whatever its load and rate limit.
func (c *Controller) CanRun(q placement.Query) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	q.Now = clock.Now()
	return c.servers.CanRun(q)
}
