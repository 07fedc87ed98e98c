package retry

import (
	"math/rand/v2"
	"time"
)

const (
	// priorityStep is how much later the callers of each next lower priority return; priorities
	// beyond maxPrioritySteps return with the last one.
	priorityStep     = 250 * time.Millisecond
	maxPrioritySteps = 3
	// returnSpread is the time over which the callers of a priority return.
	returnSpread = 250 * time.Millisecond
)

// ReturnAfter returns when a caller should come back that was refused because no server takes
// requests for the given time, the most urgent first; priority 0 is the most urgent.
func ReturnAfter(rng *rand.Rand, wait time.Duration, priority int) time.Duration {
	steps := min(max(priority, 0), maxPrioritySteps)
	return max(wait, 0) + time.Duration(steps)*priorityStep + time.Duration(rng.Int64N(int64(returnSpread)))
}
