package origin

import (
	"maps"
	"slices"
	"time"
)

const (
	// maxUnwatched is the longest time between two observations within which no version can have served unseen that
	// matters: longer ones are gaps.
	maxUnwatched = Retention / 8
	// MaxAbsence is how long a version may be absent before its return counts as that of a new one. It is well below
	// Retention, so that no router takes a version for recorded that another one has removed from the record.
	MaxAbsence = Retention / 2
)

// History holds which software versions have served in the last Retention, as one router has seen it or read it in the
// record of the fleet. It is not safe for concurrent use.
type History struct {
	// seen holds the versions by service.
	seen map[string]map[string]sighting
	// last is when the servers were last observed, current when with current registrations, and watched since when
	// without a gap; zero: never.
	last, current, watched time.Time
}

// sighting is when a server of a version was last registered.
type sighting struct {
	// latest is when one may have been, and certain when one was, or was on record.
	latest, certain time.Time
}

// NewHistory returns an empty history.
func NewHistory() *History { return &History{seen: map[string]map[string]sighting{}} }

// Watch records that all registrations of servers are about to be observed; current is set if they are as new as the
// operator's bound demands. While they are not, and after a gap, versions may have served unseen, so that the time
// since a version was last registered begins anew. It returns false after so long a time without current registrations
// that another router may have removed a version from the record of the fleet that serves again.
func (h *History) Watch(now time.Time, current bool) (kept bool) {
	gap := h.last.IsZero() || now.Sub(h.last) > maxUnwatched
	kept = !current || h.current.IsZero() || now.Sub(h.current) <= MaxAbsence
	h.last = now
	if current {
		h.current = now
	}
	if current && !gap {
		return kept
	}
	h.watched = now
	for _, seen := range h.seen {
		for version, at := range seen {
			at.latest = now
			seen[version] = at
		}
	}
	return kept
}

// Watched returns since when the servers have been watched without a gap; zero: never.
func (h *History) Watched() time.Time { return h.watched }

// Observe records the versions of the registered servers of a service. It returns those that had been absent for longer
// than MaxAbsence, or were never seen.
func (h *History) Observe(now time.Time, service string, versions []string) (returned []string) {
	seen := h.of(service)
	for _, v := range versions {
		if at, ok := seen[v]; !ok || now.Sub(at.certain) > MaxAbsence {
			returned = append(returned, v)
		}
		seen[v] = sighting{now, now}
	}
	if !h.last.IsZero() && now.Sub(h.last) > maxUnwatched {
		return returned // Watch has yet to see the gap
	}
	maps.DeleteFunc(seen, func(_ string, at sighting) bool { return now.Sub(at.latest) > Retention })
	return returned
}

// Learn records that a version has served until now, as far as another source tells, unless it was seen already.
func (h *History) Learn(now time.Time, service, version string) {
	seen := h.of(service)
	at, ok := seen[version]
	if !ok {
		at.latest = now
	}
	at.certain = now
	seen[version] = at
}

func (h *History) of(service string) map[string]sighting {
	seen := h.seen[service]
	if seen == nil {
		seen = map[string]sighting{}
		h.seen[service] = seen
	}
	return seen
}

// Has reports whether a version has served in the last Retention.
func (h *History) Has(service, version string) bool {
	_, ok := h.seen[service][version]
	return ok
}

// Served returns the versions of a service that have served in the last Retention, sorted.
func (h *History) Served(service string) []string { return slices.Sorted(maps.Keys(h.seen[service])) }

// All returns the versions of all services that have served in the last Retention, in no order.
func (h *History) All() (list []Version) {
	for service, seen := range h.seen {
		for version := range seen {
			list = append(list, Version{Service: service, Name: version})
		}
	}
	return list
}
