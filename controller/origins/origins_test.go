package origins_test

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"github.com/gaplink/gaplink/controller/origins"
	"github.com/gaplink/gaplink/origin"
	"github.com/gaplink/gaplink/peer"
	"github.com/gaplink/gaplink/store/memory"
)

const service = "llm"

// versions are those of the registered servers, as one router knows them.
type versions struct {
	mu   sync.Mutex
	list []string
}

func (v *versions) Services() []string { return []string{service} }

func (v *versions) Versions(string) []string {
	v.mu.Lock()
	defer v.mu.Unlock()
	return slices.Clone(v.list)
}

func (v *versions) set(list ...string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.list = list
}

// network connects the controllers of a fleet. A call takes linkDelay each way.
type network struct {
	store *memory.Store
	// faults are those of the store for all routers, and storeReads and storeWrites count its calls.
	faults                  storeFaults
	storeReads, storeWrites int
	// storeDown is set while the store answers nobody.
	storeDown atomic.Bool
	mu        sync.Mutex
	all       []*router
	calls     int
	bytes     int
}

const linkDelay = time.Millisecond

type router struct {
	net   *network
	id    string
	dead  bool
	known versions
	// age is how old the router's registrations of servers are.
	age     atomic.Int64 // nanoseconds
	trouble trouble
	control *origins.Controller
}

// keep has the router keep the origin of an attempt of a stream.
func (r *router) keep(id, version string, attempt int) {
	record := origin.Record{Key: origin.KeyOf("acme", id), Origin: origin.Version{Service: service, Name: version}, Attempt: attempt}
	_, _ = r.control.OnRecord(context.Background(), &peer.OriginsRecord{Records: []origin.Record{record}}) // never fails
}

var errNoAnswer = errors.New("no answer")

// newNetwork starts a fleet that has run for longer than streams are remembered.
func newNetwork(t *testing.T, routers int, serving ...string) *network {
	n := &network{store: memory.New()}
	for i := range routers {
		r := &router{net: n, id: fmt.Sprint("r", i)}
		r.known.set(serving...)
		n.all = append(n.all, r)
		r.startFirst(true)
	}
	n.run(3 * time.Second) // until all routers have read which versions have served
	return n
}

// run lets time pass for the routers.
func (n *network) run(d time.Duration) {
	const tick = 250 * time.Millisecond
	for range d / tick {
		for _, r := range n.all {
			if !r.isDead() {
				r.control.Tick()
			}
		}
		time.Sleep(tick)
	}
}

// start starts a process of the router.
func (r *router) start() { r.startFirst(false) }

func (r *router) startFirst(firstOfFleet bool) {
	c := origins.New(origins.Options{
		Servers: &r.known, Fleet: r, Self: r.id, Log: zap.NewNop(), Store: linkToStore{r.net.store, r}, FirstStart: firstOfFleet,
		Current: func() bool { return r.age.Load() < int64(2*time.Second) },
	})
	r.net.mu.Lock()
	defer r.net.mu.Unlock()
	r.control, r.dead = c, false
}

func (n *network) kill(routers ...*router) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, r := range routers {
		r.dead = true
	}
}

// counted returns the calls and their bytes so far.
func (n *network) counted() (calls, bytes int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.calls, n.bytes
}

func (n *network) resetCounts() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.calls, n.bytes = 0, 0
}

// release makes versions known to all routers.
func (n *network) release(list ...string) {
	for _, r := range n.all {
		r.known.set(list...)
		r.control.Tick()
	}
	time.Sleep(500 * time.Millisecond)
}

// Size implements origins.Fleet.
func (r *router) Size() int { return len(r.net.all) }

// releaseToAllButOne makes versions known to all routers but the one that it returns.
func (n *network) releaseToAllButOne(list ...string) (behind *router) {
	last := len(n.all) - 1
	for _, r := range n.all[:last] {
		r.known.set(list...)
		r.control.Tick()
	}
	return n.all[last]
}

