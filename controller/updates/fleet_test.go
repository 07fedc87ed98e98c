package updates_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"github.com/gaplink/gaplink/bound"
	"github.com/gaplink/gaplink/catalog"
	"github.com/gaplink/gaplink/controller/configs"
	"github.com/gaplink/gaplink/controller/evacuations"
	"github.com/gaplink/gaplink/controller/follow"
	"github.com/gaplink/gaplink/controller/limits"
	"github.com/gaplink/gaplink/controller/members"
	"github.com/gaplink/gaplink/controller/registry"
	"github.com/gaplink/gaplink/controller/roster"
	"github.com/gaplink/gaplink/controller/updates"
	"github.com/gaplink/gaplink/controller/verdicts"
	"github.com/gaplink/gaplink/lab/clocktest"
	"github.com/gaplink/gaplink/limiter"
	"github.com/gaplink/gaplink/membership"
	"github.com/gaplink/gaplink/peer"
	"github.com/gaplink/gaplink/placement"
	"github.com/gaplink/gaplink/poison"
	"github.com/gaplink/gaplink/store"
	"github.com/gaplink/gaplink/store/memory"
	"github.com/gaplink/gaplink/upstream"
	"github.com/gaplink/gaplink/wait"
)

// The tests here play how a fleet of many small routers in five failure domains, of
// which a few have large links, learns what is new in the store: in virtual time,
// with followers and questions between routers, without a network. The bound on a
// change is that of a large deployment, 4 s.
const (
	routers     = 60
	domains     = 5
	changeBound = 4 * time.Second
	configKey   = "config/main"
)

// fleet is the routers with their store.
type fleet struct {
	// ctx ends when the play does.
	ctx     context.Context
	objects *memory.Store

	// size is the number of routers; 0: routers.
	size int

	mu     sync.Mutex
	calls  int // at the full price
	byEach map[int]int
	probes int
	// questions are the requests for updates that were answered, pages those of lists, and
	// hellos the introductions.
	questions, pages, pageBytes, hellos int
	// lists are the lists of servers that the store sent, and linkFree is when its link is free.
	lists    int
	linkFree time.Time
	// largest is the size of the largest answer to a request for updates, in bytes.
	largest int

	reports int // of requests that end servers
	// limitReports counts the reports of rate limits.
	limitReports int
	cutOff       func(router int) bool // from the store
	stalled      func(router int) bool // watches of it stall
	muted        func(router int) bool // the store does not say a word to it
	// answered is when the store last answered each router.
	answered map[int]time.Time
	// within is the operator's bound on changes; 0: that of a large deployment.
	within  time.Duration
	stopped map[string]bool // routers that do not answer, by address
	all     []*one
	byAddr  map[string]*one
	// evacuates tells that routers follow evacuations.
	evacuates bool
}

// one is one router.
type one struct {
	fleet   *fleet
	number  int
	addr    string
	configs *configs.Controller
	servers *registry.Controller
	updates *updates.Controller
	members *members.Controller
	ctx     context.Context
	stop    context.CancelFunc
	// roster is nil at routers that know the others from the start.
	roster        *roster.Controller
	followRouters *follow.Follower
	followers     []*follow.Follower

	verdicts    *verdicts.Controller
	limits      *limits.Controller
	evacuations *evacuations.Controller
}

// errCut is the silence of a store that a router cannot reach.
var errCut = fmt.Errorf("%w: cut off", store.ErrUnknown)

// silence is a call of a store that says nothing.
func silence(ctx context.Context, timeout time.Duration) error {
	return errors.Join(errCut, wait.For(ctx, timeout))
}

// view is the store as one router sees it.
type view struct {
	store.Store
	router int
	fleet  *fleet
}

