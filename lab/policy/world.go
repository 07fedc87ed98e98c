package policy

import (
	"sort"
	"time"

	"github.com/gaplink/gaplink/budget"
	"github.com/gaplink/gaplink/lab/vtime"
)

// Sharer is one way to share budgets out. All calls are in virtual time.
type Sharer interface {
	// Reserve asks for tokens at a router; done is called once.
	Reserve(router int, id string, need int64, done func(ok bool))
	// Settle ends a reservation.
	Settle(router int, id string, reserved, actual int64)
	// Killed, Started, Frozen and Woken tell of a router's faults.
	Killed(router int)
	Started(router int)
	Frozen(router int)
	Woken(router int)
	// ToppedUp tells that a limit has risen in the store.
	ToppedUp(id string, tokens int64)
	// Where tells where the unspent tokens of a budget are.
	Where(id string) Place
}

// Place is where a budget's unspent, unreserved tokens are.
type Place struct {
	// Store can still be issued, Routers are with live routers, Dead with
	// killed or frozen ones, Moving on the way.
	Store, Routers, Dead, Moving int64
}

// Counts are the traffic of a run.
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

// account is the truth about one budget, with perfect knowledge.
type account struct {
	limit    int64
	spent    int64
	worst    int64 // of requests in flight
	actual   int64 // what they will have cost
	requests int
	refused  int
}

// world runs one scenario on one sharer.
type world struct {
	*vtime.Sim
	spec     Scenario
	sharer   Sharer
	counts   Counts
	books    map[string]*account
	down     bool // the store
	cut      bool
	killed   []bool
	frozen   []bool
	parked   [][]func() // what a frozen router does when it wakes
	running  []map[*request]bool
	extra    map[string]int64 // charged for dead attempts that no engine knows
	measured int              // requests after the warm-up
	result   Result
	waits    []time.Duration
}

func newWorld(spec Scenario) *world {
	w := &world{
		Sim:     vtime.New(spec.Seed, stream),
		spec:    spec,
		books:   map[string]*account{},
		extra:   map[string]int64{},
		killed:  make([]bool, spec.Routers),
		frozen:  make([]bool, spec.Routers),
		parked:  make([][]func(), spec.Routers),
		running: make([]map[*request]bool, spec.Routers),
		result:  Result{Scenario: spec.Name, Causes: map[string]int{}},
	}
	for i, limit := range spec.limits() {
		w.books[budgetName(i)] = &account{limit: limit}
	}
	for i := range w.running {
		w.running[i] = map[*request]bool{}
	}
	return w
}

// Run runs a scenario on a sharer made by the given function.
func Run(spec Scenario, name string, make func(*world) Sharer) Result {
	w := newWorld(spec)
	w.sharer = make(w)
	w.result.Policy = name
	begin := w.Now
	w.arrivals(begin.Add(spec.Length))
	w.faults()
	w.Run(begin.Add(spec.Warm))
	warm, requests := w.counts, w.result.Requests
	w.Run(begin.Add(spec.Length))
	w.counts = w.counts.minus(warm)
	w.measured = w.result.Requests - requests
	return w.report()
}

