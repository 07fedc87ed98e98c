package origins_test

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/gaplink/gaplink/controller/origins"
	"github.com/gaplink/gaplink/origin"
)

const (
	worldStep = 50 * time.Millisecond
	// worldTick is the time between two ticks of a router.
	worldTick = 250 * time.Millisecond
	// servesOn is how long a server serves after its registration is gone.
	servesOn = 300 * time.Millisecond
	// recordLimit is the time that a first event waits for the record of versions, after which it goes out unrecorded.
	recordLimit = 1500 * time.Millisecond
	// lastTakeUp is the longest time after its last event at which a stream is taken up.
	lastTakeUp = 170 * time.Second
)

// worldRouter is what a world keeps of a router.
type worldRouter struct {
	*router
	// lag is how long it takes until a registration is known there.
	lag time.Duration
	// refreshed is when its registrations were current last, and refreshes when they become so after trouble.
	refreshed, refreshes time.Time
	ticks                time.Time
	// upset is when trouble of the router ended last.
	upset time.Time
}

// worldStream is a stream as its caller received it.
type worldStream struct {
	id, version string
	// unrecorded is the process that began it, if its first event went out after the limit, and so maybe before its version
	// was on record.
	unrecorded *origins.Controller
	by         *worldRouter
	// last is when its last event arrived, and tries how often it was sent.
	last  time.Time
	tries int
}

// registration is a set of registered versions since a time.
type registration struct {
	at   time.Time
	list []string
}

// world draws releases, kills and other trouble of a fleet, and knows which version has really sent each stream.
type world struct {
	t *testing.T
	// rng draws the events, and callers what callers do; mu protects that one.
	rng, callers *rand.Rand
	net          *network
	routers      []*worldRouter
	log          []registration
	left         map[string]time.Time
	oneOnly      bool
	// storeTrouble is set if the store may fail, or routers may be cut off from it.
	storeTrouble bool
	calls        sync.WaitGroup

	mu                              sync.Mutex // of what follows, and of log, left and callers
	serial                          int
	begun, takenUp, wentOn, refused int
	joined, joinedUnrecorded        int
	failures                        []string
	events                          []string
}

// newWorld starts a fleet; its routers have run for some seconds with one version.
func newWorld(t *testing.T, seed uint64, routers int) *world {
	rng := rand.New(rand.NewPCG(seed, 92))
	w := &world{t: t, rng: rng, callers: rand.New(rand.NewPCG(seed, 93)), left: map[string]time.Time{}, oneOnly: seed%5 == 0}
	w.storeTrouble = !w.oneOnly
	first := "v0"
	if rng.IntN(8) == 0 {
		first = ""
	}
	w.net = newNetwork(t, 0)
	now := time.Now()
	w.log = []registration{{now, []string{first}}}
	if w.storeTrouble && rng.IntN(6) == 0 {
		w.net.faults.down = true // at the first start of the fleet
		w.later(lasting(rng, 5*time.Second), func() { w.setFaults(storeFaults{}) })
	}
	for i := range routers {
		r := &router{net: w.net, id: fmt.Sprint("r", i)}
		r.known.set(first)
		w.net.all = append(w.net.all, r)
		r.startFirst(true)
		w.routers = append(w.routers, &worldRouter{router: r, lag: lasting(rng, 300*time.Millisecond), refreshed: now, ticks: now.Add(lasting(rng, worldTick))})
	}
	w.run(3 * time.Second)
	return w
}

// lasting draws a time below a limit.
func lasting(rng *rand.Rand, below time.Duration) time.Duration {
	return time.Duration(rng.Int64N(int64(below)))
}

// later does something at a later time.
func (w *world) later(d time.Duration, do func()) {
	w.calls.Go(func() {
		time.Sleep(d)
		do()
	})
}

func (w *world) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.events = append(w.events, fmt.Sprintf("%7.2f ", time.Since(w.log[0].at).Seconds())+fmt.Sprintf(format, args...))
}

func (w *world) setFaults(f storeFaults) {
	w.net.mu.Lock()
	w.net.faults = f
	w.net.mu.Unlock()
	w.note("store %+v", f)
}

