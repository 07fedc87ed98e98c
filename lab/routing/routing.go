// Package routing compares load-balancing policies that pick a backend server. It
// simulates a seeded load in virtual time with delayed load reports and one slow
// server; gaplink's policy runs the production routing code.
package routing

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sort"
	"time"

	"github.com/gaplink/gaplink/lab/vtime"
	"github.com/gaplink/gaplink/route"
	"github.com/gaplink/gaplink/table"
)

// Parameters of the load and the servers.
const (
	routers       = 8
	servers       = 12
	perSecond     = 60
	length        = 3 * time.Minute
	prefixes      = 300 // prompt prefixes in use, with a Zipf distribution
	cacheSize     = 40  // prefix capacity of a server's cache
	slots         = 8   // concurrent requests that a server runs without slowdown
	prefillCached = 40 * time.Millisecond
	prefill       = 400 * time.Millisecond
	decode        = 600 * time.Millisecond
	slowFactor    = 3 // slowdown of the first server
	reportLag     = time.Second
)

// Policy picks a server for a request at a router.
type Policy interface {
	Pick(now time.Time, router int, prefix uint64) int
	Started(router, server int)
	Finished(now time.Time, router, server int)
	Report(now time.Time, server int, load float64)
}

// Result is the result of a run.
type Result struct {
	Policy   string
	Requests int
	// FirstP50 and FirstP95 are times to the first token in milliseconds.
	FirstP50, FirstP95 float64
	// Hits is the share of requests whose prefix was cached, in percent.
	Hits float64
	// Imbalance is the request count of the busiest server divided by the mean.
	Imbalance float64
}

// server is one simulated backend server.
type server struct {
	inFlight int
	served   int
	cache    []uint64 // least recently used first
}

// hit reports whether a prefix is cached, and makes it the most recently used one.
func (s *server) hit(prefix uint64) bool {
	found := false
	for i, p := range s.cache {
		if p == prefix {
			s.cache = append(s.cache[:i], s.cache[i+1:]...)
			found = true
			break
		}
	}
	s.cache = append(s.cache, prefix)
	if len(s.cache) > cacheSize {
		s.cache = s.cache[1:]
	}
	return found
}

type run struct {
	*vtime.Sim
	policy     Policy
	servers    []*server
	firstToken []time.Duration
	hits       int
}

// Run runs the seeded load with a policy.
func Run(name string, p Policy) Result {
	r := &run{Sim: vtime.New(1, 2), policy: p}
	for range servers {
		r.servers = append(r.servers, &server{})
	}
	r.arrive()
	r.report()
	r.Sim.Run(r.Now.Add(length))
	return r.result(name)
}

func (r *run) arrive() {
	r.After(r.Exponential(time.Second/perSecond), func() {
		r.request()
		r.arrive()
	})
}

// request sends one request through a random router.
func (r *run) request() {
	router := r.Rng.IntN(routers)
	prefix := uint64(math.Pow(prefixes, r.Rng.Float64())) * 0x9e3779b97f4a7c15
	n := r.policy.Pick(r.Now, router, prefix)
	s := r.servers[n]
	r.policy.Started(router, n)
	s.inFlight++
	s.served++
	pace := math.Max(1, float64(s.inFlight)/slots)
	if n == 0 {
		pace *= slowFactor
	}
	ttft := prefill
	if s.hit(prefix) {
		ttft = prefillCached
		r.hits++
	}
	ttft = time.Duration(float64(ttft) * pace)
	r.firstToken = append(r.firstToken, ttft)
	r.After(ttft+time.Duration(float64(decode)*pace), func() {
		s.inFlight--
		r.policy.Finished(r.Now, router, n)
	})
}

// report reports the current load of each server to the policy after reportLag, and repeats.
func (r *run) report() {
	loads := make([]float64, servers)
	for i, s := range r.servers {
		loads[i] = float64(s.inFlight)
	}
	r.After(reportLag, func() {
		for i, load := range loads {
			r.policy.Report(r.Now, i, load)
		}
		r.report()
	})
}

