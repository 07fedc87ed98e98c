// Package retry decides whether a failed attempt may be followed by another.
// It is pure: callers pass the time and the random source.
package retry

import (
	"math/rand/v2"
	"time"
)

// Failure is what is known of a failed attempt.
type Failure struct {
	// Dispatched tells that at least one byte was handed to the backend
	// server's connection, so that the attempt may have run.
	Dispatched bool
	// Refused tells that the backend server said itself that it did not run
	// the request.
	Refused bool
	// Answered tells that a part of the answer has reached the caller.
	Answered bool
}

// NotRun tells whether the attempt certainly did not run.
func (f Failure) NotRun() bool {
	return !f.Dispatched || f.Refused
}

// Allowed tells whether another attempt is safe: the failed one certainly did
// not run, or the request is repeatable and the caller has seen nothing.
func Allowed(f Failure, notRepeatable bool) bool {
	if f.NotRun() {
		return true
	}
	return !notRepeatable && !f.Answered
}

// DefaultBurst is how many retries a router may make with an empty history
// where the operator sets nothing else.
const DefaultBurst = 10

// Budget bounds retries to a share of the requests, so that a failing pool
// is not hit by a storm. It is not safe for concurrent use.
type Budget struct {
	ratio  float64
	burst  float64
	tokens float64
}

// NewBudget returns a budget that earns ratio retries a request and saves up
// to burst of them.
func NewBudget(ratio, burst float64) *Budget {
	return &Budget{ratio: ratio, burst: burst, tokens: burst}
}

// Request earns the share of one request.
func (b *Budget) Request() {
	b.tokens = min(b.tokens+b.ratio, b.burst)
}

// Left tells whether a retry may be made.
func (b *Budget) Left() bool { return b.tokens >= 1 }

// Spend takes one retry, or tells that the budget is spent.
func (b *Budget) Spend() bool {
	if !b.Left() {
		return false
	}
	b.tokens--
	return true
}

const (
	baseDelay = 5 * time.Millisecond
	maxDelay  = 200 * time.Millisecond
)

// Delay returns the jittered pause before the given attempt (2 is the first
// retry).
func Delay(rng *rand.Rand, attempt int) time.Duration {
	ceiling := baseDelay << min(attempt, 10)
	ceiling = min(ceiling, maxDelay)
	return time.Duration(rng.Int64N(int64(ceiling)) + 1)
}
