package placement

import (
	"math"
	"slices"
	"time"
)

// An engine works through its batch in steps; while it reads a long prompt each
// step takes longer, and the streams that run beside it pause. How long depends
// on the engine's speed, which nobody tells. The pace of a server is a low
// quantile of the time between two events of its streams: what that takes with few
// requests and nothing to read, so that it differs between the servers of a service
// by their speeds. Long prompts go to the fast ones.

const (
	// paceQuantile is low enough to leave out the events that waited for a prompt
	// or came from a large batch.
	paceQuantile = 0.05
	// paceGain is how far one event moves the estimate, as a share of it: the
	// estimate falls within some ten events and rises within some hundred, which
	// are a few streams.
	paceGain = 0.05
	// paceSlack is how far above the middle of its service a server's pace may lie
	// for it to count as fast; less lies within the differences of batches.
	paceSlack = 1.15
	// promptGain is how far one request moves the mean size of a service's prompts:
	// about the last fifty requests count.
	promptGain = 0.02
)

// Paced notes the time between two events of a stream.
func (f *Servers) Paced(in Incarnation, gap time.Duration) {
	s := f.of(in)
	if s == nil || gap <= 0 {
		return
	}
	if s.pace == 0 {
		s.pace = gap.Seconds()
		f.groupOf(s.Service).measure(s)
		return
	}
	move := paceQuantile
	if gap.Seconds() < s.pace {
		move -= 1
	}
	s.pace *= math.Exp(paceGain * move)
}

// Slow returns the servers that long prompts avoid, with their paces.
func (f *Servers) Slow() map[string]time.Duration {
	slow := map[string]time.Duration{}
	for _, g := range f.groups {
		bound := fastBound(g.measured)
		for _, s := range g.measured {
			if s.pace > bound {
				slow[s.ID] = time.Duration(s.pace * float64(time.Second))
			}
		}
	}
	return slow
}

// fast returns the servers of a list whose pace is not far above the middle one,
// in the same order. A server without a known pace counts as fast.
func fast(list []*state) []*state {
	bound := fastBound(list)
	return slices.DeleteFunc(slices.Clone(list), func(s *state) bool { return s.pace > bound })
}

// fastBound returns the pace, in seconds, up to which servers of a list are fast.
func fastBound(list []*state) float64 {
	paces := make([]float64, 0, len(list))
	for _, s := range list {
		if s.pace > 0 {
			paces = append(paces, s.pace)
		}
	}
	return boundOf(paces)
}

// boundOf returns the pace up to which servers with these paces, which it sorts, are fast.
func boundOf(paces []float64) float64 {
	if len(paces) == 0 {
		return math.Inf(1)
	}
	slices.Sort(paces)
	return paceSlack * paces[(len(paces)-1)/2]
}

// long tells whether a prompt is longer than the mean of its service, and counts
// it into that.
func (f *Servers) long(q Query) bool {
	mean, known := f.meanPrompt[q.Service]
	if !known {
		mean = float64(q.Prompt)
	}
	f.meanPrompt[q.Service] = mean + promptGain*(float64(q.Prompt)-mean)
	return float64(q.Prompt) > mean
}