func (r *run) result(name string) Result {
	sort.Slice(r.firstToken, func(i, j int) bool { return r.firstToken[i] < r.firstToken[j] })
	at := func(q float64) float64 {
		return float64(r.firstToken[int(q*float64(len(r.firstToken)-1))]) / float64(time.Millisecond)
	}
	most := 0
	for _, s := range r.servers {
		most = max(most, s.served)
	}
	return Result{
		Policy:    name,
		Requests:  len(r.firstToken),
		FirstP50:  at(0.5),
		FirstP95:  at(0.95),
		Hits:      100 * float64(r.hits) / float64(len(r.firstToken)),
		Imbalance: float64(most) * servers / float64(len(r.firstToken)),
	}
}

// roundRobin picks the servers in turn, independently at each router.
type roundRobin struct{ next [routers]int }

// RoundRobin returns a round-robin policy.
func RoundRobin() Policy { return &roundRobin{} }

// Pick implements Policy.
func (p *roundRobin) Pick(_ time.Time, router int, _ uint64) int {
	p.next[router]++
	return (p.next[router] + router) % servers
}

// Started implements Policy.
func (p *roundRobin) Started(int, int) {}

// Finished implements Policy.
func (p *roundRobin) Finished(time.Time, int, int) {}

// Report implements Policy.
func (p *roundRobin) Report(time.Time, int, float64) {}

// leastInFlight picks the server with the fewest requests in flight from the same router.
type leastInFlight struct {
	roundRobin
	inFlight [routers][servers]int
}

// LeastInFlight returns a least-requests policy.
func LeastInFlight() Policy { return &leastInFlight{} }

// Pick implements Policy.
func (p *leastInFlight) Pick(now time.Time, router int, prefix uint64) int {
	first := p.roundRobin.Pick(now, router, prefix)
	best := first
	for k := range servers {
		n := (first + k) % servers
		if p.inFlight[router][n] < p.inFlight[router][best] {
			best = n
		}
	}
	return best
}

// Started implements Policy.
func (p *leastInFlight) Started(router, n int) { p.inFlight[router][n]++ }

// Finished implements Policy.
func (p *leastInFlight) Finished(_ time.Time, router, n int) { p.inFlight[router][n]-- }

// chosen runs gaplink's routing code, with one instance per router.
type chosen struct {
	routes [routers]*route.Routes
	rng    *rand.Rand
}

// Chosen returns the policy that gaplink uses in production.
func Chosen() Policy {
	p := &chosen{rng: rand.New(rand.NewPCG(3, 4))}
	pool := table.Pool{Name: "p", Kind: table.Model, Target: "m", Site: "s"}
	for i := range servers {
		pool.Servers = append(pool.Servers, table.Server{ID: serverName(i), Addr: serverName(i)})
	}
	for i := range p.routes {
		p.routes[i] = route.New()
		p.routes[i].SetPools(map[string]table.Pool{"p": pool})
	}
	return p
}

func serverName(i int) string { return fmt.Sprintf("e%02d", i) }

// Pick implements Policy.
func (p *chosen) Pick(now time.Time, router int, prefix uint64) int {
	c, _ := p.routes[router].Pick(now, p.rng, route.Request{Target: "m", Prefix: prefix})
	var n int
	_, _ = fmt.Sscanf(c.Server.ID, "e%d", &n)
	return n
}

// Started implements Policy.
func (p *chosen) Started(router, n int) { p.routes[router].Started(serverName(n)) }

// Finished implements Policy.
func (p *chosen) Finished(now time.Time, router, n int) {
	p.routes[router].Finished(now, serverName(n), false)
}

// Report implements Policy.
func (p *chosen) Report(now time.Time, n int, load float64) {
	for _, r := range p.routes {
		r.Load(now, serverName(n), load)
	}
}
