package link_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/gaplink/gaplink/link"
)

// This file models a failure domain in virtual time: each account's callers come to one router until
// the load balancer, which checks every second, has found it not ready twice. A link is a queue; a
// request that waits there for longer than lateAfter is not served.
const (
	mbit       = 1.0 / 8 // of a Mbyte, the unit of all sizes
	lateAfter  = 600 * time.Millisecond
	modelTime  = 2 * time.Minute
	checkEvery = 4 // windows between two checks of the load balancer
	loadAge    = 4 // windows until the others know a load
)

type modelRouter struct {
	id       string
	capacity float64 // in Mbyte/s
	queue    float64 // in Mbyte
	shedder  link.Shedder
	misses   int
	loads    []link.Load // of the last windows, the newest last
}

// load returns the load that the others know.
func (r *modelRouter) load() (link.Load, bool) {
	if len(r.loads) < loadAge {
		return link.Load{}, false
	}
	return r.loads[len(r.loads)-loadAge], true
}

// transfer adds arrivals to the queue of the link for a window and returns the part of them that
// waits for less than lateAfter.
func (r *modelRouter) transfer(arrives float64) (served float64) {
	most := max(lateAfter.Seconds()*r.capacity+r.capacity*link.Window.Seconds()-r.queue, 0)
	if arrives > 0 {
		served = min(most/arrives, 1)
	}
	r.queue += arrives
	moved := min(r.queue, r.capacity*link.Window.Seconds())
	r.queue = min(r.queue-moved, 2*r.capacity) // callers give up, and senders stop
	r.loads = append(r.loads, link.Load{In: moved / (r.capacity * link.Window.Seconds())})
	return served
}

type modelAccount struct {
	rate            float64 // in Mbyte/s
	router          int
	offered, served float64
}

// sheddingModel is a failure domain.
type sheddingModel struct {
	random   *rand.Rand
	routers  []*modelRouter
	accounts []*modelAccount // the first one is the heavy account
	// shares selects whether the routers know the others' loads, and never switches shedding off.
	shares, never bool
	moves         int
}

// newSheddingModel returns a failure domain of which one router in ten has a link of 200 Mbit/s and
// the others have 10, with 23 accounts of the given mean rate in Mbit/s and a heavy one of 12.
func newSheddingModel(seed uint64, size int, others float64) *sheddingModel {
	m := &sheddingModel{random: rand.New(rand.NewPCG(seed, 1))}
	for n := range size {
		rate := 10.0
		if n%10 == 5 {
			rate = 200
		}
		m.routers = append(m.routers, &modelRouter{id: fmt.Sprintf("r%03d", n), capacity: rate * mbit})
	}
	for n := range 24 {
		a := &modelAccount{rate: m.random.ExpFloat64() * others * mbit, router: m.random.IntN(size)}
		if n == 0 {
			a.rate = 12 * mbit
		}
		m.accounts = append(m.accounts, a)
	}
	return m
}

// observe records the load of each router's window and what each knows of the others.
func (m *sheddingModel) observe(now time.Time) {
	known := map[string]link.Load{}
	for _, r := range m.routers {
		if l, is := r.load(); is && m.shares {
			known[r.id] = l
		}
	}
	for _, r := range m.routers {
		var d *link.Domain
		own, is := known[r.id]
		if m.shares {
			delete(known, r.id)
			d = &link.Domain{Self: r.id, Size: len(m.routers), Loads: known}
		}
		r.shedder.Observe(now, r.loads[len(r.loads)-1], d)
		if is {
			known[r.id] = own
		}
	}
}

// window advances the model by a window that ends now.
func (m *sheddingModel) window(number int, now time.Time) {
	arrives := make([]float64, len(m.routers))
	for _, a := range m.accounts {
		arrives[a.router] += a.rate * link.Window.Seconds()
	}
	served := make([]float64, len(m.routers))
	for n, r := range m.routers {
		served[n] = r.transfer(arrives[n])
	}
	for _, a := range m.accounts {
		a.offered += a.rate
		a.served += a.rate * served[a.router]
	}
	m.observe(now)
	for n, r := range m.routers {
		ready := m.never || !r.shedder.Shedding(now)
		if number%checkEvery == n%checkEvery {
			r.misses++
			if ready {
				r.misses = 0
			}
		}
	}
	m.moveAccounts()
}

// moveAccounts moves the accounts of routers that are out of rotation.
func (m *sheddingModel) moveAccounts() {
	var up []int
	for n, r := range m.routers {
		if r.misses < 2 {
			up = append(up, n)
		}
	}
	for _, a := range m.accounts {
		if m.routers[a.router].misses >= 2 && len(up) > 0 {
			a.router = up[m.random.IntN(len(up))]
			m.moves++
		}
	}
}

// run returns the parts of the heavy account's and of the other requests that are served.
func (m *sheddingModel) run() (heavy, others float64) {
	now := start
	for number := range int(modelTime / link.Window) {
		now = now.Add(link.Window)
		m.window(number, now)
	}
	offered, served := 0.0, 0.0
	for _, a := range m.accounts[1:] {
		offered += a.offered
		served += a.served
	}
	return m.accounts[0].served / m.accounts[0].offered, served / offered
}

// results are the means over several runs: the served parts of the heavy account's and of the other
// requests, and how often an account moved to another router.
type results struct{ heavy, others, moves float64 }

// runs returns the means for a failure domain of the given size.
func runs(size int, others float64, shares, never bool) (mean results) {
	const number = 6
	for seed := range uint64(number) {
		m := newSheddingModel(seed, size, others)
		m.shares, m.never = shares, never
		heavy, rest := m.run()
		mean.heavy += heavy / number
		mean.others += rest / number
		mean.moves += float64(m.moves) / number
	}
	return mean
}

// Guards against shedding that serves fewer requests than no shedding, and against knowledge of the
// other routers that makes it worse: where nearly all links are saturated, the few routers left got
// the load of all others and shed it to the next ones. The sizes are those of a third of a fleet of
// 20, 61 and 300 routers. With little spare capacity the yielding routers may cost up to 0.02.
func TestSheddingServesMoreThanNone(t *testing.T) {
	for _, size := range []int{7, 20, 100} {
		for _, others := range []float64{1.2, 3, 6} {
			never, alone, shared := runs(size, others, false, true), runs(size, others, false, false), runs(size, others, true, false)
			t.Logf("%d routers, %.1f Mbit/s each: never %.3f, as before %.3f, shared %.3f", size, others, never, alone, shared)
			for name, r := range map[string]results{"as before": alone, "shared": shared} {
				if r.heavy < never.heavy || r.others < never.others {
					t.Errorf("%d routers, %.1f Mbit/s each: %s serves %.3f, no shedding %.3f", size, others, name, r, never)
				}
			}
			if shared.heavy < alone.heavy-0.02 || shared.others < alone.others-0.02 {
				t.Errorf("%d routers, %.1f Mbit/s each: shared %.3f, as before %.3f", size, others, shared, alone)
			}
		}
	}
}
