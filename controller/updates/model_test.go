package updates_test

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"runtime"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"github.com/gaplink/gaplink/controller/roster"
	"github.com/gaplink/gaplink/membership"
	"github.com/gaplink/gaplink/peer"
	"github.com/gaplink/gaplink/placement"
	"github.com/gaplink/gaplink/store"
	"github.com/gaplink/gaplink/wait"
	"github.com/gaplink/gaplink/wakeups"
)

// This file models a whole fleet in virtual time: its start, its idle state and the propagation of
// changes. The controllers of membership, updates and servers are the production code; the store
// answers within some milliseconds in pages of 500, and servers renew their registrations. For
// large fleets:
//
//	go test ./controller/updates -run TestFleetStartsRestsAndFollows -v -fleet 984
var fleetSize = flag.Int("fleet", 60, "routers of the modelled fleet, each with ten backend servers")

const (
	// modelBound is the operator's bound on a change in a fleet of a thousand routers.
	modelBound = 5 * time.Second
	// serversEach is how many backend servers there are for each router.
	serversEach = 10
	// storePage is how many objects the store returns in one answer, and storeTakes the latency of
	// an answer.
	storePage  = 500
	storeTakes = 6 * time.Millisecond
	// listTakes is how long a list of all servers occupies the store's link: lists for all routers
	// would take minutes.
	listTakes = 300 * time.Millisecond
	// renewEvery is how often a backend server renews its registration.
	renewEvery = 3 * time.Second
)

// pagedStore is a store that returns lists in pages, each of which counts as a call.
type pagedStore struct{ routerStore }

func (s pagedStore) List(ctx context.Context, kind string) ([]store.Object, int64, error) {
	all, revision, err := s.routerStore.List(ctx, kind)
	pages := 1 + len(all)/storePage
	for range pages - 1 {
		s.count()
	}
	takes := time.Duration(pages) * storeTakes
	if kind == "servers" {
		s.fleet.count(&s.fleet.lists, 1)
		takes = s.fleet.occupyLink(listTakes)
	}
	if err == nil {
		err = wait.For(ctx, takes)
	}
	return all, revision, err
}

// occupyLink reserves the store's link for a time after the transfers already queued, and returns
// the time until the end of the reservation.
func (f *fleet) occupyLink(takes time.Duration) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	if f.linkFree.Before(now) {
		f.linkFree = now
	}
	f.linkFree = f.linkFree.Add(takes)
	return f.linkFree.Sub(now)
}

func (s pagedStore) ListStale(ctx context.Context, kind string) ([]store.Object, int64, error) {
	return s.List(ctx, kind)
}

// modelMember returns a router of the model. One in twenty has a large link, in every failure domain.
func modelMember(n int) membership.Member {
	m := membership.Member{
		ID: fmt.Sprintf("r%04d", n), Kind: "router", Addr: fmt.Sprintf("10.1.%d.%d:1", n/250, n%250),
		Domain: fmt.Sprint("z", n%domains), State: membership.Live, LinkMbps: 20,
	}
	if n%(20*domains) < domains {
		m.LinkMbps = 1000
	}
	return m
}

// Hello implements roster.Calls.
func (c fleetCalls) Hello(ctx context.Context, addr string, req *peer.HelloRequest) (*peer.HelloAnswer, error) {
	r, err := c.at(ctx, addr)
	if err != nil {
		return nil, err
	}
	c.fleet.count(&c.fleet.hellos, 1)
	return r.roster.Hello(ctx, req)
}

