package updates

import (
	"slices"

	"github.com/gaplink/gaplink/clock"
	"github.com/gaplink/gaplink/controller/follow"
	"github.com/gaplink/gaplink/peer"
)

// Role returns this router's role towards the store. In a small fleet all routers watch it; in a
// large one only the watchers do, and routers that receive no updates fall back to the store. Of
// several fallback watchers that the store answers, the first in rank continues; without a
// ranking all would stop as soon as they update each other, and no router would watch the store.
func (c *Controller) Role() follow.Role {
	if !c.Large() || c.IsWatcher() {
		return follow.Watcher
	}
	if c.isReadingList() || c.awaitsServers() {
		return follow.Idle // the store would send the same list
	}
	if c.IsRelay() && !c.RecentlyUpdated() {
		return follow.Fallback // others wait for its updates, also those that the store refuses
	}
	origin, upToDate := c.updateOrigin()
	if !upToDate || c.StoreFresh() && c.outranks(origin) {
		return follow.Fallback
	}
	return follow.Idle
}

// awaitsServers reports whether this router has just started and the routers that update it are
// still receiving the list of servers.
func (c *Controller) awaitsServers() bool {
	if c.Servers.Ready() {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return clock.Since(c.syncingAt) <= syncingTTL && clock.Since(c.waitingSince) <= maxSyncWait
}

// noteSyncing records, while this router starts, that the answering router does not know all
// servers yet. A relay waits only for watchers; otherwise relays would wait for each other.
func (c *Controller) noteSyncing(id string, answer *peer.UpdatesAnswer) {
	if answer.Current || answer.Lost || c.Servers.Ready() {
		return
	}
	from := c.watchers()
	if !c.UpdatesOthers() {
		from = c.RelayIDs()
	}
	if !slices.Contains(from, id) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.syncingAt = clock.Now()
	if c.waitingSince.IsZero() {
		c.waitingSince = c.syncingAt
	}
}

// RosterRole returns the role for the registrations of routers: the watchers of a large fleet
// watch them. In a small fleet routers introduce themselves to each other.
func (c *Controller) RosterRole() follow.Role {
	if c.Large() && c.IsWatcher() {
		return follow.Watcher
	}
	return follow.Idle
}

// outranks reports whether this router ranks before another one, or the other is suspected to
// have failed.
func (c *Controller) outranks(other string) bool {
	self := c.Members.Self().ID
	return self == other || c.Members.Suspected(clock.Now(), other) || c.Members.Outranks(watchRole, self, other)
}

// IsWatcher reports whether this router watches the store for a large fleet.
func (c *Controller) IsWatcher() bool {
	return slices.Contains(c.watchers(), c.Members.Self().ID)
}

// IsRelay reports whether this router relays updates to others in a large fleet.
func (c *Controller) IsRelay() bool {
	return slices.Contains(c.relaysIn(c.Domain), c.Members.Self().ID)
}

// ContactIDs returns the routers that update the routers of a failure domain in a large fleet,
// starting with those of that domain.
func (c *Controller) ContactIDs(domain string) []string {
	ids := c.relaysIn(domain)
	for _, id := range c.RelayIDs() {
		if !slices.Contains(ids, id) {
			ids = append(ids, id)
		}
	}
	return ids
}

// RelayIDs returns the routers that update all others in a large fleet: the relays of all failure
// domains, and the watchers.
func (c *Controller) RelayIDs() []string {
	ids := c.relays()
	for _, id := range c.watchers() {
		if !slices.Contains(ids, id) {
			ids = append(ids, id)
		}
	}
	return ids
}

// relaysIn returns the relays of a failure domain.
func (c *Controller) relaysIn(domain string) []string {
	relays := max(minRelays, (c.Members.DomainSize(domain)+routersPerRelay-1)/routersPerRelay)
	return c.Members.FirstIn(clock.Now(), watchRole, domain, relays)
}

// candidates returns the routers to query, the preferred ones first: all others in a small fleet.
// In a large fleet relays query the watchers, which query each other, and other routers query the
// relays.
func (c *Controller) candidates() []string {
	if !c.Large() {
		return c.Members.Others(clock.Now())
	}
	ids := c.relays()
	if c.UpdatesOthers() {
		ids = append(c.watchers(), ids...)
	}
	return slices.DeleteFunc(ids, func(id string) bool { return id == c.Members.Self().ID })
}

// UpdatesOthers reports whether other routers accept updates from this one.
func (c *Controller) UpdatesOthers() bool { return !c.Large() || c.IsRelay() || c.IsWatcher() }

// watchers returns the routers that watch the store for a large fleet.
func (c *Controller) watchers() []string {
	return c.Members.Largest(clock.Now(), watchRole, watcherCount)
}

// relays returns the relays of all failure domains, those of this router's domain first.
func (c *Controller) relays() []string {
	ids := c.relaysIn(c.Domain)
	for _, domain := range c.Members.Domains() {
		if domain != c.Domain {
			ids = append(ids, c.relaysIn(domain)...)
		}
	}
	return ids
}
