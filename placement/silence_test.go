package placement_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/gaplink/gaplink/placement"
)

// TestSilentServerGetsOneRequestAtATime guards against requests and retries that pile up at a server that is frozen, and
// against a server that is starved though it only is slow.
func TestSilentServerGetsOneRequestAtATime(t *testing.T) {
	now := time.Unix(1e9, 0)
	rng := rand.New(rand.NewPCG(1, 2))
	f := placement.New()
	frozen, sound := placement.Server{ID: "frozen", Service: "s"}, placement.Server{ID: "sound", Service: "s"}
	f.Put(frozen)
	pick := func(q placement.Query) (id string) {
		q.Service, q.Now = "s", now
		s, ok := f.Pick(rng, q)
		if !ok {
			return "none"
		}
		f.Sent(s.Incarnation(), 0)
		f.Sending(now, s.Incarnation())
		return s.ID
	}
	expect := func(what, got, want string) {
		t.Helper()
		if got != want {
			t.Errorf("%s: %s, want %s", what, got, want)
		}
	}
	expect("the first request", pick(placement.Query{}), "frozen")
	began := now
	now = now.Add(time.Second)
	expect("a retry while the server does not respond", pick(placement.Query{Retry: true}), "none")
	expect("a request before a check", pick(placement.Query{}), "frozen")
	if f.Silent(frozen.Incarnation(), began.Add(-time.Second)) {
		t.Error("silent by a check that began before anything was sent")
	}
	if list := f.Unheard(now); len(list) != 1 || !f.Silent(frozen.Incarnation(), now) {
		t.Fatalf("not silent after a check; unheard: %v", list)
	}
	expect("a request while others are there", pick(placement.Query{}), "none")
	for range 2 {
		f.RecordOutcome(frozen.Incarnation(), placement.Neutral)
	}
	expect("a request while none is there", pick(placement.Query{}), "frozen")
	f.Put(sound)
	f.RecordOutcome(frozen.Incarnation(), placement.Neutral)
	for range 20 {
		expect("a request with another server", pick(placement.Query{}), "sound")
	}
	expect("a retry at a server that was not heard", pick(placement.Query{Retry: true, OnlyHeard: true}), "none")
	f.Heard(sound.Incarnation())
	expect("a retry at a server that was heard", pick(placement.Query{Retry: true, OnlyHeard: true}), "sound")
	if since := f.Heard(frozen.Incarnation()); !since.Equal(began) {
		t.Errorf("silent since %s, want %s", since, began)
	}
	expect("a request after the server was heard", pick(placement.Query{}), "frozen")
}
