package verdicts_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/gaplink/gaplink/controller/verdicts"
	"github.com/gaplink/gaplink/peer"
	"github.com/gaplink/gaplink/placement"
	"github.com/gaplink/gaplink/poison"
	"github.com/gaplink/gaplink/store"
	"github.com/gaplink/gaplink/store/memory"
	"github.com/gaplink/gaplink/upstream"
)

// checker reports the same liveness for every process and counts the checks.
type checker struct {
	found upstream.Liveness
	asked atomic.Int64
}

func (c *checker) Check(context.Context, placement.Server) upstream.Liveness {
	c.asked.Add(1)
	return c.found
}

// servers reports every process as running, except those that are draining.
type servers struct{ leaving map[string]bool }

func (s servers) Crashed(placement.Incarnation) {}

func (s servers) AcceptsRequests(in placement.Incarnation) bool { return !s.leaving[in.ID] }

func request(body string) poison.Fingerprint {
	return poison.Identity{Account: "acme", Body: []byte(body)}.Fingerprint()
}

// Guards against repeated liveness checks of one process: all requests that broke off there
// share one check and one log line.
func TestOneLivenessCheckPerProcess(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		core, logged := observer.New(zap.InfoLevel)
		check := &checker{found: upstream.Gone}
		c := verdicts.New(verdicts.Options{Checker: check, Servers: servers{}, Log: zap.New(core)})
		server := placement.Server{ID: "s1", Started: 7, Service: "llm"}
		for _, body := range []string{"a", "b", "a"} {
			c.RecordBroken(server, request(body))
			time.Sleep(time.Millisecond)
		}
		time.Sleep(time.Second)
		lines := logged.FilterMessage("answers broke off").All()
		if len(lines) != 1 || check.asked.Load() != 1 {
			t.Fatalf("%d log lines, %d liveness checks", len(lines), check.asked.Load())
		}
		fields := lines[0].ContextMap()
		if fields["server"] != "s1" || fields["process"] != "gone" || len(fields["fingerprints"].([]any)) != 2 {
			t.Errorf("unexpected log fields: %v", fields)
		}
	})
}

// network connects controllers that call each other directly.
type network struct {
	mu          sync.Mutex
	all         map[string]*verdicts.Controller
	unreachable map[string]bool
	calls       int
	// delay is how long a call takes.
	delay time.Duration
}

func newNetwork() *network {
	return &network{all: map[string]*verdicts.Controller{}, unreachable: map[string]bool{}}
}

// node is one router on the network.
type node struct {
	*network
	id string
}

var errNoAnswer = errors.New("no answer")

func (s node) Report(ctx context.Context, id string, req *peer.VerdictsRequest) (*peer.VerdictsAnswer, error) {
	s.mu.Lock()
	s.calls++
	other, unreachable := s.all[id], s.unreachable[id] || s.unreachable[s.id]
	s.mu.Unlock()
	if unreachable || other == nil {
		return nil, errNoAnswer
	}
	if s.delay > 0 {
		time.Sleep(s.delay)
	}
	return other.OnReport(ctx, req)
}

func (s node) Listeners() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var ids []string
	for id := range s.all {
		if id != s.id {
			ids = append(ids, id)
		}
	}
	return ids
}

func (s node) Peers() []string { return s.Listeners() }

// called returns the number of calls so far.
func (b *network) called() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.calls
}

func (b *network) setUnreachable(id string, unreachable bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.unreachable[id] = unreachable
}

// close ends the routers' calls to each other.
func (b *network) close() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.all = map[string]*verdicts.Controller{}
}

// join starts a router whose liveness checks find every server gone.
func (b *network) join(ctx context.Context, id string, kept store.Store) *verdicts.Controller {
	c := verdicts.New(verdicts.Options{
		Checker: &checker{found: upstream.Gone}, Servers: servers{map[string]bool{"leaving": true}},
		Fleet: node{b, id}, Store: kept, Log: zap.NewNop(),
	})
	b.mu.Lock()
	b.all[id] = c
	b.mu.Unlock()
	go c.Run(ctx)
	synctest.Wait()
	return c
}

// crashWhileRunning has n servers crash while a request runs, one a second, each observed by
// the next router.
func crashWhileRunning(body string, first, n int, routers ...*verdicts.Controller) {
	for i := first; i < first+n; i++ {
		routers[i%len(routers)].RecordBroken(placement.Server{ID: fmt.Sprint(body, i), Service: "llm"}, request(body))
		time.Sleep(time.Second)
	}
}

