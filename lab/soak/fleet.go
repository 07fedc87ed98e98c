package soak

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/gaplink/gaplink/budget"
	"github.com/gaplink/gaplink/platform/standin"
	"github.com/gaplink/gaplink/store"
)

// account is a client account of the run.
type account struct {
	name string
	// budget is the initial budget, and raise is what a configuration version may add to it.
	budget, raise int64
}

func (a account) key() string { return "key-" + a.name }

// exactAccount is the account whose charges can be compared closely; see exactEndings.
const exactAccount = "exact"

// accounts are two that never run out, one that runs out and is topped up, and one that soon runs
// out.
var accounts = []account{{"plenty", 1 << 40, 0}, {exactAccount, 1 << 40, 0}, {"topped-up", 10000, 1000}, {"scarce", 5000, 0}}

func markerKey(version int64) string { return fmt.Sprint("key-at-", version) }

func markerRoute(version int64) standin.Route {
	return standin.Route{Name: fmt.Sprint("at-", version), Type: standin.Repeatable, Attempts: 2}
}

const (
	routeTimeoutMs = 2000
	objectiveMs    = 1000
	// settleTimeout bounds the wait until a router is ready again after a fault of its process.
	settleTimeout = 3 * time.Second
	// storeLinkDelay and serverLinkDelay are added to each piece of data on a link, and storeDelay
	// to each store call.
	storeLinkDelay  = 100 * time.Millisecond
	serverLinkDelay = 20 * time.Millisecond
	storeDelay      = 300 * time.Millisecond
	// lateWriteDelay is the delay of late writes.
	lateWriteDelay = 700 * time.Millisecond
	// leaveMargin is how long a leaving server keeps serving beyond the Leaving bound.
	leaveMargin = 2 * time.Second
)

// fleet is a store, backend servers and routers, connected by fault-injecting proxies.
type fleet struct {
	oracle     *Oracle
	counters   *runCounters
	store      *standin.Store
	listen     net.Listener
	storeLinks []*Proxy // of each router to the store
	slots      []*serverSlot
	// kinds are the kinds of requests.
	kinds []requestKind
	// brittle is set if servers have little room, and are brittle at times.
	brittle bool
	// releases is set if the run has releases.
	releases bool

	mu             sync.Mutex
	routers        []*router
	storeFaults    map[Fault]int
	version        int64
	accounts       []account
	budgets        map[string]int64
	pendingChanges sync.WaitGroup
	errs           []error
}

func newFleet(o *Oracle, t *runCounters, batches bool, kinds []requestKind) (*fleet, error) {
	f := &fleet{kinds: kinds, accounts: accounts, oracle: o, counters: t, store: standin.NewStore(), storeFaults: map[Fault]int{}, budgets: map[string]int64{}}
	var err error
	if f.listen, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
		return nil, err
	}
	go func() { _ = http.Serve(f.listen, f.store) }() // serves until the listener is closed
	if batches {
		f.accounts = append(slices.Clone(accounts), batchAccount)
	}
	for _, a := range f.accounts {
		f.budgets[a.name] = a.budget
	}
	return f, f.configure(false)
}

// start starts all components and waits until the routers are ready.
func (f *fleet) start(ctx context.Context, o Options, dir string) error {
	f.brittle, f.releases = o.Brittle, o.Releases
	for i := range o.Servers {
		p, err := newServerSlot(i, serviceOf(i, o), o.Seed, f)
		if err != nil {
			return err
		}
		f.slots = append(f.slots, p)
	}
	spawn := newSpawner()
	for i := range o.Routers {
		link, err := NewProxy(f.listen.Addr().String())
		if err != nil {
			return err
		}
		f.storeLinks = append(f.storeLinks, link)
		r, err := newRouter(dir, i, link.Addr(), spawn, f.oracle)
		if err != nil {
			return err
		}
		f.routers = append(f.routers, r)
	}
	for _, r := range f.routers {
		if seedRouter := f.routers[0]; r != seedRouter {
			r.settings.Fleet.Seeds = []string{seedRouter.settings.Listen.Peers}
		}
		if err := r.writeSettings(); err != nil {
			return err
		}
		r.launch(ctx)
	}
	return f.awaitReady(ctx)
}

func (f *fleet) awaitReady(ctx context.Context) error {
	const within = 15 * time.Second
	for _, r := range f.routers {
		if !r.awaitReady(within) {
			return fmt.Errorf("router %d is not ready within %s", r.number, within)
		}
	}
	return ctx.Err()
}

