package soak

import (
	"context"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/gaplink/gaplink/platform/standin"
	"github.com/gaplink/gaplink/wait"
)

// RefusalPeriod is a time in which all servers refuse most requests and all routers are killed together, again and
// again.
type RefusalPeriod struct {
	At, Duration time.Duration
	Kills        []RefusalKill
}

// RefusalKill is a kill of all routers, which start again after Downtime.
type RefusalKill struct{ At, Downtime time.Duration }

// AllRoutersKilled is a kill of all routers together. Refusal periods draw it, a schedule does not.
const AllRoutersKilled Fault = "all routers killed together"

const (
	// refusalStream is the stream of random numbers from which the period is drawn.
	refusalStream = 1 << 34
	// refusedShare is the share of the requests that servers refuse in a period.
	refusedShare = 0.8
	// minKills to maxKills kills follow each other after minKillInterval to maxKillInterval.
	minKills, maxKills               = 3, 6
	minKillInterval, maxKillInterval = 1500 * time.Millisecond, 3 * time.Second
	maxRefusalDowntime               = 400 * time.Millisecond
)

// DrawRefusalPeriod draws the period of a run, which begins after a third of it.
func DrawRefusalPeriod(seed uint64, length time.Duration) RefusalPeriod {
	rng := rand.New(rand.NewPCG(seed, refusalStream))
	p := RefusalPeriod{At: length / 3}
	at := p.At + drawKillInterval(rng)
	for range minKills + rng.IntN(maxKills-minKills+1) {
		p.Kills = append(p.Kills, drawKill(rng, at))
		at += drawKillInterval(rng)
	}
	p.Duration = at - p.At
	return p
}

// drawKillInterval draws the time between two kills of all routers.
func drawKillInterval(rng *rand.Rand) time.Duration {
	return minKillInterval + time.Duration(rng.Int64N(int64(maxKillInterval-minKillInterval)))
}

// drawKills draws a number of kills of all routers that follow each other from a time on.
func drawKills(rng *rand.Rand, from time.Duration, n int) (kills []RefusalKill) {
	for range n {
		from += drawKillInterval(rng)
		kills = append(kills, drawKill(rng, from))
	}
	return kills
}

// drawKill draws a kill of all routers at a time.
func drawKill(rng *rand.Rand, at time.Duration) RefusalKill {
	return RefusalKill{at, time.Duration(rng.Int64N(int64(maxRefusalDowntime)))}
}

// runRefusals plays a refusal period.
func (f *fleet) runRefusals(ctx context.Context, p RefusalPeriod) {
	start := time.Now()
	await := func(at time.Duration) bool { return wait.For(ctx, time.Until(start.Add(at))) == nil }
	if !await(p.At) {
		return
	}
	f.setFailing(refusedShare, false)
	defer f.setFailing(0, false)
	if f.killAllAt(ctx, start, p.Kills) {
		await(p.At + p.Duration)
	}
}

// killAllAt plays kills of all routers, whose times count from start. It reports whether the context has not ended before.
func (f *fleet) killAllAt(ctx context.Context, start time.Time, kills []RefusalKill) bool {
	for _, kill := range kills {
		if wait.For(ctx, time.Until(start.Add(kill.At))) != nil {
			return false
		}
		f.killAll(kill.Downtime)
	}
	return true
}

// killAll kills all routers together and starts them again after a time.
func (f *fleet) killAll(downtime time.Duration) {
	f.counters.countFault(AllRoutersKilled)
	for i := range f.routers {
		f.pendingChanges.Go(func() {
			if err := f.applyRouterFault(Step{Fault: RouterKilled, Target: i, Duration: downtime}); err != nil {
				f.fail(err)
			}
		})
	}
}

// setFailing makes all servers refuse a share of the requests, or break off their answers to them.
func (f *fleet) setFailing(share float64, breakOff bool) {
	for _, p := range f.slots {
		p.mu.Lock()
		p.refusedShare, p.breaksOff = share, breakOff
		p.mu.Unlock()
	}
}

// failedAnswer returns the answer to a request that the server fails.
func (p *serverSlot) failedAnswer(r standin.Run, arrivals int, request Request) (standin.Answer, Ending) {
	p.mu.Lock()
	breaksOff := p.breaksOff
	p.mu.Unlock()
	if !breaksOff {
		return refusalAnswer(r.RequestID), Refusal
	}
	from, _ := strconv.Atoi(r.LastEvent) // no Last-Event-Id: start with the first event
	return buildAnswer(runRand(p.seed, r.RequestID, arrivals), CutReset, r.RequestID, from, request), CutReset
}

// refuses reports whether the server refuses an attempt of a request.
func (p *serverSlot) refuses(id string, arrivals int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.refusing > 0 {
		return true
	}
	h := fnv.New64a()
	_, _ = io.WriteString(h, id) // never fails
	draw := rand.New(rand.NewPCG(h.Sum64(), uint64(arrivals)))
	return draw.Float64() < p.refusedShare
}
