package placement_test

import (
	"testing"
	"time"

	"github.com/gaplink/gaplink/placement"
)

// pickAt picks a server at a time after noon; empty: there is none.
func pickAt(f *placement.Servers, after time.Duration, q placement.Query) string {
	q.Service, q.Now = "llm", noon.Add(after)
	s, _ := f.Pick(seeded(), q)
	return s.ID
}

// TestServerIsNotPickedDuringItsBackoff guards against requests to a server before the time has
// passed that it asked for, whatever happens to its registration and its requests meanwhile.
func TestServerIsNotPickedDuringItsBackoff(t *testing.T) {
	in := incarnation("s00")
	for name, events := range map[string]func(*placement.Servers){
		"nothing":          func(*placement.Servers) {},
		"a shorter one":    func(f *placement.Servers) { f.BackOff(noon, in, noon.Add(time.Second)) },
		"lapsed and back":  func(f *placement.Servers) { f.Remove("s00"); f.Put(placement.Server{ID: "s00", Service: "llm"}) },
		"registered again": func(f *placement.Servers) { f.Put(placement.Server{ID: "s00", Service: "llm"}) },
		"earlier requests end": func(f *placement.Servers) {
			for _, outcome := range []placement.Outcome{placement.Answered, placement.Neutral, placement.Failed, placement.Refused, placement.Unreachable} {
				f.RecordAccepted(noon, in)
				f.RecordOutcome(in, outcome)
			}
		},
		"reports are checked": func(f *placement.Servers) { f.ExpireReports(noon.Add(time.Second), time.Millisecond) },
	} {
		f := fleet(1)
		if !f.BackOff(noon, in, noon.Add(3*time.Second)) {
			t.Fatal("the first backoff changes something")
		}
		events(f)
		for _, q := range []placement.Query{{}, {Affinity: 7}, {Affinity: 7, Unrestricted: true}} {
			if pickAt(f, 2900*time.Millisecond, q) != "" {
				t.Errorf("%s: picked before the end of the backoff", name)
			}
			if pickAt(f, 3100*time.Millisecond, q) != "s00" {
				t.Errorf("%s: not picked after the end", name)
			}
		}
		if f.MaySend(noon.Add(2900*time.Millisecond), in) || !f.MaySend(noon.Add(3100*time.Millisecond), in) {
			t.Errorf("%s: a request that was picked before may be sent during the backoff, or not after it", name)
		}
	}
}

// TestRequestsResumeWithinAWindow guards against all refused requests arriving in the first moment
// after a backoff, and against a window that never opens.
func TestRequestsResumeWithinAWindow(t *testing.T) {
	f := fleet(1)
	in := incarnation("s00")
	for range 10 {
		f.Sent(in, 0)
	}
	f.BackOff(noon, in, noon.Add(time.Second))
	f.RecordAccepted(noon, in)
	f.BackOff(noon.Add(time.Second/2), in, noon.Add(2*time.Second)) // an overlapping one
	for range 10 {
		f.RecordOutcome(in, placement.Refused)
	}
	sent := func(after time.Duration) (n int) {
		for n < 100 && pickAt(f, after, placement.Query{}) != "" {
			f.Sent(in, 0)
			n++
		}
		return n
	}
	if n := sent(2 * time.Second); n != 5 {
		t.Fatalf("%d requests in the first moment, ten were in flight before", n)
	}
	for range 5 {
		f.RecordAccepted(noon.Add(2*time.Second), in)
	}
	if n := sent(2100 * time.Millisecond); n != 1 {
		t.Fatalf("%d further requests after five were accepted", n)
	}
	f.RecordOutcome(in, placement.Failed)
	f.RecordOutcome(in, placement.Answered)
	if n := sent(2200 * time.Millisecond); n != 2 {
		t.Fatalf("%d further requests after two ended", n)
	}
	if n := sent(5 * time.Second); n != 100 {
		t.Errorf("%d further requests when the window has ended", n)
	}
}

