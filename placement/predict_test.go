package placement_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/gaplink/gaplink/placement"
)

// chatQuery and digestQuery are streams with a short and with a long prompt, of a route with objectives.
func chatQuery(now time.Time, prefix uint64) placement.Query {
	return placement.Query{Service: "llm", Affinity: prefix, Tokens: 826, Prompt: 826, Now: now,
		FirstObjective: 400 * time.Millisecond, EventObjective: 400 * time.Millisecond, Slots: 32, EventTokens: 5}
}

func digestQuery(now time.Time, prefix uint64) placement.Query {
	q := chatQuery(now, prefix)
	q.Tokens, q.Prompt, q.FirstObjective = 2890, 9190, 600*time.Millisecond
	return q
}

// observed returns a fleet of n servers with recent events, of which some are slow.
func observed(now time.Time, n int, isSlow func(i int) bool) *placement.Servers {
	f := fleet(n)
	for i := range n {
		interval := 35 * time.Millisecond
		if isSlow(i) {
			interval *= 4
		}
		for range 9 {
			f.RecordEventInterval(now, incarnation(fmt.Sprintf("s%02d", i)), interval)
		}
	}
	return f
}

// withoutObjectives returns a query that is answered by limits.
func withoutObjectives(q placement.Query) placement.Query {
	q.FirstObjective, q.EventObjective = 0, 0
	return q
}

// Guards against short prompts at slow servers, which long prompts alone avoided.
func TestShortStreamsAvoidSlowServers(t *testing.T) {
	f := observed(noon, 18, slowThird)
	rng := seeded()
	for prefix := range uint64(300) {
		s, ok := f.Pick(rng, chatQuery(noon, 1+prefix))
		var i int
		if _, err := fmt.Sscanf(s.ID, "s%d", &i); !ok || err != nil {
			t.Fatalf("picked %q: %v", s.ID, err)
		}
		if slowThird(i) {
			t.Fatalf("prefix %d at the slow server %s", prefix, s.ID)
		}
	}
}

// Guards against a change of behaviour at a router that knows nothing of its servers: its choice must be
// the one by limits, also when its figures are too old.
func TestWithoutRecentFiguresTheChoiceIsByLimits(t *testing.T) {
	for _, later := range []time.Duration{0, time.Minute} {
		f, other := fleet(18), fleet(18)
		if later > 0 {
			f, other = observed(noon, 18, slowThird), observed(noon, 18, slowThird)
		}
		rng, otherRng := seeded(), seeded()
		for prefix := range uint64(300) {
			q := digestQuery(noon.Add(later), prefix/2) // also without a prefix
			s, _ := f.Pick(rng, q)
			want, _ := other.Pick(otherRng, withoutObjectives(q))
			if s.ID != want.ID {
				t.Fatalf("picked %s, by limits %s", s.ID, want.ID)
			}
			f.Sent(s.Incarnation(), q.Tokens)
			other.Sent(want.Incarnation(), q.Tokens)
		}
		if n := f.Choices()["limits"]; n != 300 {
			t.Errorf("%d of 300 choices counted as by limits", n)
		}
	}
}

// Guards against predictions that change the choice of requests without objectives: what only
// predictions read must not influence it, nor may predicted choices between them.
func TestWithoutObjectivesTheChoiceIsByLimits(t *testing.T) {
	f, other := observed(noon, 18, slowThird), observed(noon, 18, slowThird)
	rng, otherRng := seeded(), seeded()
	for n := range uint64(300) {
		q := withoutObjectives(digestQuery(noon, n))
		q.FirstObjective = time.Second // one of the two is not enough
		f.SetFleetLoad([]placement.ServerLoad{{Server: incarnation(fmt.Sprintf("s%02d", n%18)), InFlight: 40, PendingTokens: 1e5, EventInterval: time.Second, Events: 50, At: noon}})
		f.RecordFirstEvent(noon, incarnation(fmt.Sprintf("s%02d", n%18)), 5000, 3*time.Second)
		s, _ := f.Pick(rng, q)
		want, _ := other.Pick(otherRng, q)
		if s.ID != want.ID {
			t.Fatalf("picked %s, by limits %s", s.ID, want.ID)
		}
	}
}

