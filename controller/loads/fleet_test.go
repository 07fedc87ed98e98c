package loads_test

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
	"storj.io/drpc/drpcerr"

	"github.com/gaplink/gaplink/clock"
	"github.com/gaplink/gaplink/controller/loads"
	"github.com/gaplink/gaplink/controller/members"
	"github.com/gaplink/gaplink/link"
	"github.com/gaplink/gaplink/membership"
	"github.com/gaplink/gaplink/peer"
	"github.com/gaplink/gaplink/placement"
	"github.com/gaplink/gaplink/wait"
)

// The tests here run a fleet of routers in virtual time, with calls between them that take some
// milliseconds. The first routers of each failure domain have the largest links and are its relays.
const (
	oneWay = 3 * time.Millisecond
	// settled is the time after which a load that no longer changes is known everywhere.
	settled = 2 * time.Second
)

var errNoAnswer = errors.New("no answer")

// fleet is a simulated fleet.
type fleet struct {
	ctx     context.Context
	domains int
	servers []placement.Incarnation
	routers []*router

	mu sync.Mutex
	// dead routers answer no call, cut ones neither send nor receive, and old ones do not know the method.
	dead, cut, old map[string]bool
	// parted, if set, reports whether two routers cannot reach each other.
	parted func(from, to string) bool
	// slow is added to the time that an answer takes.
	slow  time.Duration
	calls atomic.Int64
	bytes map[string]int // sent and received, by router
}

// router is a simulated router. It implements loads.Servers and loads.Calls.
type router struct {
	fleet   *fleet
	id      string
	members *members.Controller
	lines   *observer.ObservedLogs
	stop    context.CancelFunc

	*loads.Controller

	mu     sync.Mutex
	own    []placement.ServerLoad
	others map[placement.Incarnation]placement.ServerLoad
	link   link.Load
}

func routerID(n int) string { return fmt.Sprintf("gw-eu-central-%04d", n) }

// newFleet starts a fleet whose servers have the names that a platform gives them.
func newFleet(ctx context.Context, routers, servers, domains int, change func(*loads.Options)) *fleet {
	f := &fleet{ctx: ctx, domains: domains, dead: map[string]bool{}, cut: map[string]bool{}, old: map[string]bool{}, bytes: map[string]int{}}
	for n := range servers {
		f.servers = append(f.servers, placement.Incarnation{ID: fmt.Sprintf("i-%010x", n*7919), Started: 1_800_000_000_000 + int64(n)})
	}
	for n := range routers {
		r := &router{fleet: f, id: routerID(n), members: members.New(f.member(n), nil, 0, zap.NewNop())}
		var all []membership.Member
		for other := range routers {
			all = append(all, f.member(other))
		}
		r.members.Registered(all, nil)
		f.routers = append(f.routers, r)
	}
	for _, r := range f.routers {
		r.start(change)
	}
	return f
}

func (f *fleet) domain(n int) string { return fmt.Sprint("zone-", n%f.domains) }

func (f *fleet) member(n int) membership.Member {
	m := membership.Member{ID: routerID(n), Addr: routerID(n), Domain: f.domain(n), Kind: "router", State: membership.Live, LinkMbps: 10}
	if n < 2*f.domains {
		m.LinkMbps = 200
	}
	return m
}

// start starts a process of a router without any state.
func (r *router) start(change func(*loads.Options)) {
	ctx, cancel := context.WithCancel(r.fleet.ctx)
	core, lines := observer.New(zap.InfoLevel)
	yes := func() bool { return true }
	o := loads.Options{
		Self: r.id, Domain: r.members.Self().Domain, Servers: r, Members: r.members, Calls: r,
		Relays: r.relays, Switch: yes, Large: yes,
		Engines: func() []string { return []string{"model"} },
		Link:    func() (link.Load, bool) { return r.linkLoad(), true },
		Log:     zap.New(core),
	}
	if change != nil {
		change(&o)
	}
	c := loads.New(o)
	r.mu.Lock()
	r.Controller, r.lines, r.stop, r.others = c, lines, cancel, nil
	r.mu.Unlock()
	go c.Run(ctx)
}

