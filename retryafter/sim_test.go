package retryafter_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/gaplink/gaplink/retryafter"
)

// The simulated fleet serves requests in slots shared by all routers; a request that finds none free
// is refused. Each router plans returns and holds requests on its own, as the gateway does.
const (
	simSlotsPerRouter = 4
	simService        = 200 * time.Millisecond // mean time in a slot
	simObjective      = 400 * time.Millisecond
	simPatience       = 3 * time.Second
	simAccounts       = 24
	simQuietLoad      = 0.6 // of the capacity
	simBurst          = 3 * time.Second
	simBursts         = 2
	simQuiet          = 3 * time.Second // before each burst
	simAfter          = 3 * time.Second // measured after a burst
	simFixed          = 250 * time.Millisecond
	simImpatient      = 50 * time.Millisecond // when disobedient callers come back
	simTick           = 20 * time.Millisecond
)

type simPolicy int

const (
	fixedTimes simPolicy = iota
	computedTimes
	computedAndHeld
)

func (p simPolicy) String() string {
	return []string{"fixed", "computed", "computed and held"}[p]
}

// simRequest is one request of a caller.
type simRequest struct {
	id        uint64
	rank      int
	account   int
	obedient  bool
	arrived   time.Time // first arrival
	sent      time.Time // arrival of the current try
	refusals  int
	returned  retryafter.Return
	measured  bool // arrived in a burst or soon after it
	served    bool
	inTime    bool
	firstSoon bool // refused the first time within a quarter of the objective
}

type simEvent struct {
	at  time.Time
	run func()
}

type simEvents []simEvent

