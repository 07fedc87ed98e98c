package server

import (
	"slices"

	"github.com/gaplink/gaplink/controller/loads"
	"github.com/gaplink/gaplink/link"
)

// newLoads returns the controller that shares the load of backend servers with the other routers.
func (s *Server) newLoads() *loads.Controller {
	return loads.New(loads.Options{
		Self:    s.settings.Instance.ID,
		Domain:  s.settings.Instance.Domain,
		Servers: s.servers,
		Members: s.members,
		Calls:   loads.NewPeerCalls(s.peers),
		Relays:  func() []string { return s.updates.ContactIDs(s.settings.Instance.Domain) },
		Switch:  func() bool { return s.current().Load.Servers },
		Large:   s.largeFleet,
		Engines: s.engineServices,
		Link:    s.ownLinkLoad,
		Timeout: s.peers.Timeout,
		Log:     s.log,
	})
}

// engineServices returns the services whose servers have engines, sorted by name.
func (s *Server) engineServices() []string {
	c := s.configs.Catalog()
	if c == nil {
		return nil
	}
	var names []string
	for name, service := range c.Services {
		if service.Engine != nil {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// ownLinkLoad returns the load of this router's link in the last window; false if its capacity is
// unknown.
func (s *Server) ownLinkLoad() (link.Load, bool) { return s.meter.Load(), s.settings.Link.Mbps > 0 }
