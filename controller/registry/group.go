package registry

import (
	"slices"

	"github.com/gaplink/gaplink/placement"
	"github.com/gaplink/gaplink/reach"
)

// OfGroup returns at most n random servers of a group that accept requests, the given one first if it is
// among them.
func (c *Controller) OfGroup(g reach.Group, first placement.Incarnation, n int) []placement.Server {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := c.servers.InService(g.Service, g.Domain)
	c.rng.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	if i := slices.IndexFunc(list, func(s placement.Server) bool { return s.Incarnation() == first }); i > 0 {
		list[0], list[i] = list[i], list[0]
	}
	return list[:min(n, len(list))]
}

// RestoreGroup ends the ejections of the servers of a group.
func (c *Controller) RestoreGroup(g reach.Group) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.servers.RestoreAll(g.Service, g.Domain)
}

// ForOtherRouters returns the registered process with the given identity, to which this router may
// connect another one.
func (c *Controller) ForOtherRouters(in placement.Incarnation) (placement.Server, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s, ok := c.servers.Get(in.ID)
	if !ok || s.Incarnation() != in || !c.servers.AcceptsRequests(in) || slices.Contains(c.evacuated, s.Domain) {
		return placement.Server{}, false
	}
	return s, true
}
