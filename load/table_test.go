package load_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"reflect"
	"testing"
	"time"

	"github.com/gaplink/gaplink/link"
	"github.com/gaplink/gaplink/load"
	"github.com/gaplink/gaplink/placement"
)

func key(server int) load.Key { return load.Key(server) }

func report(from string, seq uint32, entries ...load.Entry) load.Report {
	return load.Report{From: from, Process: 1, Seq: seq, Servers: entries}
}

func entry(server, inFlight int, at time.Time) load.Entry {
	return load.Entry{Server: key(server), InFlight: inFlight, At: at}
}

// answered returns the requests in flight by server in the answer for a router.
func answered(table *load.Table, now time.Time, id string) map[load.Key]int {
	all := map[load.Key]int{}
	for _, e := range table.AnswerFor(now, id, "", load.MaxServers).Servers {
		all[e.Server] = e.InFlight
	}
	return all
}

func expect(t *testing.T, got map[load.Key]int, want map[load.Key]int) {
	t.Helper()
	if !reflect.DeepEqual(got, want) {
		t.Errorf("%v in flight, want %v", got, want)
	}
}

// Guards against a router that counts its own requests twice, and against sums that lack a source.
func TestAnswerLeavesOutOwnReport(t *testing.T) {
	table := load.NewTable(epoch)
	table.SetRouter(epoch, report("a", 1, entry(1, 3, epoch), entry(2, 5, epoch)))
	table.SetRouter(epoch, report("b", 1, entry(1, 4, epoch)))
	table.SetRelay(epoch, report("r", 1, entry(1, 10, epoch), entry(3, 1, epoch)))
	expect(t, answered(table, epoch, "a"), map[load.Key]int{1: 14, 3: 1})
	expect(t, answered(table, epoch, "b"), map[load.Key]int{1: 13, 2: 5, 3: 1})
	expect(t, answered(table, epoch, "c"), map[load.Key]int{1: 17, 2: 5, 3: 1})
	// A newer report of a within the lifetime of the sums does not change what is subtracted.
	table.SetRouter(epoch, report("a", 2, entry(1, 9, epoch)))
	expect(t, answered(table, epoch, "a"), map[load.Key]int{1: 14, 3: 1})
	expect(t, answered(table, epoch.Add(100*time.Millisecond), "a"), map[load.Key]int{1: 14, 3: 1})
	expect(t, answered(table, epoch.Add(100*time.Millisecond), "b"), map[load.Key]int{1: 19, 3: 1})
}

// Guards against relays that send each other's sums back, which would multiply them.
func TestSumsOmitOtherRelays(t *testing.T) {
	table := load.NewTable(epoch)
	table.SetRouter(epoch, report("a", 1, entry(1, 3, epoch)))
	table.SetRelay(epoch, report("r", 1, entry(1, 10, epoch)))
	if sums := table.Sums(epoch); len(sums.Servers) != 1 || sums.Servers[0].InFlight != 3 {
		t.Errorf("%+v", sums)
	}
}

// Guards against a new relay whose load counts twice.
func TestSumsOfARelayReplaceItsReport(t *testing.T) {
	table := load.NewTable(epoch)
	table.SetRouter(epoch, report("a", 1, entry(1, 3, epoch)))
	table.SetRelay(epoch, report("a", 2))
	expect(t, answered(table, epoch, "x"), map[load.Key]int{1: 3})
	table.SetRelay(epoch, report("a", 3, entry(1, 5, epoch)))
	expect(t, answered(table, epoch.Add(100*time.Millisecond), "x"), map[load.Key]int{1: 5})
}

// Guards against an event interval in which a router with one event counts as much as one with many.
func TestEventIntervalsAreWeighted(t *testing.T) {
	table := load.NewTable(epoch)
	set := func(from string, interval time.Duration, events int) {
		table.SetRouter(epoch, report(from, 1, load.Entry{Server: 1, Events: events, EventInterval: interval, At: epoch}))
	}
	set("a", 10*time.Millisecond, 30)
	set("b", 50*time.Millisecond, 10)
	set("c", 100*time.Millisecond, 100)
	e := table.AnswerFor(epoch, "c", "", load.MaxServers).Servers[0]
	if e.EventInterval != 20*time.Millisecond || e.Events != 40 {
		t.Errorf("%+v", e)
	}
}

