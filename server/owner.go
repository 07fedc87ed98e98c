package server

import (
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/gaplink/gaplink/clock"
	"github.com/gaplink/gaplink/controller/roster"
)

const (
	// ownerGroups is the number of groups that budgets are divided into; in a large fleet
	// one router owns each group. With more owners less is lost when one fails, but the
	// page is written more often.
	ownerGroups = 6
	// maxSuccessors is the number of routers besides its owner that may hold tokens of a
	// budget in a large fleet: those that owned the budget recently.
	maxSuccessors = 3
	// registeredRole is the role for which the registered routers are counted.
	registeredRole = "budgets"
)

// ownerRole returns the role for which routers are ranked to find a budget's owner.
func ownerRole(budget string) string {
	return "budgets/" + strconv.FormatUint(xxhash.Sum64String(budget)%ownerGroups, 10)
}

// ownerOf returns the ID of the router that draws a budget from the store: this router or, in a
// large fleet, one router for all. That owner is among the routers with the largest links, since
// the whole fleet calls it, and the store must answer it. The time argument is ignored: it is from
// the clock of the budgets, whereas the membership view uses package clock.
func (s *Server) ownerOf(_ time.Time, budget string) string {
	self := s.settings.Instance.ID
	if !s.largeFleet() {
		return self
	}
	role := ownerRole(budget)
	first := s.members.FirstLargest(clock.Now(), role)
	if first == self && s.storeReachableElsewhere() {
		if successors := s.successors(role); len(successors) > 0 {
			return successors[0]
		}
	}
	return first
}

// sharesOwners reports whether one router should draw a budget for all. Unlike largeFleet it also
// counts the registered routers that are suspected: a router that cannot reach the others must not
// take the fleet for a small one and draw all tokens for itself.
func (s *Server) sharesOwners() bool { return s.largeFleet() || s.manyRegistered() }

// manyRegistered reports whether as many routers are registered as a large fleet has, suspected or not.
func (s *Server) manyRegistered() bool {
	return len(s.members.Owners(clock.Now(), registeredRole, roster.Large)) >= roster.Large
}

// firstInRank reports whether this router is ranked first of all registered routers for a budget,
// whether they are suspected or not.
func (s *Server) firstInRank(_ time.Time, budget string) bool {
	first := s.members.Owners(clock.Now(), ownerRole(budget), 1)
	return len(first) == 0 || first[0] == s.settings.Instance.ID
}

// successors returns the other routers ranked first for a role, which own the budgets next or
// owned them before and so may hold tokens.
func (s *Server) successors(role string) []string {
	ids := s.members.Largest(clock.Now(), role, maxSuccessors+1)
	ids = slices.DeleteFunc(ids, func(id string) bool { return id == s.settings.Instance.ID })
	return ids[:min(len(ids), maxSuccessors)]
}
