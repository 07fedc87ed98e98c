package updates

import (
	"slices"

	"github.com/gaplink/gaplink/clock"
	"github.com/gaplink/gaplink/controller/follow"
	"github.com/gaplink/gaplink/peer"
)

// Role returns whether this router follows the store: all do in a small fleet, and in a large one
// the watchers and those that receive no updates. Of several fallback watchers that the store
// answers the first in rank goes on; without an order all would stop as soon as they update each
// other, and no router would watch the store.
func (c *Controller) Role() follow.Role {
	if !c.Large() || c.isWatcher() {
		return follow.Watches
	}
	if c.readsList() || c.expectsList() {
		return follow.Idle // the store would send nothing else
	}
	if c.IsRelay() && !c.RecentlyUpdated() {
		return follow.Fallback // others wait for it, also those that the store turns away
	}
	origin, upToDate := c.updateOrigin()
	if !upToDate || c.Fresh() && c.outranks(origin) {
		return follow.Fallback
	}
	return follow.Idle
}

// expectsList tells whether this router has started and those that are to update it are about to
// know the servers.
func (c *Controller) expectsList() bool {
	if c.Servers.Ready() {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return clock.Since(c.promisedAt) <= promiseHolds && clock.Since(c.waitingSince) <= waitLongest
}

// notePromise notes the answer of a router to one that has started. A relay waits for watchers
// alone, since relays wait for each other.
func (c *Controller) notePromise(id string, answer *peer.UpdatesAnswer) {
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
	c.promisedAt = clock.Now()
	if c.waitingSince.IsZero() {
		c.waitingSince = c.promisedAt
	}
}

// RosterRole returns whether this router follows the registrations of routers: the watchers of a
// large fleet do. In a small one routers greet each other.
func (c *Controller) RosterRole() follow.Role {
	if c.Large() && c.isWatcher() {
		return follow.Watches
	}
	return follow.Idle
}

// outranks tells whether this router ranks before another one, or that one does not answer.
func (c *Controller) outranks(other string) bool {
	self := c.Members.Self().ID
	return self == other || c.Members.Suspected(clock.Now(), other) || c.Members.Outranks(watchRole, self, other)
}

func (c *Controller) isWatcher() bool {
	return slices.Contains(c.watchers(), c.Members.Self().ID)
}

// IsRelay tells whether this router relays updates to others in a large fleet.
func (c *Controller) IsRelay() bool {
	return slices.Contains(c.relaysIn(c.Domain), c.Members.Self().ID)
}

// ContactIDs returns the routers from which routers of a failure domain get updates in a large
// fleet, those of that domain first.
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
	relays := max(relaysLeast, (c.Members.DomainSize(domain)+followersMost-1)/followersMost)
	return c.Members.FirstIn(clock.Now(), watchRole, domain, relays)
}

// candidates returns the routers to ask, the best first: all others in a small fleet. In a large
// one relays ask the watchers, which ask each other, and the others ask the relays.
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

// UpdatesOthers tells whether other routers accept updates from this one.
func (c *Controller) UpdatesOthers() bool { return !c.Large() || c.IsRelay() || c.isWatcher() }

// watchers returns the routers that watch the store for a large fleet.
func (c *Controller) watchers() []string {
	return c.Members.Largest(clock.Now(), watchRole, watchers)
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
