package placement_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/gaplink/gaplink/placement"
)

// sizes are the server counts of current and planned deployments.
var sizes = []int{94, 145, 1300, 3000, 9695, 20000}

func put(servers *placement.Servers, n int) {
	for i := range n {
		servers.Put(placement.Server{ID: fmt.Sprintf("i-%05d", i), Service: "svc", Domain: fmt.Sprint("z", i%3), Slots: 48})
	}
}

// BenchmarkFirstList measures registering all servers of a fleet and the first Pick, as at router start.
func BenchmarkFirstList(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for b.Loop() {
				servers := placement.New()
				put(servers, n)
				servers.Pick(rand.New(rand.NewPCG(1, 2)), placement.Query{Service: "svc"})
			}
		})
	}
}

// BenchmarkPick measures picking a server for a long prompt with a prefix.
func BenchmarkPick(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			servers := placement.New()
			put(servers, n)
			for i, s := range servers.All() {
				servers.RecordEventInterval(time.Unix(1000, 0), s.Incarnation(), time.Duration(20+i%7)*time.Millisecond)
			}
			rng := rand.New(rand.NewPCG(1, 2))
			q := placement.Query{Service: "svc", Tokens: 6000, Domain: "z1"}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				q.Affinity, q.Prompt = rng.Uint64(), int64(1000+i%9000)
				q.Now = time.Unix(0, int64(i)*int64(time.Millisecond))
				servers.Pick(rng, q)
			}
		})
	}
}

// BenchmarkPredict measures a choice by prediction with figures of all servers, at a router with a
// request every millisecond and at one with a request every 300 ms, which updates the speeds each time.
func BenchmarkPredict(b *testing.B) {
	for _, n := range []int{60, 140, 1300, 10000} {
		for _, every := range []time.Duration{time.Millisecond, 300 * time.Millisecond} {
			b.Run(fmt.Sprintf("%d/%s", n, every), func(b *testing.B) {
				servers := placement.New()
				put(servers, n)
				now := noon
				rng := rand.New(rand.NewPCG(1, 2))
				observeAll(servers, now)
				b.ReportAllocs()
				for b.Loop() {
					now = now.Add(every)
					if now.Sub(noon) > time.Second {
						now = noon
					}
					servers.Pick(rng, benchQuery(now, rng.Uint64()))
				}
			})
		}
	}
}

// observeAll gives a fleet own figures of up to 64 servers and reports of up to 512, which is as many as
// routers exchange.
func observeAll(servers *placement.Servers, now time.Time) {
	var loads []placement.ServerLoad
	for i, s := range servers.All() {
		if i >= 512 {
			break
		}
		for n := range 9 {
			if i < 64 {
				servers.RecordEventInterval(now, s.Incarnation(), time.Duration(30+(i+n)%7)*time.Millisecond)
			}
		}
		loads = append(loads, placement.ServerLoad{Server: s.Incarnation(), InFlight: i % 20, EventInterval: time.Duration(30+i%7) * time.Millisecond, Events: 30, At: now})
	}
	servers.SetFleetLoad(loads)
}

// Guards against predictions that allocate memory for each request.
func TestPredictedChoiceAllocatesNothing(t *testing.T) {
	servers := placement.New()
	put(servers, 140)
	observeAll(servers, noon)
	rng := seeded()
	now := noon
	if n := testing.AllocsPerRun(200, func() {
		now = now.Add(time.Millisecond)
		servers.Pick(rng, benchQuery(now, rng.Uint64()))
	}); n > 0 {
		t.Errorf("%v allocations per pick", n)
	}
	if n := servers.Choices()["limits"]; n > 0 {
		t.Errorf("%d choices by limits", n)
	}
}

func benchQuery(now time.Time, prefix uint64) placement.Query {
	q := digestQuery(now, prefix)
	q.Service = "svc"
	return q
}