func (w *world) faults() storeFaults {
	w.net.mu.Lock()
	defer w.net.mu.Unlock()
	return w.net.faults
}

func (w *world) troubleOf(r *worldRouter) (t trouble, dead bool) {
	w.net.mu.Lock()
	defer w.net.mu.Unlock()
	return r.trouble, r.dead
}

// truth returns the versions that were registered at a time.
func (w *world) truth(at time.Time) []string {
	for i := len(w.log) - 1; i > 0; i-- {
		if !w.log[i].at.After(at) {
			return w.log[i].list
		}
	}
	return w.log[0].list
}

// register changes the registered versions.
func (w *world) register(list ...string) {
	now := time.Now()
	w.mu.Lock()
	for _, v := range w.truth(now) {
		if !slices.Contains(list, v) {
			w.left[v] = now
		}
	}
	w.log = append(w.log, registration{now, list})
	w.mu.Unlock()
	w.note("registered %q", list)
}

// serves reports whether servers of a version run.
func (w *world) serves(version string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	return slices.Contains(w.truth(now), version) || now.Sub(w.left[version]) < servesOn
}

// run lets time pass.
func (w *world) run(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); {
		now := time.Now()
		down := w.faults().down
		for _, r := range w.routers {
			t, dead := w.troubleOf(r)
			if dead || t.frozen {
				continue
			}
			if !t.noStore && !down && !now.Before(r.refreshes) {
				w.mu.Lock()
				list := w.truth(now.Add(-r.lag))
				w.mu.Unlock()
				r.known.set(list...)
				r.refreshed = now
			}
			r.age.Store(int64(now.Sub(r.refreshed)))
			if !now.Before(r.ticks) {
				r.ticks = now.Add(worldTick)
				r.control.Tick()
			}
		}
		time.Sleep(worldStep)
	}
}

// pick returns a router that runs, maybe one that has just come out of trouble; nil: there is none.
func (w *world) pick(upset bool) *worldRouter {
	w.mu.Lock()
	defer w.mu.Unlock()
	var all, just []*worldRouter
	for _, r := range w.routers {
		if t, dead := w.troubleOf(r); dead || t.frozen {
			continue
		}
		all = append(all, r)
		if time.Since(r.upset) < 2*time.Second {
			just = append(just, r)
		}
	}
	switch {
	case upset && len(just) > 0:
		return just[w.callers.IntN(len(just))]
	case len(all) > 0:
		return all[w.callers.IntN(len(all))]
	default:
		return nil
	}
}

func (w *world) draw(n int) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.callers.IntN(n)
}

// begin begins a stream at some router.
func (w *world) begin() {
	r := w.pick(w.draw(3) == 0)
	if r == nil {
		return
	}
	known := slices.DeleteFunc(r.known.Versions(service), func(v string) bool { return !w.serves(v) })
	if len(known) == 0 {
		return
	}
	w.mu.Lock()
	w.serial++
	s := &worldStream{id: fmt.Sprint("s", w.serial), version: known[w.callers.IntN(len(known))], by: r}
	w.mu.Unlock()
	w.calls.Go(func() { w.send(r, s, []string{s.id}, true) })
}

// send sends a stream to a server of its version, and has it taken up after it has broken off.
func (w *world) send(r *worldRouter, s *worldStream, tries []string, first bool) {
	control := w.control(r)
	if control == nil {
		return
	}
	asked := time.Now()
	control.Begin(origins.Stream{Account: "acme", Tries: tries}, origin.Version{Service: service, Name: s.version}, 1).Bind(context.Background())
	unrecorded := time.Since(asked) >= recordLimit
	for {
		t, _ := w.troubleOf(r)
		if w.control(r) != control {
			return // no event has left the router
		}
		if !t.frozen {
			break
		}
		time.Sleep(worldStep)
	}
	w.mu.Lock()
	s.last = time.Now()
	if first {
		w.begun++
		if unrecorded {
			s.unrecorded = control
		}
	}
	pause := lasting(w.callers, 3*time.Second)
	if w.callers.IntN(8) == 0 {
		pause = lasting(w.callers, lastTakeUp)
	}
	w.mu.Unlock()
	time.Sleep(pause)
	w.takeUp(s)
}

