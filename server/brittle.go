package server

import "github.com/gaplink/gaplink/controller/slots"

// newSlots returns the controller that lends slots of brittle backend servers.
func (s *Server) newSlots() *slots.Controller {
	return slots.New(slots.Options{
		Self:            s.settings.Instance.ID,
		Process:         s.incarnation,
		Fleet:           slots.PeerFleet{Recipients: s.recipients(), Client: s.peers},
		FleetDiscovered: s.fleetDiscovered,
		Log:             s.log,
	})
}
