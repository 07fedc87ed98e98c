package route_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/gaplink/gaplink/route"
	"github.com/gaplink/gaplink/table"
)

func routes() *route.Routes {
	r := route.New()
	pools := map[string]table.Pool{}
	for _, site := range []string{"old", "new"} {
		p := table.Pool{Name: site, Kind: table.Model, Target: "m", Site: site}
		for i := range 3 {
			p.Servers = append(p.Servers, table.Server{ID: fmt.Sprint(site, i), Addr: fmt.Sprint(site, i)})
		}
		pools[site] = p
	}
	r.SetPools(pools)
	return r
}

func count(r *route.Routes, now time.Time, req route.Request, n int) map[string]int {
	rng := rand.New(rand.NewPCG(1, 1))
	picked := map[string]int{}
	for range n {
		if c, ok := r.Pick(now, rng, req); ok {
			picked[c.Site]++
			picked[c.Server.ID]++
		}
	}
	return picked
}

func rows(old, fresh int) map[string]table.Row {
	return map[string]table.Row{"old": {Weight: old}, "new": {Weight: fresh}}
}

func TestWeightsDecideTheSite(t *testing.T) {
	got := count(routes(), time.Unix(1, 0), route.Request{Target: "m", Rows: rows(90, 10)}, 2000)
	if got["new"] < 120 || got["new"] > 280 {
		t.Fatalf("%d of 2000 went to the new site, want about 200", got["new"])
	}
	if got := count(routes(), time.Unix(1, 0), route.Request{Target: "m", Rows: rows(1, 0)}, 500); got["new"] != 0 {
		t.Fatalf("weight 0 got %d requests", got["new"])
	}
}

func TestLeavingStaysUntilReturned(t *testing.T) {
	r, now := routes(), time.Unix(1, 0)
	req := route.Request{Target: "m", Rows: rows(1, 0)}
	r.SetLeaving("old1")
	if got := count(r, now, req, 300); got["old1"] != 0 {
		t.Fatalf("a leaving server got %d requests", got["old1"])
	}
	r.Returned("old1")
	if got := count(r, now, req, 300); got["old1"] == 0 {
		t.Fatal("a returned server got no requests")
	}
}

func TestFailuresEjectTemporarily(t *testing.T) {
	r, now := routes(), time.Unix(1, 0)
	req := route.Request{Target: "m", Rows: rows(1, 0)}
	for range 3 {
		r.Started("old0")
		r.Finished(now, "old0", true)
	}
	if got := count(r, now, req, 300); got["old0"] != 0 {
		t.Fatalf("an ejected server got %d requests", got["old0"])
	}
	if got := count(r, now.Add(time.Minute), req, 300); got["old0"] == 0 {
		t.Fatal("the server got no requests after its ejection")
	}
}

func TestPrefixStaysOnItsServerUnlessOverloaded(t *testing.T) {
	r, now := routes(), time.Unix(1, 0)
	req := route.Request{Target: "m", Rows: rows(1, 0), Prefix: 77}
	first := count(r, now, req, 100)
	server := ""
	for id, n := range first {
		if n == 100 && id != "old" {
			server = id
		}
	}
	if server == "" {
		t.Fatalf("the requests of a prefix went to several idle servers: %v", first)
	}
	for range 20 {
		r.Started(server)
	}
	if got := count(r, now, req, 100); got[server] > 50 {
		t.Fatalf("the overloaded server of the prefix got %d of 100 requests", got[server])
	}
}

// TestServerIsNotPickedDuringItsBackoff guards against requests to a server that has refused one
// and asked for none for a while.
func TestServerIsNotPickedDuringItsBackoff(t *testing.T) {
	r := routes()
	now := time.Unix(100, 0)
	r.BackOff("old0", now.Add(3*time.Second))
	r.BackOff("old0", now.Add(time.Second)) // an overlapping one that ends sooner
	r.SetPools(map[string]table.Pool{"old": {Name: "old", Kind: table.Model, Target: "m", Site: "old", Servers: []table.Server{{ID: "old0", Addr: "old0"}, {ID: "old1", Addr: "old1"}}}})
	for _, prefix := range []uint64{0, 1, 2, 3, 4, 5, 6, 7} {
		req := route.Request{Target: "m", Prefix: prefix}
		if n := count(r, now.Add(2900*time.Millisecond), req, 50)["old0"]; n > 0 {
			t.Errorf("prefix %d: picked %d times during its backoff", prefix, n)
		}
	}
	if n := count(r, now.Add(3*time.Second), route.Request{Target: "m"}, 50)["old0"]; n == 0 {
		t.Error("not picked after its backoff")
	}
}
