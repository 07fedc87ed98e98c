// Package policy compares policies for distributing prepaid budgets among routers.
// It simulates the production decision code in virtual time with seeded random
// numbers, so that a run repeats exactly.
//
// Only decisions are simulated: the store is a map of pages with a delay, and a
// message is an event.
package policy

import (
	"fmt"
	"math"
	"time"
)

// Scenario is a seeded load with injected faults.
type Scenario struct {
	Name    string
	Seed    uint64
	Routers int
	Domains int
	// OneWay is the one-way delay between failure domains, StoreDelay the latency
	// of a store call.
	OneWay, StoreDelay time.Duration
	// PerSecond is the request rate of the fleet, Length the duration of the run.
	PerSecond float64
	Length    time.Duration
	// Warm is the warm-up time, which the traffic figures exclude.
	Warm time.Duration
	// Budgets is the number of budgets; their sizes follow a Zipf distribution.
	Budgets int
	// MinCap and MaxCap bound max_tokens.
	MinCap, MaxCap int64
	// PerToken is the time to generate one token.
	PerToken time.Duration
	// Fill is the limit of each budget as a share of its expected demand. Below 1
	// the budgets run out.
	Fill float64
	// TopUp is the share of its limit that is added to the largest budget halfway
	// through the run.
	TopUp float64
	// Faults are the faults to inject.
	Faults []Fault
	// Pages is the number of store objects that hold the budgets.
	Pages int
	// Hold is the setting OwnerHorizon of the budget agents.
	Hold time.Duration
}

// FaultKind is the kind of a fault.
type FaultKind string

// The kinds of faults.
const (
	// Kill kills a router. It restarts with empty state after Span.
	Kill FaultKind = "kill"
	// Freeze pauses a router for Span.
	Freeze FaultKind = "freeze"
	// Outage makes the store unavailable for Span.
	Outage FaultKind = "outage"
	// Partition partitions the first failure domain from the others for Span.
	Partition FaultKind = "cut"
)

// Fault is one fault to inject. Router applies to Kill and Freeze.
type Fault struct {
	Kind   FaultKind
	At     time.Duration
	Span   time.Duration
	Router int
}

const (
	// stream separates the random numbers of these benchmarks from others with the same seed.
	stream     = 11
	sameDomain = 200 * time.Microsecond
	// zipf is the Zipf exponent of the budget sizes: a few budgets are large.
	zipf = 1.1
)

// Base returns the load of the current fleet size: 8 instances, 166 requests per
// second.
func Base(domains int, oneWay time.Duration) Scenario {
	return Scenario{
		Name:       fmt.Sprintf("8 routers, %d domains", domains),
		Seed:       1,
		Routers:    8,
		Domains:    domains,
		OneWay:     oneWay,
		StoreDelay: 5 * time.Millisecond,
		PerSecond:  166,
		Length:     4 * time.Minute,
		Budgets:    10,
		MinCap:     50,
		MaxCap:     800,
		PerToken:   10 * time.Millisecond,
		Fill:       0.8,
		Pages:      16,
		Hold:       2 * time.Second,
	}
}

// WithFaults adds the fault mix: kills, a freeze, a store outage and a network
// partition. The later ones happen when budgets are nearly exhausted.
func (s Scenario) WithFaults() Scenario {
	s.Name += ", faults"
	s.TopUp = 0.05
	s.Faults = []Fault{
		{Kind: Kill, At: 40 * time.Second, Span: 5 * time.Second, Router: 3},
		{Kind: Freeze, At: 70 * time.Second, Span: 8 * time.Second, Router: 5},
		{Kind: Outage, At: 95 * time.Second, Span: 3 * time.Second},
		{Kind: Partition, At: 120 * time.Second, Span: 20 * time.Second},
		{Kind: Kill, At: 170 * time.Second, Span: 5 * time.Second, Router: 1},
	}
	return s
}

// weights returns each budget's share of the requests.
func (s Scenario) weights() []float64 {
	w := make([]float64, s.Budgets)
	sum := 0.0
	for i := range w {
		w[i] = 1 / math.Pow(float64(i+1), zipf)
		sum += w[i]
	}
	for i := range w {
		w[i] /= sum
	}
	return w
}

// limits returns the prepaid tokens of each budget: its share of the expected
// demand times Fill.
func (s Scenario) limits() []int64 {
	meanCost := float64(s.MinCap+s.MaxCap) / 2 * meanUse
	demand := s.PerSecond * s.Length.Seconds() * meanCost
	limits := make([]int64, s.Budgets)
	for i, w := range s.weights() {
		limits[i] = int64(w * demand * s.Fill)
	}
	return limits
}

// The share of max_tokens that an answer uses is uniform in this range.
const (
	minUse  = 0.1
	maxUse  = 1.0
	meanUse = (minUse + maxUse) / 2
)

func budgetName(i int) string { return fmt.Sprintf("b%05d", i) }

func routerName(i int) string { return fmt.Sprintf("r%03d", i) }