// Guards against figures that are used after their age limit, or that become newer when relayed.
func TestAgesCountFromTheObservation(t *testing.T) {
	table := load.NewTable(epoch)
	table.SetRouter(epoch, report("a", 1, entry(1, 3, epoch)))
	table.SetRelay(epoch, report("r", 1, entry(1, 10, epoch.Add(-700*time.Millisecond)), entry(2, 1, epoch.Add(-1300*time.Millisecond))))
	a := table.AnswerFor(epoch.Add(100*time.Millisecond), "x", "", load.MaxServers)
	if a.Servers[0].At != epoch.Add(-700*time.Millisecond) || a.Oldest != epoch.Add(-1300*time.Millisecond) {
		t.Errorf("%+v", a)
	}
	expect(t, answered(table, epoch.Add(200*time.Millisecond), "x"), map[load.Key]int{1: 13})
	expect(t, answered(table, epoch.Add(700*time.Millisecond), "x"), map[load.Key]int{1: 13})
	expect(t, answered(table, epoch.Add(800*time.Millisecond), "x"), map[load.Key]int{})
	if routers, relays := table.Sources(); routers != 1 || relays != 1 {
		t.Errorf("%d routers and %d relays", routers, relays)
	}
	if table.AnswerFor(epoch.Add(1500*time.Millisecond), "x", "", 1).Known {
		t.Error("known without a recent report")
	}
	table.Sums(epoch.Add(placement.MaxLoadAge + time.Millisecond))
	if routers, relays := table.Sources(); routers != 0 || relays != 0 {
		t.Errorf("%d routers and %d relays after two seconds", routers, relays)
	}
}

// Guards against a delayed message that replaces a later one, and against a restarted router whose
// reports are taken for delayed ones.
func TestReportsOfAProcessAreOrdered(t *testing.T) {
	table := load.NewTable(epoch)
	table.SetRouter(epoch, report("a", 7, entry(1, 3, epoch)))
	table.SetRouter(epoch, report("a", 6, entry(1, 9, epoch)))
	expect(t, answered(table, epoch, "x"), map[load.Key]int{1: 3})
	restarted := report("a", 1, entry(1, 2, epoch))
	restarted.Process = 2
	table.SetRouter(epoch, restarted)
	expect(t, answered(table, epoch.Add(100*time.Millisecond), "x"), map[load.Key]int{1: 2})
	table.SetRouter(epoch, report("b", math.MaxUint32, entry(2, 1, epoch)))
	table.SetRouter(epoch, report("b", 0, entry(2, 4, epoch)))
	expect(t, answered(table, epoch.Add(200*time.Millisecond), "x"), map[load.Key]int{1: 2, 2: 4})
}

// Guards against a faulty router that makes servers look full or empty to the whole fleet.
func TestNonsenseIsDropped(t *testing.T) {
	table := load.NewTable(epoch)
	bad := []load.Entry{
		entry(1, -1, epoch), entry(2, 10_001, epoch), entry(3, 1, epoch.Add(time.Second)),
		{Server: 4, PendingTokens: -1, At: epoch}, {Server: 5, PendingTokens: 1 << 40, At: epoch},
		{Server: 6, Events: -1, At: epoch}, {Server: 7, Events: 1, EventInterval: time.Hour, At: epoch},
		{Server: 8, EventInterval: -1, At: epoch}, entry(9, 10_000, epoch), entry(9, 1, epoch),
	}
	if n := table.SetRouter(epoch, report("a", 1, bad...)); n != 9 {
		t.Errorf("%d dropped", n)
	}
	expect(t, answered(table, epoch, "x"), map[load.Key]int{9: 10_000})
	r := report("b", 1)
	for _, x := range []float64{-1, math.NaN(), math.Inf(1)} {
		r.Links = append(r.Links, load.Link{Router: 1, Domain: "d", Load: link.Load{In: x}, At: epoch})
	}
	if n := table.SetRouter(epoch, r); n != 3 || table.Dropped() != 12 {
		t.Errorf("%d dropped, %d in all", n, table.Dropped())
	}
}

