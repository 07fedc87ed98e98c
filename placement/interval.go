package placement

import (
	"math"
	"slices"
	"time"
)

// An engine processes its batch in steps. While it processes a long prompt each
// step takes longer, and the other streams in the batch stall for a time that
// depends on the engine's speed, which servers do not report. The event interval of
// a server is therefore estimated as a low quantile of the time between two events
// of its streams: the time with few requests and no prompt to process, which differs
// between the servers of a service only by their speed. Long prompts go to the fast
// servers.

const (
	// intervalQuantile is low enough to exclude events that were delayed by a prompt
	// or by a large batch.
	intervalQuantile = 0.05
	// intervalGain is the step of the estimate per event, as a share of the estimate:
	// it falls within about ten events and rises within about a hundred, which are a
	// few streams.
	intervalGain = 0.05
	// fastFactor is how far above the median of its service a server's event interval
	// may be for the server to count as fast. Smaller differences can come from the
	// batches alone.
	fastFactor = 1.15
	// promptMeanWeight is the weight of the newest request in the moving average of a
	// service's prompt size: about the last fifty requests count.
	promptMeanWeight = 0.02
)

// RecordEventInterval updates the event interval of a server with the time between two events of a
// stream, the second of which arrived now.
func (f *Servers) RecordEventInterval(now time.Time, in Incarnation, gap time.Duration) {
	s := f.lookup(in)
	if s == nil || gap <= 0 {
		return
	}
	s.intervals.add(now, gap)
	s.recent.Add(now, gap, s.running(now))
	f.groupOf(s.Service).addTimed(s)
	if s.eventInterval == 0 {
		s.eventInterval = gap.Seconds()
		f.groupOf(s.Service).addMeasured(s)
		return
	}
	step := intervalQuantile
	if gap.Seconds() < s.eventInterval {
		step -= 1
	}
	s.eventInterval *= math.Exp(intervalGain * step)
}

// fastServers returns the servers of a list whose event interval is at most fastFactor
// times the median, in the same order. A server without a known interval counts as fast.
func fastServers(list []*state) []*state {
	bound := fastLimitOf(list)
	return slices.DeleteFunc(slices.Clone(list), func(s *state) bool { return s.eventInterval > bound })
}

// fastLimitOf returns the event interval, in seconds, up to which servers of a list count as fast.
func fastLimitOf(list []*state) float64 {
	intervals := make([]float64, 0, len(list))
	for _, s := range list {
		if s.eventInterval > 0 {
			intervals = append(intervals, s.eventInterval)
		}
	}
	return fastLimitOfIntervals(intervals)
}

// fastLimitOfIntervals returns the limit for the given event intervals, which it sorts in place.
func fastLimitOfIntervals(intervals []float64) float64 {
	if len(intervals) == 0 {
		return math.Inf(1)
	}
	slices.Sort(intervals)
	return fastFactor * intervals[(len(intervals)-1)/2]
}

// isLongPrompt reports whether a prompt is longer than the moving average of its
// service, and updates the average with it.
func (f *Servers) isLongPrompt(q Query) bool {
	mean, known := f.meanPrompt[q.Service]
	if !known {
		mean = float64(q.Prompt)
	}
	f.meanPrompt[q.Service] = mean + promptMeanWeight*(float64(q.Prompt)-mean)
	return float64(q.Prompt) > mean
}