func (r *router) Keepers(key origin.Key, most int) []string {
	score := func(o *router) uint64 { return xxhash.Sum64String(fmt.Sprint(key[0]%64, o.id)) }
	ranked := slices.DeleteFunc(slices.Clone(r.net.all), func(o *router) bool { return o == r })
	slices.SortFunc(ranked, func(a, b *router) int { return cmp.Compare(score(a), score(b)) })
	var ids []string
	for _, o := range ranked[:min(most, len(ranked))] {
		ids = append(ids, o.id)
	}
	return ids
}

// call counts a call and returns the controller of a router that answers.
func (r *router) call(ctx context.Context, id string, req any) (*origins.Controller, error) {
	text, err := peer.Marshal(req)
	if err != nil {
		return nil, err
	}
	r.net.mu.Lock()
	r.net.calls++
	r.net.bytes += len(text)
	var control *origins.Controller
	for _, o := range r.net.all {
		if o.id == id && !o.dead && !r.dead && !o.trouble.silent() && !r.trouble.cutOff {
			control = o.control
		}
	}
	r.net.mu.Unlock()
	if control == nil {
		<-ctx.Done() // a process that is gone does not refuse while its machine is cut off
		return nil, errNoAnswer
	}
	time.Sleep(2 * linkDelay)
	return control, nil
}

func (r *router) Record(ctx context.Context, id string, req *peer.OriginsRecord) error {
	control, err := r.call(ctx, id, req)
	if err != nil {
		return err
	}
	_, err = control.OnRecord(ctx, req)
	return err
}

func (r *router) Find(ctx context.Context, id string, req *peer.OriginRequest) (*peer.OriginAnswer, error) {
	control, err := r.call(ctx, id, req)
	if err != nil {
		return nil, err
	}
	return control.OnFind(ctx, req)
}

// begin begins a stream at a router and returns after its first event could go out.
func (r *router) begin(id, version string) {
	r.attempt(id, version, 1).Bind(context.Background())
}

// attempt begins an attempt of a stream, which has brought no event yet.
func (r *router) attempt(id, version string, attempt int) *origins.Recording {
	return r.control.Begin(stream(id), origin.Version{Service: service, Name: version}, attempt)
}

func stream(id string) origins.Stream { return origins.Stream{Account: "acme", Tries: []string{id}} }

// find returns the version at which a stream that is taken up at a router may go on: "any" if none has served, "" if it must
// not go on.
func (r *router) find(id string) string {
	f := r.control.Find(context.Background(), "acme", id, []string{service})
	sole, ok := f.Sole(service)
	switch {
	case f.Known:
		return f.Origin.Name
	case !ok:
		return ""
	case sole == nil:
		return "any"
	default:
		return *sole
	}
}

var sizes = []int{6, 87, 300, 984}

func atAllSizes(t *testing.T, test func(t *testing.T, n int)) {
	for _, n := range sizes {
		t.Run(fmt.Sprint(n, " routers"), func(t *testing.T) { inBubble(t, func(t *testing.T) { test(t, n) }) })
	}
}

// inBubble runs a test in virtual time and then lets the calls under way end.
func inBubble(t *testing.T, test func(t *testing.T)) {
	synctest.Test(t, func(t *testing.T) {
		test(t)
		time.Sleep(2 * time.Second)
	})
}

// Guards against a stream whose version cannot be found out once the router that began it is gone, also
// together with one of the routers that keep the origin.
func TestOriginOutlivesItsRouter(t *testing.T) {
	atAllSizes(t, func(t *testing.T, n int) {
		net := newNetwork(t, n, "v1", "v2")
		for i := range 40 {
			id, version := fmt.Sprint("s", i), fmt.Sprint("v", 1+i%2)
			first := net.all[i%n]
			first.begin(id, version)
			keeper := first.Keepers(origin.KeyOf("acme", id), 1)[0]
			for _, r := range net.all {
				if r.id == keeper {
					net.kill(first, r)
					break
				}
			}
			time.Sleep(linkDelay) // until the caller is back
			other := net.all[(i*7+3)%n]
			for other.dead {
				other = net.all[(slices.Index(net.all, other)+1)%n]
			}
			if got := other.find(id); got != version {
				t.Errorf("stream %s of %s is found to be %q", id, version, got)
			}
			for _, r := range net.all {
				if r.dead {
					r.start()
				}
			}
		}
	})
}

