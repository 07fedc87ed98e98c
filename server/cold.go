package server

import (
	"time"

	"github.com/gaplink/gaplink/catalog"
	"github.com/gaplink/gaplink/clock"
	"github.com/gaplink/gaplink/controller/limits"
	"github.com/gaplink/gaplink/controller/registry"
	"github.com/gaplink/gaplink/controller/spread"
	"github.com/gaplink/gaplink/limiter"
)

// rosterSettles is how long a process that has met the others takes its roster for too
// small to grant or ask for permits by: lists of routers may be seconds old, and are read
// again three seconds after the start. A process does not know either which permits the one
// before it granted.
const rosterSettles = 4 * time.Second

// rosterSettled tells whether this process has run long enough to know the others.
func (s *Server) rosterSettled() bool { return clock.Since(s.begun) >= rosterSettles }

// newLimits returns what enforces the rates of servers.
func (s *Server) newLimits() *limits.Controller {
	return limits.New(limits.Options{
		Self:    s.settings.Instance.ID,
		Fleet:   limits.Over{Audience: s.audience(), Client: s.peers},
		Settled: s.rosterSettled,
		Runs:    s.servers.TakesWork,
		Updated: s.updatedByRelays,
		Log:     s.log,

		Driven: true,
	})
}

// audience are the routers to which this one reports what it observes.
func (s *Server) audience() spread.Audience {
	return spread.Audience{Members: s.members, RelayIDs: s.relayIDs}
}

// warmups are what the cold servers of each service take.
func warmups(c *catalog.Catalog) map[string]registry.Warmup {
	all := map[string]registry.Warmup{}
	for name, service := range c.Services {
		if service.WarmupRate > 0 {
			all[name] = registry.Warmup{Lasts: service.Warmup, Rate: limiter.Rate(service.WarmupRate)}
		}
	}
	return all
}
