package loads_test

import (
	"context"
	"maps"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/gaplink/gaplink/clock"
	"github.com/gaplink/gaplink/link"
	"github.com/gaplink/gaplink/load"
	"github.com/gaplink/gaplink/peer"
)

// Guards against figures of a router that is cut off which are used elsewhere for long, against a cut off
// router that goes on with old figures of others, and against a log line for each failed call.
func TestRouterIsCutOff(t *testing.T) {
	simulate(t, func(f *fleet) {
		f.loadSome()
		time.Sleep(2 * settled)
		cut := f.routers[12]
		f.set(f.cut, cut, true)
		time.Sleep(2 * time.Second)
		f.expect(t, 5, 19, f.routers[0], f.routers[3], f.routers[13], f.routers[14])
		f.expect(t, 5, -1, cut)
		time.Sleep(20 * time.Second)
		f.expect(t, 5, -1, cut)
		if s := cut.Stats(); s.Age >= 0 || len(cut.LinkLoads()) > 0 {
			t.Errorf("%+v, %v", s, cut.LinkLoads())
		}
		f.set(f.cut, cut, false)
		time.Sleep(2*settled + time.Second)
		f.expect(t, 5, 20, f.routers[:21]...)
		known, unknown := cut.lines.FilterMessage("shared server load known").Len(), cut.lines.FilterMessage("shared server load unknown; own counts apply").Len()
		if known != 2 || unknown != 1 || cut.lines.Len() != 3 {
			t.Errorf("%d lines that the load is known, %d that it is unknown, %d in all", known, unknown, cut.lines.Len())
		}
	})
}

// Guards against a relay that goes on with figures of others after it lost them: its routers know those
// that it serves, and no figure that is over two seconds old.
func TestRelayIsPartedFromOtherRelays(t *testing.T) {
	simulate(t, func(f *fleet) {
		f.loadSome()
		time.Sleep(2 * settled)
		zone0 := []string{routerID(0), routerID(3)}
		f.mu.Lock()
		f.parted = func(from, to string) bool {
			return slices.Contains(zone0, from) != slices.Contains(zone0, to) && isRelay(from)
		}
		f.mu.Unlock()
		time.Sleep(2*time.Second + 100*time.Millisecond)
		// Seven of the loaded routers are in zone 0, and fourteen in the others.
		f.expect(t, 5, 6, f.routers[0], f.routers[3], f.routers[6], f.routers[9])
		f.expect(t, 5, 13, f.routers[1], f.routers[5], f.routers[7], f.routers[8])
		f.mu.Lock()
		f.parted = nil
		f.mu.Unlock()
		time.Sleep(3 * settled)
		f.expect(t, 5, 20, f.routers[:21]...)
	})
}

func isRelay(id string) bool { return id <= routerID(5) }

// Guards against a router that is counted at its former relay and at its new one for longer than two
// seconds.
func TestRouterChangesRelay(t *testing.T) {
	simulate(t, func(f *fleet) {
		f.loadSome()
		time.Sleep(2 * settled)
		moved := f.routers[12]
		for _, relay := range []string{routerID(0), routerID(3), routerID(0)} {
			f.mu.Lock()
			f.parted = func(from, to string) bool { return from == moved.id && to == relay }
			f.mu.Unlock()
			f.watch(t, 2*time.Second, 18, 21, f.routers[13:21]...)
			// It notices, reports and is known within three seconds.
			f.watch(t, time.Second, 19, 20, f.routers[13:21]...)
			if unknown := f.watch(t, 2*time.Second, 20, 20, f.routers[13:21]...); unknown > 0 {
				t.Errorf("unknown for %s", unknown)
			}
			f.expect(t, 5, 20, moved)
		}
	})
}

