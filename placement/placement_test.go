package placement_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/gaplink/gaplink/placement"
)

func seeded() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) }

// life is the process of a server of fleet.
func incarnation(id string) placement.Incarnation { return placement.Incarnation{ID: id} }

func fleet(n int) *placement.Servers {
	f := placement.New()
	for i := range n {
		f.Put(placement.Server{ID: fmt.Sprintf("s%02d", i), Service: "llm", Domain: fmt.Sprint("z", i%3)})
	}
	return f
}

func pick(t *testing.T, f *placement.Servers, q placement.Query) string {
	t.Helper()
	q.Service = "llm"
	s, ok := f.Pick(seeded(), q)
	if !ok {
		t.Fatal("no server")
	}
	return s.ID
}

// TestPrefixStaysOnOneServer: the same prefix goes to the same server, also at
// another router, and a server that goes moves only its own prefixes.
func TestPrefixStaysOnOneServer(t *testing.T) {
	f, other := fleet(18), fleet(18)
	moved := 0
	gone := "s07"
	before := map[uint64]string{}
	for a := uint64(1); a <= 300; a++ {
		before[a] = pick(t, f, placement.Query{Affinity: a})
		if got := pick(t, other, placement.Query{Affinity: a}); got != before[a] {
			t.Fatalf("two routers choose %s and %s", before[a], got)
		}
	}
	f.Remove(gone)
	for a, was := range before {
		if got := pick(t, f, placement.Query{Affinity: a}); got != was {
			moved++
			if was != gone {
				t.Fatalf("prefix %d moved from %s to %s", a, was, got)
			}
		}
	}
	if moved < 5 || moved > 40 {
		t.Fatalf("%d of 300 prefixes moved", moved)
	}
}

// TestBusyServerGivesItsPrefixAway: a prefix leaves a server that has much to
// read, and comes back after that.
func TestBusyServerGivesItsPrefixAway(t *testing.T) {
	f := fleet(6)
	q := placement.Query{Affinity: 42, Tokens: 50000}
	home := pick(t, f, q)
	for range 2 {
		f.Sent(incarnation(home), 50000)
	}
	if got := pick(t, f, q); got == home {
		t.Fatal("the busy server was chosen")
	}
	f.Read(incarnation(home), 50000)
	if got := pick(t, f, q); got != home {
		t.Fatalf("got %s after the prompt was read, want %s", got, home)
	}
}

func TestLeavingAndTriedServersAreNotChosen(t *testing.T) {
	f := fleet(2)
	f.Leave(incarnation("s00"))
	f.Put(placement.Server{ID: "s00", Service: "llm"}) // an older registration
	if got := pick(t, f, placement.Query{}); got != "s01" {
		t.Fatalf("got %s", got)
	}
	if _, ok := f.Pick(seeded(), placement.Query{Service: "llm", Tried: map[placement.Incarnation]bool{incarnation("s01"): true}}); ok {
		t.Fatal("a server was chosen twice")
	}
}

// TestUnreachableServerIsOutOfUseUntilRevived: two requests in a row that reach
// nothing eject a server.
func TestUnreachableServerIsOutOfUseUntilRevived(t *testing.T) {
	f := fleet(2)
	for i := range 2 {
		f.Sent(incarnation("s00"), 0)
		if down := f.Ended(incarnation("s00"), placement.Silent); down != (i == 1) {
			t.Fatalf("down after %d failures: %t", i+1, down)
		}
	}
	for range 20 {
		if got := pick(t, f, placement.Query{Affinity: rand.Uint64() | 1}); got != "s01" {
			t.Fatalf("got %s", got)
		}
	}
	f.Restored(incarnation("s00"))
	if len(f.Ejected()) != 0 {
		t.Fatal("still down")
	}
}

// TestFailingServerIsAvoided: one that fails far more than the others gets no
// requests; where all fail alike, all stay in use.
func TestFailingServerIsAvoided(t *testing.T) {
	f := fleet(4)
	for range 30 {
		f.Sent(incarnation("s02"), 0)
		f.Ended(incarnation("s02"), placement.Failed)
	}
	for a := uint64(1); a < 100; a++ {
		if got := pick(t, f, placement.Query{Affinity: a}); got == "s02" {
			t.Fatal("the failing server was chosen")
		}
	}
	for range 30 {
		for _, id := range []string{"s00", "s01", "s03"} {
			f.Sent(incarnation(id), 0)
			f.Ended(incarnation(id), placement.Failed)
		}
	}
	chosen := map[string]bool{}
	for a := uint64(1); a < 200; a++ {
		chosen[pick(t, f, placement.Query{Affinity: a})] = true
	}
	if len(chosen) != 4 {
		t.Fatalf("only %d servers are used although all fail", len(chosen))
	}
}

