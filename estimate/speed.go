package estimate

import (
	"math"
	"time"
)

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
	// longTermMemory is the time over which the long-term factor averages, and maxUpdateGap the longest
	// time that one update counts for. Slow phases of servers last for seconds, and a server that is
	// always slow must not count as the median when it has not been used for a while.
	longTermMemory = 5 * time.Second
	maxUpdateGap   = time.Second
	// disuseMemory is the time over which the long-term factor of an unobserved server returns to the
	// median: a server that was slow when it was last used is tried again.
	disuseMemory = time.Minute
	// minFactor and maxFactor bound factors: a server beyond them is chosen or avoided anyway.
	minFactor = 0.4
	maxFactor = 8.0
)

// Reference holds the median event intervals of a service, in seconds at an empty batch; 0: unknown.
// Own and reported intervals have separate medians, since they are averaged differently.
type Reference struct{ Own, Shared float64 }

// combined returns the factor of a server to the median of its service and its weight, from the own and
// the reported sample; the weight is 0 if there is neither.
func combined(own, shared Sample, ref Reference) (factor, weight float64) {
	var sum float64
	if own.Known() && ref.Own > 0 {
		sum += own.Weight * own.Seconds / ref.Own
		weight += own.Weight
	}
	if shared.Known() && ref.Shared > 0 {
		sum += shared.Weight * shared.Seconds / ref.Shared
		weight += shared.Weight
	}
	if weight == 0 {
		return 0, 0
	}
	return min(max(sum/weight, minFactor), maxFactor), weight
}

// Speed is the speed of one server relative to the median of its service. The zero value is the median.
type Speed struct {
	// factor is the current factor, and longTerm its average while it was observed; 0: never observed.
	factor, longTerm float64
	slow             bool
	changedAt        time.Time
	updatedAt        time.Time
}

// Update sets the current factor from the own and the reported sample, and reports whether the class of
// the server changed. As far as the samples have little weight, the long-term factor counts.
func (s *Speed) Update(now time.Time, own, shared Sample, ref Reference) (changed bool) {
	elapsed := min(now.Sub(s.updatedAt), maxUpdateGap)
	s.updatedAt = now
	factor, weight := combined(own, shared, ref)
	switch {
	case weight >= fullWeight && s.longTerm == 0:
		s.longTerm = factor
	case weight >= fullWeight:
		s.longTerm += progress(elapsed, longTermMemory) * (factor - s.longTerm)
	case s.longTerm == 0:
		factor = (weight*factor + fullWeight - weight) / fullWeight
	default:
		s.longTerm += progress(elapsed, disuseMemory) * (1 - s.longTerm)
		factor = (weight*factor + (fullWeight-weight)*s.longTerm) / fullWeight
	}
	return s.set(now, factor)
}

// progress returns the share by which an exponential average with the given memory moves in a time.
func progress(elapsed, memory time.Duration) float64 {
	return 1 - math.Exp(-elapsed.Seconds()/memory.Seconds())
}

// set sets the current factor and updates the class.
func (s *Speed) set(now time.Time, factor float64) (changed bool) {
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

// SlowFor reports whether the server has been slow for at least a given time.
func (s *Speed) SlowFor(now time.Time, atLeast time.Duration) bool {
	return s.slow && now.Sub(s.changedAt) >= atLeast
}

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
