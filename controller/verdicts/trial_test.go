package verdicts_test

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/gaplink/gaplink/controller/verdicts"
	"github.com/gaplink/gaplink/placement"
	"github.com/gaplink/gaplink/poison"
	"github.com/gaplink/gaplink/store"
	"github.com/gaplink/gaplink/store/memory"
)

// admitted has each router receive a request with a fatal part at the same moment, and returns how many admit it.
func admitted(routers []*verdicts.Controller) (n int) {
	results := make(chan bool, len(routers))
	for i, r := range routers {
		go func() {
			_, refused := r.Admit(request(fmt.Sprint("trial ", i)), poison.PartsOf("acme", []string{"x", "bad"})...)
			results <- refused
		}()
	}
	for range routers {
		if refused := <-results; !refused {
			n++
		}
	}
	return n
}

// Guards against a trial run at each router when a quarantine expires, since none has heard of another's yet; and against a
// further one by a fleet that has restarted, or by a router that hears nothing of the others.
func TestOneTrialRunInTheFleet(t *testing.T) {
	for _, n := range []int{4, 87, 300} {
		t.Run(fmt.Sprint(n, " routers"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				kept := memory.New()
				start := func() (routers []*verdicts.Controller, b *network, kill context.CancelFunc) {
					ctx, kill := context.WithCancel(t.Context())
					b = newNetwork()
					for i := range n {
						routers = append(routers, b.join(ctx, fmt.Sprint("r", i), kept))
					}
					return routers, b, kill
				}
				routers, b, kill := start()
				crashUnderPart(3, routers...)
				b.delay = 200 * time.Millisecond
				for _, after := range []time.Duration{15 * time.Second, time.Minute, time.Hour} {
					b.setUnreachable("r1", true)
					time.Sleep(after)
					if got := admitted(routers); got != 1 {
						t.Errorf("%d trial runs after a quarantine of %s", got, after)
					}
					kill()
					time.Sleep(time.Second)
					routers, b, kill = start()
					if got := admitted(routers); got != 0 {
						t.Errorf("%d further trial runs after a restart of all", got)
					}
					b.delay = 200 * time.Millisecond
				}
				kill()
				time.Sleep(time.Second)
			})
		})
	}
}

// unavailable is a store that refuses all calls while down is set.
type unavailable struct {
	*memory.Store
	down bool
}

func (s *unavailable) Get(ctx context.Context, key string) (store.Object, error) {
	if s.down {
		return store.Object{}, store.ErrUnavailable
	}
	return s.Store.Get(ctx, key)
}

// Guards against trial runs that no other router knows of, while the store does not answer.
func TestNoTrialRunWithoutTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kept := &unavailable{Store: memory.New()}
		b := newNetwork()
		routers := []*verdicts.Controller{b.join(t.Context(), "r0", kept), b.join(t.Context(), "r1", kept)}
		crashUnderPart(3, routers...)
		time.Sleep(20 * time.Second)
		kept.down = true
		if got := admitted(routers); got != 0 {
			t.Errorf("%d trial runs", got)
		}
		kept.down = false
		time.Sleep(3 * time.Second)
		if got := admitted(routers); got != 1 {
			t.Errorf("%d trial runs when the store answers again", got)
		}
	})
}

// Guards against a sound part that stays quarantined although its trial run has succeeded.
func TestSuccessfulTrialRunLiftsTheQuarantine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b, kept := newNetwork(), memory.New()
		routers := []*verdicts.Controller{b.join(t.Context(), "r0", kept), b.join(t.Context(), "r1", kept)}
		crashUnderPart(3, routers...)
		time.Sleep(20 * time.Second)
		if got := admitted(routers[:1]); got != 1 {
			t.Fatalf("%d trial runs", got)
		}
		if !holds(routers[1], "x", "bad") {
			t.Error("another router admits a further run during the trial")
		}
		routers[0].RecordSuccess("llm", request("trial 0"), poison.PartsOf("acme", []string{"x", "bad"})...)
		time.Sleep(time.Second)
		for i, r := range routers {
			if holds(r, "x", "bad") {
				t.Errorf("router %d still holds the part back", i)
			}
		}
		list, _, err := kept.List(t.Context(), verdicts.Kind)
		left := slices.DeleteFunc(list, func(o store.Object) bool { return o.Key == verdicts.Kind+"/evidence" })
		if err != nil || len(left) != 0 {
			t.Errorf("%d verdicts in the store, %v", len(left), err)
		}
	})
}

// Guards against a trial run that its router sends to a second server when the first has crashed, and so spends two of the arrivals
// that there are for good: that of a part, and that of a request after a restart of all, which knows the verdict alone.
func TestTrialRunIsNotRetried(t *testing.T) {
	for name, id := range map[string]poison.Identity{
		"part":    {Account: "acme", Body: []byte("trial"), Parts: []string{"x", "bad"}},
		"request": {Account: "acme", Body: []byte("k")},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				kept := memory.New()
				before := newNetwork().join(t.Context(), "r0", kept)
				crashUnderPart(3, before)
				crashWhileRunning("k", 10, 3, before)
				time.Sleep(2 * time.Minute)
				crashes, err := kept.Get(t.Context(), verdicts.Kind+"/evidence")
				if err == nil {
					err = kept.Delete(t.Context(), crashes.Key, crashes.Version)
				}
				if err != nil {
					t.Fatal(err)
				}
				r := newNetwork().join(t.Context(), "r1", kept).Request(func() poison.Identity { return id })
				if refusal := r.Refusal(); refusal != nil {
					t.Fatal(refusal)
				}
				if refusal := r.Admit(); refusal != nil {
					t.Fatal(refusal)
				}
				if refusal := r.Refusal(); refusal != nil {
					t.Errorf("the trial run is refused before it is sent: %v", refusal)
				}
				r.RecordBroken(placement.Server{ID: "trial", Started: 1, Service: "llm"})
				if !r.MayCrashServers(t.Context()) {
					t.Error("the trial run may be retried")
				}
				time.Sleep(time.Second) // the check of the server
			})
		})
	}
}
