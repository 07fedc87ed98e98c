package loads_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/gaplink/gaplink/clock"
	"github.com/gaplink/gaplink/controller/loads"
	"github.com/gaplink/gaplink/load"
	"github.com/gaplink/gaplink/peer"
	"github.com/gaplink/gaplink/placement"
)

// framing is the number of bytes that the tests add to a request and its answer.
const framing = 64

// loadAll gives each router requests at a number of random servers.
func (f *fleet) loadAll(servers int) {
	rng := rand.New(rand.NewPCG(3, 4))
	for _, r := range f.routers {
		inFlight := map[int]int{}
		for _, server := range rng.Perm(len(f.servers))[:servers] {
			inFlight[server] = 1 + rng.IntN(3)
		}
		r.setOwn(inFlight)
	}
}

// Guards against messages that take more than 2 KB a second of a router, or more of a relay than its link
// can carry beside requests, with every router loading the given number of servers.
func TestTrafficIsBounded(t *testing.T) {
	for _, c := range []struct {
		routers, servers, domains, loaded int
		// known is the minimum number of servers whose load all routers must know, and relay the bound on
		// a relay's traffic in bytes a second, sent and received.
		known int
		relay int
	}{
		{61, 90, 3, 20, 90, 60_000},
		{61, 90, 3, 64, 50, 60_000},
		{300, 90, 5, 20, 90, 120_000},
		{300, 90, 5, 64, 50, 120_000},
		{984, 10_000, 5, 25, 85, 450_000},
	} {
		t.Run(fmt.Sprintf("%d routers, %d servers, each router at %d", c.routers, c.servers, c.loaded), func(t *testing.T) {
			simulateFleet(t, c.routers, c.servers, c.domains, nil, func(f *fleet) {
				f.loadAll(c.loaded)
				time.Sleep(2 * settled)
				f.mu.Lock()
				clear(f.bytes)
				f.mu.Unlock()
				const lasts = 16 * time.Second // long enough that an exchange more or less does not matter
				time.Sleep(lasts)
				f.mu.Lock()
				defer f.mu.Unlock()
				router, relay, known := 0, 0, c.servers
				var oldest time.Duration
				for n, r := range f.routers {
					bytes := f.bytes[r.id] * int(time.Second) / int(lasts)
					if n < 2*c.domains {
						relay = max(relay, bytes)
						continue
					}
					s := r.Stats()
					router, known, oldest = max(router, bytes), min(known, s.Servers), max(oldest, s.Age)
				}
				t.Logf("%d bytes a second at a router, %d at a relay; load of %d servers known, up to %s old", router, relay, known, oldest.Round(time.Millisecond))
				if router > 2000 || relay > c.relay {
					t.Errorf("%d bytes a second at a router, %d at a relay", router, relay)
				}
				if known < c.known || oldest > placement.MaxLoadAge {
					t.Errorf("load of %d servers known, up to %s old", known, oldest)
				}
			})
		})
	}
}

// Guards against framing that takes more bytes of the protocol between routers than the controller and
// the tests assume, and against fields that are lost on the way.
func TestMessagesOnTheWire(t *testing.T) {
	now := clock.Now()
	req := &peer.LoadRequest{From: routerID(1), Process: 1 << 31, Seq: 1 << 20, Links: []peer.DomainLinks{{Domain: "zone-1", Packed: make([]byte, 5)}}}
	answer := &peer.LoadAnswer{Known: true, Age: 1200, Complete: true, Links: make([]byte, 120)}
	for n := range 64 {
		e := load.Entry{Server: load.Key(n), InFlight: n, PendingTokens: 9000, Events: 9, EventInterval: 30 * time.Millisecond, At: now}
		packed, _ := load.Pack([]load.Entry{e}, now, 100)
		req.Servers = append(req.Servers, packed...)
		answer.Servers = append(answer.Servers, packed...)
	}
	var received *peer.LoadRequest
	m := peer.NewMux()
	peer.Handle(m, peer.MethodLoad, func(_ context.Context, r *peer.LoadRequest) (*peer.LoadAnswer, error) {
		received = r
		return answer, nil
	})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = peer.Serve(t.Context(), listener, m) }()
	client := peer.NewClient(peer.Options{DialTimeout: time.Second})
	defer func() { _ = client.Close() }()
	got, err := loads.NewPeerCalls(client).Exchange(t.Context(), listener.Addr().String(), req)
	if err != nil || fmt.Sprint(got) != fmt.Sprint(answer) || fmt.Sprint(received) != fmt.Sprint(req) {
		t.Fatalf("%+v, %+v, %v", received, got, err)
	}
	sent, _ := peer.Marshal(req)
	back, _ := peer.Marshal(answer)
	if extra := int(client.Bytes()) - len(sent) - len(back); extra > framing {
		t.Errorf("%d bytes besides the messages", extra)
	} else {
		t.Logf("request %d, answer %d, framing %d bytes", len(sent), len(back), extra)
	}
}