// control returns the process of a router that lives.
func (w *world) control(r *worldRouter) *origins.Controller {
	w.net.mu.Lock()
	defer w.net.mu.Unlock()
	if r.dead {
		return nil
	}
	return r.router.control
}

// takeUp has the caller take up a stream, up to four times.
func (w *world) takeUp(s *worldStream) {
	for range 4 {
		if time.Since(s.last) > lastTakeUp {
			return
		}
		if r := w.pick(w.draw(2) == 0); r != nil && w.takeUpAt(r, s) {
			return
		}
		time.Sleep(time.Duration(w.draw(400)) * time.Millisecond)
	}
}

// takeUpAt takes a stream up at a router, and reports whether it goes on or is joined.
func (w *world) takeUpAt(r *worldRouter, s *worldStream) bool {
	control := w.control(r)
	if control == nil {
		return false
	}
	f := control.Find(context.Background(), "acme", s.id, []string{service})
	if t, _ := w.troubleOf(r); w.control(r) != control || t.frozen {
		return false
	}
	sole, isSole := f.Sole(service)
	known := r.known.Versions(service)
	w.mu.Lock()
	w.takenUp++
	switch {
	case f.Known:
		known = []string{f.Origin.Name}
	case isSole && sole != nil:
		known = []string{*sole}
	case !isSole:
		w.refused++
		if w.oneOnly {
			w.failures = append(w.failures, fmt.Sprintf("%7.2f stream %s is refused at %s with one version ever: %+v", time.Since(w.log[0].at).Seconds(), s.id, r.id, f))
		}
		w.mu.Unlock()
		return false
	}
	for _, v := range known {
		if v != s.version {
			w.countJoined(r, s, f, v)
			w.mu.Unlock()
			return true
		}
	}
	w.wentOn++
	w.serial++
	again := fmt.Sprint("s", w.serial)
	w.mu.Unlock()
	if s.tries++; s.tries < 4 && w.serves(s.version) {
		w.calls.Go(func() { w.send(r, s, []string{again, s.id}, false) })
	}
	return true
}

// countJoined counts a stream that goes on at another version. One whose first event went out after the limit and whose
// process is gone may be joined. The caller holds w.mu.
func (w *world) countJoined(r *worldRouter, s *worldStream, f origins.Finding, at string) {
	if s.unrecorded != nil && w.control(s.by) != s.unrecorded {
		w.joinedUnrecorded++
		return
	}
	w.joined++
	w.failures = append(w.failures, fmt.Sprintf("%7.2f router %s lets stream %s of %q begun at %s go on at %q: %+v", time.Since(w.log[0].at).Seconds(), r.id, s.id, s.version, s.by.id, at, f))
}

// some returns a random share of the routers: often all, or all but one.
func (w *world) some() []*worldRouter {
	list := slices.Clone(w.routers)
	w.rng.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	switch w.rng.IntN(4) {
	case 0:
		return list
	case 1:
		return list[:max(len(list)-1, 1)]
	case 2:
		return list[:1]
	default:
		return list[:1+w.rng.IntN(len(list))]
	}
}

func ids(list []*worldRouter) (all []string) {
	for _, r := range list {
		all = append(all, r.id)
	}
	slices.Sort(all)
	return all
}

// strike brings trouble to routers for a time.
func (w *world) strike(list []*worldRouter, d time.Duration, t trouble) {
	w.note("%+v for %s: %s", t, d, ids(list))
	w.change(list, func(r *worldRouter) {
		r.trouble.frozen = r.trouble.frozen || t.frozen
		r.trouble.cutOff = r.trouble.cutOff || t.cutOff
		r.trouble.noStore = r.trouble.noStore || t.noStore
	})
	lag := lasting(w.rng, 600*time.Millisecond)
	w.later(d, func() {
		w.note("end of %+v: %s", t, ids(list))
		w.change(list, func(r *worldRouter) {
			r.trouble.frozen = r.trouble.frozen && !t.frozen
			r.trouble.cutOff = r.trouble.cutOff && !t.cutOff
			r.trouble.noStore = r.trouble.noStore && !t.noStore
			r.upset, r.refreshes = time.Now(), time.Now().Add(lag)
		})
	})
}

