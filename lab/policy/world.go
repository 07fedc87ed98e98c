package policy

import (
	"sort"
	"time"

	"github.com/gaplink/gaplink/budget"
	"github.com/gaplink/gaplink/lab/vtime"
)

// Allocator is a policy for distributing budgets among routers. All calls are in
// virtual time.
type Allocator interface {
	// Reserve requests tokens at a router and calls done once with the decision. If
	// the router is killed before the decision, done may never be called.
	Reserve(router int, id string, need int64, done func(ok bool))
	// Settle replaces a reservation by the actual cost.
	Settle(router int, id string, reserved, eventualCost int64)
	// Killed, Started, Frozen and Resumed report faults of a router.
	Killed(router int)
	Started(router int)
	Frozen(router int)
	Resumed(router int)
	// ToppedUp reports that a limit has been raised in the store.
	ToppedUp(id string, tokens int64)
	// Locate returns the location of the unspent tokens of a budget.
	Locate(id string) Location
}

// Location counts the unspent, unreserved tokens of a budget by location.
type Location struct {
	// Store can still be issued, Routers are held by live routers, Dead by killed
	// or frozen routers, and Moving are in transit.
	Store, Routers, Dead, Moving int64
}

// Counts is the traffic of a run: store reads and writes, messages and their bytes.
type Counts struct {
	Reads, Writes, Messages, Bytes int64
}

func (c Counts) minus(o Counts) Counts {
	return Counts{Reads: c.Reads - o.Reads, Writes: c.Writes - o.Writes, Messages: c.Messages - o.Messages, Bytes: c.Bytes - o.Bytes}
}

// request is one request of the load.
type request struct {
	router   int
	id       string
	cap      int64
	cost     int64
	began    time.Time
	finished bool
}

// budgetState is the actual state of one budget, independent of what the routers know.
type budgetState struct {
	limit    int64
	spent    int64
	reserved int64 // worst-case cost of the requests in flight
	actual   int64 // actual cost of the requests in flight, once they finish
	requests int
	refused  int
}

// simulation simulates one scenario with one allocator.
type simulation struct {
	*vtime.Sim
	scenario    Scenario
	allocator   Allocator
	counts      Counts
	budgets     map[string]*budgetState
	storeDown   bool
	partitioned bool
	killed      []bool
	frozen      []bool
	deferred    [][]func() // calls that run when a frozen router resumes
	running     []map[*request]bool
	unresolved  map[string]int64 // charged for attempts of killed routers that no backend server has seen
	measured    int              // requests after the warm-up
	result      Result
	waits       []time.Duration
}

func newSimulation(spec Scenario) *simulation {
	w := &simulation{
		Sim:        vtime.New(spec.Seed, stream),
		scenario:   spec,
		budgets:    map[string]*budgetState{},
		unresolved: map[string]int64{},
		killed:     make([]bool, spec.Routers),
		frozen:     make([]bool, spec.Routers),
		deferred:   make([][]func(), spec.Routers),
		running:    make([]map[*request]bool, spec.Routers),
		result:     Result{Scenario: spec.Name, Causes: map[string]int{}},
	}
	for i, limit := range spec.limits() {
		w.budgets[budgetName(i)] = &budgetState{limit: limit}
	}
	for i := range w.running {
		w.running[i] = map[*request]bool{}
	}
	return w
}

// Run runs a scenario with the allocator that make returns.
func Run(scenario Scenario, name string, make func(*simulation) Allocator) Result {
	w := newSimulation(scenario)
	w.allocator = make(w)
	w.result.Policy = name
	begin := w.Now
	w.arrivals(begin.Add(scenario.Length))
	w.faults()
	w.Run(begin.Add(scenario.Warm))
	warm, requests := w.counts, w.result.Requests
	w.Run(begin.Add(scenario.Length))
	w.counts = w.counts.minus(warm)
	w.measured = w.result.Requests - requests
	return w.report()
}

// arrivals schedules the load.
func (w *simulation) arrivals(until time.Time) {
	weights := w.scenario.weights()
	sums := make([]float64, len(weights))
	sum := 0.0
	for i, v := range weights {
		sum += v
		sums[i] = sum
	}
	mean := time.Duration(float64(time.Second) / w.scenario.PerSecond)
	var next func()
	next = func() {
		if w.Now.After(until) {
			return
		}
		i := min(sort.SearchFloat64s(sums, w.Rng.Float64()), len(sums)-1)
		w.arrive(budgetName(i))
		w.After(w.Exponential(mean), next)
	}
	w.After(w.Exponential(mean), next)
}

// arrive sends a request to a random router that is neither killed nor frozen, as a
// load balancer does.
func (w *simulation) arrive(id string) {
	limit := w.scenario.MinCap + w.Rng.Int64N(w.scenario.MaxCap-w.scenario.MinCap+1)
	use := minUse + w.Rng.Float64()*(maxUse-minUse)
	r := &request{
		router: w.Rng.IntN(w.scenario.Routers),
		id:     id,
		cap:    limit,
		cost:   max(int64(float64(limit)*use), 1),
		began:  w.Now,
	}
	for w.killed[r.router] || w.frozen[r.router] {
		r.router = (r.router + 1) % w.scenario.Routers
	}
	w.result.Requests++
	w.budgets[id].requests++
	w.allocator.Reserve(r.router, id, r.cap, func(ok bool) { w.decided(r, ok) })
}