// startModel starts a router of the model.
func (f *fleet) startModel(n int, first bool) *testRouter {
	self := modelMember(n)
	seeds := []string{modelMember(11).Addr, modelMember(12).Addr, modelMember(13).Addr}
	r := f.build(n, self, func(r *testRouter) *roster.Controller {
		return roster.New(roster.Options{
			Self:       peer.Router{ID: self.ID, Addr: self.Addr, Domain: self.Domain, Incarnation: self.ID + "/1", LinkMbps: self.LinkMbps},
			Seeds:      func() []string { return seeds },
			Contacts:   func(domain string) []string { return r.updates.ContactIDs(domain) },
			FirstStart: first,
			Store:      pagedStore{routerStore{f.objects, n, f}},
			Members:    r.members,
			Calls:      fleetCalls{f},
			Log:        zap.NewNop(),
		})
	})
	go r.roster.Run(r.ctx)
	go func() {
		select {
		case <-r.roster.Introduced():
			r.run()
		case <-r.ctx.Done():
		}
	}()
	return r
}

// renew renews the registrations of servers until the context ends.
func (f *fleet) renew(ctx context.Context, servers int) {
	for ctx.Err() == nil {
		for n := range servers {
			key := fmt.Sprintf("servers/s%05d", n)
			if o, err := f.objects.Get(ctx, key); err == nil {
				_, _ = f.objects.Update(ctx, key, o.Version, renewed(o.Value)) // it may have left meanwhile
			}
			if n%100 == 99 {
				_ = wait.For(ctx, renewEvery*100/time.Duration(servers))
			}
		}
	}
}

// renewed returns a registration after its next renewal.
func renewed(value []byte) []byte {
	var s placement.Server
	if json.Unmarshal(value, &s) != nil {
		return value
	}
	s.Renewals++
	text, err := json.Marshal(s)
	if err != nil {
		return value
	}
	return text
}

// totals are the counters of a fleet.
type totals struct{ calls, requests, pages, pageBytes, hellos int }

func (f *fleet) totals() totals {
	f.mu.Lock()
	defer f.mu.Unlock()
	return totals{f.calls, f.requests, f.pages, f.pageBytes, f.hellos}
}

// waitForAll waits until all routers have a configuration version and a number of servers, and
// returns how long that took.
func (f *fleet) waitForAll(t *testing.T, version int64, servers int, within time.Duration) time.Duration {
	t.Helper()
	for begun := time.Now(); ; time.Sleep(50 * time.Millisecond) {
		late := f.behind(version, servers)
		if len(late) == 0 {
			return time.Since(begun)
		}
		if time.Since(begun) > within {
			t.Fatalf("%d routers are behind after %v, the first is %d: %d servers", len(late), within, late[0], f.all[late[0]].servers.Counts()["svc"].Up)
		}
	}
}

// TestFleetStartsRestsAndFollows checks the values that must not grow with the fleet, which are the
// store calls at startup and when idle and each router's requests, and that a change propagates in
// time.
func TestFleetStartsRestsAndFollows(t *testing.T) {
	size := *fleetSize
	for _, first := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			f := &fleet{within: modelBound, size: size}
			f.prepare(t)
			servers := size * serversEach
			for n := range servers {
				f.put(t, fmt.Sprintf("servers/s%05d", n), placement.Server{Service: "svc", Address: fmt.Sprintf("10.9.%d.%d:80", n/250, n%250), Domain: fmt.Sprint("z", n%domains), Slots: 32})
			}
			if !first {
				for n := range size {
					m := modelMember(n)
					f.put(t, "routers/"+m.ID, peer.Router{ID: m.ID, Addr: m.Addr, Domain: m.Domain, LinkMbps: m.LinkMbps})
				}
			}
			go f.renew(t.Context(), servers)
			for n := range size {
				f.startModel(n, first)
			}
			took := f.waitForAll(t, 1, servers, 8*time.Second)
			start := f.totals()
			t.Logf("first start %v: all routers up to date after %v; %d store calls, %d introductions, %d requests, %d pages of %d KB", first, took,
				start.calls, start.hellos, start.requests, start.pages, start.pageBytes/1024)
			lists := 2*(1+servers/storePage) + 5*(1+size/storePage)
			if most := lists + size + 200; start.calls > most {
				t.Errorf("%d calls of the store, %d are expected", start.calls, most)
			}
			if f.lists > 4 {
				t.Errorf("%d lists of all servers were read from the store", f.lists)
			}
			f.checkIdle(t, size)
			f.checkPropagation(t, servers)
			f.checkBurst(t, servers-servers/20)
			f.checkRelayLoss(t)
		})
		runtime.GC()
	}
}

