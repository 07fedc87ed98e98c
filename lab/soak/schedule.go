// Package soak runs routers as real processes under random faults and checks
// what gaplink promises while they run, by what callers and backend servers see.
//
// A run is drawn from a seed: the schedule of faults, the requests of the callers
// and the way in which each answer of a server ends. Only the interleaving in time
// differs between two runs of a seed. The schedule, the endings and the oracle are
// pure; processes, proxies and callers are not.
package soak

import (
	"math/rand/v2"
	"sort"
	"time"
)

// Fault is a kind of fault or of planned change.
type Fault string

// The faults. Those of links concern the connections between one router and the
// store, or between all routers and one backend server.
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
	ConfigChanged     Fault = "configuration changed"
	ServerLeaves      Fault = "server leaves"
	ServerCrashes     Fault = "server crashes"
	ServerRefuses     Fault = "server refuses"
	ServerLimits      Fault = "server names a rate limit"
)

// target is what a fault strikes.
type target int

const (
	atStore target = iota
	atRouter
	atServer
)

// nature is where a kind of fault strikes, and how long it lasts.
type nature struct {
	target   target
	min, max time.Duration
}

var natures = map[Fault]nature{
	StoreLinkDelayed:  {atRouter, 500 * time.Millisecond, 3 * time.Second},
	StoreLinkReset:    {atRouter, 0, 0},
	StoreLinkOneWay:   {atRouter, 300 * time.Millisecond, 3 * time.Second},
	StoreLinkSilent:   {atRouter, 0, 0},
	StoreLinkDown:     {atRouter, 300 * time.Millisecond, 4 * time.Second},
	ServerLinkDelayed: {atServer, 300 * time.Millisecond, 2 * time.Second},
	ServerLinkReset:   {atServer, 0, 0},
	ServerLinkOneWay:  {atServer, 200 * time.Millisecond, 2 * time.Second},
	ServerLinkSilent:  {atServer, 0, 0},
	StoreSlow:         {atStore, 500 * time.Millisecond, 3 * time.Second},
	StoreDown:         {atStore, 300 * time.Millisecond, 4 * time.Second},
	StoreLosesAnswers: {atStore, 300 * time.Millisecond, 2 * time.Second},
	StoreWritesLate:   {atStore, 300 * time.Millisecond, 2 * time.Second},
	StoreForgets:      {atStore, 100 * time.Millisecond, time.Second},
	StoreDeaf:         {atStore, 300 * time.Millisecond, 3 * time.Second},
	RouterStopped:     {atRouter, 0, time.Second},
	RouterPaused:      {atRouter, 100 * time.Millisecond, 3 * time.Second},
	RouterKilled:      {atRouter, 0, time.Second},
	RouterReloads:     {atRouter, 0, 0},
	ConfigChanged:     {atStore, 0, 0},
	ServerLeaves:      {atServer, 0, 0},
	ServerCrashes:     {atServer, 100 * time.Millisecond, 2 * time.Second},
	ServerRefuses:     {atServer, 200 * time.Millisecond, 2 * time.Second},
	ServerLimits:      {atServer, 8 * time.Second, 15 * time.Second},
}

// planned are drawn beside the faults of an epoch; a half of them in each.
var planned = []Fault{ConfigChanged, ServerLeaves, RouterStopped, RouterReloads, ServerLimits, ServerLimits}

// Step is one fault at its time.
type Step struct {
	At    time.Duration
	Fault Fault
	// Target is the number of the router or server; 0 for the store.
	Target int
	// Lasts is how long the fault holds, or a process stays away.
	Lasts time.Duration
}

const (
	// epoch is how long the same few kinds of fault are drawn: bounds in time are
	// only checked where some things were left alone for a while.
	epoch = 6 * time.Second
	// kindsAtOnce bounds the kinds of an epoch.
	kindsAtOnce = 4
	// meanGap is the mean time between two draws, each of one fault or a series.
	meanGap = 700 * time.Millisecond
	// seriesShare of the draws are series of up to seriesMost of one kind.
	seriesShare = 0.25
	seriesMost  = 4
	seriesGap   = 400 * time.Millisecond
	// calmEnds is free of new faults at either end of a run.
	calmEnds = 1500 * time.Millisecond
)

// Schedule draws the faults of a run.
func Schedule(seed uint64, length time.Duration, routers, servers int) []Step {
	rng := rand.New(rand.NewPCG(seed, 1))
	var steps []Step
	var kinds []Fault
	var until time.Duration
	for at := calmEnds; at < length-calmEnds; at += time.Duration(rng.ExpFloat64() * float64(meanGap)) {
		if at >= until {
			kinds = drawKinds(rng)
			until = at + epoch
		}
		kind := kinds[rng.IntN(len(kinds))]
		count := 1
		if rng.Float64() < seriesShare {
			count += rng.IntN(seriesMost)
		}
		for i := range count {
			steps = append(steps, drawStep(rng, kind, at+time.Duration(i)*seriesGap, routers, servers))
		}
	}
	sort.SliceStable(steps, func(i, j int) bool { return steps[i].At < steps[j].At })
	return steps
}

// drawKinds draws the kinds of fault of an epoch.
func drawKinds(rng *rand.Rand) []Fault {
	all := make([]Fault, 0, len(natures))
	for kind := range natures {
		all = append(all, kind)
	}
	sort.Slice(all, func(i, j int) bool { return all[i] < all[j] })
	rng.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	kinds := all[:1+rng.IntN(kindsAtOnce)]
	for _, i := range rng.Perm(len(planned))[:len(planned)/2] {
		kinds = append(kinds, planned[i])
	}
	return kinds
}

func drawStep(rng *rand.Rand, kind Fault, at time.Duration, routers, servers int) Step {
	n := natures[kind]
	s := Step{At: at, Fault: kind, Lasts: n.min}
	if n.max > n.min {
		s.Lasts += time.Duration(rng.Int64N(int64(n.max - n.min)))
	}
	switch n.target {
	case atRouter:
		s.Target = rng.IntN(routers)
	case atServer:
		s.Target = rng.IntN(servers)
	}
	return s
}
