package link_test

import (
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"github.com/gaplink/gaplink/link"
)

var start = time.Unix(1000, 0)

func TestLoadIsThePartOfTheCapacity(t *testing.T) {
	m := link.New(1000, start)
	m.Of(link.Callers).Received(200)
	m.Of(link.Servers).Sent(50)
	got := m.Tick(start.Add(500 * time.Millisecond))
	if got.In < 0.4 || got.In > 0.5 || got.Out < 0.1 || got.Out > 0.15 {
		t.Fatalf("200 bytes in and 50 out of 500 in half a second: %+v", got)
	}
	if next := m.Tick(start.Add(time.Second)); next != (link.Load{}) {
		t.Fatalf("a window without traffic shows %+v", next)
	}
}

func TestUnknownCapacityIsNeverSaturated(t *testing.T) {
	m := link.New(0, start)
	m.Of(link.Callers).Received(1 << 30)
	if got := m.Tick(start.Add(time.Second)); got != (link.Load{}) {
		t.Fatalf("load %+v of a link of unknown capacity", got)
	}
	var none *link.Meter
	none.Of(link.Servers).Received(1)
	none.Of(link.Servers).Sent(1)
	none.Account("a", 1)
}

func TestListenerCountsBothDirections(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	m := link.New(100, start)
	counted := m.Of(link.Callers).Listener(l)
	go func() {
		c, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			return
		}
		defer c.Close()
		_, _ = c.Write(make([]byte, 30))
		_, _ = io.ReadFull(c, make([]byte, 10))
	}()
	c, err := counted.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	if _, err := io.ReadFull(c, make([]byte, 30)); err != nil {
		t.Fatal(err)
	}
	if _, err := c.Write(make([]byte, 10)); err != nil {
		t.Fatal(err)
	}
	got := m.Tick(start.Add(time.Second))
	if got.In < 0.3 || got.In > 0.4 || got.Out < 0.1 || got.Out > 0.15 {
		t.Fatalf("30 bytes in and 10 out of 100: %+v", got)
	}
}

func TestSaturatedLinkShedsCallersForAWhile(t *testing.T) {
	var g link.Shedder
	g.Observe(start, link.Load{In: 0.5, Out: 0.6}, nil)
	if g.Shedding(start) || g.Saturated() {
		t.Fatal("a link with spare capacity sheds callers")
	}
	g.Observe(start, link.Load{In: 0.1, Out: 0.95}, nil)
	if !g.Shedding(start) || !g.Saturated() {
		t.Fatal("a link that is saturated in one direction does not shed callers")
	}
	later := start.Add(time.Second)
	g.Observe(later, link.Load{In: 0.2}, nil)
	if g.Saturated() {
		t.Fatal("saturated although the last window was not")
	}
	if !g.Shedding(later) {
		t.Fatal("shedding ends before the load balancer has noticed")
	}
	if g.Shedding(start.Add(10 * time.Second)) {
		t.Fatal("shedding does not end")
	}
}

// saturated are the loads of a number of saturated and of idle routers, whose IDs are s0, s1, ... and
// z0, z1, ...
func saturated(full, idle int) map[string]link.Load {
	loads := map[string]link.Load{}
	for n := range full {
		loads[fmt.Sprint("s", n)] = link.Load{In: 1}
	}
	for n := range idle {
		loads[fmt.Sprint("z", n)] = link.Load{In: 0.1}
	}
	return loads
}

// Guards against a failure domain whose routers all shed at once, so that the load of all of them
// moves to the few that are left or nowhere.
func TestAtMostHalfOfAFailureDomainSheds(t *testing.T) {
	for name, c := range map[string]struct {
		domain *link.Domain
		sheds  bool
	}{
		"nothing known of the domain":  {nil, true},
		"no loads known":               {&link.Domain{Self: "t", Size: 20}, true},
		"few loads known":              {&link.Domain{Self: "t", Size: 20, Loads: saturated(9, 0)}, true},
		"some are saturated":           {&link.Domain{Self: "t", Size: 20, Loads: saturated(9, 10)}, true},
		"half shed before it":          {&link.Domain{Self: "t", Size: 20, Loads: saturated(10, 9)}, false},
		"half shed, it is among them":  {&link.Domain{Self: "a", Size: 20, Loads: saturated(10, 9)}, true},
		"all known ones are saturated": {&link.Domain{Self: "a", Size: 20, Loads: saturated(12, 0)}, false},
		"the other of two is not":      {&link.Domain{Self: "t", Size: 2, Loads: saturated(0, 1)}, true},
		"the other of two is as well":  {&link.Domain{Self: "a", Size: 2, Loads: saturated(1, 0)}, false},
	} {
		var g link.Shedder
		g.Observe(start, link.Load{In: 1}, c.domain)
		if g.Shedding(start) != c.sheds || !g.Saturated() {
			t.Errorf("%s: shedding %v, saturated %v", name, g.Shedding(start), g.Saturated())
		}
	}
}