// gets tells whether a call that was counted gets through; one that does not takes until
// its timeout to be given up, or is refused at once.
func (v view) gets(ctx context.Context, timeout time.Duration) error {
	v.fleet.mu.Lock()
	refused, muted := v.fleet.cutOff(v.router), v.fleet.muted(v.router)
	v.fleet.mu.Unlock()
	if muted {
		return silence(ctx, timeout)
	}
	if refused {
		return errCut
	}
	v.fleet.mu.Lock()
	defer v.fleet.mu.Unlock()
	v.fleet.answered[v.router] = time.Now()
	return nil
}

// count counts a call at the full price.
func (v view) count() {
	v.fleet.mu.Lock()
	defer v.fleet.mu.Unlock()
	v.fleet.calls++
	v.fleet.byEach[v.router]++
}

// count adds to a counter of the fleet.
func (f *fleet) count(counter *int, n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	*counter += n
}

// noteAnswer notes the size of an answer, by that of the registrations in it.
func (f *fleet) noteAnswer(answer *peer.UpdatesAnswer) {
	size := len(answer.Servers.Packed) + len(answer.Routers.Packed)
	for _, r := range answer.Servers.Changed {
		size += len(r.Key) + len(r.Value)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.largest = max(f.largest, size)
}

// probe asks at a tenth of the price.
func (v view) probe(ctx context.Context) error {
	v.fleet.mu.Lock()
	v.fleet.probes++
	v.fleet.mu.Unlock()
	return v.gets(ctx, bound.CallTimeout)
}

func (v view) List(ctx context.Context, prefix string) ([]store.Object, int64, error) {
	v.count()
	if err := v.gets(ctx, bound.CallTimeout); err != nil {
		return nil, 0, err
	}
	return v.Store.List(ctx, prefix)
}

// Watch gives an answer that was ready only to a router that the store still reaches.
func (v view) Watch(ctx context.Context, prefix string, since int64, waits time.Duration) (store.Events, error) {
	v.count()
	if err := v.gets(ctx, waits+bound.WatchSlack); err != nil {
		return store.Events{}, err
	}
	v.fleet.mu.Lock()
	stalled := v.fleet.stalled(v.router)
	v.fleet.mu.Unlock()
	if stalled {
		return store.Events{}, silence(ctx, waits+bound.WatchSlack)
	}
	begun := time.Now()
	ev, err := v.Store.Watch(ctx, prefix, since, waits)
	if late := v.gets(ctx, waits+bound.WatchSlack-time.Since(begun)); late != nil {
		return store.Events{}, late
	}
	return ev, err
}

// errDown is the silence of a router that is gone.
var errDown = errors.New("no answer")

// calls carries questions within the fleet in a millisecond.
type calls struct{ fleet *fleet }

func (c calls) at(ctx context.Context, addr string) (*one, error) {
	if err := wait.For(ctx, time.Millisecond); err != nil {
		return nil, err
	}
	c.fleet.mu.Lock()
	defer c.fleet.mu.Unlock()
	r, ok := c.fleet.byAddr[addr]
	if !ok || c.fleet.stopped[addr] {
		return nil, errDown
	}
	return r, nil
}

// Updates implements updates.Calls.
func (c calls) Updates(ctx context.Context, addr string, req *peer.UpdatesRequest) (*peer.UpdatesAnswer, error) {
	r, err := c.at(ctx, addr)
	if err != nil {
		return nil, err
	}
	c.fleet.count(&c.fleet.questions, 1)
	answer, err := r.updates.Answer(ctx, req)
	if err == nil {
		c.fleet.noteAnswer(answer)
	}
	return answer, err
}

// Config implements updates.Calls.
func (c calls) Config(ctx context.Context, addr string) (*peer.ConfigAnswer, error) {
	r, err := c.at(ctx, addr)
	if err != nil {
		return nil, err
	}
	return r.updates.Config(ctx, &peer.Empty{})
}

// List implements updates.Calls.
func (c calls) List(ctx context.Context, addr string, req *peer.ListRequest) (*peer.ListAnswer, error) {
	r, err := c.at(ctx, addr)
	if err != nil {
		return nil, err
	}
	answer, err := r.updates.List(ctx, req)
	if err == nil {
		c.fleet.count(&c.fleet.pages, 1)
		c.fleet.count(&c.fleet.pageBytes, len(answer.Packed))
	}
	return answer, err
}

func decodeServer(id string, value []byte) (placement.Server, error) {
	s := placement.Server{}
	err := json.Unmarshal(value, &s)
	s.ID = id
	return s, err
}

func decodeConfig(value []byte) (*catalog.Catalog, error) {
	var version int64
	if err := json.Unmarshal(value, &version); err != nil {
		return nil, err
	}
	return catalog.New(version, catalog.Limits{}, nil, nil, nil)
}

func nobody(int) bool { return false }

// play starts a fleet whose store holds a configuration and a server, lets it settle,
// and runs body in virtual time.
func play(t *testing.T, body func(*fleet)) {
	playWith(t, &fleet{}, body)
}

// playWith is play with a fleet of which some properties are set.
func playWith(t *testing.T, f *fleet, body func(*fleet)) {
	synctest.Test(t, func(t *testing.T) {
		f.prepare(t)
		f.register(t, "first", false)
		for n := range routers {
			f.add(n)
		}
		time.Sleep(3 * time.Second)
		if late := f.without(1, 1); len(late) > 0 {
			t.Fatalf("routers %v know nothing three seconds after their start", late)
		}
		body(f)
	})
}

// prepare gives a fleet its store, with a configuration.
func (f *fleet) prepare(t *testing.T) {
	t.Helper()
	f.ctx = t.Context()
	f.objects, f.cutOff, f.stalled, f.muted, f.stopped = memory.New(), nobody, nobody, nobody, map[string]bool{}
	f.byAddr, f.byEach, f.answered = map[string]*one{}, map[int]int{}, map[int]time.Time{}
	f.configure(t, 1)
}

func (f *fleet) put(t *testing.T, key string, value any) {
	t.Helper()
	text, err := json.Marshal(value)
	if err != nil {
		t.Fatal(err)
	}
	old, err := f.objects.Get(t.Context(), key)
	if err != nil && !errors.Is(err, store.ErrNotFound) {
		t.Fatal(err)
	}
	if _, err := store.Put(t.Context(), f.objects, key, old.Version, text); err != nil {
		t.Fatal(err)
	}
}

func (f *fleet) configure(t *testing.T, version int64) { f.put(t, configKey, version) }

func (f *fleet) register(t *testing.T, id string, leaving bool) {
	f.put(t, "servers/"+id, placement.Server{Service: "svc", Leaving: leaving})
}

// member is a router; every twentieth has a large link.
func member(n int) membership.Member {
	m := membership.Member{
		ID: fmt.Sprintf("r%03d", n), Kind: "router", Addr: fmt.Sprintf("10.0.0.%d:1", n),
		Domain: fmt.Sprint("z", n%domains), State: membership.Live, LinkMbps: 20,
	}
	if n < routers/20 {
		m.LinkMbps = 200
	}
	return m
}

// add starts a router that knows the others.
func (f *fleet) add(n int) {
	r := f.build(n, member(n), nil)
	for other := range routers {
		r.members.Met(member(other))
	}
	r.run()
}

// storeOf returns the store as a router sees it; that of a model has a link of its own.
func (f *fleet) storeOf(n int) store.Store {
	if f.size > 0 {
		return pagedStore{view{f.objects, n, f}}
	}
	return view{f.objects, n, f}
}

// build returns a router that has not started yet; with discover it finds the others by itself.
func (f *fleet) build(n int, self membership.Member, discover func(*one) *roster.Controller) *one {
	ctx, cancel := context.WithCancel(f.ctx)
	known := members.New(self, nil, 0, zap.NewNop())
	r := &one{fleet: f, number: n, addr: self.Addr, ctx: ctx, stop: cancel}
	r.configs = configs.New(configKey, decodeConfig, func(*catalog.Catalog) {}, zap.NewNop())
	r.servers = registry.New(decodeServer, upstream.New(upstream.Options{}), rand.New(rand.NewPCG(1, uint64(n))), zap.NewNop())
	var followers []*follow.Follower
	both := func(holds func(*follow.Follower) bool) (n int) {
		for _, w := range followers {
			if holds(w) {
				n++
			}
		}
		return n
	}
	r.members = known
	isLarge := func() bool { return true }
	if discover != nil {
		r.roster = discover(r)
		isLarge = r.roster.IsLarge
	}
	answered := func() time.Time { return f.lastAnswer(n) }
	r.evacuations = evacuations.New(evacuations.Options{
		Changed: r.servers.SetEvacuated,
		Log:     zap.NewNop(),
	})
	r.verdicts = verdicts.New(verdicts.Options{Checker: gone{}, Servers: allWork{}, Fleet: peers{calls{f}, r}, Updated: r.fromRelays, PausesNoticed: true, Log: zap.NewNop()})
	r.limits = limits.New(limits.Options{
		Self: self.ID, Fleet: limitPeers{peers{calls{f}, r}}, Settled: func() bool { return true },
		Updated: r.fromRelays, Driven: true,
		Runs: func(placement.Incarnation) bool { return true }, Log: zap.NewNop(),
	})
	r.updates = updates.New(updates.Options{
		Configs: r.configs, Servers: r.servers, Members: known, Calls: calls{f},
		Verdicts: r.verdicts, Limits: r.limits, Evacuations: r.evacuations,
		Self: self.ID + "/1", Domain: self.Domain,
		Lost:       func() bool { return both((*follow.Follower).Lost) > 0 },
		Fresh:      func() bool { return both((*follow.Follower).Fresh) == len(followers) },
		AsOf:       func() updates.Timestamps { return asOf(followers) },
		StaleAfter: f.staleAfter,
		AskEvery:   func() time.Duration { return f.parts().Ask },
		Answered:   answered,
		Large:      isLarge,
		Log:        zap.NewNop(),
	})
	if r.roster != nil {
		r.updates.Routers = r.roster
	}
	following := func(kind string, handler follow.Handler) follow.Options {
		return follow.Options{
			Store: f.storeOf(n), Prefix: kind, Handler: handler, Role: r.updates.Role,
			Bound: f.parts, Changed: r.updates.RoleChanged, IsRelay: r.updates.IsRelay, Answered: r.updates.StoreAnswered, Log: zap.NewNop(),
			Probe:             view{f.objects, n, f}.probe,
			AnsweredElsewhere: r.updates.RecentlyUpdated,
		}
	}
	registrations := following("servers", r.servers)
	registrations.ReceivedRevision = r.servers.Revision
	servers := follow.New(registrations)
	config := following("config", r.configs)
	config.Prober = servers.Fresh
	followers = []*follow.Follower{follow.New(config), servers}
	if f.evacuates {
		evacuating := following("evacuated", r.evacuations)
		evacuating.Prober = servers.Fresh
		evacuating.Bound = evacuationParts
		followers = append(followers, follow.New(evacuating))
	}
	if r.roster != nil {
		routers := following("routers", r.roster)
		routers.Role = r.updates.RosterRole
		routers.ReceivedRevision = r.roster.Revision
		r.followRouters = follow.New(routers)
	}
	r.followers = followers
	f.mu.Lock()
	f.all = append(f.all, r)
	f.byAddr[r.addr] = r
	f.mu.Unlock()
	return r
}

// fromRelays tells whether relays send this router all reports.
func (r *one) fromRelays() bool { return !r.updates.UpdatesOthers() }

// run starts a router.
func (r *one) run() {
	for _, w := range r.followers {
		go w.Run(r.ctx)
	}
	if r.followRouters != nil {
		go r.followRouters.Run(r.ctx)
	}
	go r.updates.Run(r.ctx)
	go r.verdicts.Run(r.ctx)
	go r.limits.Run(r.ctx)
	go r.servers.Run(r.ctx)
}

// asOf returns the timestamps of followers of configurations, servers and, if there is a third
// one, evacuations.
func asOf(followers []*follow.Follower) updates.Timestamps {
	m := updates.Timestamps{Config: followers[0].AsOf(), Servers: followers[1].AsOf()}
	if len(followers) > 2 {
		m.Evacuated = followers[2].AsOf()
	}
	return m
}

// restart ends a router and starts it anew.
func (f *fleet) restart(n int) {
	f.mu.Lock()
	f.all = slices.DeleteFunc(f.all, func(r *one) bool {
		if r.number == n {
			r.stop()
		}
		return r.number == n
	})
	f.mu.Unlock()
	f.add(n)
}

// without returns the routers that do not know a configuration and so many servers
// in use.
func (f *fleet) without(version int64, servers int) []int {
	var late []int
	for _, r := range f.all {
		f.mu.Lock()
		gone := f.stopped[r.addr]
		f.mu.Unlock()
		if !gone && (r.configs.Version() != version || r.servers.Counts()["svc"].Up != servers) {
			late = append(late, r.number)
		}
	}
	return late
}

// counted returns the calls since the last time.
func (f *fleet) counted() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := f.calls
	f.calls = 0
	f.byEach = map[int]int{}
	return n
}

