package paths_test

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/gaplink/gaplink/clock"
	"github.com/gaplink/gaplink/controller/paths"
	"github.com/gaplink/gaplink/placement"
	"github.com/gaplink/gaplink/reach"
	"github.com/gaplink/gaplink/tunnel"
	"github.com/gaplink/gaplink/upstream"
)

// fleet is a number of routers of which some are cut off from all servers.
type fleet struct {
	routers []*paths.Controller
	ids     []string
	cut     int

	mu     sync.Mutex
	opened map[string]int
	asked  int
	// closes is set if servers close each connection at once.
	closes bool
}

var (
	allServers = reach.Group{Service: "m", Domain: "a"}
	errCut     = errors.New("cut off")
)

// oneServer is a registry with one server in each group.
type oneServer struct{}

func (oneServer) OfGroup(g reach.Group, _ placement.Incarnation, _ int) []placement.Server {
	return []placement.Server{{ID: "s", Service: g.Service, Domain: g.Domain}}
}
func (oneServer) RestoreGroup(reach.Group) {}

// view is the fleet as seen by one router.
type view struct {
	*fleet
	self int
}

func (v view) Others(reach.Group) []string {
	others := make([]string, 0, len(v.ids))
	for i, id := range v.ids {
		if i != v.self {
			others = append(others, id)
		}
	}
	return others
}

func (f *fleet) index(id string) int {
	var n int
	_, _ = fmt.Sscanf(id, "r%d", &n)
	return n
}

func (v view) Reach(_ context.Context, id string, g reach.Group) (bool, []string, error) {
	v.mu.Lock()
	v.asked++
	v.mu.Unlock()
	direct, through := v.routers[v.index(id)].Reaches(g)
	return direct, through, nil
}

func (v view) Open(_ context.Context, id string, s placement.Server) (net.Conn, int, error) {
	if v.index(id) < v.cut {
		return nil, 0, &tunnel.RouterError{Router: id, Err: errCut}
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.opened[id]++
	near, far := net.Pipe()
	if v.closes {
		_ = far.Close()
	}
	return near, v.opened[id], nil
}

func newFleet(routers, cut int) *fleet {
	f := &fleet{cut: cut, opened: map[string]int{}}
	for i := range routers {
		f.ids = append(f.ids, fmt.Sprintf("r%d", i))
		f.routers = append(f.routers, paths.New(paths.Options{
			Servers: oneServer{}, Fleet: view{f, i},
			Ping: func(context.Context, placement.Server, upstream.PingRequest) error {
				if i < f.cut {
					return errCut
				}
				return nil
			},
			HealthPath: func(string) string { return "" }, CutOff: func(reach.Group) {},
			StoreAnswered: clock.Now, Log: zap.NewNop(),
		}))
	}
	return f
}

// Guards against routers that find no way to the servers although one leads there, and against all of them
// taking the same way. Callers are to be served from 3 s after a partition began; it is noticed after
// half a second.
func TestRoutersCutOffFindTheOthers(t *testing.T) {
	for _, c := range []struct{ routers, cut int }{{6, 1}, {6, 3}, {6, 5}, {87, 1}, {87, 41}, {87, 86}, {300, 1}, {300, 150}, {300, 299}} {
		t.Run(fmt.Sprintf("%d of %d", c.cut, c.routers), func(t *testing.T) {
			t.Parallel()
			f := newFleet(c.routers, c.cut)
			ctx, cancel := context.WithTimeout(t.Context(), 2500*time.Millisecond)
			defer cancel()
			for _, r := range f.routers[:c.cut] {
				r.ConnectFailed(clock.Now(), allServers, placement.Incarnation{ID: "s"})
			}
			for ctx.Err() == nil {
				for _, r := range f.routers[:c.cut] {
					r.Tick(ctx, clock.Now())
				}
				time.Sleep(100 * time.Millisecond)
			}
			const connections = 8
			failed := 0
			for _, r := range f.routers[:c.cut] {
				if len(r.CutOffGroups()) != 1 {
					failed++
					continue
				}
				for range connections {
					conn, _, err := r.Open(t.Context(), placement.Server{ID: "s", Service: "m", Domain: "a"})
					if err != nil {
						failed++
						break
					}
					_ = conn.Close()
				}
			}
			most := 0
			for _, n := range f.opened {
				most = max(most, n)
			}
			reaching := c.routers - c.cut
			even := float64(c.cut*connections) / float64(reaching)
			t.Logf("%d found no way; most connections %d, evenly %.1f; %.1f questions a router", failed, most, even, float64(f.asked)/float64(c.cut))
			if failed > 0 {
				t.Errorf("%d of %d routers found no way", failed, c.cut)
			}
			if limit := max(4*even, 2*connections); float64(most) > limit {
				t.Errorf("%d connections through one router, %.1f if they were spread evenly", most, even)
			}
		})
	}
}

// Guards against questions to other routers while nothing is wrong.
func TestNothingIsAskedWhileServersRespond(t *testing.T) {
	f := newFleet(6, 0)
	r := f.routers[0]
	for range 100 {
		r.Sent(allServers)
		r.Responded(allServers)
		r.Ended(allServers)
		r.Tick(t.Context(), clock.Now())
	}
	if f.asked != 0 || len(f.opened) != 0 {
		t.Errorf("%d questions, connections %v", f.asked, f.opened)
	}
}

// Guards against a server that has crashed and counts as alive, so that the request which ended it is sent
// on, because a connection through another router is accepted on its behalf and closed.
func TestServerThatClosesConnectionsIsNotReachedElsewhere(t *testing.T) {
	for _, closes := range []bool{true, false} {
		f := newFleet(3, 1)
		f.closes = closes
		reached := f.routers[0].ReachedElsewhere(t.Context(), placement.Server{ID: "s", Service: "m", Domain: "a"})
		if reached == closes {
			t.Errorf("closes %v, reached %v", closes, reached)
		}
	}
}
