package retry_test

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"testing"
	"time"

	"github.com/gaplink/gaplink/placement"
	"github.com/gaplink/gaplink/retry"
)

const (
	// lateAnswerTime is how long a server that works takes to answer, and lateWatchdog how long a router waits for one.
	lateAnswerTime = 50 * time.Millisecond
	lateWatchdog   = 200 * time.Millisecond
	// lateDeadline is when a request ends.
	lateDeadline = 2 * time.Second
)

// lateRun is a simulated fleet in front of servers that freeze: attempts at a frozen server arrive when it goes on.
type lateRun struct {
	rng       *rand.Rand
	now       time.Time
	slack     float64
	failing   float64
	processes []*lateProcess
	// grownAt is when the fleet grew from before processes, which learn of it growthDelay later; zero if it did not.
	grownAt time.Time
	before  int
	// frozenUntil is when each server goes on; zero while it works.
	frozenUntil []time.Time
	events      []lateEvent

	requests []time.Time
	// arrivals holds the times at which attempts arrive, by request.
	arrivals map[int][]time.Time
}

type lateEvent struct {
	at  time.Time
	run func()
}

type lateProcess struct {
	budgets *retry.Budgets
	started time.Time
	// heard holds the servers that answered this process.
	heard map[int]bool
	dead  bool
}

func newLateRun(seed uint64, routers, servers int, slack float64) *lateRun {
	f := &lateRun{
		rng: rand.New(rand.NewPCG(seed, 89)), now: time.Unix(1e9, 0), slack: slack,
		processes: make([]*lateProcess, routers), frozenUntil: make([]time.Time, servers), arrivals: map[int][]time.Time{},
	}
	f.startAll()
	return f
}

// startAll replaces all processes.
func (f *lateRun) startAll() {
	for i, p := range f.processes {
		if p != nil {
			p.dead = true
		}
		f.processes[i] = &lateProcess{started: f.now, heard: map[int]bool{}, budgets: retry.NewBudgets(f.now, func() retry.Limits {
			return retry.Limits{Ratio: fleetRatio, Slack: f.slack, Window: fleetWindow, Routers: routers(f)}
		})}
	}
}

func routers(f *lateRun) int {
	if f.grownAt.IsZero() || f.now.Sub(f.grownAt) >= growthDelay {
		return len(f.processes)
	}
	return f.before
}

// add adds a process to the fleet, which knows all others at once.
func (f *lateRun) add(i int) {
	f.processes[i] = &lateProcess{started: f.now, heard: map[int]bool{}, budgets: retry.NewBudgets(f.now, func() retry.Limits {
		return retry.Limits{Ratio: fleetRatio, Slack: f.slack, Window: fleetWindow, Routers: len(f.processes)}
	})}
}

func (f *lateRun) frozen(server int) bool { return f.frozenUntil[server].After(f.now) }

func (f *lateRun) after(d time.Duration, run func()) {
	at := f.now.Add(d)
	i := sort.Search(len(f.events), func(i int) bool { return f.events[i].at.After(at) })
	f.events = append(f.events, lateEvent{})
	copy(f.events[i+1:], f.events[i:])
	f.events[i] = lateEvent{at, run}
}

// send sends an attempt of a request and returns whether its server works.
func (f *lateRun) send(request, server int) (works bool) {
	at := f.now
	if f.frozen(server) {
		at = f.frozenUntil[server]
	}
	f.arrivals[request] = append(f.arrivals[request], at)
	return at.Equal(f.now)
}

func (f *lateRun) begin() {
	f.requests = append(f.requests, f.now)
	c := &lateRequest{f: f, id: len(f.requests), p: f.processes[f.rng.IntN(len(f.processes))]}
	c.begin()
	c.attempt()
}

// lateRequest is a request with the process that serves it.
type lateRequest struct {
	f        *lateRun
	id       int
	p        *lateProcess
	attempts int
	lateBudget
}

const lateAttempts = 2

func (c *lateRequest) attempt() {
	f, server := c.f, c.f.rng.IntN(len(c.f.frozenUntil))
	if c.attempts > 0 && !c.mayRetryAt(server) {
		c.end()
		return
	}
	c.attempts++
	sentAt := f.now
	c.sent()
	if f.send(c.id, server) {
		f.after(lateAnswerTime, func() { c.answered(server, sentAt) })
		return
	}
	f.after(lateWatchdog, func() {
		if c.attempts < lateAttempts && !c.p.dead && c.payToAbandon(server) {
			c.unanswered(server, sentAt)
			c.attempt()
			return
		}
		f.after(max(f.frozenUntil[server].Sub(f.now), 0), func() {
			if f.now.Sub(sentAt) < lateDeadline {
				c.answered(server, sentAt)
			}
		})
		f.after(lateDeadline, func() { c.giveUp(server, sentAt) })
	})
}