func (w *world) change(list []*worldRouter, do func(*worldRouter)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.net.mu.Lock()
	defer w.net.mu.Unlock()
	for _, r := range list {
		do(r)
	}
}

// kill kills routers, which start again after a time.
func (w *world) kill(list []*worldRouter, d time.Duration) {
	w.note("killed for %s: %s", d, ids(list))
	w.change(list, func(r *worldRouter) { r.dead, r.trouble.frozen = true, false })
	w.later(d, func() {
		for _, r := range list {
			w.restart(r)
		}
		w.note("started: %s", ids(list))
	})
}

// restart starts a process of a router. Without the store it has the registrations that another router knows.
func (w *world) restart(r *worldRouter) {
	w.net.mu.Lock()
	alone := r.trouble.noStore || w.net.faults.down
	w.net.mu.Unlock()
	w.mu.Lock()
	list := w.truth(time.Now().Add(-r.lag))
	w.mu.Unlock()
	if alone {
		list = nil
		if other := w.pick(false); other != nil {
			list = other.known.Versions(service)
		}
	}
	r.known.set(list...)
	r.start()
	w.change([]*worldRouter{r}, func(r *worldRouter) { r.upset = time.Now() })
}

// rolling restarts all routers one after the other.
func (w *world) rolling(d time.Duration) {
	w.note("rolling restart in %s", d)
	for i, r := range w.routers {
		w.later(d*time.Duration(i)/time.Duration(len(w.routers)), func() { w.restart(r) })
	}
}

// release changes the registered versions, in one step or in two.
func (w *world) release() {
	names := []string{"v0", "v1", "v2", "v3", ""}
	w.mu.Lock()
	old := slices.Clone(w.truth(time.Now()))
	w.mu.Unlock()
	next := names[w.rng.IntN(len(names))]
	switch w.rng.IntN(5) {
	case 0:
		w.register(next)
	case 1:
		w.register() // the service disappears
		w.later(lasting(w.rng, 3*time.Second), func() { w.register(next) })
	case 2:
		w.register(old[:len(old)/2]...)
	default:
		both := slices.Compact(slices.Sorted(slices.Values(append(old, next))))
		w.register(both...)
		w.later(lasting(w.rng, 3*time.Second), func() { w.register(next) })
	}
}

// storeFault brings a fault of the store or its record.
func (w *world) storeFault() {
	d := lasting(w.rng, 6*time.Second)
	var f storeFaults
	switch w.rng.IntN(8) {
	case 0:
		f.down = true
	case 1:
		f.noWrites = true
	case 2:
		f.delay = lasting(w.rng, 3*time.Second)
	case 3:
		f.loseDone = true
	case 4:
		f.loseUndone = true
	case 5, 6:
		w.spoil(w.rng.IntN(6))
		return
	case 7:
		w.strike(w.some(), d, trouble{noStore: true})
		return
	}
	w.setFaults(f)
	w.later(d, func() { w.setFaults(storeFaults{}) })
}

// spoil damages the record of versions.
func (w *world) spoil(how int) {
	key := origins.Kind + "/served"
	ctx := context.Background()
	o, err := w.net.store.Get(ctx, key)
	if err != nil {
		return
	}
	odd := []string{"", "{", "null", "[]", "{}", `{"versions":null}`}
	w.note("record deleted or replaced by %q", odd[how])
	if how == 0 {
		_ = w.net.store.Delete(ctx, key, o.Version) // nobody else changes it meanwhile
		return
	}
	_, _ = w.net.store.Update(ctx, key, o.Version, []byte(odd[how]))
}

// trial has a version join while the store is slow, and leave as all routers are killed.
func (w *world) trial(version string, d time.Duration) {
	w.mu.Lock()
	old := slices.Clone(w.truth(time.Now()))
	w.mu.Unlock()
	w.setFaults(storeFaults{delay: lasting(w.rng, time.Second), loseUndone: w.rng.IntN(2) == 0})
	w.register(version)
	w.later(d, func() {
		w.kill(slices.Clone(w.routers), time.Second)
		w.register(old...)
		w.setFaults(storeFaults{})
	})
}

