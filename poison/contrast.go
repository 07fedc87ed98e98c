package poison

import (
	"math"
	"slices"
	"time"
)

const (
	// successWindow is the time in which one of the requests with a common part should succeed while
	// servers crash for another reason. Crashes within it count as one. It is shorter, down to minSuccessWindow, the
	// more clearly a part stands out.
	successWindow    = 500 * time.Millisecond
	minSuccessWindow = 200 * time.Millisecond
	// minContrastSuccesses is the least number of other requests that must have succeeded at a service while those with a
	// part all met crashes, for the part to stand out.
	minContrastSuccesses = 3
	// minContrast is the negative logarithm of the probability, were the part harmless, that all its requests met
	// crashes by chance. clearContrast is the one that rules this out even for crashes close together.
	minContrast   = 8.0
	clearContrast = 1.5 * minContrast
	// minCoverage is the share of a service's crashes at which a part that does not stand out must be.
	minCoverage = 0.5
	// fullCoverage is the share from which a part at fullCoverageFactor times the crashes that a verdict needs has one, if
	// they are spread over enough time.
	fullCoverage       = 0.95
	fullCoverageFactor = 1.5
	// maxGroupWeight bounds what a group of crashes counts, maxContrastedWeight likewise if the part stands out.
	maxGroupWeight      = 2.5
	maxContrastedWeight = 2.0
)

// Ends counts the requests of a service that this router has seen end.
type Ends struct {
	// Served ended well, Broken met crashes.
	Served int `json:"served"`
	Broken int `json:"broken"`
}

// tally counts what happened at a service.
type tally struct {
	Ends
	// crashes are those that any router has reported, and ran the requests that ran there.
	crashes, ran int
}

// RecordServed records that a server of a service completed a request of this router.
func (t *Table) RecordServed(service string) { t.tallyOf(service).Served++ }

// RecordBroken records requests of this router that broke off because their server crashed.
func (t *Table) RecordBroken(service string, requests int) { t.tallyOf(service).Broken += requests }

func (t *Table) tallyOf(service string) *tally {
	n := t.tallies[service]
	if n == nil {
		n = &tally{}
		t.tallies[service] = n
	}
	return n
}

// endsSince returns how requests of the service have ended since the first crash of a part.
func (t *Table) endsSince(r *record) Ends {
	now := t.tallyOf(r.suspectedAt)
	return Ends{Served: now.Served - r.base.Served, Broken: now.Broken - r.base.Broken}
}

// Ends returns, by service, how requests of this router ended since the first crash of the part that has been a suspect for the
// longest.
func (t *Table) Ends() map[string]Ends {
	all := map[string]Ends{}
	for _, r := range t.requests {
		if r.scope == ScopeRequest || r.hasVerdict() || r.total < minCrashes-1 {
			continue
		}
		if n := t.endsSince(r); n.Served > all[r.suspectedAt].Served {
			all[r.suspectedAt] = n
		}
	}
	return all
}

// AddEnds adds what an earlier router has counted since the first of the crashes on record.
func (t *Table) AddEnds(all map[string]Ends) {
	for service, n := range all {
		at := t.tallyOf(service)
		at.Served, at.Broken = at.Served+max(n.Served, 0), at.Broken+max(n.Broken, 0)
	}
}

// failing returns the share of the requests of a service that met crashes, since the first crash of a part. It is 1 if
// hardly any succeeded. None of those that succeeded had the part.
func (t *Table) failing(r *record) float64 {
	n := t.endsSince(r)
	if n.Served < minContrastSuccesses {
		return 1
	}
	return float64(n.Broken+1) / float64(n.Served+n.Broken+2)
}

// coverage returns the share of the crashes of a service since the first one of a part at which the part was, and the negative
// logarithm of the probability of that, were the crashes independent of the part: it would be at as many as its share
// of the requests at all of them makes likely.
func (t *Table) coverage(r *record) (share, contrast float64) {
	now := t.tallyOf(r.suspectedAt)
	crashes, ran := max(now.crashes-r.base.crashes, r.total, 1), max(now.ran-r.base.ran, r.holders, 1)
	share = float64(r.total) / float64(crashes)
	held := float64(r.holders) / float64(ran)
	expected := 1 - math.Pow(1-held, float64(ran)/float64(crashes))
	if share <= expected {
		return share, 0
	}
	return share, float64(crashes) * divergence(share, expected)
}

