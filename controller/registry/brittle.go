package registry

import (
	"go.uber.org/zap"

	"github.com/gaplink/gaplink/clock"
	"github.com/gaplink/gaplink/placement"
)

// Brittle records that a server of a service has said that it falls over if it must reject more than a
// number of requests in a second.
func (c *Controller) Brittle(service, server string, rejections int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.servers.Brittle(clock.Now(), service, rejections) {
		c.log.Warn("servers are brittle; keeping to this router's part of their slots", zap.String("service", service),
			zap.String("server", server), zap.Int("rejections_per_second", rejections))
	}
}

// NoRoom records that a process rejected a request for want of room, which had a loan of a slot or not. The
// request must still be counted as in flight.
func (c *Controller) NoRoom(in placement.Incarnation, lent bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.servers.NoRoom(clock.Now(), in, lent)
}

// BrittleServices returns the number of services whose servers say that they are brittle.
func (c *Controller) BrittleServices() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.servers.BrittleServices(clock.Now())
}