// event draws one event.
func (w *world) event() {
	d := lasting(w.rng, 4*time.Second)
	kinds := 9
	if w.storeTrouble {
		kinds = 13
	}
	switch w.rng.IntN(kinds) {
	case 0:
		w.kill(slices.Clone(w.routers), d)
	case 1:
		w.kill(w.some(), d)
	case 2, 3:
		w.strike(w.some(), lasting(w.rng, 10*time.Second), trouble{frozen: true})
	case 4:
		w.strike(w.some(), lasting(w.rng, 10*time.Second), trouble{cutOff: true})
	case 5:
		w.rolling(d)
	case 6, 7, 8:
		if !w.oneOnly {
			w.release()
		}
	case 10:
		w.trial(fmt.Sprint("trial", w.rng.IntN(3)), lasting(w.rng, 2*time.Second))
	case 9:
		w.strike(w.some(), d, trouble{noStore: true, cutOff: true})
	default:
		w.storeFault()
	}
}

// play lets events happen among streams.
func (w *world) play() {
	for range 4 + w.rng.IntN(10) {
		long := w.rng.IntN(10) == 0
		gap := lasting(w.rng, 2*time.Second)
		absence := []time.Duration{time.Minute, 2 * time.Minute, 4 * time.Minute}[w.rng.IntN(3)]
		w.event()
		for end := time.Now().Add(gap); time.Now().Before(end); {
			for range 2 {
				w.begin()
			}
			w.run(100 * time.Millisecond)
		}
		if long {
			w.note("nothing happens for %s", absence)
			w.run(absence)
		}
	}
	w.run(10 * time.Second)
}

// report fails the test if a stream was joined or refused wrongly.
func (w *world) report() {
	if len(w.failures) == 0 {
		return
	}
	w.t.Errorf("%d failures, first %s", len(w.failures), w.failures[0])
	for _, e := range w.events {
		w.t.Log(e)
	}
}

// totals are the counts of all worlds.
type totals struct {
	mu    sync.Mutex
	count map[string]int
}

func (t *totals) add(w *world) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.count["begun"] += w.begun
	t.count["taken up"] += w.takenUp
	t.count["went on"] += w.wentOn
	t.count["refused"] += w.refused
	t.count["joined"] += w.joined
	t.count["joined, unrecorded"] += w.joinedUnrecorded
}

// Guards against a stream that goes on at another version than the one that began it, whatever happens to routers, the
// store and the versions; and against refusals where one version alone has ever served and the store is reachable. ORIGINS_SEED
// plays one seed.
func TestStreamsAreNeverJoined(t *testing.T) {
	runs, from := uint64(300), uint64(1)
	if text := os.Getenv("ORIGINS_SEED"); text != "" {
		seed, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			t.Fatal(err)
		}
		runs, from = 1, seed
	}
	total := totals{count: map[string]int{}}
	t.Run("worlds", func(t *testing.T) {
		for seed := from; seed < from+runs; seed++ {
			routers := 1 + int(seed*7%24)
			if seed%100 == 50 {
				routers = 87
			}
			t.Run(fmt.Sprintf("seed %d with %d routers", seed, routers), func(t *testing.T) {
				t.Parallel()
				inBubble(t, func(t *testing.T) {
					w := newWorld(t, seed, routers)
					w.play()
					w.stop()
					w.report()
					total.add(w)
				})
			})
		}
	})
	for _, name := range slices.Sorted(maps.Keys(total.count)) {
		t.Logf("%s: %d", name, total.count[name])
	}
}

// stop lets the streams under way reach their ends.
func (w *world) stop() {
	done := make(chan struct{})
	go func() {
		w.calls.Wait()
		close(done)
	}()
	for {
		select {
		case <-done:
			time.Sleep(6 * time.Second)
			return
		default:
			w.run(worldTick)
		}
	}
}
