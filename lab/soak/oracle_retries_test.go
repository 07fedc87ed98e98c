package soak_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/gaplink/gaplink/lab/soak"
)

// TestOracleCountsArrivalsBeyondTheFirst guards against an oracle that misses routers which together retry more than
// the limits of the fleet, or that blames those which keep to them.
func TestOracleCountsArrivalsBeyondTheFirst(t *testing.T) {
	const requests = 100
	for _, c := range []struct {
		again  int
		broken bool
	}{{70, false}, {71, true}} {
		start := time.Now()
		o := soak.NewOracle(start, soak.DefaultBounds())
		at := start
		for i := range requests {
			at = at.Add(50 * time.Millisecond)
			id := fmt.Sprint(i)
			o.Sent(soak.Request{ID: id, Sent: at})
			o.Arrived(id, "s", 0, at)
		}
		for i := range c.again {
			o.Arrived(fmt.Sprint(i), "s", 0, at)
		}
		if got := len(o.Violations()) > 0; got != c.broken {
			t.Errorf("%d arrivals beyond the first, 70 allowed: violated %t", c.again, got)
		}
	}
}

// TestOracleCountsMisdirectedArrivals guards against an oracle that leaves out the arrivals that servers answer with 421, since
// they were meant for another one.
func TestOracleCountsMisdirectedArrivals(t *testing.T) {
	at := time.Now()
	o := soak.NewOracle(at, soak.DefaultBounds())
	const requests, allowed = 100, 70
	for i := range requests {
		id := fmt.Sprint(i)
		o.Sent(soak.Request{ID: id, Sent: at})
		o.ArrivedElsewhere(id, at)
	}
	if n := len(o.Violations()); n > 0 {
		t.Fatalf("%d violations by first arrivals", n)
	}
	for i := range allowed + 1 {
		o.Arrived(fmt.Sprint(i), "s", 0, at)
	}
	if n := len(o.Violations()); n != 1 {
		t.Errorf("%d violations by one arrival more than allowed", n)
	}
}
