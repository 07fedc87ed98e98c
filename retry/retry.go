// Package retry decides whether a failed attempt may be followed by another.
// It is pure: callers pass the time and the random source.
package retry

import (
	"math/rand/v2"
	"time"
)

// Failure describes a failed attempt.
type Failure struct {
	// Dispatched is set if at least one byte was written to the connection
	// to the backend server, so that the request may have been executed.
	Dispatched bool
	// Refused is set if the backend server itself reported that it did not
	// execute the request.
	Refused bool
	// Answered is set if a part of the response was forwarded to the caller.
	Answered bool
}

// NotRun reports whether the request was certainly not executed.
func (f Failure) NotRun() bool {
	return !f.Dispatched || f.Refused
}

// Allowed reports whether a retry is safe: the request was certainly not
// executed, or it is repeatable and the caller has received no part of a response.
func Allowed(f Failure, notRepeatable bool) bool {
	if f.NotRun() {
		return true
	}
	return !notRepeatable && !f.Answered
}

const (
	baseDelay = 5 * time.Millisecond
	maxDelay  = 200 * time.Millisecond
)

// Delay returns the backoff before the given attempt (2 is the first retry):
// exponential up to maxDelay, with full jitter.
func Delay(rng *rand.Rand, attempt int) time.Duration {
	ceiling := baseDelay << min(attempt, 10)
	ceiling = min(ceiling, maxDelay)
	return time.Duration(rng.Int64N(int64(ceiling)) + 1)
}