func (e simEvents) Len() int           { return len(e) }
func (e simEvents) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e simEvents) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *simEvents) Push(x any)        { *e = append(*e, x.(simEvent)) }
func (e *simEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

type simRouter struct {
	planner  *retryafter.Planner
	refusals *retryafter.Refusals
	queue    *retryafter.Queue
	held     map[*retryafter.Waiter]*simRequest
}

type sim struct {
	policy      simPolicy
	disobedient float64 // share of accounts
	load        float64 // of a burst, in capacities
	rng         *rand.Rand
	now         time.Time
	events      simEvents
	routers     []*simRouter
	free        int
	requests    []*simRequest
	// waiting counts the callers that were refused and have yet to come back, and the held requests;
	// leftOver counts those whose requests first arrived in a burst.
	waiting, leftOver int
	// emptyAt and doneAt are when waiting and leftOver were first 0 after each burst.
	emptyAt, doneAt [simBursts + 1]time.Time
}

func newSim(policy simPolicy, routers int, seed uint64, load, disobedient float64) *sim {
	s := &sim{policy: policy, load: load, disobedient: disobedient, rng: rand.New(rand.NewPCG(uint64(routers), seed)), now: start, free: routers * simSlotsPerRouter}
	for range routers {
		s.routers = append(s.routers, &simRouter{
			planner: retryafter.NewPlanner(s.rng), refusals: retryafter.NewRefusals(), queue: retryafter.NewQueue(),
			held: map[*retryafter.Waiter]*simRequest{},
		})
	}
	return s
}

func (s *sim) after(d time.Duration, run func()) { heap.Push(&s.events, simEvent{s.now.Add(d), run}) }

// burstAt returns the number of the burst at a time; 0: none.
func burstAt(at time.Time) int {
	since := at.Sub(start)
	n := int(since / (simQuiet + simBurst))
	if n < simBursts && since%(simQuiet+simBurst) >= simQuiet {
		return n + 1
	}
	return 0
}

// measuredAt reports whether requests that arrive at a time are measured: those of bursts and, since
// returning callers compete with them, those of the time after one.
func measuredAt(at time.Time) bool {
	return at.Sub(start) >= simQuiet && (at.Sub(start)-simQuiet)%(simQuiet+simBurst) < simBurst+simAfter
}

func burstEnd(n int) time.Time { return start.Add(time.Duration(n) * (simQuiet + simBurst)) }

// run simulates all bursts and a quiet time.
func (s *sim) run() {
	capacity := float64(len(s.routers)*simSlotsPerRouter) / simService.Seconds()
	end := burstEnd(simBursts).Add(simQuiet)
	var arrive func()
	arrive = func() {
		if s.now.After(end) {
			return
		}
		rate := simQuietLoad * capacity
		if burstAt(s.now) > 0 {
			rate = s.load * capacity
		}
		s.after(time.Duration(s.rng.ExpFloat64()/rate*float64(time.Second)), arrive)
		r := &simRequest{id: uint64(len(s.requests)), rank: s.rng.IntN(3), account: s.rng.IntN(simAccounts), arrived: s.now, measured: measuredAt(s.now)}
		r.obedient = float64(r.account) >= s.disobedient*simAccounts
		s.requests = append(s.requests, r)
		s.try(r)
	}
	s.after(0, arrive)
	if s.policy == computedAndHeld {
		s.after(simTick, s.tick)
	}
	for len(s.events) > 0 {
		e := heap.Pop(&s.events).(simEvent)
		s.now = e.at
		if s.now.After(end.Add(simPatience)) {
			return
		}
		e.run()
		s.noteEmpty()
	}
}

func (s *sim) noteEmpty() {
	for n := 1; n <= simBursts; n++ {
		if s.now.Before(burstEnd(n)) {
			continue
		}
		if s.emptyAt[n].IsZero() && s.waiting == 0 {
			s.emptyAt[n] = s.now
		}
		if s.doneAt[n].IsZero() && s.leftOver == 0 {
			s.doneAt[n] = s.now
		}
	}
}

func (s *sim) addWaiting(r *simRequest, n int) {
	s.waiting += n
	if burstAt(r.arrived) > 0 {
		s.leftOver += n
	}
}

func (s *sim) account(r *simRequest) string { return fmt.Sprint(r.account) }

// try is the arrival of a request at a random router.
func (s *sim) try(r *simRequest) {
	router := s.routers[s.rng.IntN(len(s.routers))]
	r.sent = s.now
	if s.policy != fixedTimes {
		r.returned = router.refusals.Arrived(s.now, s.account(r), r.id)
	}
	short := r.returned.Limited && (router.queue.Waits(busy) || router.planner.RoomShort(s.now, retryafter.Busy, "svc"))
	switch {
	case short:
		s.refuse(router, r, true)
	case s.free > 0:
		s.serve(router, r)
	case !s.hold(router, r):
		s.refuse(router, r, false)
	}
}

func (s *sim) serve(router *simRouter, r *simRequest) {
	s.free--
	r.served = true
	r.inTime = s.now.Sub(r.sent) <= simObjective
	s.after(time.Duration(s.rng.ExpFloat64()*float64(simService)), func() {
		s.free++
		router.planner.Ended(s.now, "svc")
		for _, w := range router.queue.Release(busy, 1) {
			s.offer(router, w)
		}
	})
}

// offer offers a request that was held to a server.
func (s *sim) offer(router *simRouter, w *retryafter.Waiter) {
	r := router.held[w]
	delete(router.held, w)
	s.addWaiting(r, -1)
	if s.free > 0 {
		s.serve(router, r)
		return
	}
	s.refuse(router, r, false)
}

func (s *sim) hold(router *simRouter, r *simRequest) bool {
	rate := router.planner.EndsPerSecond(s.now, "svc")
	if s.policy != computedAndHeld || rate <= 0 {
		return false
	}
	w := &retryafter.Waiter{Room: busy, Rank: s.rank(r), Bytes: 1 << 10, Arrived: r.sent, Objective: simObjective}
	w.At = s.now.Add(time.Duration(float64(router.queue.Ahead(w)+1) / rate * float64(time.Second)))
	displaced, ok := router.queue.Hold(s.now, w)
	if !ok {
		return false
	}
	s.refuseHeld(router, displaced)
	router.held[w] = r
	s.addWaiting(r, 1)
	return true
}

func (s *sim) refuseHeld(router *simRouter, waiters []*retryafter.Waiter) {
	for _, w := range waiters {
		r := router.held[w]
		delete(router.held, w)
		s.addWaiting(r, -1)
		s.refuse(router, r, false)
	}
}

func (s *sim) tick() {
	s.after(simTick, s.tick)
	for _, router := range s.routers {
		s.refuseHeld(router, router.queue.Expired(s.now))
	}
}

func (s *sim) rank(r *simRequest) int {
	if r.returned.Limited {
		return retryafter.Ranks - 1
	}
	return r.rank
}

// refuse refuses a request; its caller comes back once.
func (s *sim) refuse(router *simRouter, r *simRequest, limited bool) {
	r.refusals++
	left := simPatience - s.now.Sub(r.arrived)
	after := simFixed
	if s.policy != fixedTimes {
		if after = r.returned.Remaining; after == 0 {
			after, _ = router.planner.Plan(s.now, retryafter.Refusal{Cause: retryafter.Busy, Key: "svc", Rank: s.rank(r), Left: left, Limited: limited})
			router.refusals.Refused(s.now, s.account(r), r.id, after, left)
		}
	}
	if r.refusals > 1 {
		return
	}
	r.firstSoon = s.now.Sub(r.arrived) <= simObjective/4
	after = min(after, left/3)
	if !r.obedient {
		after = min(after, simImpatient)
	}
	s.addWaiting(r, 1)
	s.after(after, func() {
		s.addWaiting(r, -1)
		s.try(r)
	})
}

// simResult is what callers of the bursts got.
type simResult struct {
	served [3]float64 // by rank
	worth  float64    // mean: 1 in time at once, 0.5 after a return, less 0.3 if refused twice
	twice  float64    // share refused twice
	jain   float64    // over the served shares of accounts with unmet demand
	obey   float64    // served share of obedient callers' requests
	// empty and done are the longest times from the end of a burst until nothing waits, and until none
	// of the burst's requests does.
	empty, done time.Duration
}

func (s *sim) result() simResult {
	var got simResult
	var all, served [3]int
	var demand, met [simAccounts]float64
	n, obedient := 0.0, 0.0
	for _, r := range s.requests {
		if !r.measured {
			continue
		}
		n++
		all[r.rank]++
		demand[r.account]++
		if r.obedient {
			obedient++
		}
		if r.served && r.inTime {
			served[r.rank]++
			met[r.account]++
			if r.obedient {
				got.obey++
			}
			if r.refusals == 0 {
				got.worth++
			} else if r.firstSoon {
				got.worth += 0.5
			}
		}
		if r.refusals > 1 {
			got.twice++
			got.worth -= 0.3
		}
	}
	for rank := range all {
		got.served[rank] = float64(served[rank]) / float64(all[rank])
	}
	got.twice, got.worth, got.obey = got.twice/n, got.worth/n, got.obey/obedient
	var sum, squares, count float64
	for a := range demand {
		if met[a] < demand[a] {
			share := met[a] / demand[a]
			sum, squares, count = sum+share, squares+share*share, count+1
		}
	}
	got.jain = sum * sum / (count * squares)
	for n := 1; n <= simBursts; n++ {
		got.empty = max(got.empty, s.emptyAt[n].Sub(burstEnd(n)).Round(time.Millisecond))
		got.done = max(got.done, s.doneAt[n].Sub(burstEnd(n)).Round(time.Millisecond))
	}
	return got
}

// Guards against computed times by which more callers are refused twice than by the fixed ones, against
// held requests of less urgent ranks that take the room of more urgent ones, and against obedient
// callers that pay for disobedient ones. The time until nothing waits is only logged: its target of a
// second is not reached, since callers refused at the end of a burst honour up to a second here and then
// compete with new requests.
func TestReturnsAfterBursts(t *testing.T) {
	for _, c := range []struct {
		routers     int
		runs        uint64 // enough requests that chance does not decide
		disobedient []float64
	}{{7, 16, []float64{0, 0.25}}, {61, 2, []float64{0, 0.25}}, {300, 1, []float64{0.25}}} {
		t.Run(fmt.Sprintf("%d routers", c.routers), func(t *testing.T) {
			t.Parallel()
			for _, load := range []float64{1.5, 2.4, 4} {
				for _, disobedient := range c.disobedient {
					results := map[simPolicy]simResult{}
					for _, policy := range []simPolicy{fixedTimes, computedTimes, computedAndHeld} {
						results[policy] = simulate(policy, c.routers, c.runs, load, disobedient)
						t.Logf("%.1f times the room, %2.0f%% disobedient, %-17v %v", load, 100*disobedient, policy, results[policy])
					}
					for _, policy := range []simPolicy{computedTimes, computedAndHeld} {
						checkResult(t, results[policy], results[fixedTimes])
					}
				}
			}
		})
	}
}

// simulate returns the mean result of several runs, and the longest times.
func simulate(policy simPolicy, routers int, runs uint64, load, disobedient float64) simResult {
	var mean simResult
	n := float64(runs)
	for seed := range runs {
		s := newSim(policy, routers, seed, load, disobedient)
		s.run()
		got := s.result()
		for rank := range got.served {
			mean.served[rank] += got.served[rank] / n
		}
		mean.worth += got.worth / n
		mean.twice += got.twice / n
		mean.jain += got.jain / n
		mean.obey += got.obey / n
		mean.empty, mean.done = max(mean.empty, got.empty), max(mean.done, got.done)
	}
	return mean
}

func (r simResult) String() string {
	return fmt.Sprintf("served by rank %.3f, worth %.3f, refused twice %.3f, Jain %.3f, obedient %.3f, empty after %v, the burst's after %v",
		r.served, r.worth, r.twice, r.jain, r.obey, r.empty, r.done)
}

// checkResult compares a result with that of the fixed times.
func checkResult(t *testing.T, got, fixed simResult) {
	t.Helper()
	const noise = 0.02
	if got.twice >= fixed.twice || got.worth <= fixed.worth {
		t.Errorf("refused twice %.3f, worth %.3f, with fixed times %.3f and %.3f", got.twice, got.worth, fixed.twice, fixed.worth)
	}
	if got.served[0] < got.served[1]-noise || got.served[1] < got.served[2]-noise {
		t.Errorf("served by rank %.3f", got.served)
	}
	if all := (got.served[0] + got.served[1] + got.served[2]) / 3; got.obey < all-noise || got.obey < fixed.obey {
		t.Errorf("obedient callers served %.3f, all %.3f, with fixed times %.3f", got.obey, all, fixed.obey)
	}
	if got.jain < 0.98 {
		t.Errorf("Jain's index %.3f", got.jain)
	}
}