func (r *router) linkLoad() link.Load {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.link
}

// relays returns two relays of each domain, those of the router's own domain first.
func (r *router) relays() []string {
	self := r.members.Self().Domain
	ids := r.members.FirstIn(clock.Now(), "watch", self, 2)
	for _, domain := range r.members.Domains() {
		if domain != self {
			ids = append(ids, r.members.FirstIn(clock.Now(), "watch", domain, 2)...)
		}
	}
	return ids
}

// OwnLoad implements loads.Servers.
func (r *router) OwnLoad() []placement.ServerLoad {
	r.mu.Lock()
	defer r.mu.Unlock()
	own := slices.Clone(r.own)
	for i := range own {
		own[i].At = clock.Now()
	}
	return own
}

// SetFleetLoad implements loads.Servers.
func (r *router) SetFleetLoad(all []placement.ServerLoad) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.others = map[placement.Incarnation]placement.ServerLoad{}
	for _, l := range all {
		r.others[l.Server] = l
	}
}

// Processes implements loads.Servers.
func (r *router) Processes(accepts func(string) bool) []placement.Incarnation {
	if !accepts("model") {
		return nil
	}
	return r.fleet.servers
}

// Revision implements loads.Servers.
func (r *router) Revision() int64 { return 1 }

// Exchange implements loads.Calls. It counts the bytes of both messages and their framing.
func (r *router) Exchange(ctx context.Context, addr string, req *peer.LoadRequest) (*peer.LoadAnswer, error) {
	f := r.fleet
	_ = wait.For(ctx, oneWay)
	f.mu.Lock()
	f.calls.Add(1)
	unreachable := f.dead[addr] || f.cut[addr] || f.cut[r.id] || f.parted != nil && f.parted(r.id, addr)
	old, slow := f.old[addr], f.slow
	f.mu.Unlock()
	switch {
	case unreachable:
		<-ctx.Done()
		return nil, errNoAnswer
	case old:
		return nil, drpcerr.WithCode(errors.New("unknown method"), drpcerr.Unimplemented)
	}
	callee := f.router(addr)
	callee.mu.Lock()
	c := callee.Controller
	callee.mu.Unlock()
	answer, err := c.OnExchange(ctx, req)
	if err := wait.For(ctx, oneWay+slow); err != nil {
		return nil, err
	}
	f.count(r.id, addr, req, answer)
	return answer, err
}

func (f *fleet) count(from, to string, messages ...any) {
	size := framing
	for _, m := range messages {
		text, _ := peer.Marshal(m)
		size += len(text)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.bytes[from] += size
	f.bytes[to] += size
}

func (f *fleet) router(id string) *router {
	return f.routers[slices.IndexFunc(f.routers, func(r *router) bool { return r.id == id })]
}

// set changes a fault of a router.
func (f *fleet) set(fault map[string]bool, r *router, on bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	fault[r.id] = on
}

// setOwn sets the requests in flight of a router, by server.
func (r *router) setOwn(inFlight map[int]int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.own = nil
	for server, n := range inFlight {
		r.own = append(r.own, placement.ServerLoad{Server: r.fleet.servers[server], InFlight: n, PendingTokens: int64(n) * 400, Events: 25, EventInterval: 20 * time.Millisecond})
	}
}

// othersAt returns the requests of other routers at a server as a router knows them; false if they are
// unknown.
func (r *router) othersAt(server int) (int, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	l, ok := r.others[r.fleet.servers[server]]
	return l.InFlight, ok && clock.Since(l.At) <= placement.MaxLoadAge
}

// expect fails the test unless the routers know the given number of requests of others at a server; -1
// stands for unknown.
func (f *fleet) expect(t *testing.T, server, want int, routers ...*router) {
	t.Helper()
	for _, r := range routers {
		n, ok := r.othersAt(server)
		if !ok {
			n = -1
		}
		if n != want {
			t.Errorf("%s knows %d requests of others at server %d, want %d", r.id, n, server, want)
		}
	}
}

// simulate runs a test of a fleet of 61 routers in three domains with 90 servers.
func simulate(t *testing.T, body func(*fleet)) { simulateFleet(t, 61, 90, 3, nil, body) }

func simulateFleet(t *testing.T, routers, servers, domains int, change func(*loads.Options), body func(*fleet)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer func() {
			cancel()
			synctest.Wait()
		}()
		f := newFleet(ctx, routers, servers, domains, change)
		body(f)
	})
}

