package soak

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/gaplink/gaplink/platform/standin"
	"github.com/gaplink/gaplink/wait"
)

// FreezePeriod is a time in which all servers fail most requests, while some of them freeze, or the links to them hold bytes,
// and all routers are killed together.
type FreezePeriod struct {
	At, Duration time.Duration
	// BreaksOff makes servers break off their answers in place of refusing requests.
	BreaksOff bool
	Freezes   []ServerFreeze
	Kills     []RefusalKill
}

// ServerFreeze is a time in which a server carries nothing, and after which it gets all that was sent meanwhile.
type ServerFreeze struct {
	Server       int
	At, Duration time.Duration
	// AtLink is set if the link to the server holds the bytes in place of the server's sockets.
	AtLink bool
}

// The faults of a freeze period.
const (
	ServerFrozen   Fault = "server frozen"
	ServerLinkHeld Fault = "server link holds bytes"
)

const (
	// freezeStream is the stream of random numbers from which the period is drawn.
	freezeStream = 1 << 36
	// openRate is the rate of the requests of a run with a freeze period, per second.
	openRate = 105
	// minFreeze to maxFreeze bound the time for which servers are frozen.
	minFreeze, maxFreeze = 2 * time.Second, 30 * time.Second
	// freezeMargin is the time before and after the period. Servers freeze at most maxFreezeLead after they begin to fail.
	freezeMargin  = 6 * time.Second
	maxFreezeLead = 2 * time.Second
	// maxFreezeKills bounds the kills of all routers in the period.
	maxFreezeKills = 3
)

// freezeKinds are the kinds of requests of a run with a freeze period: streams of a service of engines, and requests of another
// service with short deadlines.
var freezeKinds = []requestKind{
	{standin.Route{Name: "stream", Type: standin.Streaming, Attempts: 2, Resume: true, TimeoutMs: 15000, ObjectiveMs: 800}, true, 12 * time.Second},
	{standin.Route{Name: "short-stream", Type: standin.Streaming, Attempts: 2, Resume: true, TimeoutMs: 15000, ObjectiveMs: 1500}, true, 3 * time.Second},
	{standin.Route{Name: "safe", Type: standin.Repeatable, Attempts: 2, Service: standin.PlainService, TimeoutMs: 1500, ObjectiveMs: 300}, false, 1500 * time.Millisecond},
	{standin.Route{Name: "once", Type: standin.Once, Attempts: 2, Service: standin.PlainService, TimeoutMs: 1500, ObjectiveMs: 300}, false, 1500 * time.Millisecond},
}

// serviceOf returns the service of a server by its number.
func serviceOf(number int, o Options) string {
	const plainEvery = 3
	if o.Freezes && number%plainEvery == 0 {
		return standin.PlainService
	}
	return standin.Service
}

// DrawFreezePeriod draws the period of a run.
func DrawFreezePeriod(seed uint64, length time.Duration, servers int) FreezePeriod {
	rng := rand.New(rand.NewPCG(seed, freezeStream))
	p := FreezePeriod{At: freezeMargin, Duration: length - 2*freezeMargin, BreaksOff: rng.IntN(2) == 0}
	begin := p.At + time.Duration(rng.Int64N(int64(maxFreezeLead)))
	longest := min(maxFreeze, p.At+p.Duration-begin)
	duration := minFreeze + time.Duration(rng.Int64N(int64(longest-minFreeze)))
	atLink := rng.IntN(3) == 0
	count := []int{1, (servers + 1) / 2, servers - 1, servers - 1, servers}[rng.IntN(5)]
	inTurns := rng.IntN(4) == 0
	for i, server := range rng.Perm(servers)[:max(count, 1)] {
		f := ServerFreeze{Server: server, At: begin, Duration: duration, AtLink: atLink}
		if inTurns {
			delay := time.Duration(i) * duration / time.Duration(count)
			f.At, f.Duration = f.At+delay, f.Duration-delay
		}
		p.Freezes = append(p.Freezes, f)
	}
	p.Kills = drawKills(rng, begin, max(rng.IntN(2*maxFreezeKills+1)-maxFreezeKills, 0))
	return p
}

// runFreezes plays a freeze period.
func (f *fleet) runFreezes(ctx context.Context, p FreezePeriod) {
	start := time.Now()
	await := func(at time.Duration) bool { return wait.For(ctx, time.Until(start.Add(at))) == nil }
	var parts sync.WaitGroup
	defer parts.Wait()
	parts.Go(func() { f.killAllAt(ctx, start, p.Kills) })
	for _, one := range p.Freezes {
		parts.Go(func() {
			if await(one.At) {
				f.freeze(ctx, one)
			}
		})
	}
	if !await(p.At) {
		return
	}
	f.setFailing(refusedShare, p.BreaksOff)
	defer f.setFailing(0, false)
	await(p.At + p.Duration)
}

// freeze freezes a server or the link to it.
func (f *fleet) freeze(ctx context.Context, one ServerFreeze) {
	p := f.slots[one.Server]
	p.mu.Lock()
	scripted := p.scripted
	p.mu.Unlock()
	begin, fault := scripted.Freeze, ServerFrozen
	if one.AtLink {
		begin, fault = func() (func(), bool) { return p.proxy.Hold(clientToServer) }, ServerLinkHeld
	}
	end, ok := begin()
	if !ok {
		return
	}
	f.counters.countFault(fault)
	f.recordDisruption(ServerAtSlot(one.Server), one.Duration)
	_ = wait.For(ctx, one.Duration) // the server goes on when the run ends
	end()
}

// runOpen sends requests at a rate that does not depend on the answers, until the context ends.
func (c *caller) runOpen(ctx context.Context, perSecond float64) {
	defer c.client.CloseIdleConnections()
	var sent sync.WaitGroup
	defer sent.Wait()
	for n := 0; ctx.Err() == nil; n++ {
		t := c.draw(n)
		sent.Go(func() { c.send(t) })
		time.Sleep(time.Duration(c.rng.ExpFloat64() / perSecond * float64(time.Second)))
	}
}
