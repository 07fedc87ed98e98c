// Package wakeups counts how often this process's timers fire, by purpose. The work of an idle router
// grows with the fleet, and its cost is paid for each instance.
package wakeups

import "sync/atomic"

// Purpose identifies the use of a timer.
type Purpose int

// Purposes of timers.
const (
	// Tick is for the periodic checks of the link, of pauses, and of ejected and missing servers.
	Tick Purpose = iota
	// Budgets is for the budget agent.
	Budgets
	// Updates is for requests for updates.
	Updates
	// Role is for checks of this router's role in the fleet.
	Role
	// Follow is for followers of the store, including those waiting for that role.
	Follow
	// Loads is for the exchange of server loads.
	Loads

	purposes
)

var names = [purposes]string{Tick: "beat", Budgets: "budgets", Updates: "updates", Role: "role", Follow: "follow", Loads: "loads"}

// String implements fmt.Stringer.
func (p Purpose) String() string { return names[p] }

var counts [purposes]atomic.Int64

// Count counts a wake-up for purpose p.
func Count(p Purpose) { counts[p].Add(1) }

// Counts returns the number of wake-ups since the start of the process, by purpose.
func Counts() map[Purpose]int64 {
	all := make(map[Purpose]int64, purposes)
	for p := range purposes {
		all[p] = counts[p].Load()
	}
	return all
}