// Guards against routers that do not learn the load of others, or learn their own as that of others.
func TestRoutersLearnLoadsOfOthers(t *testing.T) {
	simulate(t, func(f *fleet) {
		time.Sleep(settled)
		f.routers[0].setOwn(map[int]int{5: 3, 6: 1}) // a relay
		f.routers[40].setOwn(map[int]int{5: 4})
		f.routers[41].setOwn(map[int]int{5: 5})
		time.Sleep(settled)
		f.expect(t, 5, 12, f.routers[1], f.routers[7], f.routers[60])
		f.expect(t, 5, 9, f.routers[0])
		f.expect(t, 5, 8, f.routers[40])
		f.expect(t, 6, 1, f.routers[40], f.routers[1])
		f.expect(t, 6, 0, f.routers[0])
		f.expect(t, 7, 0, f.routers[0], f.routers[40], f.routers[60])
		f.routers[60].mu.Lock()
		l := f.routers[60].others[f.servers[5]]
		f.routers[60].mu.Unlock()
		if l.PendingTokens < 4600 || l.PendingTokens > 5000 || l.Events < 37 || l.Events > 150 || l.EventInterval < 19*time.Millisecond || l.EventInterval > 21*time.Millisecond {
			t.Errorf("%+v", l)
		}
	})
}

// loadSome gives each of the first 21 routers, which include the relays, one request at server 5. Counts
// of this size are exact in messages.
func (f *fleet) loadSome() { f.loadSomeOf(21) }

func (f *fleet) loadSomeOf(routers int) {
	for _, r := range f.routers[:routers] {
		r.setOwn(map[int]int{5: 1})
	}
}

// watch records for some time how long routers do not know the load of others at server 5, and fails the
// test if they know numbers outside a range.
func (f *fleet) watch(t *testing.T, lasts time.Duration, least, most int, routers ...*router) (longestUnknown time.Duration) {
	t.Helper()
	const step = 50 * time.Millisecond
	unknown := map[*router]time.Duration{}
	for begun := time.Now(); time.Since(begun) < lasts; time.Sleep(step) {
		for _, r := range routers {
			if n, ok := r.othersAt(5); !ok {
				unknown[r] += step
				longestUnknown = max(longestUnknown, unknown[r])
			} else if n < least || n > most {
				t.Errorf("%s knows %d after %s, want %d to %d", r.id, n, time.Since(begun), least, most)
			}
		}
	}
	return longestUnknown
}

// Guards against routers that lose the load of others for long with their relay, or keep that of the
// relay, or count routers twice that report to another relay.
func TestRelayDies(t *testing.T) {
	simulate(t, func(f *fleet) {
		f.loadSome()
		time.Sleep(2 * settled)
		f.expect(t, 5, 20, f.routers[:21]...)
		f.set(f.dead, f.routers[0], true)
		f.routers[0].stop()
		// Routers notice within a second, and another two later none is counted twice.
		unknown := f.watch(t, 3*time.Second, 10, 30, f.routers[1:]...)
		t.Logf("unknown for up to %s", unknown)
		if unknown > 500*time.Millisecond {
			t.Errorf("unknown for up to %s", unknown)
		}
		if unknown := f.watch(t, 10*time.Second, 19, 20, f.routers[1:]...); unknown > 0 {
			t.Errorf("unknown for up to %s afterwards", unknown)
		}
		f.expect(t, 5, 19, f.routers[1:21]...)
		f.expect(t, 5, 20, f.routers[21:]...)
	})
}
