package registry

import "github.com/gaplink/gaplink/placement"

// Processes returns the registered processes of the services that a filter accepts, in no particular
// order.
func (c *Controller) Processes(accepts func(service string) bool) []placement.Incarnation {
	c.mu.Lock()
	defer c.mu.Unlock()
	var all []placement.Incarnation
	for _, e := range c.entries {
		if e.readable && accepts(e.server.Service) {
			all = append(all, e.server.Incarnation())
		}
	}
	return all
}
