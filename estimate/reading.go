package estimate

import (
	"math"
	"time"
)

const (
	// defaultPerToken is the reading time of a prompt token, in seconds, until one is observed.
	defaultPerToken = 1.0 / 60000
	// minPerToken and maxPerToken bound the estimate.
	minPerToken = 1.0 / 500000
	maxPerToken = 1.0 / 5000
	// minReadTokens is the size of the smallest prompt that tells the reading time: a shorter one is
	// read faster than an event is generated.
	minReadTokens = 700
	// readingQuantile is low because a wait also includes prompts of others and shared prefixes that
	// the server did not have cached. readingGain is the step of the estimate per observation.
	readingQuantile = 0.25
	readingGain     = 0.1
)

// Reading estimates the time in which servers of median speed read a prompt token. The zero value is
// ready to use.
type Reading struct{ perToken float64 }

// Add records that a server took this long to the first event of a request with this many prompt
// tokens to read. interval is its usual time between events, in seconds, and factor its speed factor.
func (r *Reading) Add(wait time.Duration, tokens int64, interval, factor float64) {
	reading := wait.Seconds() - interval
	if tokens < minReadTokens || reading <= 0 || factor <= 0 {
		return
	}
	observed := reading / float64(tokens) / factor
	if r.perToken == 0 {
		r.perToken = min(max(observed, minPerToken), defaultPerToken)
		return
	}
	step := readingQuantile
	if observed < r.perToken {
		step--
	}
	r.perToken = min(max(r.perToken*math.Exp(readingGain*step), minPerToken), maxPerToken)
}

// PerToken returns the reading time of a token in seconds at a server of median speed.
func (r *Reading) PerToken() float64 {
	if r.perToken == 0 {
		return defaultPerToken
	}
	return r.perToken
}
