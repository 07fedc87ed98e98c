// Package soak runs routers as real processes under random faults and meanwhile checks gaplink's
// guarantees from what callers and backend servers observe.
//
// A seed determines the schedule of faults, the requests of the callers and how each server answer
// ends. Two runs of a seed differ only in their interleaving in time. The schedule, the endings and
// the oracle are deterministic and do no I/O; processes, proxies and callers do.
package soak

import (
	"math/rand/v2"
	"sort"
	"time"
)

// Fault is a kind of fault or planned change.
type Fault string

// The faults. A store link fault affects the connections between one router and the store; a server
// link fault affects those between all routers and one backend server.
const (
	StoreLinkDelayed  Fault = "store link delayed"
	StoreLinkReset    Fault = "store link reset"
	StoreLinkOneWay   Fault = "store link cut one way"
	StoreLinkSilent   Fault = "store link silent"
	StoreLinkDown     Fault = "store link down"
	ServerLinkDelayed Fault = "server link delayed"
	ServerLinkReset   Fault = "server link reset"
	ServerLinkOneWay  Fault = "server link cut one way"
	ServerLinkSilent  Fault = "server link silent"
	StoreSlow         Fault = "store slow"
	StoreDown         Fault = "store down"
	StoreLosesAnswers Fault = "store loses answers"
	StoreWritesLate   Fault = "store writes late"
	StoreForgets      Fault = "store forgets"
	StoreDeaf         Fault = "store deaf"
	RouterStopped     Fault = "router stopped"
	RouterPaused      Fault = "router paused"
	RouterKilled      Fault = "router killed"
	RouterReloads     Fault = "router reloads"
	RouterCutOff      Fault = "router cut off from all servers"
	ConfigChanged     Fault = "configuration changed"
	ServerLeaves      Fault = "server leaves"
	ServerCrashes     Fault = "server crashes"
	ServerRefuses     Fault = "server refuses"
	ServerLimits      Fault = "server names a rate limit"
	ServerAnnounces   Fault = "server announces its leaving in answers alone"
	ServerBacksOff    Fault = "server asks for backoffs"
)

// targetKind is the kind of component that a fault affects.
type targetKind int

const (
	storeTarget targetKind = iota
	routerTarget
	serverTarget
)

// faultSpec is what a kind of fault affects and the range of its duration.
type faultSpec struct {
	target   targetKind
	min, max time.Duration
}

var faultSpecs = map[Fault]faultSpec{
	StoreLinkDelayed:  {routerTarget, 500 * time.Millisecond, 3 * time.Second},
	StoreLinkReset:    {routerTarget, 0, 0},
	StoreLinkOneWay:   {routerTarget, 300 * time.Millisecond, 3 * time.Second},
	StoreLinkSilent:   {routerTarget, 0, 0},
	StoreLinkDown:     {routerTarget, 300 * time.Millisecond, 4 * time.Second},
	ServerLinkDelayed: {serverTarget, 300 * time.Millisecond, 2 * time.Second},
	ServerLinkReset:   {serverTarget, 0, 0},
	ServerLinkOneWay:  {serverTarget, 200 * time.Millisecond, 2 * time.Second},
	ServerLinkSilent:  {serverTarget, 0, 0},
	StoreSlow:         {storeTarget, 500 * time.Millisecond, 3 * time.Second},
	StoreDown:         {storeTarget, 300 * time.Millisecond, 4 * time.Second},
	StoreLosesAnswers: {storeTarget, 300 * time.Millisecond, 2 * time.Second},
	StoreWritesLate:   {storeTarget, 300 * time.Millisecond, 2 * time.Second},
	StoreForgets:      {storeTarget, 100 * time.Millisecond, time.Second},
	StoreDeaf:         {storeTarget, 300 * time.Millisecond, 3 * time.Second},
	RouterStopped:     {routerTarget, 0, time.Second},
	RouterPaused:      {routerTarget, 100 * time.Millisecond, 3 * time.Second},
	RouterKilled:      {routerTarget, 0, time.Second},
	RouterReloads:     {routerTarget, 0, 0},
	RouterCutOff:      {routerTarget, 2 * time.Second, 8 * time.Second},
	ConfigChanged:     {storeTarget, 0, 0},
	ServerLeaves:      {serverTarget, 0, 0},
	ServerCrashes:     {serverTarget, 100 * time.Millisecond, 2 * time.Second},
	ServerRefuses:     {serverTarget, 200 * time.Millisecond, 2 * time.Second},
	ServerLimits:      {serverTarget, 8 * time.Second, 15 * time.Second},
	ServerAnnounces:   {serverTarget, 0, 0},
	ServerBacksOff:    {serverTarget, 500 * time.Millisecond, 4 * time.Second},
}