// arrivals schedules the load.
func (w *world) arrivals(until time.Time) {
	weights := w.spec.weights()
	sums := make([]float64, len(weights))
	sum := 0.0
	for i, v := range weights {
		sum += v
		sums[i] = sum
	}
	mean := time.Duration(float64(time.Second) / w.spec.PerSecond)
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

// arrive sends a request to a router that the balancer takes for alive.
func (w *world) arrive(id string) {
	limit := w.spec.MinCap + w.Rng.Int64N(w.spec.MaxCap-w.spec.MinCap+1)
	use := minUse + w.Rng.Float64()*(maxUse-minUse)
	r := &request{
		router: w.Rng.IntN(w.spec.Routers),
		id:     id,
		cap:    limit,
		cost:   max(int64(float64(limit)*use), 1),
		began:  w.Now,
	}
	for w.killed[r.router] || w.frozen[r.router] {
		r.router = (r.router + 1) % w.spec.Routers
	}
	w.result.Requests++
	w.books[id].requests++
	w.sharer.Reserve(r.router, id, r.cap, func(ok bool) { w.decided(r, ok) })
}

func (w *world) decided(r *request, ok bool) {
	w.waits = append(w.waits, w.Now.Sub(r.began))
	if !ok {
		w.refused(r)
		return
	}
	b := w.books[r.id]
	b.worst += r.cap
	b.actual += r.cost
	w.running[r.router][r] = true
	w.After(time.Duration(r.cost)*w.spec.PerToken, func() { w.finish(r) })
}

// finish ends a request. A frozen router settles when it wakes.
func (w *world) finish(r *request) {
	if r.finished {
		return
	}
	r.finished = true
	w.charge(r, r.cost)
	delete(w.running[r.router], r)
	router := r.router
	settle := func() { w.sharer.Settle(router, r.id, r.cap, r.cost) }
	w.onRouter(router, settle)
}

// charge books what a request cost.
func (w *world) charge(r *request, tokens int64) {
	b := w.books[r.id]
	b.worst -= r.cap
	b.actual -= r.cost
	b.spent += tokens
	w.result.Overspend = max(w.result.Overspend, b.spent-b.limit)
}

// onRouter does something at a router, or when it wakes if it is frozen.
func (w *world) onRouter(router int, do func()) {
	if w.frozen[router] {
		w.parked[router] = append(w.parked[router], do)
		return
	}
	do()
}

// refused decides whether a refusal was false, and why.
func (w *world) refused(r *request) {
	b := w.books[r.id]
	b.refused++
	w.result.Refused++
	rest := b.limit - b.spent - b.worst
	if b.limit-b.spent-b.actual >= r.cap {
		w.result.FalseStrict++
	}
	if rest < r.cap {
		return
	}
	w.result.False++
	w.result.Causes[w.cause(r, rest)]++
}

// cause names what kept the remaining tokens from the request.
func (w *world) cause(r *request, rest int64) string {
	p := w.sharer.Where(r.id)
	switch {
	case rest-p.Dead < r.cap:
		return "with a dead or frozen router"
	case w.cut:
		return "cut"
	case w.down:
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

func (w *world) faults() {
	for _, f := range w.spec.Faults {
		w.After(f.At, func() { w.fault(f) })
	}
	if w.spec.TopUp > 0 {
		w.After(w.spec.Length/2, w.topUp)
	}
}

func (w *world) topUp() {
	id := budgetName(0)
	tokens := int64(float64(w.books[id].limit) * w.spec.TopUp)
	w.books[id].limit += tokens
	w.sharer.ToppedUp(id, tokens)
}

func (w *world) fault(f Fault) {
	switch f.Kind {
	case Kill:
		w.kill(f.Router)
		w.After(f.Span, func() {
			w.killed[f.Router] = false
			w.sharer.Started(f.Router)
		})
	case Freeze:
		w.frozen[f.Router] = true
		w.sharer.Frozen(f.Router)
		w.After(f.Span, func() { w.wake(f.Router) })
	case Outage:
		w.down = true
		w.After(f.Span, func() { w.down = false })
	case Cut:
		w.cut = true
		w.After(f.Span, func() { w.cut = false })
	}
}

// dispatchTime is the time from a reservation until a backend server knows the
// request. What a router killed in between had reserved stays charged at its
// worst case, since no engine can tell what became of it.
const dispatchTime = 2 * time.Millisecond

// kill ends a router. What its requests were served so far is spent.
func (w *world) kill(router int) {
	for r := range w.running[router] {
		r.finished = true
		served := int64(w.Now.Sub(r.began) / w.spec.PerToken)
		w.charge(r, min(served, r.cost))
		if w.Now.Sub(r.began) < dispatchTime {
			w.extra[r.id] += r.cap - served
		}
	}
	w.running[router] = map[*request]bool{}
	w.killed[router] = true
	w.parked[router] = nil
	w.sharer.Killed(router)
}

func (w *world) wake(router int) {
	w.frozen[router] = false
	w.sharer.Woken(router)
	parked := w.parked[router]
	w.parked[router] = nil
	for _, do := range parked {
		do()
	}
}

// domain returns a router's failure domain.
func (w *world) domain(router int) int { return router % w.spec.Domains }

// reaches tells whether two routers reach each other.
func (w *world) reaches(a, b int) bool {
	return !w.cut || (w.domain(a) == 0) == (w.domain(b) == 0)
}

// delay is the one-way delay between two routers.
func (w *world) delay(a, b int) time.Duration {
	if w.domain(a) == w.domain(b) {
		return sameDomain
	}
	return w.spec.OneWay
}

// limitsPage builds the store's pages.
func (w *world) limitsPages() map[int]*budget.Page {
	pages := map[int]*budget.Page{}
	for i, limit := range w.spec.limits() {
		id := budgetName(i)
		n := budget.PageOf(id, w.spec.Pages)
		if pages[n] == nil {
			pages[n] = budget.NewPage()
		}
		pages[n].Budgets[id] = &budget.Record{Account: "a", Limit: limit, Holders: map[string]int64{}}
	}
	return pages
}
