// Package bound divides the time that the operator allows for a change to take effect: from
// the store's answer to whoever made it, until no request at any router goes by the state
// before it.
//
// What a router knows has an age, counted from the store's answer that it comes from. Each
// part of the time bounds what may be added to that age, and the parts add up to the whole.
package bound

import "time"

const (
	// AskEvery is how often a relay asks a watcher for updates, and the least time between two
	// questions of a router to a relay.
	AskEvery = 250 * time.Millisecond
	// askLongest is the longest time between two questions of a router to a relay.
	askLongest = time.Second
	// transfers is the time on busy links of a relay's question and of a router's question to the
	// relay.
	transfers = 300 * time.Millisecond
	// WatchSlack is how much longer than its wait a watch of the store may take before it is
	// given up.
	WatchSlack = 400 * time.Millisecond
	// discoveryInLargeFleet is how long a router of a large fleet needs to query the store
	// directly: ProbeWithin, YieldFor, the pause between two checks of what it knows, and two
	// short calls.
	discoveryInLargeFleet = 700 * time.Millisecond
	// ProbeWithin is the time over which routers that all lack updates at the same moment
	// spread their probes of the store.
	ProbeWithin = 100 * time.Millisecond
	// YieldFor is how long a router whose probe the store answered waits for updates from a
	// relay before it makes full calls: an outage mostly ends for relays too, and hundreds of
	// routers need not ask.
	YieldFor = 300 * time.Millisecond
	// discoveryInSmallFleet is how long a router that watches the store itself needs to notice
	// a stalled watch, and for two short calls in its place.
	discoveryInSmallFleet = WatchSlack + 150*time.Millisecond
	// delivery is the time of a request from the last check of its server until it arrives
	// there, on links that are not full.
	delivery = 300 * time.Millisecond
	// CallTimeout is when a short call of a store that does not answer is given up.
	CallTimeout = time.Second

	// leastWatch keeps routers from asking without pause for bounds that they cannot keep
	// when a watch stalls, and longestWatch is what the store allows, less a margin.
	leastWatch   = 500 * time.Millisecond
	longestWatch = 25 * time.Second
)

// Parts are the parts of a bound. They add up to it, or to more for a bound under 1.4 s in a
// small fleet and 2.3 s in a large one.
type Parts struct {
	// Watch is how long a watch waits at the store before it is renewed, and so the age of
	// what a router knows that watches the store itself.
	Watch time.Duration
	// Propagation is added at routers that are updated by others; 0 in a small fleet.
	Propagation time.Duration
	// Ask is how often a router asks a relay for updates: a part of Propagation.
	Ask time.Duration
	// Discovery is how long a router that is not updated any more needs to query the store
	// directly.
	Discovery time.Duration
	// Delivery is the time between the last check of what is known and the arrival of a
	// request at its server.
	Delivery time.Duration
}

// Divide returns the parts of a bound. In a large fleet few routers watch the store and update
// the others.
func Divide(bound time.Duration, large bool) Parts {
	p := Parts{Ask: AskEvery, Discovery: discoveryInSmallFleet, Delivery: delivery}
	if large {
		p.Discovery = discoveryInLargeFleet
		p.Ask = askEvery(bound)
		p.Propagation = AskEvery + p.Ask + transfers
	}
	p.Watch = min(max(bound-p.Propagation-p.Discovery-p.Delivery, leastWatch), longestWatch)
	return p
}

// askEvery returns how often routers of a large fleet ask a relay for updates: a quarter of what a
// bound has beyond the shortest that a large fleet can keep. A question costs both routers the
// same whether there is news or not.
func askEvery(bound time.Duration) time.Duration {
	const shortest = 2 * time.Second
	return min(max((bound-shortest)/4, AskEvery), askLongest)
}

// Sum is the longest time from a change until no request goes by the state before it.
func (p Parts) Sum() time.Duration { return p.Watch + p.Propagation + p.Discovery + p.Delivery }

// StaleAfter is the staleness bound: the age from which a router does not go by the updates of
// others, but queries the store directly.
func (p Parts) StaleAfter() time.Duration { return p.Watch + p.Propagation }

// RelayStaleAfter is the staleness bound of a router that relays updates.
func (p Parts) RelayStaleAfter() time.Duration {
	return p.Watch + min(p.Propagation/2, AskEvery+transfers/2)
}

// Retry is how long a router whose query of the store failed may wait until the next one. With
// the time of a query that began just before the store was back, it is up to date again within
// the bound.
func (p Parts) Retry() time.Duration { return max(p.Sum()-CallTimeout, CallTimeout) }
