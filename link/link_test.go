package link_test

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/gaplink/gaplink/link"
)

var start = time.Unix(1000, 0)

func TestLoadIsThePartOfTheCapacity(t *testing.T) {
	m := link.New(1000, start)
	m.Received(200)
	m.Sent(50)
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
	m.Received(1 << 30)
	if got := m.Tick(start.Add(time.Second)); got != (link.Load{}) {
		t.Fatalf("load %+v of a link of unknown capacity", got)
	}
	var none *link.Meter
	none.Received(1)
	none.Sent(1)
}

func TestListenerCountsBothDirections(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	m := link.New(100, start)
	counted := m.Listener(l)
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
	g.Observe(start, link.Load{In: 0.5, Out: 0.6})
	if g.Shedding(start) || g.Saturated() {
		t.Fatal("a link with spare capacity sheds callers")
	}
	g.Observe(start, link.Load{In: 0.1, Out: 0.95})
	if !g.Shedding(start) || !g.Saturated() {
		t.Fatal("a link that is saturated in one direction does not shed callers")
	}
	later := start.Add(time.Second)
	g.Observe(later, link.Load{In: 0.2})
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