// Guards against the figures of a former process that add to those of the next one, and against a relay
// that answers with a part of the load after its restart.
func TestRestart(t *testing.T) {
	simulate(t, func(f *fleet) {
		f.loadSome()
		time.Sleep(2 * settled)
		for _, n := range []int{12, 0} {
			r := f.routers[n]
			r.stop()
			r.setOwn(map[int]int{6: 2})
			r.start(nil)
			f.watch(t, 2*time.Second, 8, 21, f.routers[13:21]...)
			time.Sleep(2 * time.Second)
			f.expect(t, 6, 0, r)
			f.expect(t, 6, 2, f.routers[13])
			r.setOwn(map[int]int{5: 1})
			time.Sleep(settled)
			f.expect(t, 5, 20, f.routers[:21]...)
			f.expect(t, 6, 0, f.routers[:21]...)
		}
	})
}

// Guards against messages of a faulty router that change what others know of the rest, stop a relay, or
// fill its log.
func TestNonsense(t *testing.T) {
	simulate(t, func(f *fleet) {
		f.loadSome()
		time.Sleep(2 * settled)
		relay := f.routers[0]
		now := clock.Now()
		huge, _ := load.Pack([]load.Entry{{Server: load.ServerKey(f.servers[5]), InFlight: 500_000, At: now}, {Server: load.ServerKey(f.servers[6]), InFlight: 7, At: now}}, now, 100)
		for n, req := range []*peer.LoadRequest{
			{From: "faulty", Servers: huge},
			{From: "faulty", Seq: 9, Servers: []byte{1, 2, 3}},
			{From: "faulty", Seq: 10, Links: []peer.DomainLinks{{Domain: "zone-0", Packed: []byte{1}}}},
			{From: "relay", Relay: true, Servers: huge},
			{},
		} {
			if _, err := relay.OnExchange(context.Background(), req); err != nil {
				t.Errorf("message %d: %v", n, err)
			}
		}
		if s := relay.Stats(); s.Dropped != 4 {
			t.Errorf("%d figures dropped", s.Dropped)
		}
		time.Sleep(600 * time.Millisecond)
		if n, _ := f.routers[13].othersAt(5); n != 20 {
			t.Errorf("%d in flight", n)
		}
		if n := relay.lines.FilterMessage("server load figures dropped").Len(); n != 1 {
			t.Errorf("%d lines", n)
		}
	})
}

// Guards against routers of a failure domain that do not know each other's link load, know those of other
// domains, or go on with that of a router that died.
func TestLinkLoads(t *testing.T) {
	simulate(t, func(f *fleet) {
		for n, r := range f.routers {
			r.mu.Lock()
			r.link = link.Load{In: float64(n%20) / 20, Out: 0.1}
			r.mu.Unlock()
		}
		time.Sleep(2 * settled)
		for _, n := range []int{0, 3, 9, 60} {
			all := f.routers[n].LinkLoads()
			if len(all) != 20 {
				t.Errorf("%s knows the links of %d routers", f.routers[n].id, len(all))
			}
			if in := all[routerID(18)].In; in != 0.9 {
				t.Errorf("%s knows a load of %g", f.routers[n].id, in)
			}
		}
		f.set(f.dead, f.routers[18], true)
		f.routers[18].stop()
		time.Sleep(2*time.Second + 100*time.Millisecond)
		if all := f.routers[9].LinkLoads(); len(all) != 19 {
			t.Errorf("%v", slices.Sorted(maps.Keys(all)))
		}
	})
}

// Guards against figures that are older than two seconds and still used, when a relay answers late: the
// age counts from when the request was sent.
func TestSlowAnswersAreNotNewer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer func() {
			cancel()
			synctest.Wait()
		}()
		f := newFleet(ctx, 61, 90, 3, nil)
		f.loadSome()
		time.Sleep(2 * settled)
		f.mu.Lock()
		f.slow = 300 * time.Millisecond
		f.mu.Unlock()
		for range 60 {
			time.Sleep(100 * time.Millisecond)
			for _, r := range f.routers[6:] {
				if s := r.Stats(); s.Age >= 0 && s.Age < 300*time.Millisecond {
					t.Fatalf("%s knows figures of %s ago", r.id, s.Age)
				}
			}
		}
	})
}