func (w *simulation) decided(r *request, ok bool) {
	w.waits = append(w.waits, w.Now.Sub(r.began))
	if !ok {
		w.refused(r)
		return
	}
	b := w.budgets[r.id]
	b.reserved += r.cap
	b.actual += r.cost
	w.running[r.router][r] = true
	w.After(time.Duration(r.cost)*w.scenario.PerToken, func() { w.finish(r) })
}

// finish ends a request. A frozen router settles it after it resumes.
func (w *simulation) finish(r *request) {
	if r.finished {
		return
	}
	r.finished = true
	w.charge(r, r.cost)
	delete(w.running[r.router], r)
	router := r.router
	settle := func() { w.allocator.Settle(router, r.id, r.cap, r.cost) }
	w.runOnRouter(router, settle)
}

// charge records the cost of a request.
func (w *simulation) charge(r *request, tokens int64) {
	b := w.budgets[r.id]
	b.reserved -= r.cap
	b.actual -= r.cost
	b.spent += tokens
	w.result.Overspend = max(w.result.Overspend, b.spent-b.limit)
}

// runOnRouter calls do now, or once the router resumes if it is frozen.
func (w *simulation) runOnRouter(router int, do func()) {
	if w.frozen[router] {
		w.deferred[router] = append(w.deferred[router], do)
		return
	}
	do()
}

// refused counts a refusal and, if the budget could have covered the request, the
// cause.
func (w *simulation) refused(r *request) {
	b := w.budgets[r.id]
	b.refused++
	w.result.Refused++
	rest := b.limit - b.spent - b.reserved
	if b.limit-b.spent-b.actual >= r.cap {
		w.result.FalseStrict++
	}
	if rest < r.cap {
		return
	}
	w.result.False++
	w.result.Causes[w.cause(r, rest)]++
}

// cause returns why the remaining tokens were not available to the request.
func (w *simulation) cause(r *request, rest int64) string {
	p := w.allocator.Locate(r.id)
	switch {
	case rest-p.Dead < r.cap:
		return "with a dead or frozen router"
	case w.partitioned:
		return "cut"
	case w.storeDown:
		return "store out"
	case rest-p.Dead-p.Moving < r.cap:
		return "in transit"
	case rest-p.Dead-p.Moving-p.Routers < r.cap:
		return "held by another router"
	case p.Store >= r.cap:
		return "in the store, not looked up"
	default:
		return "lost with a dead router"
	}
}

func (w *simulation) faults() {
	for _, f := range w.scenario.Faults {
		w.After(f.At, func() { w.fault(f) })
	}
	if w.scenario.TopUp > 0 {
		w.After(w.scenario.Length/2, w.topUp)
	}
}

func (w *simulation) topUp() {
	id := budgetName(0)
	tokens := int64(float64(w.budgets[id].limit) * w.scenario.TopUp)
	w.budgets[id].limit += tokens
	w.allocator.ToppedUp(id, tokens)
}

func (w *simulation) fault(f Fault) {
	switch f.Kind {
	case Kill:
		w.kill(f.Router)
		w.After(f.Span, func() {
			w.killed[f.Router] = false
			w.allocator.Started(f.Router)
		})
	case Freeze:
		w.frozen[f.Router] = true
		w.allocator.Frozen(f.Router)
		w.After(f.Span, func() { w.resume(f.Router) })
	case Outage:
		w.storeDown = true
		w.After(f.Span, func() { w.storeDown = false })
	case Partition:
		w.partitioned = true
		w.After(f.Span, func() { w.partitioned = false })
	}
}

// dispatchTime is the time from a reservation until a backend server knows the
// request. If the router is killed in between, the reservation stays charged at
// its worst case, since no backend server can report the outcome.
const dispatchTime = 2 * time.Millisecond

// kill kills a router. The tokens served to its requests so far are spent.
func (w *simulation) kill(router int) {
	for r := range w.running[router] {
		r.finished = true
		served := int64(w.Now.Sub(r.began) / w.scenario.PerToken)
		w.charge(r, min(served, r.cost))
		if w.Now.Sub(r.began) < dispatchTime {
			w.unresolved[r.id] += r.cap - served
		}
	}
	w.running[router] = map[*request]bool{}
	w.killed[router] = true
	w.deferred[router] = nil
	w.allocator.Killed(router)
}

func (w *simulation) resume(router int) {
	w.frozen[router] = false
	w.allocator.Resumed(router)
	deferred := w.deferred[router]
	w.deferred[router] = nil
	for _, do := range deferred {
		do()
	}
}

// domain returns a router's failure domain.
func (w *simulation) domain(router int) int { return router % w.scenario.Domains }

// reaches reports whether two routers can reach each other.
func (w *simulation) reaches(a, b int) bool {
	return !w.partitioned || (w.domain(a) == 0) == (w.domain(b) == 0)
}

// delay is the one-way delay between two routers.
func (w *simulation) delay(a, b int) time.Duration {
	if w.domain(a) == w.domain(b) {
		return sameDomain
	}
	return w.scenario.OneWay
}

// limitsPages returns the initial pages of the store.
func (w *simulation) limitsPages() map[int]*budget.Page {
	pages := map[int]*budget.Page{}
	for i, limit := range w.scenario.limits() {
		id := budgetName(i)
		n := budget.PageOf(id, w.scenario.Pages)
		if pages[n] == nil {
			pages[n] = budget.NewPage()
		}
		pages[n].Budgets[id] = &budget.Record{Account: "a", Limit: limit, Holders: map[string]int64{}}
	}
	return pages
}
