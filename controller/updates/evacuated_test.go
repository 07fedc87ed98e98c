package updates_test

import (
	"testing"
	"time"

	"github.com/gaplink/gaplink/bound"
)

// The bound on the evacuation of a failure domain is that of the deployment that asks for
// it, 5 s.
const evacuationBound = 5 * time.Second

func evacuationParts() bound.Parts { return bound.Divide(evacuationBound, true) }

func playEmptying(t *testing.T, body func(*fleet)) {
	playWith(t, &fleet{evacuates: true}, body)
}

// empty empties a failure domain, or takes that back, and checks that all routers follow
// in time.
func (f *fleet) empty(t *testing.T, domain string, evacuated bool) {
	t.Helper()
	key := "evacuated/" + domain
	if evacuated {
		f.put(t, key, struct{}{})
	} else {
		old, err := f.objects.Get(t.Context(), key)
		if err != nil {
			t.Fatal(err)
		}
		if err := f.objects.Delete(t.Context(), key, old.Version); err != nil {
			t.Fatal(err)
		}
	}
	begun := time.Now()
	for {
		late := f.withoutWord(domain, evacuated)
		if len(late) == 0 {
			t.Logf("at all routers after %v", time.Since(begun))
			return
		}
		if time.Since(begun) > evacuationBound {
			t.Fatalf("routers %v have not followed within %v", late, evacuationBound)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// withoutWord returns the routers that do not know whether a failure domain is evacuated.
func (f *fleet) withoutWord(domain string, evacuated bool) (late []int) {
	for _, r := range f.all {
		f.mu.Lock()
		gone := f.stopped[r.addr]
		f.mu.Unlock()
		_, known := r.evacuations.Since()[domain]
		if !gone && known != evacuated {
			late = append(late, r.number)
		}
	}
	return late
}

// TestEvacuationReachesAllRouters: domains are evacuated and taken back in turn, together
// and all of them, while the watch of any of the watchers may be stalled.
func TestEvacuationReachesAllRouters(t *testing.T) {
	playEmptying(t, func(f *fleet) {
		f.empty(t, "z0", true)
		f.empty(t, "z1", true)
		f.empty(t, "z0", false)
		for n := range routers / 20 {
			f.mu.Lock()
			f.stalled = func(router int) bool { return router == n }
			f.mu.Unlock()
			time.Sleep(evacuationParts().Watch)
			f.empty(t, "z2", n%2 == 0)
		}
		f.empty(t, "nowhere", true)
	})
}

// TestEvacuationReachesAllRoutersThroughFaults: watchers and relays die, or the store
// turns them away, while a domain is evacuated and while that is taken back.
func TestEvacuationReachesAllRoutersThroughFaults(t *testing.T) {
	faults := map[string]func(*fleet){
		"watchers die":                 func(f *fleet) { f.end(func(n int) bool { return n < routers/20 }) },
		"watchers and some relays die": func(f *fleet) { f.end(func(n int) bool { return n < routers/20 || n%7 == 0 }) },
		"watchers turned away":         func(f *fleet) { f.cut(func(n int) bool { return n < routers/20 }) },
		"most turned away":             func(f *fleet) { f.cut(func(n int) bool { return n < routers*4/5 }) },
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			playEmptying(t, func(f *fleet) {
				fault(f)
				f.empty(t, "z3", true)
				f.empty(t, "z3", false)
			})
		})
	}
}

// TestEvacuationOfAnOutageIsFollowedAfterIt: it is made, and later taken back, while no
// router reaches the store, and every router follows soon after the outage.
func TestEvacuationOfAnOutageIsFollowedAfterIt(t *testing.T) {
	playEmptying(t, func(f *fleet) {
		for _, evacuated := range []bool{true, false} {
			f.cut(func(int) bool { return true })
			time.Sleep(6 * time.Second)
			f.cut(nobody)
			f.empty(t, "z1", evacuated)
		}
	})
}

// end stops routers without a word.
func (f *fleet) end(dies func(int) bool) {
	for _, r := range f.all {
		if !dies(r.number) {
			continue
		}
		r.stop()
		f.mu.Lock()
		f.stopped[r.addr] = true
		f.mu.Unlock()
	}
}