// Guards against predictions that override a rule on eligibility.
func TestPredictedChoiceIsEligible(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const servers = 8
		f := observed(noon, servers, slowThird)
		q := digestQuery(noon, rapid.Uint64Range(0, 40).Draw(t, "prefix"))
		q.Tried = map[placement.Incarnation]bool{}
		barred, limited := map[string]bool{}, map[string]bool{}
		for range rapid.IntRange(0, servers).Draw(t, "events") {
			in := incarnation(fmt.Sprintf("s%02d", rapid.IntRange(0, servers-1).Draw(t, "server")))
			switch rapid.IntRange(0, 4).Draw(t, "event") {
			case 0:
				f.Leave(noon, in)
			case 1:
				f.RecordOutcome(in, placement.Unreachable)
				f.RecordOutcome(in, placement.Unreachable)
			case 2:
				f.BackOff(noon, in, noon.Add(time.Second))
			case 3:
				q.Tried[in] = true
			case 4:
				limited[in.ID] = true
			}
			barred[in.ID] = true
		}
		evacuated := rapid.SampledFrom([]string{"", "z0", "z1"}).Draw(t, "evacuated")
		f.SetEvacuated([]string{evacuated})
		allowed := rapid.SampledFrom([]string{"", "z2"}).Draw(t, "allowed")
		q.InDomain = func(domain string) bool { return allowed == "" || domain == allowed }
		q.MayAdmit = func(s placement.Server, _ bool) bool { return !limited[s.ID] }
		left := 0
		for _, s := range f.All() {
			if !barred[s.ID] && s.Domain != evacuated && q.InDomain(s.Domain) {
				left++
			}
		}
		s, ok := f.Pick(seeded(), q)
		if ok != (left > 0) {
			t.Fatalf("picked %q (%t) with %d eligible servers", s.ID, ok, left)
		}
		if ok && (barred[s.ID] || s.Domain == evacuated || !q.InDomain(s.Domain)) {
			t.Fatalf("picked %+v, which is not eligible", s)
		}
	})
}

// Guards against failing servers that attract requests because they are idle.
func TestPredictedChoiceAvoidsFailingServers(t *testing.T) {
	f := observed(noon, 18, func(int) bool { return false })
	for range 30 {
		f.RecordOutcome(incarnation("s04"), placement.Failed)
	}
	rng := seeded()
	for prefix := range uint64(300) {
		if s, _ := f.Pick(rng, chatQuery(noon, 1+prefix)); s.ID == "s04" {
			t.Fatal("picked a server all of whose requests fail")
		}
	}
}

// Guards against prompts that are read again for small differences in load or speed: while its first
// server is good enough, a long prompt goes there from all routers.
func TestLongPromptsStayWithTheirPrefix(t *testing.T) {
	f, other := observed(noon, 18, func(int) bool { return false }), fleet(18)
	for i := range 18 {
		in := incarnation(fmt.Sprintf("s%02d", i))
		for range i % 5 {
			f.Sent(in, 800)
		}
	}
	rng := seeded()
	for prefix := uint64(1); prefix < 300; prefix++ {
		s, _ := f.Pick(rng, digestQuery(noon, prefix))
		want, _ := other.Pick(rng, placement.Query{Service: "llm", Affinity: prefix})
		if s.ID != want.ID {
			t.Fatalf("prefix %d went to %s, its first server is %s", prefix, s.ID, want.ID)
		}
	}
}

// Guards against own requests that wait for seconds at a server without any effect on the choice, as
// long as none has had its first event.
func TestWaitingRequestsMoveAPrefix(t *testing.T) {
	f := observed(noon, 18, func(int) bool { return false })
	rng := seeded()
	now := noon
	q := digestQuery(now, 7)
	first, _ := f.Pick(rng, q)
	f.Sent(first.Incarnation(), q.Tokens)
	now = now.Add(1500 * time.Millisecond)
	if s, _ := f.Pick(rng, digestQuery(now, 7)); s.ID == first.ID {
		t.Errorf("%s was picked again while a request has waited there for 1.5 s", s.ID)
	}
}

