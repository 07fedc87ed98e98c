package updates_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/gaplink/gaplink/placement"
)

// The incident: callers' requests reached a backend server 3.5 s after it had said that it
// leaves, where 3 s are allowed. The router had been added during the day, and was one of
// few that the store answered: nearly all others had just been cut off from it.
//
// How it came about: no router updated that one, and it took seconds to find that
// out. A watch that went silent was trusted for two seconds, those who asked its router went by
// that for 0.8 s more, and so did those who asked them; then each tried the store at a moment
// drawn from a time that grew with the fleet. What it found missing at last it kept for 2.2 s
// as lapsed, and what it had skipped in the list of another router it never received again.
//
// The cause: every part kept to a time of its own, nothing held their sum against the bound, and
// what routers knew carried no age. The proof: with any one of these mended alone the tests
// below stay red, by what their messages say is known and since when.
//
// What these tests play: the store falls silent for nearly all routers of a fleet of sixty, or
// turns a part of them away, while servers leave all the time, half of them without a word
// before their registration goes. Every router that the store answers must know of each
// within the operator's bound. Silence is what a cut is: calls hang until they time out,
// where a refusal would be noticed at once.
const (
	// leaveBound is the operator's bound on a server that leaves.
	leaveBound = 3 * time.Second
	// inTouchAfter is how long a router must have reached the store to be bound by it.
	inTouchAfter = 4 * time.Second
	// leaveEvery is how often a server leaves.
	leaveEvery = 100 * time.Millisecond
	// plays is how often each of these plays is repeated with other draws.
	plays = 5
)

// departure is a server that has left.
type departure struct {
	id string
	at time.Time
}

// promise watches over the bound.
type promise struct {
	*fleet
	servers, next int
	left          []departure
	// reached tells since when the store answers a router, false if it does not.
	reached func(router int) (since time.Time, answered bool)
	// broken are the routers that broke the bound.
	broken map[int]bool
}

// reportedMost is how many routers that break the bound are reported in each play.
const reportedMost = 3

// staff registers servers and waits until all routers know them.
func (f *fleet) staff(t *testing.T, servers int) *promise {
	t.Helper()
	for n := range servers {
		f.register(t, fmt.Sprint("s", n), false)
	}
	time.Sleep(3 * time.Second)
	if late := f.without(1, servers+1); len(late) > 0 {
		t.Fatalf("routers %v do not know all servers", late)
	}
	return &promise{fleet: f, servers: servers, broken: map[int]bool{}}
}

// hold lets servers leave for a time, and checks that every router in touch knows.
func (p *promise) hold(t *testing.T, span time.Duration) {
	t.Helper()
	for begun := time.Now(); time.Since(begun) < span; time.Sleep(leaveEvery) {
		if p.next < p.servers {
			p.leave(t)
		}
		for _, r := range p.all {
			p.check(t, r)
		}
	}
}

// leave lets the next server leave, every second one without a word.
func (p *promise) leave(t *testing.T) {
	id := fmt.Sprint("s", p.next)
	p.next++
	if p.next%2 == 0 {
		p.register(t, id, true)
	} else if err := p.remove(id); err != nil {
		t.Fatal(err)
	}
	p.left = append(p.left, departure{id, time.Now()})
}

func (f *fleet) remove(id string) error {
	o, err := f.objects.Get(f.ctx, "servers/"+id)
	if err != nil {
		return err
	}
	return f.objects.Delete(f.ctx, o.Key, o.Version)
}

// check tells of the first departure that a router in touch should know and does not, with
// the way of a request to its server still to come.
func (p *promise) check(t *testing.T, r *one) {
	since, answered := p.reached(r.number)
	if p.broken[r.number] || !answered || time.Since(since) < inTouchAfter {
		return
	}
	for _, d := range p.left {
		late := time.Since(d.at)
		if late <= leaveBound-p.parts().Delivery || !r.servers.TakesWork(placement.Incarnation{ID: d.id}) {
			continue
		}
		p.broken[r.number] = true
		if len(p.broken) > reportedMost {
			t.Fail()
			return
		}
		t.Errorf("router %d still sends to %s, which left %v ago; it knows all changes up to %v ago", r.number, d.id, late, r.updates.Ages().Servers)
		return
	}
}

// TestRoutersThatKeepTheStoreFollowServersThatLeave: all but one, or all but a few, are cut
// off. They find by themselves, or from each other, that they lack updates.
func TestRoutersThatKeepTheStoreFollowServersThatLeave(t *testing.T) {
	for _, kept := range []int{1, 2, 13} {
		t.Run(fmt.Sprint(kept, " of ", routers), func(t *testing.T) {
			for range plays {
				playBound(t, func(p *promise) {
					begun := time.Now().Add(-inTouchAfter)
					keeps := func(n int) bool { return n >= routers-kept }
					p.reached = func(n int) (time.Time, bool) { return begun, keeps(n) }
					p.hold(t, time.Duration(rand.Float64()*float64(time.Second)))
					p.mute(func(n int) bool { return !keeps(n) })
					p.hold(t, 9*time.Second)
				})
			}
		})
	}
}

// TestRoutersThatGetTheStoreBackFollowServersThatLeave: all are cut off for eight seconds.
func TestRoutersThatGetTheStoreBackFollowServersThatLeave(t *testing.T) {
	for range plays {
		playBound(t, func(p *promise) {
			p.reached = func(int) (time.Time, bool) { return time.Time{}, false }
			p.mute(func(int) bool { return true })
			p.hold(t, 8*time.Second)
			p.mute(nobody)
			healed := time.Now()
			p.reached = func(int) (time.Time, bool) { return healed, true }
			p.hold(t, 8*time.Second)
		})
	}
}

// TestRoutersThatAreTurnedAwayFollowServersThatLeave: the store refuses a third of the
// routers, among them those that watch it, and answers the others, which can update them.
func TestRoutersThatAreTurnedAwayFollowServersThatLeave(t *testing.T) {
	for range plays {
		playBound(t, func(p *promise) {
			begun := time.Now().Add(-inTouchAfter)
			p.reached = func(int) (time.Time, bool) { return begun, true }
			p.hold(t, time.Duration(rand.Float64()*float64(time.Second)))
			p.cut(func(n int) bool { return n%3 == 0 || n < routers/20 })
			p.hold(t, 8*time.Second)
		})
	}
}

// playBound plays a fleet with the bound of the incident.
func playBound(t *testing.T, body func(*promise)) {
	t.Helper()
	playWith(t, &fleet{within: leaveBound}, func(f *fleet) { body(f.staff(t, 120)) })
}
