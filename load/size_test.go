package load_test

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"

	"github.com/gaplink/gaplink/link"
	"github.com/gaplink/gaplink/load"
)

// Guards against a relay whose state does not fit beside its requests: at 984 routers and 10,000 servers
// it serves a hundred routers and hears of eleven other relays and watchers.
func TestStateOfARelay(t *testing.T) {
	for _, c := range []struct{ routers, servers, served, relays, most int }{
		{61, 90, 10, 6, 1 << 20},
		{300, 90, 30, 11, 1 << 20},
		{984, 10_000, 99, 11, 4 << 20},
	} {
		rng := rand.New(rand.NewPCG(1, 2))
		random := func(from string, servers int) load.Report {
			r := report(from, 1)
			for _, server := range rng.Perm(c.servers)[:min(servers, c.servers)] {
				r.Servers = append(r.Servers, entry(server, 1, epoch))
			}
			r.Links = []load.Link{{Router: load.RouterKey(from), Domain: "d", Load: link.Load{In: 0.5}, At: epoch}}
			return r
		}
		var before, after runtime.MemStats
		runtime.GC()
		runtime.GC() // also frees what the first one swept
		runtime.ReadMemStats(&before)
		table := load.NewTable(epoch)
		for n := range c.served {
			table.SetRouter(epoch, random(fmt.Sprint("router", n), 64))
		}
		for n := range c.relays {
			table.SetRelay(epoch, random(fmt.Sprint("relay", n), load.MaxServers))
		}
		table.AnswerFor(epoch, "x", "d", load.MaxServers)
		runtime.GC()
		runtime.ReadMemStats(&after)
		bytes := int64(after.HeapAlloc) - int64(before.HeapAlloc)
		t.Logf("%d routers, %d servers: %d KB at a relay", c.routers, c.servers, bytes>>10)
		if bytes > int64(c.most) {
			t.Errorf("%d routers, %d servers: %d bytes", c.routers, c.servers, bytes)
		}
		runtime.KeepAlive(table)
	}
}