// answered plays the answer of a server, which fails a part of the requests.
func (c *lateRequest) answered(server int, sentAt time.Time) {
	if c.over || c.p.dead {
		return
	}
	c.p.heard[server] = true
	c.recordAnswer(server, sentAt)
	if c.attempts < lateAttempts && c.f.rng.Float64() < c.f.failing && c.pay() {
		c.attempt()
		return
	}
	c.end()
}

// giveUp ends a request at its deadline.
func (c *lateRequest) giveUp(server int, sentAt time.Time) {
	if !c.over && !c.p.dead {
		c.unanswered(server, sentAt)
		c.end()
	}
}

// step advances the time and sends the given number of requests per second.
func (f *lateRun) step(perSecond float64) {
	f.now = f.now.Add(fleetStep)
	for len(f.events) > 0 && !f.events[0].at.After(f.now) {
		next := f.events[0]
		f.events = f.events[1:]
		next.run()
	}
	for due := perSecond * fleetStep.Seconds(); f.rng.Float64() < due; due-- {
		f.begin()
	}
}

// worst returns the window in which the arrivals beyond the first of each request exceed what is allowed by most; excess is
// below 0 if none does.
func (f *lateRun) worst() (excess float64, detail string) {
	var further []time.Time
	for _, list := range f.arrivals {
		sort.Slice(list, func(i, j int) bool { return list[i].Before(list[j]) })
		further = append(further, list[1:]...)
	}
	sort.Slice(further, func(i, j int) bool { return further[i].Before(further[j]) })
	excess = -1
	for i, at := range further {
		from := at.Add(-fleetWindow)
		first := sort.Search(len(further), func(j int) bool { return further[j].After(from) })
		count := float64(i - first + 1)
		if count <= f.slack {
			continue
		}
		requests := max(between(f.requests, from, at), between(f.requests, from.Add(-fleetWindow), from),
			between(f.requests, from.Add(-fleetWindow/2), at.Add(-fleetWindow/2)))
		if over := count - (fleetRatio*requests + f.slack); over > excess {
			excess, detail = over, fmt.Sprintf("%g arrivals beyond the first in the window that ends at %s, %g allowed", count, at.Sub(f.requests[0]), count-over)
		}
	}
	return excess, detail
}

// between counts the sorted times after from and not after to.
func between(times []time.Time, from, to time.Time) float64 {
	after := func(at time.Time) int {
		return sort.Search(len(times), func(i int) bool { return times[i].After(at) })
	}
	return float64(after(to) - after(from))
}

// lateFreezes are the ways in which servers freeze, by name; each is called once a second.
var lateFreezes = map[string]func(f *lateRun, second int){
	"one":         func(f *lateRun, second int) { f.freezeAt(second, 12, 11, 1) },
	"half":        func(f *lateRun, second int) { f.freezeAt(second, 12, 11, (len(f.frozenUntil)+1)/2) },
	"all but one": func(f *lateRun, second int) { f.freezeAt(second, 12, 11, len(f.frozenUntil)-1) },
	"all":         func(f *lateRun, second int) { f.freezeAt(second, 12, 11, len(f.frozenUntil)) },
	"all but one for 30 s": func(f *lateRun, second int) {
		f.freezeAt(second, 12, 30, len(f.frozenUntil)-1)
	},
	"in turns, back together": func(f *lateRun, second int) {
		if i := second - 12; i >= 0 && i < len(f.frozenUntil)-1 {
			f.frozenUntil[i] = f.now.Add(time.Duration(30-second) * time.Second)
		}
	},
	"all but one, traffic falls": func(f *lateRun, second int) {
		f.freezeAt(second, 12, 20, len(f.frozenUntil)-1)
	},
	"all but one, routers double": func(f *lateRun, second int) {
		f.freezeAt(second, 12, 20, len(f.frozenUntil)-1)
		if second == 20 {
			f.before, f.grownAt = len(f.processes), f.now
			f.processes = append(f.processes, make([]*lateProcess, f.before)...)
			for i := f.before; i < len(f.processes); i++ {
				f.add(i)
			}
		}
	},
	"all but one, routers replaced one after the other": func(f *lateRun, second int) {
		f.freezeAt(second, 12, 25, len(f.frozenUntil)-1)
		if second > 13 && second < 36 {
			f.processes[second%len(f.processes)].budgets.Drain() // its requests go on
			f.add(second % len(f.processes))
		}
	},
	"all, again and again": func(f *lateRun, second int) {
		if second >= 12 && second%8 == 4 {
			f.freezeAt(second, second, 6, len(f.frozenUntil))
		}
	},
	"in turns for 30 s, all routers killed every 4 s": func(f *lateRun, second int) {
		if i := second - 12; i >= 0 && i < len(f.frozenUntil)-1 && second < 42 {
			f.frozenUntil[i] = f.now.Add(time.Duration(42-second) * time.Second)
		}
		if second > 12 && second%4 == 0 {
			f.startAll()
		}
	},
	"all but one, all routers killed every 3 s": func(f *lateRun, second int) {
		f.freezeAt(second, 12, 20, len(f.frozenUntil)-1)
		if second > 12 && second%3 == 0 {
			f.startAll()
		}
	},
	"all but one for 30 s, all routers killed every 11 s": func(f *lateRun, second int) {
		f.freezeAt(second, 12, 30, len(f.frozenUntil)-1)
		if second > 12 && second%11 == 0 {
			f.startAll()
		}
	},
}

