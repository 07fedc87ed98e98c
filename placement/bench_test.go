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