// TestRefusalsDoNotOutlastTheBackoff guards against a server whose share stays low after the time
// that it asked for: its refusals counted as failures, and it got no requests to disprove that.
func TestRefusalsDoNotOutlastTheBackoff(t *testing.T) {
	const servers, refusing = 6, 2
	f := fleet(servers)
	for n := range refusing {
		in := incarnation([]string{"s00", "s01"}[n])
		for range 40 {
			f.Sent(in, 0)
			f.BackOff(noon, in, noon.Add(time.Second))
			f.RecordOutcome(in, placement.Refused)
		}
	}
	picked := 0
	for affinity := range uint64(600) {
		if id := pickAt(f, 5*time.Second, placement.Query{Affinity: affinity + 1}); id == "s00" || id == "s01" {
			picked++
		}
	}
	if even := 600 * refusing / servers; picked < even*8/10 {
		t.Errorf("%d of 600 requests, an even share is %d", picked, even)
	}
}

// TestPrefixReturnsToItsServerAfterABackoff guards against prompts that are read again at another
// server for good, and against all prompts of a server moving to the same other one.
func TestPrefixReturnsToItsServerAfterABackoff(t *testing.T) {
	f := fleet(6)
	f.BackOff(noon, incarnation("s00"), noon.Add(time.Second))
	const prefixes = 300
	var during [prefixes]string
	for a := range during {
		during[a] = pickAt(f, 0, placement.Query{Affinity: uint64(a + 1)})
	}
	moved := map[string]int{}
	for a, id := range during {
		after := pickAt(f, 5*time.Second, placement.Query{Affinity: uint64(a + 1)})
		if id != after {
			moved[id]++
		}
		if id != after && after != "s00" {
			t.Fatalf("prefix %d of %s was moved", a, after)
		}
	}
	if len(moved) != 5 {
		t.Errorf("the prefixes moved to %v", moved)
	}
}

// TestBackoffEnd guards against refusals while a server can be used, and against a wrong time to
// come back.
func TestBackoffEnd(t *testing.T) {
	f := fleet(3) // one in each of the domains z0, z1, z2
	q := placement.Query{Service: "llm", Now: noon}
	for n, id := range []string{"s00", "s01", "s02"} {
		if _, backingOff := f.BackoffEnd(q); backingOff {
			t.Fatalf("%d of 3 servers back off", n)
		}
		f.BackOff(noon, incarnation(id), noon.Add(time.Duration(5-n)*time.Second))
	}
	check := func(what string, want time.Duration) {
		t.Helper()
		if at, backingOff := f.BackoffEnd(q); !backingOff || at.Sub(noon) != want {
			t.Errorf("%s: %s, %t; want %s", what, at.Sub(noon), backingOff, want)
		}
	}
	check("all back off", 3*time.Second)
	q.Tried = map[placement.Incarnation]bool{incarnation("s02"): true}
	check("one was tried", 3*time.Second)
	f.Leave(noon, incarnation("s02"))
	check("the first one leaves", 4*time.Second)
	f.SetEvacuated([]string{"z1"})
	check("the second one is evacuated", 5*time.Second)
	q.InDomain = func(domain string) bool { return domain == "z1" }
	if _, backingOff := f.BackoffEnd(q); backingOff {
		t.Error("no server may run the request, so none backs off")
	}
	if n := f.Counts(noon)["llm"]; n.BackingOff != 1 || n.Leaving != 1 || n.Evacuated != 1 {
		t.Errorf("counts %+v", n)
	}
}

// TestReportsOfEndedBackoffsExpire guards against reports that accumulate for servers that asked
// for a backoff once.
func TestReportsOfEndedBackoffsExpire(t *testing.T) {
	f := fleet(1)
	f.BackOff(noon, incarnation("s00"), noon.Add(time.Second))
	f.ExpireReports(noon.Add(10*time.Second), time.Minute)
	if !f.BackOff(noon.Add(10*time.Second), incarnation("s00"), noon.Add(11*time.Second)) || pickAt(f, 10*time.Second, placement.Query{}) != "" {
		t.Error("a backoff after the report of the previous one expired has no effect")
	}
}
