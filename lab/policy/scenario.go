// Package policy compares ways to share prepaid budgets out, on the real
// decision code in virtual time, seeded, so that a run repeats exactly.
//
// It is a bench of decisions, with fakes at the interfaces: the store is a map
// of pages behind a delay, and a message is an event.
package policy

import (
	"fmt"
	"math"
	"time"
)

// Scenario is a seeded load with faults.
type Scenario struct {
	Name    string
	Seed    uint64
	Routers int
	Domains int
	// OneWay is the delay between failure domains, StoreDelay that of a
	// store call.
	OneWay, StoreDelay time.Duration
	// PerSecond is the requests' rate over the fleet, Length the run's.
	PerSecond float64
	Length    time.Duration
	// Warm is left out of the traffic figures.
	Warm time.Duration
	// Budgets is their number; a few are large.
	Budgets int
	// MinCap and MaxCap bound max_tokens.
	MinCap, MaxCap int64
	// PerToken is the time of one token.
	PerToken time.Duration
	// Fill is each budget's limit as a share of its expected demand; below 1
	// the budgets run out.
	Fill float64
	// TopUp adds a share of the limit to the largest budget in mid-run.
	TopUp float64
	// Faults are brought in.
	Faults []Fault
	// Pages is the number of store objects that hold the budgets.
	Pages int
	// Hold is the homes' hold.
	Hold time.Duration
}

// FaultKind is the kind of a fault.
type FaultKind string

// The kinds of faults.
const (
	// Kill ends a router; it starts anew, with nothing, after Span.
	Kill FaultKind = "kill"
	// Freeze pauses a router for Span.
	Freeze FaultKind = "freeze"
	// Outage takes the store away for Span.
	Outage FaultKind = "outage"
	// Cut parts the first failure domain from the others for Span.
	Cut FaultKind = "cut"
)

// Fault is one fault.
type Fault struct {
	Kind   FaultKind
	At     time.Duration
	Span   time.Duration
	Router int
}

const (
	// stream separates these benches' random numbers from others of the seed.
	stream     = 11
	sameDomain = 200 * time.Microsecond
	// zipf shapes the budgets' sizes: a few are large.
	zipf = 1.1
)

// Base is the load of today's sizes, as the issue asks: 8 instances, 166
// requests a second.
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

// WithFaults adds the fault mix: a kill, a freeze, an outage and a cut, the
// later ones when budgets are near their end.
func (s Scenario) WithFaults() Scenario {
	s.Name += ", faults"
	s.TopUp = 0.05
	s.Faults = []Fault{
		{Kind: Kill, At: 40 * time.Second, Span: 5 * time.Second, Router: 3},
		{Kind: Freeze, At: 70 * time.Second, Span: 8 * time.Second, Router: 5},
		{Kind: Outage, At: 95 * time.Second, Span: 3 * time.Second},
		{Kind: Cut, At: 120 * time.Second, Span: 20 * time.Second},
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

// limits returns each budget's prepaid tokens: its share of the expected
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
