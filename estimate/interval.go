// Package estimate derives the speed of model servers from the times between the events of their
// streams and from the times to their first events, as one router observes them or as other routers
// report them. The package is pure: callers pass the time.
package estimate

import (
	"math"
	"slices"
	"time"
)

const (
	// recentIntervals is the number of event intervals that a router keeps of a server. A change
	// to slow shows after seven of them, which is a seventh of a stream of 50 events.
	recentIntervals = 9
	// typicalRank is the rank, among the recent intervals in ascending order, of the typical one. It is
	// low because prompts delay events of every server: with rank 3, servers of equal speed changed class
	// eight times in 5,000 events of which a fifth were late.
	typicalRank = 2
	// batchToDouble is the number of running requests that doubles the time of a step. Engines spend
	// about 0.11 ms on each running request and 4.4 to 6 ms on the step itself.
	batchToDouble = 45.0
	// ownMemory and sharedMemory are the ages at which the weight of own and of reported intervals has
	// fallen by a factor of e. Slow phases of servers last for seconds.
	ownMemory    = 2 * time.Second
	sharedMemory = time.Second
	// negligibleWeight is the weight below which a sample counts as unknown.
	negligibleWeight = 0.2
)

// BatchFactor returns how much longer a step takes with this many running requests than with none.
func BatchFactor(running int) float64 { return 1 + float64(max(running, 0))/batchToDouble }

// Sample is the event interval of a server, scaled to an empty batch.
type Sample struct {
	// Seconds is the interval.
	Seconds float64
	// Weight is the number of intervals behind it, less with age; 0: unknown.
	Weight float64
}

// Known reports whether the sample has any weight.
func (s Sample) Known() bool { return s.Weight > 0 }

// Intervals holds the most recent event intervals of one server, scaled to an empty batch.
type Intervals struct {
	recent [recentIntervals]float32
	count  int
	next   int
	at     time.Time
}

// Add records an event interval that ended now, with this many requests running at the server.
func (w *Intervals) Add(now time.Time, interval time.Duration, running int) {
	if interval <= 0 {
		return
	}
	w.recent[w.next] = float32(interval.Seconds() / BatchFactor(running))
	w.next = (w.next + 1) % recentIntervals
	w.count = min(w.count+1, recentIntervals)
	w.at = now
}

// Sample returns the typical recent interval, excluding events that single prompts delayed.
func (w *Intervals) Sample(now time.Time) Sample {
	if w.count == 0 {
		return Sample{}
	}
	sorted := w.recent
	known := sorted[:w.count]
	slices.Sort(known)
	typical := known[typicalRank*(w.count-1)/(recentIntervals-1)]
	return sample(float64(typical), w.count, now.Sub(w.at), ownMemory)
}

// Reported returns the sample for a mean interval that other routers reported.
func Reported(mean time.Duration, events, running int, age time.Duration) Sample {
	if mean <= 0 || events <= 0 {
		return Sample{}
	}
	return sample(mean.Seconds()/BatchFactor(running), min(events, recentIntervals), age, sharedMemory)
}

func sample(seconds float64, count int, age, memory time.Duration) Sample {
	weight := float64(count) * math.Exp(-max(age, 0).Seconds()/memory.Seconds())
	if weight < negligibleWeight {
		return Sample{}
	}
	return Sample{Seconds: seconds, Weight: weight}
}

// Median returns the median of a list, which it sorts in place; 0 if the list is empty.
func Median(list []float64) float64 {
	if len(list) == 0 {
		return 0
	}
	slices.Sort(list)
	return list[(len(list)-1)/2]
}
