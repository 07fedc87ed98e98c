package server

import (
	"time"

	"github.com/gaplink/gaplink/membership"
)

// alone makes a router the home of all its budgets: each draws from the store
// for itself.
type alone struct{ id string }

// Self implements budgets.Members.
func (a alone) Self() membership.Member {
	return membership.Member{ID: a.id, Kind: "router", State: membership.Live}
}

// First implements budgets.Members.
func (a alone) First(time.Time, string) string { return a.id }

// Addr implements budgets.Members.
func (a alone) Addr(string) (string, bool) { return "", false }

// Failed implements budgets.Members.
func (a alone) Failed(string) {}

// Reached implements budgets.Members.
func (a alone) Reached(string) {}
