package roster_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"github.com/gaplink/gaplink/controller/members"
	"github.com/gaplink/gaplink/controller/roster"
	"github.com/gaplink/gaplink/membership"
	"github.com/gaplink/gaplink/peer"
	"github.com/gaplink/gaplink/store"
	"github.com/gaplink/gaplink/store/memory"
	"github.com/gaplink/gaplink/wait"
)

// These tests start fleets of many sizes in virtual time, without a network. The work of a router
// at its start must not grow with the fleet, and no router may treat a fleet as small before it
// knows the size.

// fleet is a set of routers and their store.
type fleet struct {
	objects *store.Counting
	seeds   []string
	// seedsDown makes all calls to the seeds fail.
	seedsDown bool

	mu     sync.Mutex
	hellos int
	// most is the number of hellos that each router received.
	most map[string]int
	all  map[string]*roster.Controller
}

var errUnreachable = errors.New("connection refused")

// Hello implements roster.Calls.
func (f *fleet) Hello(ctx context.Context, addr string, req *peer.HelloRequest) (*peer.HelloAnswer, error) {
	f.mu.Lock()
	f.hellos++
	f.most[addr]++
	asked := f.all[addr]
	dead := f.seedsDown && slices.Contains(f.seeds, addr)
	f.mu.Unlock()
	if err := wait.For(ctx, time.Millisecond); err != nil || asked == nil || dead {
		return nil, errUnreachable
	}
	return asked.Hello(ctx, req)
}

func address(n int) string { return fmt.Sprintf("10.0.%d.%d:1", n/250, n%250) }

// member returns the nth router. Every twentieth has a large link.
func member(n int) peer.Router {
	r := peer.Router{ID: fmt.Sprintf("r%04d", n), Addr: address(n), Domain: fmt.Sprint("z", n%5), Incarnation: fmt.Sprint(n, "/1"), LinkMbps: 20}
	if n%20 == 7 {
		r.LinkMbps = 1000
	}
	return r
}

// contacts is the number of routers that send updates to the others in the tests.
const contacts = 12

// start starts the nth router.
func (f *fleet) start(ctx context.Context, n int, first bool) *roster.Controller {
	self := member(n)
	known := members.New(membership.Member{ID: self.ID, Kind: "router", Addr: self.Addr, Domain: self.Domain, State: membership.Live, LinkMbps: self.LinkMbps}, nil, 0, zap.NewNop())
	c := roster.New(roster.Options{
		Self:       self,
		Seeds:      func() []string { return f.seeds },
		Contacts:   func(string) []string { return known.Largest(time.Now(), "watch", contacts) },
		FirstStart: first,
		Store:      f.objects,
		Members:    known,
		Calls:      f,
		Log:        zap.NewNop(),
	})
	f.mu.Lock()
	f.all[self.Addr] = c
	f.mu.Unlock()
	go c.Run(ctx)
	return c
}

func newFleet() *fleet {
	return &fleet{
		objects: store.NewCounting(memory.New()), seeds: []string{address(0), address(11), address(12)},
		most: map[string]int{}, all: map[string]*roster.Controller{},
	}
}

// startAll starts the given number of routers together.
func (f *fleet) startAll(ctx context.Context, routers int, first bool) (all []*roster.Controller) {
	for n := range routers {
		all = append(all, f.start(ctx, n, first))
	}
	return all
}

// lists returns the number of list calls to the store.
func (f *fleet) lists() int64 {
	n := int64(0)
	for p, calls := range f.objects.ByPurpose() {
		if p.Call == store.CallList || p.Call == store.CallStaleList {
			n += calls
		}
	}
	return n
}

// Guards against introductions of each router to all others, list calls to the store by each
// router, and routers that treat a large fleet as small before they know the others.
func TestStartDoesNotGrowWithTheFleet(t *testing.T) {
	for _, routers := range []int{16, 87, 300, 984, 2000} {
		for _, first := range []bool{true, false} {
			t.Run(fmt.Sprint(routers, " first start ", first), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					f := newFleet()
					if !first {
						f.registerAll(t, routers)
					}
					all := f.startAll(t.Context(), routers, first)
					for range 40 {
						time.Sleep(100 * time.Millisecond)
						for n, c := range all {
							if !c.IsLarge() {
								t.Fatalf("router %d treats the fleet as small", n)
							}
						}
					}
					for n, c := range all {
						select {
						case <-c.Introduced():
						default:
							t.Fatalf("router %d does not know the fleet after 4 s", n)
						}
						if c.Size() != routers {
							t.Errorf("router %d knows %d routers", n, c.Size())
						}
					}
					f.mu.Lock()
					defer f.mu.Unlock()
					if f.hellos > 4*routers {
						t.Errorf("%d introductions among %d routers", f.hellos, routers)
					}
					if n := f.lists(); n > int64(len(f.seeds)) {
						t.Errorf("%d lists of the store", n)
					}
				})
			})
		}
	}
}