// divergence returns the Kullback-Leibler divergence of two Bernoulli distributions.
func divergence(p, q float64) (d float64) {
	if p > 0 {
		d += p * math.Log(p/q)
	}
	if p < 1 {
		d += (1 - p) * math.Log((1-p)/(1-q))
	}
	return d
}

// weighedCrash is a crash that counts against a part.
type weighedCrash struct {
	at     time.Time
	weight float64
}

// weigh sets the weight of the crashes that count against a part.
func (t *Table) weigh(now time.Time, r *record, counted []weighedCrash, found *Evidence) {
	found.Contrast = -math.Log(t.failing(r)) * float64(len(groupCrashes(counted, minSuccessWindow).counts))
	coverage, contrast := t.coverage(r)
	found.Coverage, found.Contrast = coverage, found.Contrast+contrast
	groups := groupCrashes(counted, successWindow)
	switch {
	case r.hasVerdict():
		found.Weight = sum(groups.weights)
	case found.Contrast >= minContrast:
		groups = groupCrashes(counted, max(time.Duration(float64(successWindow)*minContrast/found.Contrast), minSuccessWindow))
		found.Weight = sum(groups.weights)
		if found.Contrast >= clearContrast {
			found.Weight = groups.contrasted()
		}
	case now.Sub(r.succeeded) < successMemory || found.Coverage < minCoverage:
		// Servers may crash one after the other for another reason, so that hardly anything succeeds.
	default:
		found.Weight = groups.spread(found.Needed)
		if found.Coverage >= fullCoverage && float64(len(counted)) >= fullCoverageFactor*found.Needed && groups.areSpread(found.Needed) {
			found.Weight = max(found.Weight, found.Needed)
		}
	}
	found.Close = len(counted) - len(groups.counts)
}

// crashGroups are crashes of a part, in groups of those that follow each other within a window.
type crashGroups struct {
	window time.Duration
	// first and last are the times of the first and the last group.
	first, last time.Time
	// weights are those of the first crash of each group, counts how many crashes each group has.
	weights []float64
	counts  []int
}

func groupCrashes(crashes []weighedCrash, window time.Duration) *crashGroups {
	g := &crashGroups{window: window}
	for _, e := range crashes {
		if n := len(g.counts); n > 0 && e.at.Sub(g.last).Abs() <= window {
			g.counts[n-1]++
			continue
		}
		if g.first.IsZero() {
			g.first = e.at
		}
		g.last = e.at
		g.weights, g.counts = append(g.weights, e.weight), append(g.counts, 1)
	}
	return g
}

// contrasted returns the weight of crashes of a part that stands out clearly: a group counts by its crashes.
func (g *crashGroups) contrasted() (weight float64) {
	for i, n := range g.counts {
		weight += g.weights[i] * min(1+float64(n-1)/2, maxContrastedWeight)
	}
	return weight
}

// spread returns the weight of crashes at a service where hardly any request succeeds. Where few servers crash together and
// are back together there are few groups: if these lie as far apart as enough groups of one crash, each counts by the crashes
// of the smallest.
func (g *crashGroups) spread(enough float64) float64 {
	if !g.areSpread(enough) {
		return sum(g.weights)
	}
	return sum(g.weights) * min(1+float64(slices.Min(g.counts)-1)/2, maxGroupWeight)
}

// areSpread reports whether the groups lie as far apart as enough groups must.
func (g *crashGroups) areSpread(enough float64) bool {
	return len(g.counts) > 1 && g.last.Sub(g.first) >= time.Duration((enough-1)*float64(g.window))
}

func sum(weights []float64) (all float64) {
	for _, w := range weights {
		all += w
	}
	return all
}
