// Package bound divides the propagation bound, which the operator sets, into time budgets for its
// stages. The bound covers the time from the store's response to the writer of a change until no
// request at any router is handled by the state before the change.
//
// The state of a router has an age, counted from the store's response that it comes from. Each
// stage may add at most its budget to that age, and the budgets add up to the bound.
package bound

import "time"

const (
	// RequestInterval is the interval at which a relay polls a watcher for updates, and the minimum
	// interval at which a router polls a relay.
	RequestInterval = 250 * time.Millisecond
	// maxPollInterval is the maximum interval at which a router polls a relay.
	maxPollInterval = time.Second
	// transferTime is the total time on busy links for a relay's poll of a watcher and a router's
	// poll of the relay.
	transferTime = 300 * time.Millisecond
	// WatchSlack is how much longer than its wait time a watch of the store may take before it
	// is aborted.
	WatchSlack = 400 * time.Millisecond
	// discoveryInLargeFleet is the time that a router of a large fleet needs to query the store
	// directly: ProbeWithin, YieldFor, the interval between two staleness checks, and two
	// short calls.
	discoveryInLargeFleet = 700 * time.Millisecond
	// ProbeWithin is the time over which routers that become stale at the same moment spread
	// their probes of the store.
	ProbeWithin = 100 * time.Millisecond
	// YieldFor is how long a router waits for updates from a relay after the store answered its
	// probe and before it sends full queries: an outage usually ends for relays at the same time,
	// so hundreds of routers need not query the store.
	YieldFor = 300 * time.Millisecond
	// discoveryInSmallFleet is the time that a router with its own watch of the store needs to
	// detect a stalled watch and to make two short calls instead.
	discoveryInSmallFleet = WatchSlack + 150*time.Millisecond
	// delivery is the time from the last check of a request's server until the request arrives
	// there, on links that are not saturated.
	delivery = 300 * time.Millisecond
	// CallTimeout is the timeout of a short call to the store.
	CallTimeout = time.Second

	// minWatch prevents routers from polling the store continuously for bounds that cannot be
	// met when a watch stalls. maxWatch is the limit of the store less a margin.
	minWatch = 500 * time.Millisecond
	maxWatch = 25 * time.Second
)

// Parts are the time budgets of the stages of a bound. Their sum does not exceed the bound unless
// the bound is below 1.4 s in a small fleet or 2.3 s in a large one.
type Parts struct {
	// Watch is how long a watch waits at the store before it is renewed, and therefore the
	// maximum age of the state of a router that watches the store itself.
	Watch time.Duration
	// Propagation is the additional age at routers that are updated by others; 0 in a small fleet.
	Propagation time.Duration
	// RequestInterval is the interval at which a router polls a relay for updates; it is a part of
	// Propagation.
	RequestInterval time.Duration
	// Discovery is the time that a router that no longer gets updates needs to query the store
	// directly.
	Discovery time.Duration
	// Delivery is the time between the last staleness check and the arrival of a request at its
	// server.
	Delivery time.Duration
}

// Divide divides a bound into its parts. In a large fleet only a few routers watch the store, and
// the others get updates from them.
func Divide(bound time.Duration, large bool) Parts {
	p := Parts{RequestInterval: RequestInterval, Discovery: discoveryInSmallFleet, Delivery: delivery}
	if large {
		p.Discovery = discoveryInLargeFleet
		p.RequestInterval = pollInterval(bound)
		p.Propagation = RequestInterval + p.RequestInterval + transferTime
	}
	p.Watch = min(max(bound-p.Propagation-p.Discovery-p.Delivery, minWatch), maxWatch)
	return p
}

// pollInterval returns the interval at which routers of a large fleet poll a relay: a quarter of the
// time by which the bound exceeds the shortest bound of a large fleet. It grows with the bound
// because a poll costs both routers the same whether there are updates or not.
func pollInterval(bound time.Duration) time.Duration {
	const minBound = 2 * time.Second
	return min(max((bound-minBound)/4, RequestInterval), maxPollInterval)
}

// Sum returns the maximum time from a change until no request is handled by the state before it.
func (p Parts) Sum() time.Duration { return p.Watch + p.Propagation + p.Discovery + p.Delivery }

// StaleAfter returns the staleness bound: the age from which a router no longer relies on updates
// from others and queries the store directly.
func (p Parts) StaleAfter() time.Duration { return p.Watch + p.Propagation }

// RelayStaleAfter returns the staleness bound of a router that relays updates.
func (p Parts) RelayStaleAfter() time.Duration {
	return p.Watch + min(p.Propagation/2, RequestInterval+transferTime/2)
}

// Retry returns the maximum delay of a router between a failed query of the store and the next one.
// Including a query that started just before the store recovered, the router is up to date again
// within the bound.
func (p Parts) Retry() time.Duration { return max(p.Sum()-CallTimeout, CallTimeout) }
