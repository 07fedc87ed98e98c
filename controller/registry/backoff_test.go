package registry_test

import (
	"context"
	"math"
	"testing"
	"time"

	"github.com/gaplink/gaplink/clock"
	"github.com/gaplink/gaplink/controller/limits"
	"github.com/gaplink/gaplink/controller/registry"
	"github.com/gaplink/gaplink/placement"
)

// Guards against requests to a server during the backoff that it asked for: through lapsed
// registrations, and for requests that were admitted before and wait for a connection.
func TestBackoffOutlastsALapseAndStopsWaitingRequests(t *testing.T) {
	run(t, func(c *registry.Controller) {
		c.Listed(registered(1, 1), newest)
		waiting, _ := c.Pick(placement.Query{Service: "svc"})
		permit, _ := c.Admit(context.Background(), waiting, 0)
		c.BackOff(waiting.Incarnation(), 3*time.Second)
		c.RecordOutcome(waiting.Incarnation(), placement.Refused)
		c.Changed(deletions(0, 1))
		time.Sleep(time.Second)
		c.Changed(registered(1, 10))
		time.Sleep(1900 * time.Millisecond)
		if _, ok := c.Pick(placement.Query{Service: "svc"}); ok || c.MaySend(waiting, permit) {
			t.Error("the server gets requests 2.9 s after it asked for 3 s without")
		}
		if wait, backingOff := c.BackoffWait(placement.Query{Service: "svc"}); !backingOff || wait <= 0 || wait > 500*time.Millisecond {
			t.Errorf("to come back in %s (%t)", wait, backingOff)
		}
		time.Sleep(500 * time.Millisecond)
		if _, ok := c.Pick(placement.Query{Service: "svc"}); !ok {
			t.Error("the server is not used after its backoff")
		}
	})
}

// Guards against a process that is kept from requests by what its predecessor under the same id
// asked for.
func TestBackoffEndsWithItsProcess(t *testing.T) {
	run(t, func(c *registry.Controller) {
		c.Listed(registered(1, 1), newest)
		c.BackOff(placement.Incarnation{ID: "s0", Started: 99}, time.Minute)
		if _, ok := c.Pick(placement.Query{Service: "svc"}); !ok {
			t.Error("the server is not used")
		}
	})
}

// Guards against a machine that counts the time of its suspension neither as backoff nor as
// waiting.
func TestSuspensionCountsAsBackoff(t *testing.T) {
	run(t, func(c *registry.Controller) {
		var suspended time.Duration
		t.Cleanup(clock.Replace(func() time.Duration { return suspended }))
		c.Listed(registered(1, 1), newest)
		c.BackOff(placement.Incarnation{ID: "s0"}, 30*time.Second)
		suspended = 40 * time.Second
		if _, ok := c.Pick(placement.Query{Service: "svc"}); !ok {
			t.Error("the server is not used")
		}
	})
}

// Guards against a faulty response that takes a server out of use for good.
func TestBackoffIsBounded(t *testing.T) {
	run(t, func(c *registry.Controller) {
		c.Listed(registered(1, 1), newest)
		c.BackOff(placement.Incarnation{ID: "s0"}, math.MaxInt64)
		if wait, _ := c.BackoffWait(placement.Query{Service: "svc"}); wait < time.Hour || wait > time.Hour+time.Second {
			t.Errorf("backs off for %s", wait)
		}
	})
}

// Guards against many routers that return to a server at the same moment.
func TestBackoffsEndAtDifferentTimes(t *testing.T) {
	const asked = 2 * time.Second
	run(t, func(c *registry.Controller) {
		ends := map[time.Duration]bool{}
		for version := range int64(20) {
			c.Listed(registered(1, version+1), newest)
			c.BackOff(placement.Incarnation{ID: "s0"}, asked)
			wait, _ := c.BackoffWait(placement.Query{Service: "svc"})
			if wait < asked || wait > asked+asked/10 {
				t.Errorf("backs off for %s, it asked for %s", wait, asked)
			}
			ends[wait] = true
			time.Sleep(10 * time.Second)
		}
		if len(ends) < 15 {
			t.Errorf("%d different ends of 20 backoffs", len(ends))
		}
	})
}

// Guards against a permit that lets a request through to a limited server during its backoff.
func TestBackoffAppliesToLimitedServers(t *testing.T) {
	run(t, func(c *registry.Controller) {
		withCold(c)
		c.Listed(registered(1, 1), newest)
		s, _ := c.Pick(placement.Query{Service: "svc"})
		permit, granted := c.Admit(context.Background(), s, 0)
		c.BackOff(s.Incarnation(), time.Second)
		if !granted || c.MaySend(s, permit) {
			t.Error("sent with a permit during the backoff")
		}
		if _, ok := c.Pick(placement.Query{Service: "svc", Unrestricted: true}); ok {
			t.Error("picked among the servers without a limit during the backoff")
		}
		var none limits.Permit
		if c.MaySend(s, none) {
			t.Error("sent without a permit")
		}
	})
}