func quarantined(c *verdicts.Controller) int { return len(c.List()) }

// Guards against verdicts that spread slowly: each crash is observed by another router, and
// all routers quarantine the request within 0.1 s of the third.
func TestVerdictReachesAllRouters(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newNetwork()
		var routers []*verdicts.Controller
		for i := range 6 {
			routers = append(routers, b.join(t.Context(), fmt.Sprint("r", i), nil))
		}
		crashWhileRunning("k", 0, 2, routers...)
		routers[2].RecordBroken(placement.Server{ID: "third", Service: "llm"}, request("k"))
		time.Sleep(100 * time.Millisecond)
		for i, r := range routers {
			if _, refused := r.Admit(request("k")); !refused {
				t.Errorf("router %d does not quarantine the request", i)
			}
		}
		if b.calls > 5*3+6 {
			t.Errorf("%d calls for three crashes among six routers", b.calls)
		}
	})
}

// Guards against a router that misses the reports sent while it was unreachable.
func TestReconnectedRouterReceivesReports(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newNetwork()
		one, cut := b.join(t.Context(), "r0", nil), b.join(t.Context(), "r1", nil)
		b.setUnreachable("r1", true)
		crashWhileRunning("k", 0, 3, one)
		if quarantined(one) != 1 || quarantined(cut) != 0 {
			t.Fatalf("%d and %d verdicts", quarantined(one), quarantined(cut))
		}
		b.setUnreachable("r1", false)
		time.Sleep(time.Second)
		if quarantined(cut) != 1 {
			t.Error("the router has no verdict one second after it is reachable again")
		}
	})
}

// Guards against counting one crash twice: two routers observe the crash of a server that does
// not report its start time, and one of them reaches a third router only half a minute later.
func TestLateReportIsNotCountedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newNetwork()
		one, other, third := b.join(t.Context(), "r0", nil), b.join(t.Context(), "r1", nil), b.join(t.Context(), "r2", nil)
		b.setUnreachable("r0", true)
		for i := range 2 {
			for _, r := range []*verdicts.Controller{one, other} {
				r.RecordBroken(placement.Server{ID: fmt.Sprint("s", i), Service: "llm"}, request("k"))
			}
			time.Sleep(3 * time.Second)
		}
		time.Sleep(30 * time.Second)
		b.setUnreachable("r0", false)
		time.Sleep(2 * time.Second)
		for i, r := range []*verdicts.Controller{one, other, third} {
			if n := r.Crashes(request("k")); n != 2 {
				t.Errorf("router %d counts %d crashes", i, n)
			}
		}
		news, _ := one.Since(-1)
		log, _ := other.Since(0)
		for _, r := range []poison.Report{news, log} {
			third.Receive(r)
		}
		if n := third.Crashes(request("k")); n != 2 || quarantined(third) != 0 {
			t.Errorf("%d crashes after old reports, %d verdicts", n, quarantined(third))
		}
	})
}

// Guards against unbounded calls to a dead router: however many reports are queued, it is
// called twice a second, for a minute.
func TestCallsToDeadRouterAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newNetwork()
		one := b.join(t.Context(), "r0", nil)
		b.join(t.Context(), "r1", nil)
		b.setUnreachable("r1", true)
		before := b.called()
		for i := range 200 {
			one.RecordBroken(placement.Server{ID: fmt.Sprint("s", i), Service: "llm"}, request(fmt.Sprint(i)))
			time.Sleep(50 * time.Millisecond)
		}
		if n := b.called() - before; n > 25 {
			t.Errorf("%d calls in 10 s", n)
		}
		time.Sleep(time.Minute)
		before = b.called()
		time.Sleep(10 * time.Second)
		if n := b.called() - before; n > 0 {
			t.Errorf("%d calls in 10 s, a minute after the last report", n)
		}
	})
}

// Guards against a router that starts without the verdicts of the others.
func TestStartingRouterCatchesUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newNetwork()
		one := b.join(t.Context(), "r0", nil)
		crashWhileRunning("k", 0, 3, one)
		if late := b.join(t.Context(), "r1", nil); quarantined(late) != 1 {
			t.Error("the router has no verdict after its start")
		}
	})
}

// Guards against verdicts that are lost when all routers restart, and against a lifted verdict
// that stays in the store.
func TestVerdictSurvivesRestartOfAllRouters(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kept := memory.New()
		crashWhileRunning("k", 0, 3, newNetwork().join(t.Context(), "r0", kept))
		next := newNetwork().join(t.Context(), "r1", kept)
		if quarantined(next) != 1 {
			t.Fatal("the restarted fleet has no verdict")
		}
		if err := next.Lift(request("k"), "ann"); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Second)
		if last := newNetwork().join(t.Context(), "r2", kept); quarantined(last) != 0 {
			t.Error("the store still has the lifted verdict")
		}
	})
}