func sum(counts map[wakeups.Purpose]int64) (all int64) {
	for _, n := range counts {
		all += n
	}
	return all
}

// checkIdle checks the load of a fleet without changes.
func (f *fleet) checkIdle(t *testing.T, size int) {
	t.Helper()
	const span = 10 * time.Second
	time.Sleep(3 * time.Second)
	before, woken := f.totals(), wakeups.Counts()
	time.Sleep(span)
	now := f.totals()
	perRouter := func(n int64) float64 { return float64(n) / span.Seconds() / float64(size) }
	for purpose, n := range wakeups.Counts() {
		t.Logf("%.2f wakeups a second for %v", perRouter(n-woken[purpose]), purpose)
	}
	if all := perRouter(sum(wakeups.Counts()) - sum(woken)); all >= 10 {
		t.Errorf("a router wakes %.1f times a second", all)
	}
	each := float64(now.requests-before.requests) / span.Seconds() / float64(size)
	calls := float64(now.calls-before.calls) / span.Seconds()
	t.Logf("idle: %.1f store calls a second, %.2f requests a second and router", calls, each)
	if each > 2 {
		t.Errorf("%.2f requests a second and router", each)
	}
	renewals := float64(size*serversEach) / renewEvery.Seconds()
	if most := 4 + 2*(7+renewals/300); calls > most { // by the two watchers
		t.Errorf("%.1f calls of the store a second", calls)
	}
	if now.pages != before.pages {
		t.Errorf("%d pages of lists were read", now.pages-before.pages)
	}
}

// checkPropagation checks that a configuration and the removal of servers reach all routers in time.
func (f *fleet) checkPropagation(t *testing.T, servers int) {
	t.Helper()
	f.configure(t, 2)
	for n := range servers / 20 {
		key := fmt.Sprintf("servers/s%05d", n)
		if err := f.remove(strings.TrimPrefix(key, "servers/")); err != nil {
			t.Fatal(err)
		}
	}
	t.Logf("changes at all routers after %v", f.waitForAll(t, 2, servers-servers/20, modelBound))
}

// checkBurst registers many servers within a second and checks that no answer is too large for a
// small link and that all routers learn of the servers in time.
func (f *fleet) checkBurst(t *testing.T, servers int) {
	t.Helper()
	const parts, answerMost = 10, 64 << 10
	more := servers / 2
	for n := range more {
		f.put(t, fmt.Sprintf("servers/t%05d", n), placement.Server{Service: "svc", Address: fmt.Sprintf("10.8.%d.%d:80", n/250, n%250), Domain: fmt.Sprint("z", n%domains), Slots: 32})
		if n%(more/parts) == 0 {
			time.Sleep(time.Second / parts)
		}
	}
	took := f.waitForAll(t, 2, servers+more, modelBound)
	f.mu.Lock()
	defer f.mu.Unlock()
	t.Logf("%d new servers at all routers after %v, in answers of %d bytes at the most", more, took, f.largest)
	if f.largest > answerMost {
		t.Errorf("an answer has %d bytes", f.largest)
	}
}

// checkRelayLoss stops a relay and checks that the routers that it updated read no list because of
// that.
func (f *fleet) checkRelayLoss(t *testing.T) {
	t.Helper()
	before := f.totals()
	relay := f.all[0].updates.ContactIDs(modelMember(1).Domain)[0]
	for _, r := range f.all {
		if r.members.Self().ID == relay {
			r.stop()
			f.mu.Lock()
			f.stopped[r.addr] = true
			f.mu.Unlock()
		}
	}
	time.Sleep(3 * time.Second)
	if now := f.totals(); now.pages > before.pages {
		t.Errorf("%d pages of lists were read after a relay was lost", now.pages-before.pages)
	}
}
