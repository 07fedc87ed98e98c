package estimate

import "time"

const (
	// slowFrom is the factor to the median of its service from which a server is slow, and normalBelow
	// the one below which it is normal again. Batches and prompts alone cause smaller differences.
	slowFrom    = 1.4
	normalBelow = 1.15
	// minClassTime is the shortest time between two changes of class.
	minClassTime = 500 * time.Millisecond
	// fullWeight is the number of recent intervals from which they alone decide; with fewer, the
	// long-term factor counts for the rest, so that single late events change little.
	fullWeight = 5.0
	// minFactor and maxFactor bound factors: a server beyond them is chosen or avoided anyway.
	minFactor = 0.4
	maxFactor = 8.0
)

// Reference holds the median event intervals of a service, in seconds at an empty batch; 0: unknown.
// Own and reported intervals have separate medians, since they are averaged differently.
type Reference struct{ Own, Shared float64 }

// Factor returns how much slower than the median of its service a server is: from the own and the
// reported sample, and from its long-term factor as far as these have little weight. A server that was
// never observed has the long-term factor 1.
func Factor(own, shared Sample, ref Reference, longTerm float64) float64 {
	var sum, weight float64
	if own.Known() && ref.Own > 0 {
		sum += own.Weight * own.Seconds / ref.Own
		weight += own.Weight
	}
	if shared.Known() && ref.Shared > 0 {
		sum += shared.Weight * shared.Seconds / ref.Shared
		weight += shared.Weight
	}
	if missing := fullWeight - weight; missing > 0 {
		sum += missing * longTerm
		weight += missing
	}
	return Bound(sum / weight)
}

// Bound limits a factor to plausible values.
func Bound(factor float64) float64 { return min(max(factor, minFactor), maxFactor) }

// Speed is the speed of one server relative to the median of its service. The zero value is the median.
type Speed struct {
	factor    float64
	slow      bool
	changedAt time.Time
}

// Update sets the current factor and reports whether the class of the server changed.
func (s *Speed) Update(now time.Time, factor float64) (changed bool) {
	s.factor = factor
	slow := s.slow && factor >= normalBelow || factor >= slowFrom
	if slow == s.slow || !s.changedAt.IsZero() && now.Sub(s.changedAt) < minClassTime {
		return false
	}
	s.slow, s.changedAt = slow, now
	return true
}

// Slow reports whether the server is classed as slow.
func (s *Speed) Slow() bool { return s.slow }

// Factor returns the factor to use in predictions. Of a server that is classed as normal only half of
// the difference to the median counts, and no more than up to the limit of its class.
func (s *Speed) Factor() float64 {
	switch {
	case s.factor == 0:
		return 1
	case s.slow:
		return max(s.factor, normalBelow)
	default:
		return min((1+s.factor)/2, slowFrom)
	}
}
