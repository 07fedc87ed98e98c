package retry_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/gaplink/gaplink/retry"
)

const (
	fleetRatio  = 0.2
	fleetWindow = 10 * time.Second
	fleetStep   = 10 * time.Millisecond
	// discoveryTime is how long a process takes at most to learn the size of the fleet.
	discoveryTime = 300 * time.Millisecond
	// growthDelay is how long the running processes take to learn that the fleet has grown.
	growthDelay = 3 * time.Second
	// drainTime is how long a process that is being replaced goes on beside its successor.
	drainTime = 8 * time.Second
)

// fleetProcess is a router process of the simulated fleet.
type fleetProcess struct {
	instance int
	budgets  *retry.Budgets
	// request is the last request, and retries the number of its retries.
	request *retry.Request
	retries int
	// knowsAt is when the process knows the size of the fleet, and endsAt when a draining one exits.
	knowsAt, endsAt time.Time
}

// fleetRun is a simulated fleet in which all processes of all instances share one retry limit.
type fleetRun struct {
	rng       *rand.Rand
	now       time.Time
	instances int
	// grown holds when each instance was added.
	grown []time.Time
	slack float64
	// failing is the share of the attempts that servers reject.
	failing float64
	running map[int]*fleetProcess
	// draining are processes that finish their requests beside their successors.
	draining []*fleetProcess
	// down holds when an instance that was killed starts again.
	down map[int]time.Time

	requests, further []time.Time
	// lowered is when the slack was last lowered.
	lowered time.Time
}

func newFleetRun(seed uint64, instances int, slack float64) *fleetRun {
	f := &fleetRun{
		rng: rand.New(rand.NewPCG(seed, 83)), now: time.Unix(1e9, 0), instances: instances, slack: slack,
		running: map[int]*fleetProcess{}, down: map[int]time.Time{},
	}
	f.grown = make([]time.Time, instances)
	for i := range instances {
		f.start(i)
	}
	return f
}

func (f *fleetRun) start(instance int) {
	p := &fleetProcess{instance: instance, knowsAt: f.now.Add(time.Duration(f.rng.Int64N(int64(discoveryTime))))}
	p.budgets = newProcessBudgets(f, p)
	f.running[instance] = p
}

// kill ends a process at once; the next one starts after the downtime.
func (f *fleetRun) kill(instance int, downtime time.Duration) {
	delete(f.running, instance)
	f.down[instance] = f.now.Add(downtime)
}

// replace drains a process beside its successor.
func (f *fleetRun) replace(instance int) {
	if p := f.running[instance]; p != nil {
		drainBudgets(p)
		p.endsAt = f.now.Add(drainTime)
		f.draining = append(f.draining, p)
		f.start(instance)
	}
}

// grow adds an instance.
func (f *fleetRun) grow() {
	f.grown = append(f.grown, f.now)
	f.start(f.instances)
	f.instances++
}

// request sends one request to a process and, if a server rejects it, once more within the budget.
func (f *fleetRun) request(p *fleetProcess) {
	f.requests = append(f.requests, f.now)
	creditRequest(f, p)
	f.retry(p)
}

func (f *fleetRun) retry(p *fleetProcess) {
	if f.rng.Float64() < f.failing && spendRetry(f, p) {
		f.further = append(f.further, f.now)
	}
}

// step advances the time and sends the given number of requests per second.
func (f *fleetRun) step(perSecond float64) {
	f.now = f.now.Add(fleetStep)
	for i := range f.instances { // in order, so that a seed always draws the same
		if at, isDown := f.down[i]; isDown && !at.After(f.now) {
			delete(f.down, i)
			f.start(i)
		}
	}
	ended := f.draining[:0]
	for _, p := range f.draining {
		if p.endsAt.After(f.now) {
			ended = append(ended, p)
			if f.rng.Float64() < 0.2 {
				f.retry(p) // a request that the process took before it began to drain
			}
		}
	}
	f.draining = ended
	for due := perSecond * fleetStep.Seconds(); f.rng.Float64() < due; due-- {
		if p := f.running[f.rng.IntN(f.instances)]; p != nil {
			f.request(p)
		}
	}
}

// within counts the times from from (exclusive) to to.
func within(times []time.Time, from, to time.Time) (n float64) {
	for i := len(times) - 1; i >= 0 && times[i].After(from); i-- {
		if !times[i].After(to) {
			n++
		}
	}
	return n
}

// violation describes a window that ends now and has more further attempts than the operator allows; empty
// if there is none.
func (f *fleetRun) violation() string {
	from := f.now.Add(-fleetWindow)
	further := within(f.further, from, f.now)
	if further <= f.slack || f.now.Sub(f.lowered) < fleetWindow {
		return ""
	}
	requests := max(within(f.requests, from, f.now), within(f.requests, from.Add(-fleetWindow), from),
		within(f.requests, from.Add(-fleetWindow/2), f.now.Add(-fleetWindow/2)))
	if allowed := fleetRatio*requests + f.slack; further > allowed {
		return fmt.Sprintf("%g further attempts in %s for %g requests, %g allowed", further, fleetWindow, requests, allowed)
	}
	return ""
}

