package retry

import (
	"math"
	"sync"
	"time"
)

// Limits bound the retries of all routers together: in any Window at most Ratio times the requests, and Slack.
type Limits struct {
	// Ratio is the number of retries per request, and Slack the number beyond that.
	Ratio, Slack float64
	Window       time.Duration
	// Routers is the number of routers that share the slack; 0 if it is not known yet.
	Routers int
}

// usedShare is the fraction of the limits that is used. The operator may count a request for another window than
// its router does, and routers learn at different times that the fleet has grown.
const usedShare = 0.8

// phase is where a process is in its life.
type phase int

const (
	// starting: an earlier process of the instance may have spent its part within the window, or may be draining.
	starting phase = iota
	serving
	// draining: a successor may run.
	draining
)

// String returns the name of the phase for logs.
func (p phase) String() string { return [...]string{"starting", "serving", "draining"}[p] }

// capacity returns how many retries a process may hold of the slack that a number of routers share. A process that
// drains and its successor, which is starting, share one part.
func (l Limits) capacity(routers int, p phase) float64 {
	if routers == 0 {
		return 0
	}
	whole := l.Slack / float64(routers)
	if whole < 1 {
		return 0 // a budget of less than a retry can never be used
	}
	used := max(usedShare*whole, 1)
	left := math.Floor(whole / 2)
	switch p {
	case starting:
		return min(used, whole-left)
	case draining:
		return left
	default:
		return used
	}
}

// abandonedShare is the most that attempts which were given up without an answer, and may still arrive, may occupy of the
// capacity.
const abandonedShare = 0.5

// maxAbandoned returns how many attempts of a process that were given up without an answer may be left at servers.
func (l Limits) maxAbandoned(routers int, p phase) int {
	const least = 2 // retries in the part of a router: one that was abandoned, and one that goes on
	if routers == 0 || p == draining || l.Slack/float64(routers) < least {
		return 0
	}
	return max(int(abandonedShare*l.capacity(routers, p)), 1)
}

// Budgets holds a retry budget for each service, which together keep to the fleet's limits over all processes
// of all routers. It is safe for concurrent use.
type Budgets struct {
	started time.Time
	limits  func() Limits

	mu        sync.Mutex
	byService map[string]*budget
	draining  bool
	// unanswered are the attempts that ended without an answer and may still arrive.
	unanswered []unanswered
	// peak is the largest number of routers seen in the last window, at peakAt. Routers that are cut off
	// from each other, and have a part each, would see fewer.
	peak   int
	peakAt time.Time
}

// NewBudgets returns the budgets of a process that started at the given time. limits returns the limits in
// force; it is called for each request.
func NewBudgets(started time.Time, limits func() Limits) *Budgets {
	return &Budgets{started: started, limits: limits, byService: map[string]*budget{}}
}

// current returns the service's budget at the given time. The caller holds b.mu.
func (b *Budgets) current(now time.Time, service string) (*budget, Limits) {
	l := b.limits()
	if l.Routers >= b.peak || now.Sub(b.peakAt) > l.Window {
		b.peak, b.peakAt = l.Routers, now
	}
	b.settle(now)
	one := b.of(service)
	p := b.phase(now, l)
	one.setCapacity(l.capacity(b.peak, p), l.maxAbandoned(b.peak, p))
	if p == serving {
		one.fill()
	}
	return one, l
}

// of returns the service's budget as it was last used. The caller holds b.mu.
func (b *Budgets) of(service string) *budget {
	one, ok := b.byService[service]
	if !ok {
		one = &budget{}
		b.byService[service] = one
	}
	return one
}

func (b *Budgets) phase(now time.Time, l Limits) phase {
	switch {
	case b.draining:
		return draining
	case now.Sub(b.started) < l.Window:
		return starting
	default:
		return serving
	}
}

// Drain leaves a part of the budgets to a successor of this process, which may already run.
func (b *Budgets) Drain() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.draining = true
}

// Status describes a service's retry budget.
type Status struct {
	// Requests is the number of requests credited since the start of the process, and Spent that of the retries
	// taken.
	Requests, Spent int64
	// Tokens is the number of retries left, of Capacity at most.
	Tokens, Capacity float64
	// Pending is the number of retries taken whose attempts may still arrive, and Abandoned that of the attempts that
	// ended without an answer and may still arrive.
	Pending, Abandoned int
	// Routers is the number of routers that Capacity is computed from.
	Routers int
	// Phase is "starting" in the first window since the start of the process, and then "serving" or "draining".
	Phase string
}

// Status returns the state of the service's budget.
func (b *Budgets) Status(now time.Time, service string) Status {
	b.mu.Lock()
	defer b.mu.Unlock()
	one, l := b.current(now, service)
	return Status{
		Requests: one.requests, Spent: one.spent, Tokens: one.tokens, Capacity: one.capacity, Pending: one.pending, Abandoned: one.abandoned,
		Routers: b.peak, Phase: b.phase(now, l).String(),
	}
}