// fewAsked checks that fewer than half of the routers have made calls since they were
// counted last.
func (f *fleet) fewAsked(t *testing.T) {
	t.Helper()
	asked := 0
	f.mu.Lock()
	for _, calls := range f.byEach {
		if calls > 0 {
			asked++
		}
	}
	f.mu.Unlock()
	if asked >= routers/2 {
		t.Errorf("%d of %d routers made calls, %d together", asked, routers, f.counted())
	}
}

// probed returns the probes so far.
func (f *fleet) probed() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.probes
}

// cut cuts routers off from the store.
func (f *fleet) cut(off func(int) bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cutOff = off
}

// mute silences the store for routers.
func (f *fleet) mute(off func(int) bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.muted = off
}

// parts divides the bound on changes.
func (f *fleet) parts() bound.Parts {
	if f.within == 0 {
		return bound.Divide(changeBound, true)
	}
	return bound.Divide(f.within, true)
}

// staleAfter are the ages from which routers look for the store.
func (f *fleet) staleAfter(updatesOthers bool) peer.Ages {
	age := bound.Parts.StaleAfter
	if updatesOthers {
		age = bound.Parts.RelayStaleAfter
	}
	ages := peer.Ages{Config: age(f.parts()), Servers: age(f.parts())}
	if f.evacuates {
		ages.Evacuated = age(evacuationParts())
	}
	return ages
}

