package placement_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/gaplink/gaplink/placement"
)

func seeded() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) }

// incarnation returns the incarnation of the server that fleet registers under this id.
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

// TestPrefixStaysOnOneServer checks that two routers send a prefix to the same server,
// and that removing a server moves only the prefixes of that server.
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

// TestPrefixMovesAwayFromOverloadedServer checks that a prefix moves to another server while
// its own has many pending prompt tokens, and moves back afterwards.
func TestPrefixMovesAwayFromOverloadedServer(t *testing.T) {
	f := fleet(6)
	q := placement.Query{Affinity: 42, Tokens: 50000}
	home := pick(t, f, q)
	for range 2 {
		f.Sent(incarnation(home), 50000)
	}
	if got := pick(t, f, q); got == home {
		t.Fatal("the busy server was chosen")
	}
	f.RecordPromptRead(incarnation(home), 50000)
	if got := pick(t, f, q); got != home {
		t.Fatalf("got %s after the prompt was read, want %s", got, home)
	}
}

func TestLeavingAndTriedServersAreNotChosen(t *testing.T) {
	f := fleet(2)
	f.Leave(time.Time{}, incarnation("s00"))
	f.Put(placement.Server{ID: "s00", Service: "llm"}) // an older registration
	if got := pick(t, f, placement.Query{}); got != "s01" {
		t.Fatalf("got %s", got)
	}
	if _, ok := f.Pick(seeded(), placement.Query{Service: "llm", Tried: map[placement.Incarnation]bool{incarnation("s01"): true}}); ok {
		t.Fatal("a server was chosen twice")
	}
}

// TestUnreachableServerIsEjectedUntilRestored checks that two consecutive unreachable
// outcomes eject a server until it is restored.
func TestUnreachableServerIsEjectedUntilRestored(t *testing.T) {
	f := fleet(2)
	for i := range 2 {
		f.Sent(incarnation("s00"), 0)
		if down := f.RecordOutcome(incarnation("s00"), placement.Unreachable); down != (i == 1) {
			t.Fatalf("ejected after %d failures: %t", i+1, down)
		}
	}
	for range 20 {
		if got := pick(t, f, placement.Query{Affinity: rand.Uint64() | 1}); got != "s01" {
			t.Fatalf("got %s", got)
		}
	}
	f.Restored(incarnation("s00"))
	if len(f.Ejected()) != 0 {
		t.Fatal("the server is still ejected after Restored")
	}
}

// TestFailingServerIsAvoided checks that a server that fails far more than the others
// gets no requests, and that all stay in use when all fail alike.
func TestFailingServerIsAvoided(t *testing.T) {
	f := fleet(4)
	for range 30 {
		f.Sent(incarnation("s02"), 0)
		f.RecordOutcome(incarnation("s02"), placement.Failed)
	}
	for a := uint64(1); a < 100; a++ {
		if got := pick(t, f, placement.Query{Affinity: a}); got == "s02" {
			t.Fatal("the failing server was chosen")
		}
	}
	for range 30 {
		for _, id := range []string{"s00", "s01", "s03"} {
			f.Sent(incarnation(id), 0)
			f.RecordOutcome(incarnation(id), placement.Failed)
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

// TestLeastLoadedServerIsPickedWithoutPrefix checks that without a prefix the least loaded
// server is picked, and among equally loaded ones one in the router's own failure domain.
func TestLeastLoadedServerIsPickedWithoutPrefix(t *testing.T) {
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

// TestProcessUnderAnOldIDIsANewServer checks that a server that restarts under the same
// id is used whatever the state of its previous process, also if its clock was set back.
func TestProcessUnderAnOldIDIsANewServer(t *testing.T) {
	first := placement.Server{ID: "s", Service: "llm", Started: 1000}
	for name, harm := range map[string]func(*placement.Servers){
		"left": func(f *placement.Servers) { f.Leave(time.Time{}, first.Incarnation()) },
		"said to be leaving": func(f *placement.Servers) {
			f.Put(placement.Server{ID: "s", Service: "llm", Started: 1000, Leaving: true})
		},
		"unreachable": func(f *placement.Servers) {
			for range 2 {
				f.Sent(first.Incarnation(), 0)
				f.RecordOutcome(first.Incarnation(), placement.Unreachable)
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

// TestRequestsOfAnOldProcessSayNothingOfTheNew checks that requests of a previous process
// that end after a restart under the same id do not count against the new process.
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
		f.RecordPromptRead(first.Incarnation(), 70000)
		f.RecordOutcome(first.Incarnation(), placement.Unreachable)
		f.RecordEventInterval(time.Unix(1000, 0), first.Incarnation(), 1)
	}
	f.Leave(time.Time{}, first.Incarnation())
	if f.IsEjected(second.Incarnation()) || len(f.Ejected()) > 0 {
		t.Fatal("the new process is ejected for failures of the previous one")
	}
	// With one request at b, the new process is the less loaded one: its counts start
	// from zero. The second check shows that they did not become negative.
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

// TestCountsOfAServerThatComesBack guards against negative in-flight counts: a registration
// expires and returns while requests run at the server, and then these requests end.
func TestCountsOfAServerThatComesBack(t *testing.T) {
	f := fleet(2)
	for range 3 {
		f.Sent(incarnation("s00"), 9000)
	}
	f.Remove("s00")
	f.Put(placement.Server{ID: "s00", Service: "llm"})
	for range 3 {
		f.RecordPromptRead(incarnation("s00"), 9000)
		f.RecordOutcome(incarnation("s00"), placement.Answered)
	}
	f.Sent(incarnation("s00"), 9000)
	if got := pick(t, f, placement.Query{}); got != "s01" {
		t.Fatal("the busier server was chosen")
	}
}
