package placement

import (
	"maps"
	"slices"
)

// Versions returns the software versions of the registered servers of a service, sorted. They include those
// of servers that are leaving, at which streams may still run.
func (f *Servers) Versions(service string) []string {
	g, ok := f.groups[service]
	if !ok {
		return nil
	}
	return slices.Sorted(maps.Keys(g.versions))
}

// Services returns the services that have, or had, registered servers.
func (f *Servers) Services() []string { return slices.Sorted(maps.Keys(f.groups)) }

// CanRun reports whether a request may be sent to some server now, whatever its load.
func (f *Servers) CanRun(q Query) bool {
	return slices.ContainsFunc(f.groupOf(q.Service).list, func(s *state) bool {
		return s.usable(&q) && !s.ejected && !f.evacuated[s.Domain] && (q.InDomain == nil || q.InDomain(s.Domain))
	})
}