// Guards against messages in a small fleet, from a router whose settings switch the exchange off, or
// where no server has an engine.
func TestNothingIsSentWhereItIsNotNeeded(t *testing.T) {
	no := func() bool { return false }
	for name, change := range map[string]func(*loads.Options){
		"small fleet": func(o *loads.Options) { o.Large = no },
		"switch":      func(o *loads.Options) { o.Switch = no },
		"no engine":   func(o *loads.Options) { o.Engines = func() []string { return nil } },
		"no server":   func(o *loads.Options) { o.Engines = func() []string { return []string{"other"} } },
	} {
		t.Run(name, func(t *testing.T) {
			simulateFleet(t, 20, 9, 2, change, func(f *fleet) {
				f.loadSomeOf(20)
				time.Sleep(10 * time.Second)
				if n := f.calls.Load(); n > 0 {
					t.Errorf("%d calls", n)
				}
				f.expect(t, 5, -1, f.routers...)
				if s := f.routers[3].Stats(); s.Age >= 0 || s.Servers != 0 || len(f.routers[3].LinkLoads()) != 0 {
					t.Errorf("%+v, %v", s, f.routers[3].LinkLoads())
				}
			})
		})
	}
}

// Guards against routers that keep calling those of an older release, or that lose the load that newer
// ones share.
func TestOlderReleases(t *testing.T) {
	simulate(t, func(f *fleet) {
		for _, r := range f.routers {
			f.set(f.old, r, true)
		}
		f.loadSome()
		time.Sleep(31 * time.Second)
		// Each router calls each of six relays at most twice.
		if n, most := f.calls.Load(), int64(2*6*len(f.routers)); n > most {
			t.Errorf("%d calls in 31 s, want at most %d", n, most)
		}
		f.expect(t, 5, -1, f.routers[6:]...)
		for _, r := range f.routers {
			if r.members.Suspected(clock.Now(), routerID(0)) {
				t.Errorf("%s suspects an older router", r.id)
			}
			f.set(f.old, r, r == f.routers[0])
		}
		f.routers[0].stop() // an older release sends nothing
		time.Sleep(35 * time.Second)
		f.expect(t, 5, 19, f.routers[1:21]...)
		f.expect(t, 5, 20, f.routers[21:]...)
	})
}

// Guards against a relay that is switched off by its settings and still answers with old sums.
func TestRelayIsSwitchedOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer func() {
			cancel()
			synctest.Wait()
		}()
		var off atomic.Bool
		f := newFleet(ctx, 61, 90, 3, func(o *loads.Options) {
			if o.Self == routerID(0) {
				o.Switch = func() bool { return !off.Load() }
			}
		})
		f.loadSome()
		time.Sleep(2 * settled)
		f.expect(t, 5, 20, f.routers[:21]...)
		off.Store(true)
		time.Sleep(2 * settled)
		f.expect(t, 5, 19, f.routers[1:21]...)
		f.expect(t, 5, -1, f.routers[0])
	})
}