// Guards against a saturated link of the router that makes all servers look overloaded, so that prompts
// are read again elsewhere for nothing.
func TestSaturatedLinkMovesNoPrefix(t *testing.T) {
	f := observed(noon, 18, func(int) bool { return false })
	rng := seeded()
	q := digestQuery(noon, 7)
	q.LinkSaturated = true
	first, _ := f.Pick(rng, q)
	f.Sent(first.Incarnation(), q.Tokens)
	q.Now = noon.Add(1500 * time.Millisecond)
	if s, _ := f.Pick(rng, q); s.ID != first.ID {
		t.Errorf("%s was picked after %s while the link was saturated", s.ID, first.ID)
	}
	q.LinkSaturated = false
	f.RecordFirstEvent(q.Now, first.Incarnation(), q.Tokens, 0) // the wait is unknown
	if s, _ := f.Pick(rng, q); s.ID != first.ID {
		t.Errorf("%s was picked after %s when the link had recovered", s.ID, first.ID)
	}
}

// Guards against routers that all send to the servers which one old report calls idle. Each request has
// a prefix of its own, since few prefixes load servers unevenly whatever routers know.
func TestRoutersDoNotHerdOnOneOldReport(t *testing.T) {
	const routers, servers, each = 300, 60, 4
	load := make(map[string]int, servers)
	var report []placement.ServerLoad
	for i := range servers {
		l := placement.ServerLoad{Server: incarnation(fmt.Sprintf("s%02d", i)), InFlight: 6 + i%9, EventInterval: 35 * time.Millisecond, Events: 60, At: noon}
		if i%10 == 0 {
			l.InFlight = 0
		}
		load[l.Server.ID] = l.InFlight
		report = append(report, l)
	}
	rng := seeded()
	for range routers {
		f := fleet(servers)
		f.SetFleetLoad(report)
		for n := range each {
			q := chatQuery(noon.Add(500*time.Millisecond), rng.Uint64())
			if n%2 == 0 {
				q = digestQuery(q.Now, rng.Uint64())
			}
			s, _ := f.Pick(rng, q)
			f.Sent(s.Incarnation(), q.Tokens)
			load[s.ID]++
		}
	}
	sum, most := 0, 0
	for _, n := range load {
		sum, most = sum+n, max(most, n)
	}
	ratio := float64(most) * servers / float64(sum)
	t.Logf("busiest server to mean %.2f", ratio)
	if ratio >= 1.5 {
		t.Errorf("the busiest server has %.2f times the mean", ratio)
	}
}

// Guards against a log that names each change of a flapping server, and against changes that are lost
// without being counted.
func TestSpeedChangesAreBounded(t *testing.T) {
	const servers = 100
	f := placement.New()
	now := noon
	turns := func(isSlow bool) {
		for i := range servers {
			interval := 35 * time.Millisecond
			if isSlow && i%5 < 2 {
				interval *= 4
			}
			for range 9 {
				f.RecordEventInterval(now, incarnation(fmt.Sprintf("s%02d", i)), interval)
			}
		}
		f.Pick(seeded(), chatQuery(now, 1))
		now = now.Add(600 * time.Millisecond)
	}
	for i := range servers {
		f.Put(placement.Server{ID: fmt.Sprintf("s%02d", i), Service: "llm"})
	}
	for n := range 4 {
		turns(n%2 == 0)
	}
	changes, dropped := f.SpeedChanges(now)
	if len(changes) != 64 || len(changes)+dropped != 4*servers*2/5 {
		t.Errorf("%d changes and %d dropped, want 160 in all", len(changes), dropped)
	}
	if again, dropped := f.SpeedChanges(now); len(again) != 0 || dropped != 0 {
		t.Errorf("%d changes and %d dropped at the second call", len(again), dropped)
	}
}
