package verdicts_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/gaplink/gaplink/placement"
	"github.com/gaplink/gaplink/store"
	"github.com/gaplink/gaplink/store/memory"
)

// slowStore answers lists late.
type slowStore struct{ *memory.Store }

func (s slowStore) List(ctx context.Context, prefix string) ([]store.Object, int64, error) {
	time.Sleep(200 * time.Millisecond)
	return s.Store.List(ctx, prefix)
}

// Guards against requests that a fleet admits after the death of all routers, before it has read the verdicts of the one
// before.
func TestRequestsWaitForTheVerdictsInTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kept := memory.New()
		crashUnderPart(3, newNetwork().join(t.Context(), "r0", kept))
		next := newNetwork().join(t.Context(), "r1", slowStore{kept})
		if !holds(next, "x", "bad") {
			t.Error("a request is admitted before the verdicts have been read")
		}
	})
}

// Guards against requests that wait for a store that does not answer.
func TestRequestsDoNotWaitForAStoreThatFails(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kept := &unreliableStore{Store: memory.New()}
		kept.unavailable.Store(true)
		c := newNetwork().join(t.Context(), "r0", kept)
		begun := time.Now()
		if holds(c, "x", "bad") || time.Since(begun) > time.Second {
			t.Errorf("refused, or admitted after %s", time.Since(begun))
		}
	})
}

// Guards against an operator's lift that is undone by crashes in the store: after a restart of all one further crash would be enough for
// the next verdict.
func TestLiftVoidsTheCrashesInTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kept := memory.New()
		c := newNetwork().join(t.Context(), "r0", kept)
		crashWhileRunning("k", 0, 3, c)
		if err := c.Lift(request("k"), "ann"); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Second)
		next := newNetwork().join(t.Context(), "r1", kept)
		crashWhileRunning("k", 10, 1, next)
		if quarantined(next) != 0 {
			t.Error("the verdict is back")
		}
	})
}

// Guards against crashes before a verdict that are lost with all routers, and against store calls that grow with the crashes.
func TestCrashesBeforeAVerdictSurviveAllRouters(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kept := &unreliableStore{Store: memory.New()}
		crashWhileRunning("k", 0, 2, newNetwork().join(t.Context(), "r0", kept))
		next := newNetwork().join(t.Context(), "r1", kept)
		crashWhileRunning("k", 2, 1, next)
		if quarantined(next) != 1 {
			t.Error("no verdict after three crashes in two lives")
		}
		for i := range 300 { // 30 a second
			next.RecordBroken(placement.Server{ID: fmt.Sprint("o", i), Started: 1, Service: "llm"}, request(fmt.Sprint("other ", i)))
			time.Sleep(time.Second / 30)
		}
		time.Sleep(time.Second)
		counts, _, _ := next.Stats()
		if counts.EvidenceWrites > 20 {
			t.Errorf("%d writes in ten seconds", counts.EvidenceWrites)
		}
	})
}

// slowWriter is a store that writes late.
type slowWriter struct{ *memory.Store }

func (s slowWriter) Create(ctx context.Context, key string, value []byte) (store.Object, error) {
	time.Sleep(300 * time.Millisecond)
	return s.Store.Create(ctx, key, value)
}

// Guards against a crash that is never written to the store because it came during the write of another one.
func TestCrashDuringAWriteIsWritten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kept := memory.New()
		c := newNetwork().join(t.Context(), "r0", slowWriter{kept})
		for i, after := range []time.Duration{300 * time.Millisecond, 5 * time.Second} {
			c.RecordBroken(placement.Server{ID: fmt.Sprint("s", i), Started: 1, Service: "llm"}, request("k"))
			time.Sleep(after)
		}
		next := newNetwork().join(t.Context(), "r1", kept)
		if n := next.Crashes(request("k")); n != 2 {
			t.Errorf("%d crashes in the store", n)
		}
	})
}
