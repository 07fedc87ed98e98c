package budget

import (
	"math"
	"time"
)

// youngest is the least time over which a rate is estimated: the first
// requests alone say little.
const youngest = 3 * time.Second

// rate estimates tokens asked for in a time, with exponential decay.
type rate struct {
	window time.Duration // time constant of the decay
	sum    float64       // decayed tokens
	at     time.Time     // of sum
	since  time.Time     // the first tokens
}

func (r *rate) decayed(now time.Time) float64 {
	if r.at.IsZero() {
		return 0
	}
	return r.sum * math.Exp(-float64(now.Sub(r.at))/float64(r.window))
}

// add counts tokens; a negative number takes back what was counted too much.
func (r *rate) add(now time.Time, tokens int64) {
	if r.at.IsZero() {
		r.since = now
	}
	r.sum = max(r.decayed(now)+float64(tokens), 0)
	r.at = now
}

// ahead returns the tokens that the present rate gives in d.
func (r *rate) ahead(now time.Time, d time.Duration) int64 {
	age := max(now.Sub(r.since), youngest)
	seen := 1 - math.Exp(-float64(age)/float64(r.window)) // of the window, so far
	return int64(r.decayed(now) / (seen * r.window.Seconds()) * d.Seconds())
}
