package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sort"
	"strconv"
	"time"

	"github.com/gaplink/gaplink/platform/standin"
	"github.com/gaplink/gaplink/wait"
)

// ServerReleased is the replacement of a server by one of the version of a step. Releases draw it, a schedule does not.
const ServerReleased Fault = "server released"

const (
	// releaseStream is the stream of random numbers from which releases are drawn.
	releaseStream = 1 << 37
	// releaseNotice is how long a server that is replaced is registered as leaving.
	releaseNotice = 250 * time.Millisecond
	// minServing to maxServing is the time before a release, in which streams begin.
	minServing, maxServing = time.Second, 2500 * time.Millisecond
	// minSpread to maxSpread is the time in which servers are replaced while routers run.
	minSpread, maxSpread = 300 * time.Millisecond, 2 * time.Second
	// minReleaseDowntime to maxReleaseDowntime is the time for which killed routers stay down, and minUptime to maxUptime the
	// time between their start and the next kill of a series of up to maxReleaseKills.
	minReleaseDowntime, maxReleaseDowntime = time.Second, 3 * time.Second
	minUptime, maxUptime                   = 600 * time.Millisecond, 2500 * time.Millisecond
	maxReleaseKills                        = 3
	// minStandstill to maxStandstill is the time for which routers stand still, from up to maxStandstillLead before a kill on.
	minStandstill, maxStandstill = 2 * time.Second, 4 * time.Second
	maxStandstillLead            = 3 * time.Second
	// minStoreFault to maxStoreFault is the time of a fault of the store.
	minStoreFault, maxStoreFault = time.Second, 3 * time.Second
	// minTurn to maxTurn is the time between planned restarts of two routers.
	minTurn, maxTurn = 300 * time.Millisecond, 700 * time.Millisecond
	// releaseMargin is the time at the end of a run without new releases.
	releaseMargin = 6 * time.Second
)

const (
	// releaseCallers is the number of callers of a run with releases.
	releaseCallers = 32
	// brokenOffShare is the share of streams that servers break off.
	brokenOffShare = 0.3
	// minEventPause to maxEventPause is the time between two events.
	minEventPause, maxEventPause = 40 * time.Millisecond, 200 * time.Millisecond
	// meanRetryPause is the mean pause of a caller before it takes up a stream, and patience how long it does so without
	// a further event.
	meanRetryPause = 250 * time.Millisecond
	patience       = 8 * time.Second
)

// releaseKinds are the kinds of requests of a run with releases: streams that go on within an answer, and such as only
// their callers take up.
var releaseKinds = []requestKind{
	{standin.Route{Name: "stream", Type: standin.Streaming, Attempts: 2, Resume: true, TimeoutMs: 6000, ObjectiveMs: 1000}, true, 6 * time.Second},
	{standin.Route{Name: "tried-once", Type: standin.Streaming, Attempts: 1, Resume: true, TimeoutMs: 6000, ObjectiveMs: 1000}, true, 6 * time.Second},
}

// storeFaultsOfReleases are the faults of the store that a release may meet.
var storeFaultsOfReleases = []Fault{StoreSlow, StoreDown, StoreDeaf, StoreLosesAnswers}

// releasePattern says when servers are replaced.
type releasePattern int

const (
	// releaseBefore replaces all servers before the routers are killed.
	releaseBefore releasePattern = iota
	// releaseAmid replaces the last ones while no router runs.
	releaseAmid
	// releaseMeanwhile replaces all while no router runs.
	releaseMeanwhile
	// releaseInPart replaces some servers only.
	releaseInPart
	releasePatterns
)

// releaseDrawing draws the releases of a run.
type releaseDrawing struct {
	rng              *rand.Rand
	routers, servers int
	steps            []Step
	// version is the version that was released last, and count the number of versions so far.
	version, count int
}

// Releases draws the releases of a run: releases of new versions, or of earlier ones, before, amid or after kills of all
// routers in series or planned restarts of all in turn, while some routers stand still and the store fails at times.
func Releases(seed uint64, length time.Duration, routers, servers int) []Step {
	d := releaseDrawing{rng: rand.New(rand.NewPCG(seed, releaseStream)), routers: routers, servers: servers, version: 1, count: 1}
	at := quietMargin
	if d.rng.IntN(3) == 0 { // while one version alone has served
		at = d.drawKills(at+d.between(minServing, maxServing), nil)
	}
	for at < length-releaseMargin {
		at = d.drawRelease(at)
	}
	d.steps = slices.DeleteFunc(d.steps, func(s Step) bool { return s.At >= length-quietMargin })
	sort.SliceStable(d.steps, func(i, j int) bool { return d.steps[i].At < d.steps[j].At })
	return d.steps
}

