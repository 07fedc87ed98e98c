// Package wakeups counts how often this process wakes by its own timers, by purpose. What an idle
// router does grows with the fleet, and is paid for by each of its instances.
package wakeups

import "sync/atomic"

// Purpose is what a timer is for.
type Purpose int

// The purposes.
const (
	// Beat is what is looked at regularly: the link, pauses, ejected and missing servers.
	Beat Purpose = iota
	// Budgets is the agent of the budgets.
	Budgets
	// Updates is a request for updates.
	Updates
	// Role is a check of the role in the fleet.
	Role
	// Follow is a follower of the store, or one that waits to become one.
	Follow

	purposes
)

var names = [purposes]string{Beat: "beat", Budgets: "budgets", Updates: "updates", Role: "role", Follow: "follow"}

// String implements fmt.Stringer.
func (p Purpose) String() string { return names[p] }

var counts [purposes]atomic.Int64

// Note counts a wake-up.
func Note(p Purpose) { counts[p].Add(1) }

// Counts returns the wake-ups since the start of the process.
func Counts() map[Purpose]int64 {
	all := make(map[Purpose]int64, purposes)
	for p := range purposes {
		all[p] = counts[p].Load()
	}
	return all
}
