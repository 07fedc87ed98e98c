package verdicts_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/gaplink/gaplink/controller/verdicts"
	"github.com/gaplink/gaplink/peer"
	"github.com/gaplink/gaplink/placement"
	"github.com/gaplink/gaplink/poison"
	"github.com/gaplink/gaplink/store/memory"
)

// crashUnderPart has n servers crash under requests with the part "bad", no two alike, each observed by the next
// router, while a request with the other part runs well.
func crashUnderPart(n int, routers ...*verdicts.Controller) {
	for i := range n {
		r := routers[i%len(routers)]
		r.RecordBroken(placement.Server{ID: fmt.Sprint("p", i), Service: "llm"}, request(fmt.Sprint("bad ", i)), poison.PartsOf("acme", []string{"x", "bad"})...)
		time.Sleep(time.Second)
		r.RecordSuccess("llm", request(fmt.Sprint("good ", i)), poison.PartsOf("acme", []string{"x", "good"})...)
	}
}

func holds(c *verdicts.Controller, parts ...string) bool {
	_, refused := c.Admit(request("another"), poison.PartsOf("acme", parts)...)
	return refused
}

// Guards against a verdict on a part of prompts that stays with the routers that observed the crashes, or is
// lost when all of them restart, and against one that refuses other requests.
func TestPartVerdictReachesAllRoutersAndTheStore(t *testing.T) {
	for _, n := range []int{6, 87, 300, 984} {
		t.Run(fmt.Sprint(n, " routers"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b, kept := newNetwork(), memory.New()
				var routers []*verdicts.Controller
				for i := range n {
					routers = append(routers, b.join(t.Context(), fmt.Sprint("r", i), kept))
				}
				crashUnderPart(3, routers...)
				for i, r := range routers {
					if !holds(r, "x", "bad") || holds(r, "x", "good") || holds(r, "x") {
						t.Errorf("router %d: wrong verdict", i)
					}
				}
				next := newNetwork().join(t.Context(), "new", kept)
				if !holds(next, "y", "bad") || holds(next, "x", "good") {
					t.Error("a fleet that has restarted has a wrong verdict")
				}
			})
		})
	}
}

// Guards against large reports: 64 requests with two shared parts each broke off at a crash.
func TestCrashReportsAreSmall(t *testing.T) {
	var e poison.Crash
	for i := range 64 {
		e.AddRequest(request(fmt.Sprint(i)), poison.PartsOf("acme", []string{"5c1e07a2", fmt.Sprintf("91bd3f%02x", i%8)}))
	}
	text, err := peer.Marshal(&peer.VerdictsRequest{Report: poison.Report{Crashes: []poison.Crash{e}}})
	if err != nil || len(text) > 2560 {
		t.Errorf("%d bytes, %v", len(text), err)
	}
	t.Logf("%d bytes", len(text))
}

// Guards against a verdict on what all requests share when servers crash one after the other for another reason, so
// that no request succeeds for seconds; and against one that then never comes for a part that has become fatal.
func TestPartThatSucceededUntilACrashWave(t *testing.T) {
	for _, n := range []int{6, 87, 300, 984} {
		t.Run(fmt.Sprint(n, " routers"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newNetwork()
				var routers []*verdicts.Controller
				for i := range n {
					routers = append(routers, b.join(t.Context(), fmt.Sprint("r", i), nil))
				}
				succeed := func(parts ...string) {
					for i, r := range routers[:3] {
						r.RecordSuccess("llm", request(fmt.Sprint(t.Name(), time.Now(), i)), poison.PartsOf("acme", parts)...)
					}
				}
				crash := func(parts ...string) {
					for i, r := range routers[2:5] {
						r.RecordBroken(placement.Server{ID: fmt.Sprint("s", time.Now()), Service: "llm"}, request(fmt.Sprint(time.Now(), i)), poison.PartsOf("acme", parts)...)
					}
					time.Sleep(700 * time.Millisecond)
				}
				for range 20 {
					succeed("system", "task")
					time.Sleep(200 * time.Millisecond)
				}
				for range 12 {
					crash("system", "task")
				}
				if holds(routers[0], "system", "task") {
					t.Error("the requests that all share a part are refused after a crash wave")
				}
				for range 30 {
					succeed("system", "other")
					time.Sleep(200 * time.Millisecond)
				}
				for range 4 {
					crash("system", "task")
					succeed("system", "other")
				}
				if !holds(routers[0], "system", "task") || holds(routers[0], "system", "other") {
					t.Error("a part that has become fatal is not refused, or another one is")
				}
			})
		})
	}
}

// Guards against a router that knows nothing of a fatal part when it is back from a cut, because the crashes of other causes that came
// later have displaced those under the part.
func TestRouterThatWasCutOffLearnsOfEarlierCrashes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newNetwork()
		routers := []*verdicts.Controller{b.join(t.Context(), "r0", nil), b.join(t.Context(), "r1", nil)}
		b.setUnreachable("r1", true)
		crashUnderPart(2, routers[0])
		for i := range 150 {
			parts := poison.PartsOf("acme", []string{"x", "good"})
			routers[0].RecordBroken(placement.Server{ID: fmt.Sprint("o", i), Started: 1, Service: "llm"}, request(fmt.Sprint("sound ", i)), parts...)
			time.Sleep(50 * time.Millisecond)
			routers[0].RecordSuccess("llm", request(fmt.Sprint("other ", i)), parts...)
		}
		b.setUnreachable("r1", false)
		time.Sleep(2 * time.Second)
		for i := range 30 {
			routers[1].RecordSuccess("llm", request(fmt.Sprint("own ", i)), poison.PartsOf("acme", []string{"x", "good"})...)
		}
		routers[1].RecordBroken(placement.Server{ID: "last", Started: 1, Service: "llm"}, request("last"), poison.PartsOf("acme", []string{"x", "bad"})...)
		time.Sleep(time.Second)
		if !holds(routers[1], "x", "bad") || holds(routers[1], "x", "good") {
			t.Error("the router that was cut off has a wrong verdict")
		}
	})
}