// fleetDisruptions are what happens to a fleet, by name, once a second.
var fleetDisruptions = map[string]func(f *fleetRun, second int){
	"none": func(*fleetRun, int) {},
	"all killed once": func(f *fleetRun, second int) {
		if second == 14 {
			f.killAll()
		}
	},
	"all killed every three seconds": func(f *fleetRun, second int) {
		if second%3 == 0 {
			f.killAll()
		}
	},
	"a third killed each second": func(f *fleetRun, second int) {
		for i := range f.instances {
			if i%3 == second%3 {
				f.kill(i, 300*time.Millisecond)
			}
		}
	},
	"all replaced beside their predecessors": func(f *fleetRun, second int) {
		if second%5 == 4 {
			for i := range f.instances {
				f.replace(i)
			}
		}
	},
	"all replaced before servers fail": func(f *fleetRun, second int) {
		switch second {
		case 12:
			f.failing = 0
		case 15:
			for i := range f.instances {
				f.replace(i)
			}
		case 22:
			f.failing = 0.8
		}
	},
	"grows by half": func(f *fleetRun, second int) {
		if second >= 10 && second < 20 {
			for range max(f.instances/20, 1) {
				f.grow()
			}
		}
	},
	"doubles at once": func(f *fleetRun, second int) {
		if second == 14 {
			for range f.instances {
				f.grow()
			}
		}
	},
	"slack lowered": func(f *fleetRun, second int) {
		if second == 16 {
			f.slack, f.lowered = f.slack/2, f.now
		}
	},
	"random": func(f *fleetRun, second int) {
		switch f.rng.IntN(6) {
		case 0:
			f.killAll()
		case 1:
			f.replace(f.rng.IntN(f.instances))
		case 2:
			f.kill(f.rng.IntN(f.instances), time.Duration(f.rng.Int64N(int64(time.Second))))
		}
		f.failing = []float64{0, 0.3, 0.8, 1}[f.rng.IntN(4)]
	},
}

func (f *fleetRun) killAll() {
	for i := range f.instances {
		f.kill(i, time.Duration(f.rng.Int64N(int64(500*time.Millisecond))))
	}
}

// TestRetriesOfAllProcessesStayWithinTheBudget guards against routers that together retry more than the
// operator allows because each new process has a part of the slack for itself: after kills of one and of
// all, beside a predecessor that drains, in a fleet that grows, and with little traffic.
func TestRetriesOfAllProcessesStayWithinTheBudget(t *testing.T) {
	fleets := []struct {
		routers   int
		slack     float64
		perSecond float64
	}{{1, 50, 5}, {6, 52, 40}, {7, 50, 26}, {7, 50, 4}, {8, 56, 50}, {30, 100, 60}, {87, 214, 90}, {300, 640, 90}, {40, 20, 90}}
	for name, disrupt := range fleetDisruptions {
		for _, fleet := range fleets {
			t.Run(fmt.Sprintf("%s, %d routers, %g requests per second", name, fleet.routers, fleet.perSecond), func(t *testing.T) {
				t.Parallel()
				for seed := range uint64(3) {
					f := newFleetRun(seed, fleet.routers, fleet.slack)
					for second := range 40 {
						if second == 12 {
							f.failing = 0.8
						}
						disrupt(f, second)
						for range time.Second / fleetStep {
							f.step(fleet.perSecond)
							if v := f.violation(); v != "" {
								t.Fatalf("seed %d, second %d: %s", seed, second, v)
							}
						}
					}
				}
			})
		}
	}
}

// known returns the number of routers that a process knows; 0 before it knows any. A process that starts learns of all,
// and of those added later after growthDelay.
func (f *fleetRun) known(p *fleetProcess) (n int) {
	if f.now.Before(p.knowsAt) {
		return 0
	}
	for _, at := range f.grown {
		if at.Before(p.knowsAt) || f.now.Sub(at) >= growthDelay {
			n++
		}
	}
	return n
}

// newProcessBudgets returns the budgets of a process as a router makes them.
func newProcessBudgets(f *fleetRun, p *fleetProcess) *retry.Budgets {
	return retry.NewBudgets(f.now, func() retry.Limits {
		return retry.Limits{Ratio: fleetRatio, Slack: f.slack, Window: fleetWindow, Routers: f.known(p)}
	})
}

func creditRequest(f *fleetRun, p *fleetProcess) {
	p.request, p.retries = p.budgets.Begin(f.now, "svc"), 0
}

// spendRetry pays for a retry that arrives at once.
func spendRetry(f *fleetRun, p *fleetProcess) bool {
	if p.request == nil || !p.request.Pay(f.now, p.retries+1) {
		return false
	}
	p.retries++
	p.request.End()
	return true
}

func drainBudgets(p *fleetProcess) { p.budgets.Drain() }