// Guards against a verdict that is not written after a store outage, and against frequent
// retries.
func TestStoreWriteIsRetried(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kept := &unreliableStore{Store: memory.New()}
		kept.unavailable.Store(true)
		crashWhileRunning("k", 0, 3, newNetwork().join(t.Context(), "r0", kept))
		time.Sleep(30 * time.Second)
		if n := kept.calls.Load(); n > 16 {
			t.Errorf("%d calls in half a minute", n)
		}
		kept.unavailable.Store(false)
		time.Sleep(10 * time.Second)
		if next := newNetwork().join(t.Context(), "r1", kept); quarantined(next) != 1 {
			t.Error("the verdict was not written to the store")
		}
	})
}

// unreliableStore is a store with simulated outages.
type unreliableStore struct {
	store.Store
	unavailable atomic.Bool
	calls       atomic.Int64
}

func (f *unreliableStore) Create(ctx context.Context, key string, value []byte) (store.Object, error) {
	f.calls.Add(1)
	if f.unavailable.Load() {
		return store.Object{}, store.ErrUnavailable
	}
	return f.Store.Create(ctx, key, value)
}

func (f *unreliableStore) List(ctx context.Context, prefix string) ([]store.Object, int64, error) {
	f.calls.Add(1)
	if f.unavailable.Load() {
		return nil, 0, store.ErrUnavailable
	}
	return f.Store.List(ctx, prefix)
}

// Guards against counting the planned exits of draining servers as crashes.
func TestPlannedExitsAreIgnored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newNetwork().join(t.Context(), "r0", nil)
		for i := range int64(4) {
			c.RecordBroken(placement.Server{ID: "leaving", Started: i, Service: "llm"}, request("k"))
			time.Sleep(time.Second)
		}
		if quarantined(c) != 0 {
			t.Error("a request is quarantined because of planned exits")
		}
	})
}

// Guards against a log that repeats or misses reports, or that leaves out those which its
// router received from another one.
func TestSinceReturnsNewReports(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		one, reader := newNetwork().join(t.Context(), "r0", nil), verdicts.New(verdicts.Options{Log: zap.NewNop()})
		crashWhileRunning("k", 0, 2, one)
		all, seq := one.Since(-1)
		if len(all.Crashes) != 2 {
			t.Fatalf("%+v", all)
		}
		if again, last := one.Since(seq); !again.IsEmpty() || last != seq {
			t.Errorf("report returned twice: %+v", again)
		}
		crashWhileRunning("k", 2, 1, one)
		news, _ := one.Since(seq)
		reader.Receive(all)
		reader.Receive(news)
		if quarantined(reader) != 1 {
			t.Errorf("the router that reads the log has no verdict after %+v", news)
		}
		last := verdicts.New(verdicts.Options{Log: zap.NewNop()})
		forwarded, _ := reader.Since(-1)
		last.Receive(forwarded)
		if quarantined(last) != 1 {
			t.Error("the router that reads from that router has no verdict")
		}
	})
}

// Guards against a router that crashes at its start on malformed verdicts in the store, or
// ignores a valid one beside them.
func TestMalformedStoredVerdictsAreIgnored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kept := memory.New()
		crashWhileRunning("k", 0, 3, newNetwork().join(t.Context(), "r0", kept))
		for key, value := range map[string]string{
			"verdicts/":                             `{}`,
			"verdicts/zz":                           `{}`,
			"verdicts/" + request("l").String():     `{"number":"x"}`,
			"verdicts/" + request("m").String():     `null`,
			"verdicts/" + request("n").String():     `[]`,
			"verdicts/" + request("o").String():     `{"number":-5,"servers":null,"untilMs":-1}`,
			"verdicts/" + request("p").String()[3:]: `{"number":1,"untilMs":9e15}`,
		} {
			if _, err := kept.Create(t.Context(), key, []byte(value)); err != nil {
				t.Fatal(err)
			}
		}
		next := newNetwork().join(t.Context(), "r1", kept)
		if quarantined(next) != 1 {
			t.Errorf("%d verdicts in force", quarantined(next))
		}
		if _, refused := next.Admit(request("m")); refused {
			t.Error("an entry without a number or an expiry quarantines a request")
		}
	})
}
