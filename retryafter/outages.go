package retryafter

import (
	"slices"
	"time"
)

const (
	// maxLengths bounds the outage lengths that are kept; the oldest is forgotten first.
	maxLengths = 16
	// maxRemaining bounds the predicted remaining time of an outage that has lasted longer than all
	// others.
	maxRemaining = 5 * time.Second
	// minRemaining is the least predicted remaining time of an outage that has not ended.
	minRemaining = 50 * time.Millisecond
)

// Outages predicts how long an outage will still last from the lengths of earlier ones.
type Outages struct {
	// first is the predicted length of the first outage.
	first   time.Duration
	lengths []time.Duration
}

// NewOutages returns an estimator that predicts the length first while no outage was met.
func NewOutages(first time.Duration) Outages { return Outages{first: first} }

// Met records the length of an outage that this process met or another router reported.
func (o *Outages) Met(length time.Duration) {
	if length <= 0 {
		return
	}
	if len(o.lengths) == maxLengths {
		o.lengths = slices.Delete(o.lengths, 0, 1)
	}
	o.lengths = append(o.lengths, length)
}

// Longest returns the longest length met; 0 if none was.
func (o *Outages) Longest() time.Duration {
	if len(o.lengths) == 0 {
		return 0
	}
	return slices.Max(o.lengths)
}

// Remaining returns the expected remaining time of an outage that has lasted for the given time: the
// mean over the earlier ones that lasted longer. An outage longer than all others is expected to
// last as long again, since a return that is too early is refused a second time.
func (o *Outages) Remaining(elapsed time.Duration) time.Duration {
	elapsed = max(elapsed, 0)
	var sum time.Duration
	longer := 0
	for _, length := range o.lengths {
		if length > elapsed {
			sum += length - elapsed
			longer++
		}
	}
	switch {
	case longer > 0:
		return max(sum/time.Duration(longer), minRemaining)
	case len(o.lengths) == 0 && elapsed < o.first:
		return max(o.first-elapsed, minRemaining)
	default:
		return min(max(elapsed, minRemaining), maxRemaining)
	}
}
