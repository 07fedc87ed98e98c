package news

import (
	"slices"

	"github.com/gaplink/gaplink/clock"
	"github.com/gaplink/gaplink/controller/follow"
)

// This file is which routers of a large fleet watch the store, and which pass on what
// they know.

// Part tells whether this router follows the store: all do in a small fleet, else
// the watchers, and whoever hears no news. Of several deputies that the store
// answers the one that is ranked first goes on; without an order all would rest as
// soon as they hear each other, and nobody would watch.
func (c *Controller) Part() follow.Part {
	if !c.Large() || c.isWatcher() {
		return follow.Follows
	}
	if c.isTeller() && !c.HeardLately() {
		return follow.Deputy // others wait for it, also those that the store turns away
	}
	origin, heard := c.heardOf()
	if !heard || c.Fresh() && c.goesFirst(origin) {
		return follow.Deputy
	}
	return follow.Rests
}

// Relays tells whether this router relays updates to others in a large fleet.
func (c *Controller) Relays() bool { return c.isTeller() }

// goesFirst tells whether this router is ranked before another one.
func (c *Controller) goesFirst(other string) bool {
	ranked := c.Members.RankLargest(clock.Now(), watchRole)
	self, theirs := slices.Index(ranked, c.Members.Self().ID), slices.Index(ranked, other)
	return theirs < 0 || self >= 0 && self <= theirs
}

func (c *Controller) isWatcher() bool {
	return slices.Contains(c.watchers(), c.Members.Self().ID)
}

func (c *Controller) isTeller() bool {
	return slices.Contains(c.tellersIn(c.Domain), c.Members.Self().ID)
}

// PassersOn are the routers from which all others have their news in a large fleet:
// the tellers of all failure domains, and the watchers.
func (c *Controller) PassersOn() []string {
	ids := c.tellers()
	for _, id := range c.watchers() {
		if !slices.Contains(ids, id) {
			ids = append(ids, id)
		}
	}
	return ids
}

// tellersIn are the routers of a failure domain that pass news on.
func (c *Controller) tellersIn(domain string) []string {
	return c.Members.FirstIn(clock.Now(), watchRole, domain, tellersEach)
}

// candidates are the routers to ask, the best first: all others in a small fleet. In
// a large one tellers ask the watchers, which ask each other, and the others ask the
// tellers.
func (c *Controller) candidates() []string {
	if !c.Large() {
		return c.Members.Others(clock.Now())
	}
	ids := c.tellers()
	if c.passesOn() {
		ids = append(c.watchers(), ids...)
	}
	return slices.DeleteFunc(ids, func(id string) bool { return id == c.Members.Self().ID })
}

// passesOn tells whether other routers take news from this one.
func (c *Controller) passesOn() bool { return !c.Large() || c.isTeller() || c.isWatcher() }

// watchers are the routers that watch the store for a large fleet.
func (c *Controller) watchers() []string {
	ranked := c.Members.RankLargest(clock.Now(), watchRole)
	return ranked[:min(len(ranked), watchers)]
}

// tellers are those of all failure domains, this one's first.
func (c *Controller) tellers() []string {
	ids := c.tellersIn(c.Domain)
	for _, domain := range c.Members.Domains() {
		if domain != c.Domain {
			ids = append(ids, c.tellersIn(domain)...)
		}
	}
	return ids
}