// configure writes the next configuration version, which may raise budgets.
func (f *fleet) configure(raise bool) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.version++
	c := standin.Configuration{Version: f.version, TimeoutMs: routeTimeoutMs, ObjectiveMs: objectiveMs, EventTokens: eventTokens}
	for _, s := range f.kinds {
		c.Routes = append(c.Routes, s.route)
	}
	c.Routes = append(c.Routes, markerRoute(f.version), markerRoute(f.version-1))
	for i, a := range f.accounts {
		if raise {
			f.budgets[a.name] += a.raise
		}
		one := standin.Account{Name: a.name, Keys: []string{a.key()}, Budget: f.budgets[a.name]}
		if i == 0 {
			one.Keys = append(one.Keys, markerKey(f.version), markerKey(f.version-1))
		}
		c.Accounts = append(c.Accounts, one)
		f.oracle.SetBudget(a.name, one.Budget)
	}
	f.oracle.ConfigSent(f.version)
	if err := f.store.Configure(c); err != nil {
		return err
	}
	f.oracle.ConfigAcked(f.version, time.Now())
	return nil
}

// runSchedule applies the steps of a schedule at their times; steps may overlap.
func (f *fleet) runSchedule(ctx context.Context, steps []Step) {
	start := time.Now()
	for _, s := range steps {
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Until(start.Add(s.At))):
		}
		f.pendingChanges.Add(1)
		go func() {
			defer f.pendingChanges.Done()
			if err := f.apply(s); err != nil {
				f.fail(fmt.Errorf("%s: %w", s.Fault, err))
			}
		}()
	}
}

func (f *fleet) fail(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.errs = append(f.errs, err)
}

// err returns the errors of the test harness itself.
func (f *fleet) err() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	return errors.Join(f.errs...)
}

// apply injects one fault and ends it after its duration.
func (f *fleet) apply(s Step) error {
	switch s.Fault {
	case RouterStopped, RouterPaused, RouterKilled, RouterReloads, RouterCutOff:
		f.counters.countFault(s.Fault)
		return f.applyRouterFault(s)
	case ConfigChanged:
		f.counters.countFault(s.Fault)
		return f.configure(true)
	case AllRoutersKilled:
		f.killAll(s.Duration)
		return nil
	case ServerReleased, ServerLeaves, ServerCrashes, ServerRefuses, ServerLimits, ServerAnnounces, ServerBacksOff:
		return f.applyServerFault(s)
	}
	f.counters.countFault(s.Fault)
	switch faultSpecs[s.Fault].target {
	case routerTarget:
		f.recordDisruption(StoreLink(s.Target), s.Duration)
		applyLinkFault(f.storeLinks[s.Target], s, storeLinkDelay)
	case serverTarget:
		f.recordDisruption(ServerAtSlot(s.Target), s.Duration)
		applyLinkFault(f.slots[s.Target].proxy, s, serverLinkDelay)
	default:
		f.recordDisruption(StoreComponent, s.Duration)
		f.addStoreFault(s.Fault, 1)
		time.Sleep(s.Duration)
		f.addStoreFault(s.Fault, -1)
	}
	return nil
}

// recordDisruption records a disruption that starts now.
func (f *fleet) recordDisruption(s Component, duration time.Duration) {
	now := time.Now()
	f.oracle.AddDisruption(s, now, now.Add(duration))
}

func (f *fleet) applyRouterFault(s Step) error {
	r := f.routers[s.Target]
	switch s.Fault {
	case RouterStopped:
		end := f.oracle.BeginDisruption(PlannedStop(s.Target), time.Now())
		if killed := r.stop(s.Duration); !killed.IsZero() {
			f.oracle.AddDisruption(RouterProcess(s.Target), killed, killed.Add(s.Duration))
		}
		time.Sleep(s.Duration)
		r.awaitReady(settleTimeout)
		end(time.Now())
	case RouterPaused:
		f.recordDisruption(RouterProcess(s.Target), s.Duration)
		r.signal(syscall.SIGSTOP)
		time.Sleep(s.Duration)
		r.signal(syscall.SIGCONT)
		f.recordDisruption(RouterProcess(s.Target), 0)
	case RouterKilled:
		end := f.oracle.BeginDisruption(RouterProcess(s.Target), time.Now())
		r.kill(s.Duration)
		time.Sleep(s.Duration)
		r.awaitReady(settleTimeout)
		end(time.Now())
	case RouterCutOff:
		f.cutOff(s)
	case RouterReloads:
		return r.reload(50 + float64(s.At%10))
	}
	return nil
}

