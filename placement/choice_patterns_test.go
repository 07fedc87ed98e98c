package placement_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/gaplink/gaplink/placement"
)

var (
	shortKind = modelKind{prompt: 826, events: 50, first: 400, pause: 400}
	longKind  = modelKind{prompt: 9190, shared: sharedTokens, events: 20, first: 600, pause: 400}
)

// pattern is a load: requests per second, and what disturbs it.
type pattern struct {
	name        string
	short, long float64
	slowThird   bool    // a third of the servers at 1.7, others at 0.7 and 1, and 15% at a time 2.5 times slower
	noise       bool    // one event in five arrives late by 100 ms
	hot         float64 // share of long prompts with one prefix
	burst       float64 // factor on long prompts from 5 s to 8 s
	routers     int
	shared      bool // routers share their load
	predicts    bool // the server is chosen by predicted times
}

func modelPatterns() []pattern {
	return []pattern{
		{name: "even", short: 200, long: 130, burst: 1},
		{name: "a third slow", short: 170, long: 110, slowThird: true, burst: 1},
		{name: "noise", short: 200, long: 130, noise: true, burst: 1},
		{name: "hot prefix", short: 200, long: 130, hot: 0.3, burst: 1},
		{name: "burst of long prompts", short: 200, long: 130, burst: 3},
	}
}

// modelResult is what a run measured.
type modelResult struct {
	late, total [2]int // short, long
	readAgain   int
	busiest     float64
}

func (r modelResult) share(kind int) float64 {
	return 100 * float64(r.late[kind]) / float64(max(r.total[kind], 1))
}

func (r modelResult) String() string {
	return fmt.Sprintf("late: short %5.1f%%, long %5.1f%%; read again %7d; busiest to mean %.2f", r.share(0), r.share(1), r.readAgain, r.busiest)
}

// measure counts the streams that began after modelStart. One without its first event at the end is late.
func (m *model) measure() modelResult {
	for _, r := range m.sent {
		if r.arrived < modelStart || r.arrived > modelEnd-r.first {
			continue
		}
		kind := min(r.shared, 1)
		m.result.total[kind]++
		if r.late || r.last == 0 {
			m.result.late[kind]++
		}
	}
	var sum, most float64
	for _, s := range m.servers {
		sum, most = sum+s.loaded, max(most, s.loaded)
	}
	m.result.busiest = most * modelServers / sum
	return m.result
}

// query returns the query for a request. Without objectives the choice is the one by limits.
func (m *model) query(now float64, r *modelRequest) placement.Query {
	q := placement.Query{Service: "llm", Affinity: r.prefix, Tokens: int64(r.newTokens), Prompt: int64(r.prompt), Now: at(now)}
	if m.predicts {
		q.FirstObjective, q.EventObjective = time.Duration(r.first*1e6), time.Duration(r.pause*1e6)
	}
	return q
}

// TestModelOfChoiceByLimits measures the choice by prefix and own requests in flight. It guards the model
// itself: a pattern that leaves all streams in time, or none, would compare nothing.
func TestModelOfChoiceByLimits(t *testing.T) {
	for _, p := range modelPatterns() {
		for _, p.routers = range []int{7, 61, 300} {
			r := newModel(p, 1).run()
			t.Logf("%-22s %3d routers: %v", p.name, p.routers, r)
			if r.total[0] == 0 || r.total[1] == 0 || r.late[0] == r.total[0] {
				t.Errorf("%s at %d routers measures nothing: %+v", p.name, p.routers, r)
			}
		}
	}
}

// modelSeeds is the number of runs that are added up for each figure.
const modelSeeds = 3

// measureModel adds up the runs of a pattern.
func measureModel(p pattern) modelResult {
	var sum modelResult
	for seed := range uint64(modelSeeds) {
		r := newModel(p, 1+seed).run()
		for kind := range sum.total {
			sum.late[kind] += r.late[kind]
			sum.total[kind] += r.total[kind]
		}
		sum.readAgain += r.readAgain
		sum.busiest += r.busiest / modelSeeds
	}
	return sum
}

// openTargets are the targets that the predicted choice does not reach at the seeds of the test. Streams
// in time are bought with prompts read again in two of them. TestPredictedChoiceOpenTargets has them.
var openTargets = map[string]bool{
	"a third slow, 7 routers, own figures, late long streams":             true,
	"a third slow, 300 routers, shared figures, tokens read again":        true,
	"burst of long prompts, 7 routers, shared figures, tokens read again": true,
}

// TestPredictedChoiceInTheModel guards against predictions that do worse than the choice by limits: late
// streams and tokens read again must fall where servers are slow, events late or prompts many, and late
// streams must not rise by over two points where servers are even or a prefix is hot.
func TestPredictedChoiceInTheModel(t *testing.T) {
	for _, p := range modelPatterns() {
		for _, routers := range []int{7, 61, 300} {
			t.Run(fmt.Sprintf("%s, %d routers", p.name, routers), func(t *testing.T) {
				t.Parallel()
				p := p
				p.routers = routers
				compareChoices(t, p, func(target string) bool { return !openTargets[target] })
			})
		}
	}
}

// TestPredictedChoiceOpenTargets guards the same for the targets that are not reached yet.
func TestPredictedChoiceOpenTargets(t *testing.T) {
	for _, p := range modelPatterns() {
		for _, p.routers = range []int{7, 300} {
			if p.slowThird || p.burst > 1 && p.routers == 7 {
				compareChoices(t, p, func(target string) bool { return openTargets[target] })
			}
		}
	}
}

// compareChoices checks the accepted targets of the predicted choice in a pattern, with own figures and with
// shared ones.
func compareChoices(t *testing.T, p pattern, accepts func(target string) bool) {
	before := measureModel(p)
	t.Logf("by limits:          %v", before)
	p.predicts = true
	for _, p.shared = range []bool{false, true} {
		figures := "own figures"
		if p.shared {
			figures = "shared figures"
		}
		after := measureModel(p)
		t.Logf("by %-14s   %v", figures+":", after)
		check := func(figure string, reached bool) {
			target := fmt.Sprintf("%s, %d routers, %s, %s", p.name, p.routers, figures, figure)
			if accepts(target) && !reached {
				t.Errorf("target missed: %s", target)
			}
		}
		margin := 2.0
		if p.slowThird || p.noise || p.burst > 1 {
			margin = 0
			check("tokens read again", after.readAgain < before.readAgain)
		}
		check("late short streams", after.share(0) <= before.share(0)+margin)
		check("late long streams", after.share(1) <= before.share(1)+margin)
	}
}
