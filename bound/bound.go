// Package bound divides the time that the operator gives a change: from the store's answer to
// whoever made it until no request at any router goes by what was before.
//
// What a router knows has an age, counted from the store's answer that it comes from, and each
// part of the time bounds what may be added to that age. A part that stands in no sum is how
// bounds are missed although everyone keeps to a limit of their own.
package bound

import "time"

const (
	// AskEvery is how often a router asks another one for news.
	AskEvery = 250 * time.Millisecond
	// telling is the way of news from a router that watches the store to the last one: the
	// question of a teller, that of a router, and the time of both on links that are busy.
	telling = 2*AskEvery + 300*time.Millisecond
	// WatchSlack is how much longer than its wait a watch of the store may take before it
	// is given up.
	WatchSlack = 400 * time.Millisecond
	// findingSoon is how long a router of a large fleet needs to look for the store itself:
	// FindWithin and FindAfter, the pause between two looks at what it knows, and two short
	// calls.
	findingSoon = 700 * time.Millisecond
	// FindWithin is the time over which routers that all lack news at the same moment
	// spread their probes of the store, and FindAfter how long one that it answers then
	// leaves the full calls to those that pass news on: they mostly tell it by then, and
	// hundreds need not ask.
	FindWithin = 100 * time.Millisecond
	FindAfter  = 300 * time.Millisecond
	// findingAgain is how long a router that watches the store for itself needs to notice a
	// watch that hears nothing, and for two short calls in its place.
	findingAgain = WatchSlack + 150*time.Millisecond
	// way is how long a request takes from the last look at its server until it arrives
	// there, on links that are not full.
	way = 300 * time.Millisecond
	// CallTimeout is when a short call of a store that says nothing is given up.
	CallTimeout = time.Second

	// leastWatch keeps routers from asking all the time for bounds that they cannot keep
	// when a watch goes deaf, and longestWatch is what the store allows, less a margin.
	leastWatch   = 500 * time.Millisecond
	longestWatch = 25 * time.Second
)

// Parts are the parts of a bound. They add up to it, or to more for a bound under 1.4 s in a
// small fleet and 2.3 s in a large one.
type Parts struct {
	// Watch is how long a watch waits at the store before it is renewed: so old is what a
	// router knows that watches the store for itself.
	Watch time.Duration
	// Telling is added at routers that have it from others; none in a small fleet.
	Telling time.Duration
	// Finding is how long a router that has heard nothing for longer needs to ask the store
	// itself.
	Finding time.Duration
	// Way is the time between the last look at what is known and the arrival of a request
	// at its server.
	Way time.Duration
}

// Divide returns the parts of a bound. In a large fleet few routers watch the store and tell
// the others.
func Divide(bound time.Duration, large bool) Parts {
	p := Parts{Finding: findingAgain, Way: way}
	if large {
		p.Telling, p.Finding = telling, findingSoon
	}
	p.Watch = min(max(bound-p.Telling-p.Finding-p.Way, leastWatch), longestWatch)
	return p
}

// Sum is the longest time from a change until no request goes by what was before.
func (p Parts) Sum() time.Duration { return p.Watch + p.Telling + p.Finding + p.Way }

// TooOld is the age from which a router does not go by what others tell, but looks for the
// store itself.
func (p Parts) TooOld() time.Duration { return p.Watch + p.Telling }

// TooOldToTell is the same for a router that passes news on.
func (p Parts) TooOldToTell() time.Duration { return p.Watch + p.Telling/2 }

// Retry is how long a router that found no store may wait until it tries again. With the
// time of a try that began just before the store was back, it is right again within the bound.
func (p Parts) Retry() time.Duration { return max(p.Sum()-CallTimeout, CallTimeout) }
