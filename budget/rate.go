package budget

import (
	"math"
	"time"
)

// minRateAge is the shortest time over which a rate is estimated: the first requests alone
// are not representative.
const minRateAge = 3 * time.Second

// rate estimates the rate at which tokens are asked for, with exponential decay.
type rate struct {
	window time.Duration // time constant of the decay
	sum    float64       // decayed tokens
	at     time.Time     // time of the last update of sum
	since  time.Time     // time of the first tokens
}

func (r *rate) decayed(now time.Time) float64 {
	if r.at.IsZero() {
		return 0
	}
	return r.sum * math.Exp(-float64(now.Sub(r.at))/float64(r.window))
}

// add counts tokens; a negative number corrects an earlier overcount.
func (r *rate) add(now time.Time, tokens int64) {
	if r.at.IsZero() {
		r.since = now
	}
	r.sum = max(r.decayed(now)+float64(tokens), 0)
	r.at = now
}

// expected returns the tokens that the current rate yields in d.
func (r *rate) expected(now time.Time, d time.Duration) int64 {
	age := max(now.Sub(r.since), minRateAge)
	covered := 1 - math.Exp(-float64(age)/float64(r.window)) // share of the window covered so far
	return int64(r.decayed(now) / (covered * r.window.Seconds()) * d.Seconds())
}
