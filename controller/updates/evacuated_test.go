package updates_test

import (
	"testing"
	"time"

	"github.com/gaplink/gaplink/bound"
)

// evacuationBound is the bound on propagating the evacuation of a failure domain, as configured by
// the deployment that uses it: 5 s.
const evacuationBound = 5 * time.Second

func evacuationParts() bound.Parts { return bound.Divide(evacuationBound, true) }

func simulateEvacuations(t *testing.T, body func(*fleet)) {
	simulateFleet(t, &fleet{evacuates: true}, body)
}

// setEvacuated evacuates or restores a failure domain and checks that all routers learn of it
// within the bound.
func (f *fleet) setEvacuated(t *testing.T, domain string, evacuated bool) {
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
		late := f.outdated(domain, evacuated)
		if len(late) == 0 {
			t.Logf("at all routers after %v", time.Since(begun))
			return
		}
		if time.Since(begun) > evacuationBound {
			t.Fatalf("routers %v have not received the change within %v", late, evacuationBound)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// outdated returns the running routers that do not know the current state of a failure domain.
func (f *fleet) outdated(domain string, evacuated bool) (late []int) {
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

// TestEvacuationReachesAllRouters evacuates and restores domains, of which several are evacuated at
// the same time, first without faults and then with the watch of each watcher stalled in turn.
func TestEvacuationReachesAllRouters(t *testing.T) {
	simulateEvacuations(t, func(f *fleet) {
		f.setEvacuated(t, "z0", true)
		f.setEvacuated(t, "z1", true)
		f.setEvacuated(t, "z0", false)
		for n := range routers / 20 {
			f.mu.Lock()
			f.stalled = func(router int) bool { return router == n }
			f.mu.Unlock()
			time.Sleep(evacuationParts().Watch)
			f.setEvacuated(t, "z2", n%2 == 0)
		}
		f.setEvacuated(t, "nowhere", true)
	})
}

// TestEvacuationReachesAllRoutersThroughFaults evacuates and restores a domain after watchers and
// relays have failed or the store refuses their calls.
func TestEvacuationReachesAllRoutersThroughFaults(t *testing.T) {
	faults := map[string]func(*fleet){
		"watchers die":                 func(f *fleet) { f.stopRouters(func(n int) bool { return n < routers/20 }) },
		"watchers and some relays die": func(f *fleet) { f.stopRouters(func(n int) bool { return n < routers/20 || n%7 == 0 }) },
		"watchers turned away":         func(f *fleet) { f.refuse(func(n int) bool { return n < routers/20 }) },
		"most turned away":             func(f *fleet) { f.refuse(func(n int) bool { return n < routers*4/5 }) },
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			simulateEvacuations(t, func(f *fleet) {
				fault(f)
				f.setEvacuated(t, "z3", true)
				f.setEvacuated(t, "z3", false)
			})
		})
	}
}

// TestEvacuationDuringAnOutagePropagatesAfterIt checks that every router learns of an evacuation,
// and later of its end, within the bound after an outage during which no router reached the store.
func TestEvacuationDuringAnOutagePropagatesAfterIt(t *testing.T) {
	simulateEvacuations(t, func(f *fleet) {
		for _, evacuated := range []bool{true, false} {
			f.refuse(func(int) bool { return true })
			time.Sleep(6 * time.Second)
			f.refuse(nobody)
			f.setEvacuated(t, "z1", evacuated)
		}
	})
}

// stopRouters stops routers without notice.
func (f *fleet) stopRouters(dies func(int) bool) {
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
