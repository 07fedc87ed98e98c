package limiter_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/gaplink/gaplink/lab/vtime"
	"github.com/gaplink/gaplink/limiter"
	"github.com/gaplink/gaplink/placement"
)

const (
	// countWindow is the window in which the requests that a server receives are counted.
	countWindow = 4 * time.Second
	// maxDelay is the longest delay between two routers, or a router and a server.
	maxDelay = 4 * time.Millisecond
	// demandFactor is the demand for a limited server, as a multiple of its limit.
	demandFactor = 3
)

var server = placement.Incarnation{ID: "s1"}

// admission decides whether a router may send a request to the server now, and calls send if
// so.
type admission func(router int, send func())

// simulate has routers send requests to a limited server for a time, with demand so uneven
// that one router may have a third of all, and returns the arrival times.
func simulate(sim *vtime.Sim, routers int, demand float64, lasts time.Duration, admit admission) (arrivals []time.Time) {
	total := 0.0
	for n := range routers {
		total += 1 / float64(n+1)
	}
	end := sim.Now.Add(lasts)
	for n, router := range sim.Rng.Perm(routers) {
		mean := time.Duration(float64(time.Second) * total * float64(n+1) / demand)
		var next func()
		next = func() {
			admit(router, func() {
				sim.After(time.Duration(sim.Rng.Int64N(int64(maxDelay))), func() { arrivals = append(arrivals, sim.Now) })
			})
			sim.After(sim.Exponential(mean), next)
		}
		sim.After(sim.Exponential(mean), next)
	}
	sim.Run(end)
	return arrivals
}

// singleOwner asks one owner for each permit.
func singleOwner(sim *vtime.Sim, rate limiter.Rate) admission {
	ledger, denials := limiter.NewLedger(), map[int]*limiter.DenialCache{}
	return func(router int, send func()) {
		if denials[router] == nil {
			denials[router] = limiter.NewDenialCache()
		}
		if denials[router].Wait(sim.Now, server, "owner", 0) > 0 {
			return
		}
		sim.After(time.Duration(sim.Rng.Int64N(int64(maxDelay))), func() {
			granted, wait := ledger.Grant(sim.Now, server, rate, 0)
			sim.After(time.Duration(sim.Rng.Int64N(int64(maxDelay))), func() {
				if granted {
					send()
					return
				}
				denials[router].Add(server, "owner", 0, sim.Now.Add(wait))
			})
		})
	}
}

// evenShares gives each of the first few routers an even share of the rate.
func evenShares(sim *vtime.Sim, rate limiter.Rate, sharers int) admission {
	ledgers := make([]*limiter.Ledger, sharers)
	for n := range ledgers {
		ledgers[n] = limiter.NewLedger()
	}
	return func(router int, send func()) {
		if router >= sharers {
			return
		}
		if ok, _ := ledgers[router].Grant(sim.Now, server, rate/limiter.Rate(sharers), 0); ok {
			send()
		}
	}
}

// maxInWindow returns the largest number of arrivals in a window.
func maxInWindow(arrivals []time.Time, window time.Duration) (n int) {
	first := 0
	for i, at := range arrivals {
		for at.Sub(arrivals[first]) >= window {
			first++
		}
		n = max(n, i-first+1)
	}
	return n
}

// allowed returns the most that a server may receive in a window, in whole requests.
func allowed(rate limiter.Rate) int {
	n := min(float64(rate), 1e6) * countWindow.Seconds()
	if rate < 1 {
		return max(int(math.Ceil(n)), 1)
	}
	return int(math.Floor(n))
}

var rates = []limiter.Rate{0.3, 1.2, 1.6, 8, 50}

// Guards against routers that together send a limited server more than it named, and against a
// limit that goes unused because shares belong to routers without demand.
func TestOwnedRateHoldsOverTheFleetAndIsUsed(t *testing.T) {
	for _, routers := range []int{6, 87, 300} {
		for _, rate := range rates {
			t.Run(fmt.Sprintf("%d routers, limit %g", routers, rate), func(t *testing.T) {
				const lasts = time.Minute
				for seed := range uint64(20) {
					sim := vtime.New(seed, 44)
					arrivals := simulate(sim, routers, demandFactor*float64(rate), lasts, singleOwner(sim, rate))
					if n := maxInWindow(arrivals, countWindow); n > allowed(rate) {
						t.Fatalf("seed %d: %d requests in %s, %d are allowed", seed, n, countWindow, allowed(rate))
					}
					if use := float64(len(arrivals)) / lasts.Seconds() / float64(rate); use < 0.6 {
						t.Fatalf("seed %d: %.2f of the limit used", seed, use)
					}
				}
			})
		}
	}
}

// BenchmarkWaysToShareARate reports how much of a limit is used, and the most requests in 4 s,
// with an even share for each router, with even shares of at least one request a second for as
// many routers as that allows, and with one owner that grants permits.
func BenchmarkWaysToShareARate(b *testing.B) {
	for _, routers := range []int{6, 87, 300} {
		for _, rate := range rates {
			for _, way := range []struct {
				name  string
				admit func(*vtime.Sim) admission
			}{
				{"all share", func(sim *vtime.Sim) admission { return evenShares(sim, rate, routers) }},
				{"few share", func(sim *vtime.Sim) admission { return evenShares(sim, rate, min(max(int(rate), 1), routers)) }},
				{"owner", func(sim *vtime.Sim) admission { return singleOwner(sim, rate) }},
			} {
				b.Run(fmt.Sprintf("%d routers/limit %g/%s", routers, rate, way.name), func(b *testing.B) {
					const lasts = time.Minute
					got, worst := 0, 0
					for n := range b.N {
						sim := vtime.New(uint64(n), 45)
						arrivals := simulate(sim, routers, demandFactor*float64(rate), lasts, way.admit(sim))
						got += len(arrivals)
						worst = max(worst, maxInWindow(arrivals, countWindow))
					}
					b.ReportMetric(float64(got)/float64(b.N)/lasts.Seconds()/float64(rate), "use")
					b.ReportMetric(float64(worst), "most/4s")
				})
			}
		}
	}
}