// Guards against sums that other relays leave out as too old because one of many routers died.
func TestDeadRouterDoesNotAgeTheSums(t *testing.T) {
	table := load.NewTable(epoch)
	table.SetRouter(epoch, report("dead", 1, entry(1, 3, epoch)))
	now := epoch.Add(800 * time.Millisecond)
	table.SetRouter(now, report("b", 1, entry(1, 4, now)))
	if sums := table.Sums(now); sums.Servers[0].InFlight != 4 || sums.Servers[0].At != now {
		t.Errorf("%+v", sums.Servers)
	}
}

// Guards against state that grows with whatever others send.
func TestTableIsBounded(t *testing.T) {
	table := load.NewTable(epoch)
	var entries []load.Entry
	for server := range 5000 {
		entries = append(entries, entry(server, 1+server%7, epoch))
	}
	for n := range 3000 {
		table.SetRouter(epoch, report(fmt.Sprint("r", n), 1, entries[:100]...))
		table.SetRelay(epoch, report(fmt.Sprint("relay", n), 1, entries...))
	}
	if routers, relays := table.Sources(); routers != 2048 || relays != 128 {
		t.Errorf("%d routers and %d relays", routers, relays)
	}
	if n := len(answered(table, epoch, "x")); n != load.MaxServers {
		t.Errorf("%d servers", n)
	}
	if sums := table.Sums(epoch); len(sums.Servers) != load.MaxOwnServers || sums.Truncated {
		t.Errorf("%d servers of routers with 100, truncated %t", len(sums.Servers), sums.Truncated)
	}
}

// Guards against an answer that leaves out the servers that matter most.
func TestMostLoadedServersComeFirst(t *testing.T) {
	table := load.NewTable(epoch)
	table.SetRouter(epoch, report("a", 1, entry(1, 1, epoch), entry(2, 9, epoch), load.Entry{Server: 3, InFlight: 1, PendingTokens: 9000, At: epoch}))
	a := table.AnswerFor(epoch, "x", "", 2)
	if len(a.Servers) != 2 || a.Servers[0].Server != 3 || a.Servers[1].Server != 2 {
		t.Errorf("%+v", a.Servers)
	}
}

// Guards against servers that count as idle though a relay left them out, or has not heard of all
// routers yet.
func TestCompleteOnlyIfAllIsKnown(t *testing.T) {
	now := epoch.Add(time.Minute)
	complete := func(startedAt time.Time, most int, change func(*load.Table)) bool {
		table := load.NewTable(startedAt)
		table.SetRouter(now, report("a", 1, entry(1, 1, now), entry(2, 1, now)))
		change(table)
		return table.AnswerFor(now, "x", "", most).Complete
	}
	nothing := func(*load.Table) {}
	if !complete(epoch, 2, nothing) {
		t.Error("incomplete though all is known")
	}
	if complete(now, 2, nothing) {
		t.Error("complete just after the start")
	}
	if complete(epoch, 1, nothing) {
		t.Error("complete though a server was left out")
	}
	if complete(epoch, 9, func(table *load.Table) { table.SetRelay(now, load.Report{From: "r", Truncated: true}) }) {
		t.Error("complete though a relay left out servers")
	}
	if complete(epoch, 9, func(table *load.Table) { table.ClearRouters() }) {
		t.Error("complete without any report")
	}
}