// askedAt and copiesAt return how many routers may be asked for an origin, and keep it, in a fleet of n.
func askedAt(n int) int {
	if n <= 8 {
		return n - 1
	}
	return 4
}

func copiesAt(n int) int {
	if n <= 8 {
		return 4
	}
	return 2
}

// Guards against a cost for new streams while one version serves: no call, whatever the size of the fleet; against one
// for streams that are taken up, or for new ones while several versions serve, that grows with the fleet.
func TestCostOfOrigins(t *testing.T) {
	atAllSizes(t, func(t *testing.T, n int) {
		net := newNetwork(t, n, "v1")
		const streams = 100
		for i := range streams {
			net.all[i%n].begin(fmt.Sprint("a", i), "v1")
		}
		if calls, _ := net.counted(); calls != 0 {
			t.Errorf("%d calls for new streams while one version serves", calls)
		}
		begun := time.Now()
		for i := range streams {
			if got := net.all[(i+1)%n].find(fmt.Sprint("a", i)); got != "v1" {
				t.Errorf("with one version a stream may go on at %q", got)
			}
		}
		calls, _ := net.counted()
		if took := time.Since(begun) / streams; took > 4*linkDelay || calls > askedAt(n)*streams {
			t.Errorf("%d calls for %d streams that are taken up, %s each", calls, streams, took)
		}
		net.release("v1", "v2")
		net.resetCounts()
		begun = time.Now()
		for i := range streams {
			net.all[i%n].begin(fmt.Sprint("b", i), "v2")
		}
		if took := time.Since(begun) / streams; took > 4*linkDelay {
			t.Errorf("a first event waits %s", took)
		}
		synctest.Wait()
		calls, bytes := net.counted()
		t.Logf("%.1f calls and %d bytes a stream", float64(calls)/streams, bytes/streams)
		if most := copiesAt(n); calls > most*streams || bytes > most*128*streams {
			t.Errorf("%d calls and %d bytes for %d streams", calls, bytes, streams)
		}
	})
}

// Guards against streams that can't go on because they began before a second version served, when nothing
// was recorded.
func TestStreamsFromBeforeARelease(t *testing.T) {
	atAllSizes(t, func(t *testing.T, n int) {
		net := newNetwork(t, n, "v1")
		for i := range 30 {
			net.all[i%n].begin(fmt.Sprint("s", i), "v1")
		}
		net.release("v1", "v2")
		net.kill(net.all[0])
		for i := range 30 {
			if got := net.all[(i+1)%(n-1)+1].find(fmt.Sprint("s", i)); got != "v1" {
				t.Errorf("stream %d from before the release is found to be %q", i, got)
			}
		}
	})
}

// Guards against a stream that goes on at another version because its router has not heard yet that several serve.
func TestRouterBehindAsksForTheOrigin(t *testing.T) {
	atAllSizes(t, func(t *testing.T, n int) {
		net := newNetwork(t, n, "v1")
		behind := net.releaseToAllButOne("v1", "v2")
		for i := range 20 {
			id := fmt.Sprint("s", i)
			net.all[i%(n-1)].begin(id, "v2")
			if got := behind.find(id); got != "v2" {
				t.Errorf("a router that knows v1 alone lets a stream of v2 go on at %q", got)
			}
		}
		net.kill(behind) // it is cut off, and its callers still reach it
		behind.age.Store(int64(time.Minute))
		if got := behind.find("unknown there"); got != "" {
			t.Errorf("a router that reaches nobody lets a stream go on at %q", got)
		}
	})
}