// registerAll writes the registrations of routers that ran before.
func (f *fleet) registerAll(t *testing.T, routers int) {
	t.Helper()
	for n := range routers {
		value, err := json.Marshal(member(n))
		if err != nil {
			t.Fatal(err)
		}
		if _, err := f.objects.Create(t.Context(), roster.Kind+"/"+member(n).ID, value); err != nil {
			t.Fatal(err)
		}
	}
}

// Guards against a fleet that waits for seeds that never return.
func TestFleetStartsWithoutItsSeeds(t *testing.T) {
	for _, routers := range []int{3, 300} {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet()
			f.seedsDown = true
			f.registerAll(t, routers)
			all := f.startAll(t.Context(), routers, false)
			time.Sleep(4 * time.Second)
			for n, c := range all {
				if c.Size() != routers || c.IsLarge() != (routers >= roster.Large) {
					t.Errorf("router %d of %d: %d routers, large %v", n, routers, c.Size(), c.IsLarge())
				}
			}
		})
	}
}

// Guards against routers of a small fleet that know only their seeds, or don't know each other's
// incarnations, which they need to lend each other tokens.
func TestRoutersOfASmallFleetMeet(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const routers = 6
		f := newFleet()
		all := f.startAll(t.Context(), routers, true)
		time.Sleep(3 * time.Second)
		for n, c := range all {
			if c.IsLarge() || c.Size() != routers {
				t.Errorf("router %d: %d routers, large %v", n, c.Size(), c.IsLarge())
			}
			for other := range routers {
				if m, ok := c.Members.Get(member(other).ID); other != n && (!ok || m.Incarnation != member(other).Incarnation) {
					t.Errorf("router %d has not met router %d: %+v", n, other, m)
				}
			}
		}
	})
}

// Guards against routers that ignore a deleted registration reported by another router, and against
// a deleted registration that a stale update restores.
func TestRegistrationsAreFollowed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const routers = 40
		f := newFleet()
		f.registerAll(t, routers)
		all := f.startAll(t.Context(), routers, false)
		time.Sleep(4 * time.Second)
		seed, other := all[0], all[39]
		list, revision := seed.All()
		other.ApplyList(list, revision)
		if other.Size() != routers || other.Revision() != revision {
			t.Fatalf("%d routers at revision %d", other.Size(), other.Revision())
		}
		seed.Changed([]store.Object{{Key: roster.Kind + "/" + member(20).ID, Version: revision + 1, Deleted: true}})
		seed.Advanced(revision + 1)
		changes, held := seed.Since(revision, 100)
		if !held || len(changes.Values) != 1 || changes.UpTo != revision+1 {
			t.Fatalf("%+v, held %v", changes, held)
		}
		other.ApplyUpdate(changes.Values, changes.UpTo)
		other.ApplyUpdate(list, revision)
		other.ApplyList(list, revision)
		if _, known := other.Members.Get(member(20).ID); known || other.Size() != routers-1 {
			t.Errorf("a router whose registration was deleted is known: %v, %d routers", known, other.Size())
		}
	})
}

// Guards against taking the process that wrote a registration for the running one, and against a
// registration that clears a known incarnation.
func TestRegistrationDoesNotNameTheProcess(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet()
		f.registerAll(t, 40)
		c := f.start(t.Context(), 0, false)
		time.Sleep(time.Second)
		if m, ok := c.Members.Get(member(5).ID); !ok || m.Incarnation != "" {
			t.Fatalf("%+v", m)
		}
		if _, err := c.Hello(t.Context(), &peer.HelloRequest{Self: member(5)}); err != nil {
			t.Fatal(err)
		}
		list, revision := c.All()
		c.ApplyList(list, revision+1)
		if m, _ := c.Members.Get(member(5).ID); m.Incarnation != member(5).Incarnation {
			t.Errorf("the known incarnation was cleared: %+v", m)
		}
	})
}
