package registry_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"github.com/gaplink/gaplink/controller/registry"
	"github.com/gaplink/gaplink/placement"
	"github.com/gaplink/gaplink/upstream"
)

// The overload simulation plays requests of all routers of a fleet, in virtual time, at servers
// that reject what exceeds their slots and ask for a backoff.
const (
	overloadServers = 18
	overloadSlots   = 16
	// overloadWork is how long a server works on a request, and overloadHead the time until its
	// response begins.
	overloadWork = 200 * time.Millisecond
	overloadHead = 20 * time.Millisecond
	// overloadAsked is the backoff that a server asks for.
	overloadAsked = 2 * time.Second
	// A burst of burstLoad times the capacity lasts from burstFrom to burstTo; before and
	// after it the load is usualLoad.
	burstFrom, burstTo, overloadEnd = 2 * time.Second, 4 * time.Second, 14 * time.Second
	burstLoad, usualLoad            = 2.0, 0.6
	// maxOverloadAttempts is the number of servers that a request may be sent to.
	maxOverloadAttempts = 3
)

// event is something that happens at a time of the simulation.
type event struct {
	at time.Duration
	do func()
}

type eventQueue []event

func (q eventQueue) Len() int           { return len(q) }
func (q eventQueue) Less(i, j int) bool { return q[i].at < q[j].at }
func (q eventQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)        { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// overload is one run of the simulation.
type overload struct {
	rng     *rand.Rand
	begun   time.Time
	queue   eventQueue
	routers []*registry.Controller
	running map[string]int // requests running, by server
	// late holds what became of the requests that were first sent when the burst should have
	// passed, and lateRejected how often servers rejected them.
	late         overloadCounts
	lateRejected int
	// peak is the largest number of arrivals at a server within 50 ms after the burst.
	peak     int
	arrivals map[string][]time.Duration
}

type overloadCounts struct{ sent, served int }

func newOverload(routers int) *overload {
	o := &overload{rng: rand.New(rand.NewPCG(5, uint64(routers))), begun: time.Now(), running: map[string]int{}, arrivals: map[string][]time.Duration{}}
	for range routers {
		c := registry.New(decode, upstream.New(upstream.Options{}), rand.New(rand.NewPCG(o.rng.Uint64(), 1)), zap.NewNop())
		c.Listed(registered(overloadServers, 1), newest)
		o.routers = append(o.routers, c)
	}
	return o
}

func (o *overload) now() time.Duration { return time.Since(o.begun) }

func (o *overload) after(d time.Duration, do func()) { heap.Push(&o.queue, event{o.now() + d, do}) }

// play runs the simulation until no event is left.
func (o *overload) play() {
	o.nextCaller()
	for len(o.queue) > 0 {
		e := heap.Pop(&o.queue).(event)
		time.Sleep(e.at - o.now())
		e.do()
	}
}

// nextCaller sends a request and plans the next one.
func (o *overload) nextCaller() {
	if o.now() >= overloadEnd {
		return
	}
	o.send(o.routers[o.rng.IntN(len(o.routers))], &overloadRequest{sentAt: o.now()})
	load := usualLoad
	if o.now() >= burstFrom && o.now() < burstTo {
		load = burstLoad
	}
	perSecond := load * overloadServers * overloadSlots / overloadWork.Seconds()
	o.after(time.Duration(o.rng.ExpFloat64()/perSecond*float64(time.Second)), o.nextCaller)
}

type overloadRequest struct {
	sentAt   time.Duration
	returned bool
}

// isLate reports whether the request was first sent a backoff and a second after the burst.
func (r *overloadRequest) isLate() bool { return r.sentAt > burstTo+overloadAsked+time.Second }

// send sends a request through a router to up to maxOverloadAttempts servers.
func (o *overload) send(c *registry.Controller, r *overloadRequest) {
	if r.isLate() && !r.returned {
		o.late.sent++
	}
	tried := map[placement.Incarnation]bool{}
	q := placement.Query{Service: "svc", Tried: tried}
	for range maxOverloadAttempts {
		s, ok := c.Pick(q)
		if !ok {
			break
		}
		tried[s.Incarnation()] = true
		if o.arrive(c, s, r) {
			return
		}
	}
	o.refuse(c, r)
}

// arrive plays the arrival of a request at a server. It returns false if the server rejects it.
func (o *overload) arrive(c *registry.Controller, s placement.Server, r *overloadRequest) bool {
	in := s.Incarnation()
	o.countArrival(s.ID)
	if o.running[s.ID] >= overloadSlots {
		c.BackOff(in, overloadAsked)
		c.RecordOutcome(in, placement.Refused)
		if r.isLate() {
			o.lateRejected++
		}
		return false
	}
	o.running[s.ID]++
	o.after(overloadHead, func() { c.RecordAccepted(in) })
	o.after(overloadWork, func() {
		o.running[s.ID]--
		c.RecordOutcome(in, placement.Answered)
		if r.isLate() {
			o.late.served++
		}
	})
	return true
}

func (o *overload) countArrival(server string) {
	if o.now() < burstTo {
		return
	}
	recent := o.arrivals[server]
	for len(recent) > 0 && o.now()-recent[0] > 50*time.Millisecond {
		recent = recent[1:]
	}
	o.arrivals[server] = append(recent, o.now())
	o.peak = max(o.peak, len(o.arrivals[server]))
}

// refuse ends the first try of a request; its caller comes back once, when it is told to.
func (o *overload) refuse(c *registry.Controller, r *overloadRequest) {
	if r.returned {
		return
	}
	r.returned = true
	wait, backingOff := c.BackoffWait(placement.Query{Service: "svc"})
	if !backingOff {
		wait = 0
	}
	o.after(c.ReturnAfter(wait, 0), func() { o.send(c, r) })
}

// Guards against overloads that sustain themselves: servers that asked for a backoff are sent all
// that was refused meanwhile at its end, by all routers, and reject it again, long after the load
// has fallen to what they can serve.
func TestOverloadEndsWithItsLoad(t *testing.T) {
	for _, routers := range []int{7, 87, 300} {
		t.Run(fmt.Sprint(routers, " routers"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				o := newOverload(routers)
				o.play()
				served := float64(o.late.served) / float64(o.late.sent)
				rejected := float64(o.lateRejected) / float64(o.late.sent)
				t.Logf("from %s after the burst: %.3f served, %.3f rejections a request; at most %d arrivals at a server in 50 ms", overloadAsked+time.Second, served, rejected, o.peak)
				if served < 0.95 || rejected > 0.05 {
					t.Errorf("%.3f served, %.3f rejections a request", served, rejected)
				}
			})
		})
	}
}