// drawRelease draws a release that begins some time after the given one, with the kills or restarts that go with it. It
// returns when all is over.
func (d *releaseDrawing) drawRelease(at time.Duration) (end time.Duration) {
	version := d.nextVersion()
	begin := at + d.between(minServing, maxServing)
	if d.rng.IntN(5) == 0 {
		d.replace(d.rng.Perm(d.servers), version, begin, d.between(minSpread, maxSpread))
		return d.drawRestarts(begin + d.between(0, maxSpread))
	}
	slots, pattern := d.rng.Perm(d.servers), releasePattern(d.rng.IntN(int(releasePatterns)))
	spread := d.between(minSpread, maxSpread)
	kill := begin + spread + releaseNotice + d.between(0, minServing)
	var meanwhile []int
	switch pattern {
	case releaseBefore: // all slots
	case releaseAmid:
		last := 1 + d.rng.IntN(max(d.servers/3, 1))
		slots, meanwhile = slots[:d.servers-last], slots[d.servers-last:]
	case releaseMeanwhile:
		slots, meanwhile = nil, slots
	case releaseInPart:
		slots = slots[:1+d.rng.IntN(max(d.servers-1, 1))]
	}
	d.replace(slots, version, begin, spread)
	return d.drawKills(kill, func(downtime time.Duration) {
		d.replace(meanwhile, version, kill, downtime-2*releaseNotice)
	})
}

// nextVersion draws the version that is released: a new one, or one that was released before.
func (d *releaseDrawing) nextVersion() string {
	if earlier := d.rng.IntN(d.count) + 1; earlier != d.version && d.rng.IntN(2) == 0 {
		d.version = earlier
	} else {
		d.count++
		d.version = d.count
	}
	return fmt.Sprint("v", d.version)
}

// replace replaces the servers of slots, one after the other, within a time.
func (d *releaseDrawing) replace(slots []int, version string, from, within time.Duration) {
	for i, slot := range slots {
		at := from + within*time.Duration(i+1)/time.Duration(len(slots)+1)
		d.steps = append(d.steps, Step{At: at, Fault: ServerReleased, Target: slot, Version: version})
	}
}

// drawKills draws a series of kills, of all routers or of those that do not stand still, and faults of the store beside
// it. It calls first, if set, with the time for which the first kill leaves the routers down.
func (d *releaseDrawing) drawKills(at time.Duration, first func(downtime time.Duration)) (end time.Duration) {
	paused, spared := d.drawStandstill(at)
	if d.rng.IntN(2) == 0 {
		fault := storeFaultsOfReleases[d.rng.IntN(len(storeFaultsOfReleases))]
		d.steps = append(d.steps, Step{At: at + d.between(0, 2*time.Second) - time.Second, Fault: fault, Duration: d.between(minStoreFault, maxStoreFault)})
	}
	for range 1 + d.rng.IntN(maxReleaseKills) {
		downtime := d.between(minReleaseDowntime, maxReleaseDowntime)
		d.kill(at, downtime, paused, spared)
		if first != nil {
			first(downtime)
			first = nil
		}
		end = at + downtime
		at = end + d.between(minUptime, maxUptime)
		spared = false
	}
	return end
}

// drawStandstill draws routers that stand still before or during a kill, and whether the first kill spares them.
func (d *releaseDrawing) drawStandstill(kill time.Duration) (routers []int, spared bool) {
	if d.rng.IntN(2) == 0 {
		return nil, false
	}
	routers = d.rng.Perm(d.routers)[:1+d.rng.IntN(max(d.routers/2, 1))]
	at := max(kill-d.between(0, maxStandstillLead), quietMargin)
	for _, router := range routers {
		d.steps = append(d.steps, Step{At: at, Fault: RouterPaused, Target: router, Duration: d.between(minStandstill, maxStandstill)})
	}
	return routers, d.rng.IntN(2) == 0
}

