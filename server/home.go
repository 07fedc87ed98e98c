package server

import (
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/gaplink/gaplink/clock"
)

const (
	// homeGroups is the number of groups that budgets are split into; each group
	// has one router of a large fleet as its home. More homes lose less with one
	// of them, and write the page more often.
	homeGroups = 6
	// heirsAtMost is how many routers beside its home may hold tokens of a budget
	// in a large fleet: those that were its home lately.
	heirsAtMost = 3
)

// homeRole is the role by which a budget's home is ranked.
func homeRole(budget string) string {
	return "budgets/" + strconv.FormatUint(xxhash.Sum64String(budget)%homeGroups, 10)
}

// homeOf returns the router that draws a budget from the store: this one, or in
// a large fleet one router for all. That is one of those with the largest links,
// since it is asked by the whole fleet, and one that the store answers. The time is that
// of the budgets, and not that of the view of routers.
func (s *Server) homeOf(_ time.Time, budget string) string {
	self := s.settings.Instance.ID
	if !s.large() {
		return self
	}
	role := homeRole(budget)
	first := s.members.FirstLargest(clock.Now(), role)
	if first == self && s.storeElsewhere() {
		if heirs := s.heirs(role); len(heirs) > 0 {
			return heirs[0]
		}
	}
	return first
}

// heirs returns the other routers that are homes next for a role, or were
// before: those that may hold tokens.
func (s *Server) heirs(role string) []string {
	ids := s.members.Largest(clock.Now(), role, heirsAtMost+1)
	ids = slices.DeleteFunc(ids, func(id string) bool { return id == s.settings.Instance.ID })
	return ids[:min(len(ids), heirsAtMost)]
}
