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

// rosterSettleTime is how long after its start a process grants no permits and asks no fallback
// router for one; it does ask the owners on its list. Its list of routers may be incomplete:
// lists may be seconds old and are read again three seconds after the start. It also has no
// record of the permits that its predecessor granted.
const rosterSettleTime = 4 * time.Second

// fleetDiscovered reports whether this process has run long enough to discover the other routers.
func (s *Server) fleetDiscovered() bool { return clock.Since(s.startedAt) >= rosterSettleTime }

// newLimits returns the controller that enforces the rate limits of backend servers.
func (s *Server) newLimits() *limits.Controller {
	return limits.New(limits.Options{
		Self:            s.settings.Instance.ID,
		Fleet:           limits.PeerFleet{Recipients: s.recipients(), Client: s.peers},
		FleetDiscovered: s.fleetDiscovered,
		AcceptsRequests: s.servers.AcceptsRequests,
		Updated:         s.updatedByRelays,
		Informed:        s.informedByRelays,
		Log:             s.log,

		OwnerTicks: true,
	})
}

// recipients returns the routers to which this one reports its observations.
func (s *Server) recipients() spread.Recipients {
	return spread.Recipients{Members: s.members, RelayIDs: s.relayIDs}
}

// warmups returns the warm-up time and rate for cold servers, by service.
func warmups(c *catalog.Catalog) map[string]registry.Warmup {
	all := map[string]registry.Warmup{}
	for name, service := range c.Services {
		if service.WarmupRate > 0 {
			all[name] = registry.Warmup{Duration: service.Warmup, Rate: limiter.Rate(service.WarmupRate)}
		}
	}
	return all
}