// kill kills all routers, or all but those that are spared.
func (d *releaseDrawing) kill(at, downtime time.Duration, paused []int, spared bool) {
	if !spared {
		d.steps = append(d.steps, Step{At: at, Fault: AllRoutersKilled, Duration: downtime})
		return
	}
	for router := range d.routers {
		if !slices.Contains(paused, router) {
			d.steps = append(d.steps, Step{At: at, Fault: RouterKilled, Target: router, Duration: downtime})
		}
	}
}

// drawRestarts draws planned restarts of all routers in turn.
func (d *releaseDrawing) drawRestarts(at time.Duration) (end time.Duration) {
	turn := d.between(minTurn, maxTurn)
	for _, router := range d.rng.Perm(d.routers) {
		d.steps = append(d.steps, Step{At: at, Fault: RouterStopped, Target: router})
		at += turn
	}
	return at + minServing
}

func (d *releaseDrawing) between(from, to time.Duration) time.Duration {
	return from + time.Duration(d.rng.Int64N(int64(to-from)))
}

// release registers the server as leaving and replaces it shortly after by one of a version. It returns false if a
// shutdown was already in progress.
func (p *serverSlot) release(version string) (bool, error) {
	id, ok := p.beginShutdown()
	if !ok {
		return false, nil
	}
	end := p.oracle.BeginDisruption(ServerAtSlot(p.number), time.Now())
	defer func() { end(time.Now()) }()
	p.oracle.Retires(p.number)
	if err := p.registerLeaving(id); err != nil {
		return true, err
	}
	time.Sleep(releaseNotice)
	p.mu.Lock()
	p.released = version
	p.mu.Unlock()
	return true, p.replace(id)
}

// drawReleaseAnswer draws an answer of a run with releases to a request that arrived before times before.
func drawReleaseAnswer(seed uint64, r standin.Run, before int, q Request) (standin.Answer, Ending) {
	rng := runRand(seed, r.RequestID, before)
	e := EndsByChunks
	if rng.Float64() < brokenOffShare {
		e = CutReset
	}
	from, _ := strconv.Atoi(r.LastEvent) // no Last-Event-Id: start with the first event
	a := buildAnswer(rng, e, r.RequestID, from, q)
	a.Pause = minEventPause + time.Duration(rng.Int64N(int64(maxEventPause-minEventPause)))
	return a, e
}

// runReleases begins streams and takes them up, until the context ends.
func (c *caller) runReleases(ctx context.Context) {
	defer c.client.CloseIdleConnections()
	for n := 0; ctx.Err() == nil; n++ {
		t := c.drawRelease(n)
		c.follow(ctx, t, c.send(t))
		_ = wait.For(ctx, time.Duration(c.rng.ExpFloat64()*float64(c.thinkTime)))
	}
}

// drawRelease draws a request for a stream.
func (c *caller) drawRelease(n int) plannedRequest {
	kind, account := c.kinds[c.rng.IntN(len(c.kinds))], accounts[0]
	t := plannedRequest{router: c.routers[c.rng.IntN(len(c.routers))]}
	id := fmt.Sprintf("%d.%d.%d", c.seed, c.number, n)
	t.call = standin.Call{Path: "/" + kind.route.Name + "/x", ID: id, Key: account.key(), Body: "body of " + id, Deadline: kind.deadline}
	t.request = Request{ID: id, Service: kind.route.ServiceName(), Account: account.name, Deadline: kind.deadline}
	c.drawStream(&t, false)
	return t
}

// follow takes up a stream, at any router, until it is whole or the caller has lost patience.
func (c *caller) follow(ctx context.Context, t plannedRequest, a Answer) {
	first, last := t.request.ID, lastEvent(a.Body)
	if last == 0 {
		return // the stream has not begun
	}
	t.request.FirstTry, t.call.Resumes = first, first
	until := time.Now().Add(patience)
	for n := 1; last < t.request.Events && time.Now().Before(until); n++ {
		if wait.For(ctx, time.Duration(c.rng.ExpFloat64()*float64(meanRetryPause))) != nil {
			return
		}
		t.router = c.routers[c.rng.IntN(len(c.routers))]
		t.request.ID, t.call.ID = fmt.Sprint(first, ".", n), fmt.Sprint(first, ".", n)
		t.request.From, t.call.LastEvent = last, strconv.Itoa(last)
		if reached := lastEvent(c.send(t).Body); reached > last {
			last, until = reached, time.Now().Add(patience)
		}
	}
}
