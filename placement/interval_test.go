package placement_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/gaplink/gaplink/placement"
)

// These tests simulate two kinds of streams on servers of which a third are slower
// by a third: many short prompts with long answers, and fewer prompts ten times as
// long, whose processing delays the other streams. The figures are in proportion to
// those of routers on simulated days: 13 ms and 17 ms between two events, one event
// in five late by some hundred milliseconds.
const (
	fastGap, slowGap = 13 * time.Millisecond, 17 * time.Millisecond
	eventDelay       = 200 * time.Millisecond
	shortPrompt      = 800
	longPrompt       = 9000
)

// slowThird reports whether the server with index i is a slow one.
func slowThird(i int) bool { return i%3 == 2 }

// stream records the events of one stream at a server, of which every fifth is delayed.
func stream(f *placement.Servers, id string, gap time.Duration) {
	for event := range 60 {
		if event%5 == 4 {
			f.RecordEventInterval(time.Unix(1000, 0), incarnation(id), gap+eventDelay)
			continue
		}
		f.RecordEventInterval(time.Unix(1000, 0), incarnation(id), gap)
	}
}

// twoSpeeds returns twelve servers of two speeds, each with four recorded streams.
func twoSpeeds() *placement.Servers {
	f := placement.New()
	for i := range 12 {
		id := fmt.Sprintf("s%02d", i)
		f.Put(placement.Server{ID: id, Service: "llm", Slots: 64})
		gap := fastGap
		if slowThird(i) {
			gap = slowGap
		}
		for range 4 {
			stream(f, id, gap)
		}
	}
	return f
}

// picks requests servers for short and long prompts with many prefixes and returns
// how many of the given prompt size went to each server.
func picks(t *testing.T, f *placement.Servers, prompt int64) map[string]int {
	t.Helper()
	rng := seeded()
	chosen := map[string]int{}
	for i := range 300 {
		// The sizes alternate, so that the moving average is between them.
		for _, size := range []int64{shortPrompt, longPrompt} {
			affinity := placement.Affinity([]string{fmt.Sprint(size, "/", i)})
			s, ok := f.Pick(rng, placement.Query{Service: "llm", Affinity: affinity, Tokens: size, Prompt: size})
			if !ok {
				t.Fatal("no server")
			}
			if size == prompt {
				chosen[s.ID]++
			}
		}
	}
	return chosen
}

// TestLongPromptsGoToFastServers checks that long prompts avoid the slow third of the
// servers and that short ones use all.
func TestLongPromptsGoToFastServers(t *testing.T) {
	long := picks(t, twoSpeeds(), longPrompt)
	short := picks(t, twoSpeeds(), shortPrompt)
	slow := twoSpeeds().Slow()
	for i := range 12 {
		id := fmt.Sprintf("s%02d", i)
		if _, reported := slow[id]; reported != slowThird(i) {
			t.Errorf("%s reported as slow: %v", id, reported)
		}
		if slowThird(i) && long[id] > 0 {
			t.Errorf("%d long prompts at the slow server %s", long[id], id)
		}
		if !slowThird(i) && long[id] == 0 {
			t.Errorf("no long prompt at the fast server %s", id)
		}
		if short[id] == 0 {
			t.Errorf("no short prompt at %s", id)
		}
	}
}

// TestServerThatTurnsSlowIsNoticed checks that a server that becomes slow gets no long
// prompts after twenty streams, and gets them again two streams after it recovers.
func TestServerThatTurnsSlowIsNoticed(t *testing.T) {
	f := twoSpeeds()
	for range 20 {
		stream(f, "s00", 2*fastGap)
	}
	if n := picks(t, f, longPrompt)["s00"]; n > 0 {
		t.Errorf("%d long prompts at a server that turned slow", n)
	}
	for range 2 {
		stream(f, "s00", fastGap)
	}
	if n := picks(t, f, longPrompt)["s00"]; n == 0 {
		t.Error("no long prompt at a server that is fast again")
	}
}

// TestUnknownServersTakeLongPrompts checks that servers without a known event interval
// get long prompts, both when no interval is known and as new servers among measured ones.
func TestUnknownServersTakeLongPrompts(t *testing.T) {
	f := placement.New()
	for i := range 6 {
		f.Put(placement.Server{ID: fmt.Sprintf("s%02d", i), Service: "llm", Slots: 64})
	}
	if n := len(picks(t, f, longPrompt)); n != 6 {
		t.Errorf("long prompts at %d of 6 servers", n)
	}
	f = twoSpeeds()
	f.Put(placement.Server{ID: "new", Service: "llm", Slots: 64})
	if n := picks(t, f, longPrompt)["new"]; n == 0 {
		t.Error("no long prompt at a new server")
	}
}