func (f *lateRun) freezeAt(second, at, seconds, count int) {
	if second == at {
		for i := range count {
			f.frozenUntil[i] = f.now.Add(time.Duration(seconds) * time.Second)
		}
	}
}

// TestRetriesThatArriveLateStayWithinTheBudget guards against retries that are paid for while servers are frozen and all
// arrive when these go on, beside those of the seconds around.
func TestRetriesThatArriveLateStayWithinTheBudget(t *testing.T) {
	fleets := []struct {
		routers, servers int
		slack            float64
		perSecond        float64
	}{{7, 6, 50, 26}, {8, 6, 50, 105}, {8, 12, 56, 78}, {87, 40, 214, 90}, {87, 40, 214, 700}, {300, 60, 640, 700}}
	for name, freeze := range lateFreezes {
		for _, fleet := range fleets {
			t.Run(fmt.Sprintf("%s, %d routers, %g requests per second", name, fleet.routers, fleet.perSecond), func(t *testing.T) {
				t.Parallel()
				for seed := range uint64(2) {
					f := newLateRun(seed, fleet.routers, fleet.servers, fleet.slack)
					rate := fleet.perSecond
					for second := range 50 {
						switch {
						case second == 12:
							f.failing = 0.8
						case second == 22 && name == "all but one, traffic falls":
							rate /= 4
						}
						freeze(f, second)
						for range time.Second / fleetStep {
							f.step(rate)
						}
					}
					if excess, detail := f.worst(); excess > 0 {
						t.Errorf("seed %d: %s", seed, detail)
					}
				}
			})
		}
	}
}

// lateBudget is how a request uses the retry budget of its process.
type lateBudget struct {
	over  bool
	retry *retry.Request
}

func (c *lateRequest) begin() { c.retry = c.p.budgets.Begin(c.f.now, "svc") }

func (c *lateRequest) pay() bool { return c.retry.Pay(c.f.now, c.attempts) }

// payToAbandon follows the gateway: a young process abandons no attempt at a server that has not answered it.
func (c *lateRequest) payToAbandon(server int) bool {
	return (c.p.heard[server] || !c.p.budgets.Young(c.f.now)) && c.retry.Abandon(c.f.now, c.attempts)
}

// mayRetryAt follows the gateway: a young process sends no retry to a server that has not answered it.
func (c *lateRequest) mayRetryAt(server int) bool {
	return c.p.heard[server] || !c.p.budgets.Young(c.f.now)
}

func (c *lateRequest) sent() { c.retry.Sent() }

func (c *lateRequest) recordAnswer(server int, sentAt time.Time) {
	c.retry.Answered(c.f.now, latePath(server), sentAt)
}

func (c *lateRequest) unanswered(server int, sentAt time.Time) {
	c.retry.Unanswered(c.f.now, latePath(server), sentAt)
}

func latePath(server int) retry.Path {
	return retry.Path{Server: placement.Incarnation{ID: fmt.Sprint(server)}}
}

func (c *lateRequest) end() {
	if !c.over {
		c.over = true
		c.retry.End()
	}
}
