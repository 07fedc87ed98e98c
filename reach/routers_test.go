package reach_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/gaplink/gaplink/reach"
)

// Guards against a router that is asked again and again although it provides nothing, and one that is
// never asked again.
func TestRouterThatProvidesNothingIsAskedRarely(t *testing.T) {
	r, now := reach.NewRouters(), time.Unix(1000, 0)
	asked := 0
	for end := now.Add(time.Minute); now.Before(end); now = now.Add(10 * time.Millisecond) {
		if r.Usable(now, "r2") {
			asked++
			r.Failed(now, "r2")
		}
	}
	if asked < 15 || asked > 25 {
		t.Errorf("asked %d times in a minute", asked)
	}
	for range 20 {
		now = now.Add(time.Second)
		r.Busy(now, "r2")
	}
	if !r.Usable(now.Add(300*time.Millisecond), "r2") {
		t.Error("a router that was full is not asked soon")
	}
}

// Guards against requests through a router that is stopping, or that does not reach servers.
func TestRoutersAreDropped(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	for name, drop := range map[string]func(*reach.Routers, time.Time){
		"stopping": func(r *reach.Routers, now time.Time) { r.Leaving(now, "r2") },
		"does not reach servers": func(r *reach.Routers, _ time.Time) {
			r.ServerNotReached(group, "r2")
			r.ServerNotReached(group, "r2")
		},
	} {
		t.Run(name, func(t *testing.T) {
			r, now := reach.NewRouters(), time.Unix(1000, 0)
			r.Add(group, "r2")
			if id, ok := r.Pick(now, rng, group, nil); !ok || id != "r2" {
				t.Fatalf("picked %q", id)
			}
			drop(r, now)
			if id, ok := r.Pick(now.Add(5*time.Second), rng, group, nil); ok {
				t.Errorf("picked %q", id)
			}
		})
	}
}

// Guards against a router that is not asked for long after it was restarted as planned, and against requests
// on connections through its process before.
func TestRestartedRouterIsAskedSoon(t *testing.T) {
	r, now := reach.NewRouters(), time.Unix(1000, 0)
	r.Add(group, "r2")
	r.Leaving(now, "r2")
	later := now.Add(1500 * time.Millisecond)
	if r.Usable(now, "r2") || !r.Usable(later, "r2") {
		t.Error("asked at once, or not after 1.5 s")
	}
	if r.KeepsConnection(later, now.Add(-time.Second), "r2") || !r.KeepsConnection(later.Add(time.Second), later, "r2") {
		t.Error("connections of the former and of the next process")
	}
}

// Guards against servers that are slow or end and make the router in between count as broken, and against a router that
// is paused and still used.
func TestRouterIsBlamedOnlyIfNothingArrivesThroughIt(t *testing.T) {
	r, now := reach.NewRouters(), time.Unix(1000, 0)
	for range 20 {
		began := now
		now = now.Add(200 * time.Millisecond)
		r.Heard(now, "r2") // another request is responded to
		r.Unheard(now, began, "r2")
	}
	if !r.Usable(now, "r2") || !r.KeepsConnection(now, now, "r2") {
		t.Error("slow servers count against the router in between")
	}
	for range 6 {
		began := now.Add(time.Millisecond)
		now = now.Add(250 * time.Millisecond)
		r.Unheard(now, began, "r2")
	}
	if r.KeepsConnection(now, now, "r2") {
		t.Error("a router that is silent is still used")
	}
}