// Guards against a load that returns every few seconds to a router whose link it saturates, and
// against a period that grows without bound or where the load has nowhere to go.
func TestRouterThatIsLoadedAgainShedsForLonger(t *testing.T) {
	const soon = 500 * time.Millisecond
	idle := &link.Domain{Self: "a", Size: 8, Loads: saturated(0, 7)}
	overloaded := &link.Domain{Self: "a", Size: 8, Loads: saturated(6, 1)}
	for name, c := range map[string]struct {
		domain *link.Domain
		pause  time.Duration
		want   []time.Duration
	}{
		"loaded again":       {idle, soon, []time.Duration{3 * time.Second, 6 * time.Second, 8 * time.Second, 8 * time.Second}},
		"loaded later":       {idle, 4 * time.Second, []time.Duration{3 * time.Second, 3 * time.Second}},
		"others are as full": {overloaded, soon, []time.Duration{3 * time.Second, 3 * time.Second}},
		"no loads known":     {&link.Domain{Self: "a", Size: 8}, soon, []time.Duration{3 * time.Second, 3 * time.Second}},
		"unknown":            {nil, soon, []time.Duration{3 * time.Second, 3 * time.Second}},
	} {
		var g link.Shedder
		now := start
		for _, want := range c.want {
			for range 3 { // further saturated windows do not lengthen the period
				now = now.Add(link.Window)
				g.Observe(now, link.Load{In: 1}, c.domain)
			}
			if !g.Shedding(now.Add(want-time.Millisecond)) || g.Shedding(now.Add(want)) {
				t.Errorf("%s: not shedding for %v", name, want)
			}
			now = now.Add(want + c.pause)
			g.Observe(now, link.Load{}, c.domain)
		}
	}
}

// Guards against a purpose that is counted as another one, against bytes of an earlier window in the
// rates, and against a load that includes calls of routers and of the store.
func TestUsageIsShownByPurposeAndAccount(t *testing.T) {
	m := link.New(1000, start)
	now := start
	for range 2 {
		for _, p := range link.Purposes {
			m.Of(p).Received(10 * (int(p) + 1))
			m.Of(p).Sent(int(p) + 1)
		}
		m.Account("small", 10)
		m.Account("large", 20)
		m.Account("large", 10)
		now = now.Add(500 * time.Millisecond)
		m.Tick(now)
		u := m.Usage()
		for _, p := range link.Purposes {
			if want := (link.Bytes{In: 20 * (int64(p) + 1), Out: 2 * (int64(p) + 1)}); u.Rates[p] != want {
				t.Errorf("%v: %+v a second, want %+v", p, u.Rates[p], want)
			}
		}
		if account, share := u.Heaviest(); account != "large" || share != 0.75 || u.AccountBytes != 40 {
			t.Errorf("heaviest account %q with %v of %d bytes", account, share, u.AccountBytes)
		}
		if got := m.Load(); got.In < 0.06 || got.In > 0.07 {
			t.Errorf("30 bytes of callers and servers in half a second: %+v", got)
		}
	}
	if got := m.Total(link.Routers); got != (link.Bytes{In: 60, Out: 6}) {
		t.Errorf("%+v in all", got)
	}
	m.Tick(now.Add(time.Second))
	if u := m.Usage(); len(u.Accounts) != 0 || u.Rates[link.Callers] != (link.Bytes{}) {
		t.Errorf("an idle window shows %+v", u)
	}
}