// cutOff partitions a router from all servers. Overlapping partitions of a router end together with the
// first.
func (f *fleet) cutOff(s Step) {
	f.recordDisruption(ServerLinks(s.Target), s.Duration)
	source, how := routerSource(s.Target), Partition(s.Duration.Milliseconds()%int64(partitionKinds))
	for _, p := range f.slots {
		p.proxy.Cut(source, how)
	}
	time.Sleep(s.Duration)
	for _, p := range f.slots {
		p.proxy.Heal(source)
	}
}

func (f *fleet) applyServerFault(s Step) (err error) {
	p := f.slots[s.Target]
	done := true
	switch s.Fault {
	case ServerLeaves:
		done, err = p.leave(DefaultBounds().Leaving + leaveMargin)
	case ServerReleased:
		done, err = p.release(s.Version)
	case ServerCrashes:
		done, err = p.crash(s.Duration)
	case ServerAnnounces:
		done, err = p.announceLeaving(DefaultBounds().Leaving + leaveMargin)
	case ServerRefuses:
		p.refuseFor(s.Duration)
	case ServerBacksOff:
		done = p.backOffFor(s.Duration)
	case ServerLimits:
		done = p.nameLimitFor(s.Duration)
	}
	if done {
		f.counters.countFault(s.Fault)
	}
	return err
}

func applyLinkFault(p *Proxy, s Step, delay time.Duration) {
	switch s.Fault {
	case StoreLinkDelayed, ServerLinkDelayed:
		p.Delay(delay)
		time.Sleep(s.Duration)
		p.Delay(0)
	case StoreLinkReset, ServerLinkReset:
		p.Reset()
	case StoreLinkSilent, ServerLinkSilent:
		p.Silence()
	case StoreLinkOneWay, ServerLinkOneWay:
		p.BlockDirection(direction(s.Duration.Milliseconds() % 2))
		time.Sleep(s.Duration)
		p.Restore()
	case StoreLinkDown:
		p.Down(true)
		time.Sleep(s.Duration)
		p.Down(false)
	}
}

// addStoreFault adds n to the number of active faults of a kind, as faults may overlap, and applies
// the active kinds to the store.
func (f *fleet) addStoreFault(kind Fault, n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.storeFaults[kind] += n
	on := func(kind Fault) bool { return f.storeFaults[kind] > 0 }
	faults := standin.StoreFaults{Down: on(StoreDown), LoseWrites: on(StoreLosesAnswers), Forget: on(StoreForgets), Deaf: on(StoreDeaf)}
	if on(StoreSlow) {
		faults.Delay = storeDelay
	}
	if on(StoreWritesLate) {
		faults.LateWrites = lateWriteDelay
	}
	f.store.SetFaults(faults)
}

// audit compares the tokens issued according to the store with the tokens that servers handed out.
func (f *fleet) audit() error {
	handedOut := f.oracle.HandedOut()
	value, err := f.store.Value(budget.PageKey(0))
	if errors.Is(err, store.ErrNotFound) && len(handedOut) == 0 {
		return nil // no router has drawn tokens yet
	}
	if err != nil {
		return err
	}
	page, err := budget.DecodePage(value)
	if err != nil {
		return err
	}
	for _, a := range f.accounts {
		name := a.name
		var issued int64
		if record := page.Budgets[name]; record != nil {
			issued = record.Issued()
		}
		f.oracle.CheckIssued(name, issued, handedOut[name], time.Now())
		f.counters.setIssued(name, issued)
	}
	return nil
}

// stop waits for pending changes and then stops the routers gracefully.
func (f *fleet) stop() {
	f.pendingChanges.Wait()
	var stopping sync.WaitGroup
	for _, r := range f.routers {
		stopping.Add(1)
		go func() {
			defer stopping.Done()
			r.close()
		}()
	}
	stopping.Wait()
}

// close closes the proxies, the backend servers and the store's listener.
func (f *fleet) close() {
	for _, l := range f.storeLinks {
		l.Close()
	}
	for _, p := range f.slots {
		p.proxy.Close()
		p.close()
	}
	_ = f.listen.Close()
}