// Guards against link loads of other domains, of the router itself, or from before it changed relays.
func TestLinksOfADomain(t *testing.T) {
	table := load.NewTable(epoch)
	loaded := func(id, domain string, in float64, at time.Time) load.Link {
		return load.Link{Router: load.RouterKey(id), Domain: domain, Load: link.Load{In: in}, At: at}
	}
	a, b := report("a", 1), report("b", 1)
	a.Links = []load.Link{loaded("a", "d", 0.9, epoch)}
	b.Links = []load.Link{loaded("b", "d", 0.5, epoch)}
	table.SetRouter(epoch, a)
	table.SetRouter(epoch, b)
	earlier := epoch.Add(-time.Second)
	table.SetRelay(epoch, load.Report{From: "r", Links: []load.Link{loaded("b", "d", 0.1, earlier), loaded("c", "d", 0.2, earlier), loaded("e", "other", 1, epoch)}})
	got := table.AnswerFor(epoch, "a", "d", 1).Links
	want := []load.Link{loaded("b", "d", 0.5, epoch), loaded("c", "d", 0.2, earlier)}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("%+v, want %+v", got, want)
	}
	if links := table.Sums(epoch).Links; len(links) != 2 {
		t.Errorf("%+v for other relays", links)
	}
}

// Guards against answers that depend on the order of messages or of map iteration.
func TestSameReportsGiveSameAnswer(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	var reports []load.Report
	for n := range 60 {
		r := report(fmt.Sprint("r", n), 1)
		for _, server := range rng.Perm(90)[:20] {
			r.Servers = append(r.Servers, load.Entry{
				Server: key(server), InFlight: rng.IntN(4), PendingTokens: rng.Int64N(3) * 1000,
				Events: rng.IntN(30), EventInterval: time.Duration(rng.IntN(90)) * time.Millisecond, At: epoch.Add(-time.Duration(rng.IntN(900)) * time.Millisecond),
			})
		}
		r.Links = []load.Link{{Router: load.RouterKey(r.From), Domain: "d", Load: link.Load{In: float64(rng.IntN(3)) / 4}, At: epoch}}
		reports = append(reports, r)
	}
	var first load.Answer
	for try := range 5 {
		table := load.NewTable(epoch.Add(-time.Minute))
		for _, n := range rng.Perm(len(reports)) {
			if n%2 == 0 {
				table.SetRouter(epoch, reports[n])
			} else {
				table.SetRelay(epoch, reports[n])
			}
		}
		a := table.AnswerFor(epoch, "r4", "d", 50)
		if try == 0 {
			first = a
		} else if !reflect.DeepEqual(a, first) {
			t.Fatalf("%+v, then %+v", first, a)
		}
	}
}

// BenchmarkAnswer measures what an answer costs a relay of a fleet of 984 routers and 10,000 servers in
// five failure domains: half of the 197 routers of its domain report to it, and eleven other relays and
// watchers send their sums.
func BenchmarkAnswer(b *testing.B) {
	rng := rand.New(rand.NewPCG(1, 2))
	random := func(from string, servers int) load.Report {
		r := report(from, 1)
		for _, server := range rng.Perm(10_000)[:servers] {
			r.Servers = append(r.Servers, entry(server, 1+rng.IntN(3), epoch))
		}
		return r
	}
	var routers, relays []load.Report
	for n := range 99 {
		routers = append(routers, random(fmt.Sprint("r", n), 25))
	}
	for n := range 11 {
		relays = append(relays, random(fmt.Sprint("relay", n), load.MaxServers))
	}
	newTable := func() *load.Table {
		table := load.NewTable(epoch)
		for _, r := range routers {
			table.SetRouter(epoch, r)
		}
		for _, r := range relays {
			table.SetRelay(epoch, r)
		}
		return table
	}
	const answered = 200 // servers, as many as controller/loads asks for
	b.Run("new sums", func(b *testing.B) {
		table := newTable()
		for range b.N {
			table.ForgetSums()
			table.AnswerFor(epoch, "r7", "d", answered)
		}
	})
	b.Run("known sums", func(b *testing.B) {
		table := newTable()
		for range b.N {
			table.AnswerFor(epoch, "r7", "d", answered)
		}
	})
}