// Guards against a stream that goes on at any version because its router has started only now, or has
// seen only one version, while others know better; and against refusals when all agree.
func TestStreamOfUnknownOrigin(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		net := newNetwork(t, 6, "v1", "v2")
		if got := net.all[0].find("never begun"); got != "" {
			t.Errorf("a stream that nobody knows may go on at %q", got)
		}
		net.release("v2")
		started := net.all[5]
		started.start()
		if got := started.find("never begun"); got != "" {
			t.Errorf("after a restart a stream that nobody knows may go on at %q", got)
		}
		for range 20 {
			time.Sleep(origin.Retention / 16)
			net.release("v2")
		}
		started.start()
		if got := started.find("never begun"); got != "v2" {
			t.Errorf("long after the release a router that has restarted lets a stream go on at %q", got)
		}
		net.kill(net.all[:5]...)
		started.start()
		if got := started.find("never begun"); got != "v2" {
			t.Errorf("a router that has just started, reaches nobody and sees one version lets a stream go on at %q", got)
		}
	})
}

// Guards against a caller's first event that waits for routers that do not respond, and against a stream
// that cannot go on at its own router then.
func TestRouterAlone(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		net := newNetwork(t, 6, "v1", "v2")
		net.kill(net.all[1:]...)
		begun := time.Now()
		net.all[0].begin("s", "v2")
		if took := time.Since(begun); took > 60*time.Millisecond {
			t.Errorf("the first event waits %s", took)
		}
		if got := net.all[0].find("s"); got != "v2" {
			t.Errorf("the stream is found to be %q at its own router", got)
		}
		begun = time.Now()
		if got := net.all[0].find("other"); got != "" || time.Since(begun) > 200*time.Millisecond {
			t.Errorf("an unknown stream: %q after %s", got, time.Since(begun))
		}
	})
}

// Guards against first events that wait in a fleet of one router.
func TestOnlyRouterWaitsForNobody(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		net := newNetwork(t, 1, "v1", "v2")
		begun := time.Now()
		net.all[0].begin("s", "v2")
		if took := time.Since(begun); took > 0 {
			t.Errorf("the first event waits %s", took)
		}
	})
}

// Guards against streams that their callers do not name being taken for one another.
func TestUnnamedStreamHasNoOrigin(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		net := newNetwork(t, 6, "v1", "v2")
		net.all[0].begin("", "v1")
		for _, r := range net.all {
			if got := r.find(""); got != "" {
				t.Errorf("a stream that is not named goes on at %q", got)
			}
		}
	})
}

// Guards against one account that learns or disturbs what belongs to another's stream.
func TestOriginsOfAnotherAccount(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		net := newNetwork(t, 6, "v1", "v2")
		net.all[0].begin("s", "v1")
		forged := origins.Stream{Account: "other", Tries: []string{"s"}}
		net.all[1].control.Begin(forged, origin.Version{Service: service, Name: "v2"}, 1).Bind(t.Context())
		if got := net.all[2].find("s"); got != "v1" {
			t.Errorf("the stream is found to be %q after another account has used its ID", got)
		}
	})
}

// Guards against a stream that is not found when its caller names a try that had itself taken the stream up.
func TestChainOfTries(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		net := newNetwork(t, 6, "v1", "v2")
		net.all[0].begin("first", "v1")
		again := origins.Stream{Account: "acme", Tries: []string{"second", "first"}}
		net.all[1].control.Begin(again, origin.Version{Service: service, Name: "v1"}, 1).Bind(t.Context())
		synctest.Wait()
		time.Sleep(10 * time.Millisecond)
		net.kill(net.all[0], net.all[1])
		for _, id := range []string{"first", "second"} {
			if got := net.all[2].find(id); got != "v1" {
				t.Errorf("%s is found to be %q", id, got)
			}
		}
	})
}