// lastAnswer is when the store last answered a router.
func (f *fleet) lastAnswer(router int) time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.answered[router]
}

// never is when a store answers that is asked by followers alone.
func never() time.Time { return time.Time{} }

// change makes a change of each kind and checks that all routers follow in time.
func (f *fleet) change(t *testing.T, version int64) {
	t.Helper()
	f.configure(t, version)
	f.register(t, fmt.Sprint("s", version), false)
	begun := time.Now()
	for {
		late := f.without(version, int(version))
		if len(late) == 0 {
			t.Logf("version %d at all routers after %v", version, time.Since(begun))
			return
		}
		if time.Since(begun) > changeBound {
			t.Fatalf("version %d has not reached routers %v within %v", version, late, changeBound)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// TestQuietFleetAsksTheStoreSeldom: two routers watch for all, so that calls do not
// grow with the fleet, and still a change is everywhere within a second.
func TestQuietFleetAsksTheStoreSeldom(t *testing.T) {
	play(t, func(f *fleet) {
		f.counted()
		time.Sleep(24 * time.Second)
		if n := f.counted(); n > 50 {
			t.Errorf("%d calls in 24 quiet seconds", n)
		}
		f.change(t, 2)
	})
}

// TestChangeArrivesWithAStalledWatch: the connection of a watching router goes silent,
// and nothing reports it. The other one makes up for it, whichever it is.
func TestChangeArrivesWithAStalledWatch(t *testing.T) {
	play(t, func(f *fleet) {
		for n := range routers / 20 {
			f.mu.Lock()
			f.stalled = func(router int) bool { return router == n }
			f.mu.Unlock()
			time.Sleep(f.parts().Watch)
			f.change(t, int64(n)+2)
		}
	})
}

// TestWatchesThatStallTogetherSendNoStampede: the store forgets its history, and the
// watches of both routers that watch it stall from then on. Relays
// find the store for all: of sixty routers fewer than half make a call of their own, where
// each of 75 made three on a played day.
func TestWatchesThatStallTogetherSendNoStampede(t *testing.T) {
	play(t, func(f *fleet) {
		f.counted()
		f.mu.Lock()
		f.stalled = func(router int) bool { return router < routers/20 }
		f.mu.Unlock()
		time.Sleep(5 * time.Second)
		f.fewAsked(t)
		f.change(t, 2)
	})
}

// TestEndOfAnOutageSendsNoStampede: a store that was silent for all answers all again. Those
// that relay updates query it first, and most others are updated before they would.
func TestEndOfAnOutageSendsNoStampede(t *testing.T) {
	for range 10 {
		play(t, func(f *fleet) {
			f.mute(func(int) bool { return true })
			time.Sleep(8 * time.Second)
			f.counted()
			f.mute(nobody)
			f.change(t, 2)
			time.Sleep(3 * time.Second)
			f.fewAsked(t)
		})
	}
}

// Guards against relays that wait out their pause, or a probe without an answer, while the store
// answers routers that wait for them.
func TestRelaysFindTheStoreSoonAfterAnyRouter(t *testing.T) {
	for range 5 {
		play(t, func(f *fleet) {
			f.mute(func(int) bool { return true })
			time.Sleep(8 * time.Second)
			f.mute(nobody)
			time.Sleep(bound.AskEvery)
			f.waitForAnyAnswer()
			time.Sleep(time.Second)
			if n := f.relaysUpdated(); n < domains*2 {
				t.Errorf("%d relays are up to date a second after the store answered a router", n)
			}
		})
	}
}

// waitForAnyAnswer waits until the store has answered a router just now.
func (f *fleet) waitForAnyAnswer() {
	for begun := time.Now(); ; time.Sleep(10 * time.Millisecond) {
		for n := range routers {
			if f.lastAnswer(n).After(begun) {
				return
			}
		}
	}
}

// relaysUpdated returns how many relays are up to date.
func (f *fleet) relaysUpdated() int {
	relays := f.all[0].updates.RelayIDs()
	n := 0
	for _, r := range f.all {
		if slices.Contains(relays, r.members.Self().ID) && (r.updates.Fresh() || r.updates.UpToDate()) {
			n++
		}
	}
	return n
}

// TestChangeArrivesWhileTheStoreTurnsAwayWatchers: the store turns away those that
// watch, or them and all relays, and serves the others.
func TestChangeArrivesWhileTheStoreTurnsAwayWatchers(t *testing.T) {
	for name, away := range map[string]func(int) bool{
		"watchers":             func(n int) bool { return n < routers/20 },
		"two thirds":           func(n int) bool { return n%3 > 0 },
		"four fifths":          func(n int) bool { return n < routers*4/5 },
		"one failure domain":   func(n int) bool { return n%domains == 0 },
		"all but one of these": func(n int) bool { return n%domains != 0 },
	} {
		t.Run(name, func(t *testing.T) {
			play(t, func(f *fleet) {
				f.cut(away)
				time.Sleep(2 * time.Second)
				f.change(t, 2)
			})
		})
	}
}

// TestOutageOfTheStoreCostsFewCalls: all routers are cut off from the store for eight
// seconds, which still reach each other, as on days with large deployments. A change
// made meanwhile must be everywhere soon after.
func TestOutageOfTheStoreCostsFewCalls(t *testing.T) {
	const away = 8 * time.Second
	play(t, func(f *fleet) {
		f.counted()
		f.cut(func(int) bool { return true })
		time.Sleep(away)
		// The calls are what was under way. Each router probes once soon, and then at most
		// once in half of the time that the bound leaves.
		calls, probes := f.counted(), f.probed()
		if calls > 10 || probes > routers*(1+int(away/(f.parts().Retry()/2))) {
			t.Errorf("%d calls and %d probes in eight seconds without the store", calls, probes)
		}
		for _, r := range f.all {
			if !r.updates.StoreLost() {
				t.Errorf("router %d does not know that the store is away", r.number)
			}
		}
		f.cut(nobody)
		f.change(t, 2)
	})
}

// TestChangeArrivesAfterWatchersDied: the routers that watch and half of those that
// relay are gone without notice.
func TestChangeArrivesAfterWatchersDied(t *testing.T) {
	play(t, func(f *fleet) {
		for _, r := range f.all {
			if r.number < routers/20 || r.number%7 == 0 {
				r.stop()
				f.mu.Lock()
				f.stopped[r.addr] = true
				f.mu.Unlock()
			}
		}
		f.change(t, 2)
		time.Sleep(5 * time.Second)
		f.change(t, 3)
	})
}

// TestUpdatesAreStaleAfterSuspension: a router that wakes does not go by updates of others from
// before.
func TestUpdatesAreStaleAfterSuspension(t *testing.T) {
	machine := clocktest.New(t)
	play(t, func(f *fleet) {
		last := f.all[routers-1]
		if !last.updates.UpToDate() {
			t.Fatal("the router watches the store for itself")
		}
		machine.Suspend(10 * time.Second)
		if last.updates.UpToDate() {
			t.Error("updates from before the suspension count as recent")
		}
		if ages := last.updates.Ages(); ages.Config < 10*time.Second || ages.Servers < 10*time.Second {
			t.Errorf("they are %+v old after 10 s", ages)
		}
		watcher := f.all[0].updates
		if age := watcher.Ages().Config; age < 10*time.Second {
			t.Errorf("what the store sent before is %v old", age)
		}
		time.Sleep(2 * time.Second)
		if age := last.updates.Ages().Config; age > f.parts().StaleAfter() {
			t.Errorf("the configuration is %v old 2 s after waking", age)
		}
		if !last.updates.UpToDate() {
			t.Error("no update 2 s after the suspension")
		}
	})
}

// peers carries the reports of a test's routers on requests that crash servers.
type peers struct {
	calls
	self *one
}

// Report implements verdicts.Fleet; members are called by their address.
func (p peers) Report(ctx context.Context, id string, req *peer.VerdictsRequest) (*peer.VerdictsAnswer, error) {
	r, err := p.at(ctx, p.self.addrOf(id))
	if err != nil {
		return nil, err
	}
	p.fleet.mu.Lock()
	p.fleet.reports++
	p.fleet.mu.Unlock()
	return r.verdicts.OnReport(ctx, req)
}

// Listeners implements verdicts.Fleet.
func (p peers) Listeners() []string { return p.self.updates.RelayIDs() }

// Peers implements verdicts.Fleet.
func (p peers) Peers() []string { return p.self.updates.RelayIDs() }

// TestVerdictReachesALargeFleet, with the store away from all and three ends that three
// routers see: all know within a second, which is a third of the time that counts as in
// touch, and those that observe a crash report it to a few routers.
func TestVerdictReachesALargeFleet(t *testing.T) {
	play(t, func(f *fleet) {
		f.cut(func(int) bool { return true })
		time.Sleep(5 * time.Second)
		request := poison.Identity{Body: []byte("k")}.Fingerprint()
		for n := range 3 {
			f.all[7*n+5].verdicts.Broke(placement.Server{ID: "first", Service: "svc", Started: int64(n)}, request)
			time.Sleep(time.Second)
		}
		for _, r := range f.all {
			if _, refused := r.verdicts.Admit(request); !refused {
				t.Errorf("router %d knows nothing a second after the third end", r.number)
			}
		}
		f.mu.Lock()
		defer f.mu.Unlock()
		if most := 3 * (2*domains + 2); f.reports > most+routers {
			t.Errorf("%d reports among %d routers", f.reports, routers)
		}
	})
}

// limitPeers is how the routers of a test report rate limits to each other.
type limitPeers struct{ peers }

// Report implements limits.Fleet; members are called by their address.
func (p limitPeers) Report(ctx context.Context, id string, req *peer.LimitsRequest) (*peer.LimitsAnswer, error) {
	r, err := p.at(ctx, p.self.addrOf(id))
	if err != nil {
		return nil, err
	}
	p.fleet.mu.Lock()
	p.fleet.limitReports++
	p.fleet.mu.Unlock()
	return r.limits.OnReport(ctx, req)
}

// Owners implements limits.Fleet.
func (p limitPeers) Owners(string) []string { return nil }

// Ask implements limits.Fleet.
func (p limitPeers) Ask(context.Context, string, *peer.PermitRequest) (*peer.PermitAnswer, error) {
	return nil, errCut
}

// Guards against routers of a large fleet that do not learn in time that the limit of a
// server has begun or ended, also while the store is away from all, and against reports
// from each router to each other one.
func TestLimitReachesALargeFleet(t *testing.T) {
	play(t, func(f *fleet) {
		f.cut(func(int) bool { return true })
		time.Sleep(5 * time.Second)
		f.mu.Lock()
		f.limitReports = 0
		f.mu.Unlock()
		server := placement.Incarnation{ID: "s1"}
		for n, named := range []bool{true, false} {
			now := time.Now()
			f.all[7*n+5].limits.Observe(limiter.Observation{Server: server, Named: named, Rate: 1.2, Sent: now, Received: now})
			time.Sleep(time.Second)
			for _, r := range f.all {
				if got := r.limits.Limited() == 1; got != named {
					t.Errorf("router %d: limited %v a second after an answer that said %v", r.number, got, named)
				}
			}
		}
		f.mu.Lock()
		defer f.mu.Unlock()
		if most := 2 * (2*domains + 2); f.limitReports > most {
			t.Errorf("%d reports among %d routers", f.limitReports, routers)
		}
	})
}

// gone finds every server gone.
type gone struct{}

func (gone) Check(context.Context, string, placement.Incarnation) upstream.Liveness {
	return upstream.Gone
}

// allWork takes every server for one that takes work.
type allWork struct{}

func (allWork) TakesWork(placement.Incarnation) bool { return true }

func (r *one) addrOf(id string) string {
	addr, _ := r.members.Addr(id)
	return addr
}

// TestListThatServesSeveralRoutersDropsNoNewServer: a router that begins while the list
// for others is a moment old learns of servers that registered since by the next request.
func TestListThatServesSeveralRoutersDropsNoNewServer(t *testing.T) {
	play(t, func(f *fleet) {
		for n := range 12 {
			f.register(t, fmt.Sprint("s", n), false)
			time.Sleep(300 * time.Millisecond)
			f.restart(routers - 1 - n)
		}
		time.Sleep(2 * time.Second)
		if late := f.without(1, 13); len(late) > 0 {
			t.Fatalf("routers %v do not know all servers", late)
		}
	})
}