// TestPlainServiceSpreads: without a prefix the least busy server is chosen,
// one of the router's own failure domain among equals.
func TestPlainServiceSpreads(t *testing.T) {
	f := fleet(3)
	q := placement.Query{Domain: "z1"}
	if got := pick(t, f, q); got != "s01" {
		t.Fatalf("got %s, want the one in the same failure domain", got)
	}
	f.Sent(incarnation("s01"), 0)
	if got := pick(t, f, q); got == "s01" {
		t.Fatal("the busier server was chosen")
	}
}

// TestProcessUnderAnOldIDIsANewServer: a server that starts again under its id is
// used, whatever was known of the process before, also if its clock was set back.
func TestProcessUnderAnOldIDIsANewServer(t *testing.T) {
	first := placement.Server{ID: "s", Service: "llm", Started: 1000}
	for name, harm := range map[string]func(*placement.Servers){
		"left": func(f *placement.Servers) { f.Leave(first.Incarnation()) },
		"said to be leaving": func(f *placement.Servers) {
			f.Put(placement.Server{ID: "s", Service: "llm", Started: 1000, Leaving: true})
		},
		"unreachable": func(f *placement.Servers) {
			for range 2 {
				f.Sent(first.Incarnation(), 0)
				f.Ended(first.Incarnation(), placement.Silent)
			}
		},
	} {
		f := placement.New()
		f.Put(first)
		harm(f)
		if _, ok := f.Pick(seeded(), placement.Query{Service: "llm"}); ok {
			t.Fatalf("%s: still used", name)
		}
		for _, started := range []int64{2000, 500} {
			f.Put(placement.Server{ID: "s", Service: "llm", Started: started})
			tried := map[placement.Incarnation]bool{first.Incarnation(): true}
			if s, ok := f.Pick(seeded(), placement.Query{Service: "llm", Tried: tried}); !ok || s.Started != started {
				t.Errorf("%s: the process started at %d is not used", name, started)
			}
		}
	}
}

// TestRequestsOfAnOldProcessSayNothingOfTheNew: what ends after a server started
// again under its id is not counted against the new process.
func TestRequestsOfAnOldProcessSayNothingOfTheNew(t *testing.T) {
	f := placement.New()
	first := placement.Server{ID: "a", Service: "llm", Started: 1000}
	second := placement.Server{ID: "a", Service: "llm", Started: 2000}
	f.Put(first)
	f.Put(placement.Server{ID: "b", Service: "llm"})
	for range 3 {
		f.Sent(first.Incarnation(), 70000)
	}
	f.Put(second)
	for range 3 {
		f.Read(first.Incarnation(), 70000)
		f.Ended(first.Incarnation(), placement.Silent)
		f.Paced(first.Incarnation(), 1)
	}
	f.Leave(first.Incarnation())
	if f.IsEjected(second.Incarnation()) || len(f.Ejected()) > 0 {
		t.Fatal("the new process is down for what the old one did")
	}
	// With one request at b, the new process is the less busy one: its counts start
	// anew and did not become negative either.
	f.Sent(placement.Incarnation{ID: "b"}, 0)
	if got := pick(t, f, placement.Query{}); got != "a" {
		t.Fatalf("got %s", got)
	}
	f.Sent(second.Incarnation(), 0)
	f.Sent(second.Incarnation(), 0)
	if got := pick(t, f, placement.Query{}); got != "b" {
		t.Fatalf("got %s", got)
	}
}

// TestCountsOfAServerThatComesBack: a registration lapses and returns while requests
// run at the server. Their ends must not make it look less busy than idle.
func TestCountsOfAServerThatComesBack(t *testing.T) {
	f := fleet(2)
	for range 3 {
		f.Sent(incarnation("s00"), 9000)
	}
	f.Remove("s00")
	f.Put(placement.Server{ID: "s00", Service: "llm"})
	for range 3 {
		f.Read(incarnation("s00"), 9000)
		f.Ended(incarnation("s00"), placement.Answered)
	}
	f.Sent(incarnation("s00"), 9000)
	if got := pick(t, f, placement.Query{}); got != "s01" {
		t.Fatal("the busier server was chosen")
	}
}