// plannedChanges, and partitions, are drawn in addition to the faults of an epoch; each epoch gets half
// of them.
var plannedChanges = []Fault{ConfigChanged, ServerLeaves, RouterStopped, RouterReloads, ServerLimits, ServerLimits, ServerAnnounces, ServerBacksOff, ServerBacksOff, RouterCutOff, RouterCutOff}

// Step is one fault and when it occurs.
type Step struct {
	At    time.Duration
	Fault Fault
	// Target is the number of the router or server; 0 for the store.
	Target int
	// Duration is how long the fault lasts or a process stays down.
	Duration time.Duration
	// Version is the software version of the server that takes the place of another one; empty for other faults.
	Version string
}

const (
	// epochLength is how long the same few kinds of fault are drawn. The time bounds are only
	// checked where the components concerned are undisrupted for a while, so each epoch leaves most
	// kinds out.
	epochLength = 6 * time.Second
	// maxKindsPerEpoch bounds the kinds of fault drawn for an epoch, besides the planned changes.
	maxKindsPerEpoch = 4
	// meanInterval is the mean time between two draws, each of one fault or a burst.
	meanInterval = 700 * time.Millisecond
	// burstProbability is the probability that a draw is a burst of up to maxBurst faults of one
	// kind.
	burstProbability = 0.25
	maxBurst         = 4
	burstInterval    = 400 * time.Millisecond
	// quietMargin is the time at the start and at the end of a run without new faults.
	quietMargin = 1500 * time.Millisecond
)

// Schedule draws the faults of a run.
func Schedule(seed uint64, length time.Duration, routers, servers int) []Step {
	rng := rand.New(rand.NewPCG(seed, 1))
	var steps []Step
	var kinds []Fault
	var until time.Duration
	for at := quietMargin; at < length-quietMargin; at += time.Duration(rng.ExpFloat64() * float64(meanInterval)) {
		if at >= until {
			kinds = drawKinds(rng)
			until = at + epochLength
		}
		kind := kinds[rng.IntN(len(kinds))]
		count := 1
		if rng.Float64() < burstProbability {
			count += rng.IntN(maxBurst)
		}
		for i := range count {
			steps = append(steps, drawStep(rng, kind, at+time.Duration(i)*burstInterval, routers, servers))
		}
	}
	sort.SliceStable(steps, func(i, j int) bool { return steps[i].At < steps[j].At })
	return steps
}

// drawKinds draws the kinds of fault of an epoch.
func drawKinds(rng *rand.Rand) []Fault {
	all := make([]Fault, 0, len(faultSpecs))
	for kind := range faultSpecs {
		all = append(all, kind)
	}
	sort.Slice(all, func(i, j int) bool { return all[i] < all[j] })
	rng.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	kinds := all[:1+rng.IntN(maxKindsPerEpoch)]
	for _, i := range rng.Perm(len(plannedChanges))[:len(plannedChanges)/2] {
		kinds = append(kinds, plannedChanges[i])
	}
	return kinds
}

func drawStep(rng *rand.Rand, kind Fault, at time.Duration, routers, servers int) Step {
	n := faultSpecs[kind]
	s := Step{At: at, Fault: kind, Duration: n.min}
	if n.max > n.min {
		s.Duration += time.Duration(rng.Int64N(int64(n.max - n.min)))
	}
	switch n.target {
	case routerTarget:
		s.Target = rng.IntN(routers)
	case serverTarget:
		s.Target = rng.IntN(servers)
	}
	return s
}
