package soak

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
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
	// budget is what it starts with, and raise what a new version may add.
	budget, raise int64
}

func (a account) key() string { return "key-" + a.name }

// exact is the account whose charges can be compared closely.
const exact = "exact"

// accounts are two that never run out, one that does and is topped up, and one
// that soon has run out.
var accounts = []account{{"plenty", 1 << 40, 0}, {exact, 1 << 40, 0}, {"topped-up", 10000, 1000}, {"scarce", 5000, 0}}

func markerKey(version int64) string { return fmt.Sprint("key-at-", version) }

func markerRoute(version int64) standin.Route {
	return standin.Route{Name: fmt.Sprint("at-", version), Type: standin.Repeatable, Attempts: 2}
}

const (
	routeTimeoutMs = 2000
	objectiveMs    = 1000
	// settled is how long a change of a process may take to be over.
	settled = 3 * time.Second
	// storeLinkDelay, serverLinkDelay and storeDelay are added to each piece or call.
	storeLinkDelay  = 100 * time.Millisecond
	serverLinkDelay = 20 * time.Millisecond
	storeDelay      = 300 * time.Millisecond
	// lateBy is how late late writes are.
	lateBy = 700 * time.Millisecond
	// serveOn is how much longer than the bound a leaving server serves.
	serveOn = 2 * time.Second
)

// fleet is a store, backend servers and routers, with proxies between them.
type fleet struct {
	oracle *Oracle
	tally  *tally
	store  *standin.Store
	listen net.Listener
	links  []*Proxy // of each router to the store
	places []*place

	mu          sync.Mutex
	routers     []*router
	storeFaults map[Fault]int
	version     int64
	budgets     map[string]int64
	changes     sync.WaitGroup
	errs        []error
}

func newFleet(o *Oracle, t *tally) (*fleet, error) {
	f := &fleet{oracle: o, tally: t, store: standin.NewStore(), storeFaults: map[Fault]int{}, budgets: map[string]int64{}}
	var err error
	if f.listen, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
		return nil, err
	}
	go func() { _ = http.Serve(f.listen, f.store) }() // until it is closed
	for _, a := range accounts {
		f.budgets[a.name] = a.budget
	}
	return f, f.configure(false)
}

// start starts everything and waits until the routers are ready.
func (f *fleet) start(ctx context.Context, o Options, dir string) error {
	for i := range o.Servers {
		p, err := newPlace(i, o.Seed, f)
		if err != nil {
			return err
		}
		f.places = append(f.places, p)
	}
	spawn := newSpawner()
	for i := range o.Routers {
		link, err := NewProxy(f.listen.Addr().String())
		if err != nil {
			return err
		}
		f.links = append(f.links, link)
		r, err := newRouter(dir, i, link.Addr(), spawn, f.oracle)
		if err != nil {
			return err
		}
		f.routers = append(f.routers, r)
	}
	for _, r := range f.routers {
		if others := f.routers[0]; r != others {
			r.settings.Fleet.Seeds = []string{others.settings.Listen.Peers}
		}
		if err := r.writeSettings(); err != nil {
			return err
		}
		go r.run(ctx)
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

// configure puts the next version, which may raise budgets.
func (f *fleet) configure(raise bool) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.version++
	c := standin.Configuration{Version: f.version, TimeoutMs: routeTimeoutMs, ObjectiveMs: objectiveMs, EventTokens: eventTokens}
	for _, s := range shapes {
		c.Routes = append(c.Routes, s.route)
	}
	c.Routes = append(c.Routes, markerRoute(f.version), markerRoute(f.version-1))
	for i, a := range accounts {
		if raise {
			f.budgets[a.name] += a.raise
		}
		one := standin.Account{Name: a.name, Keys: []string{a.key()}, Budget: f.budgets[a.name]}
		if i == 0 {
			one.Keys = append(one.Keys, markerKey(f.version), markerKey(f.version-1))
		}
		c.Accounts = append(c.Accounts, one)
		f.oracle.Limit(a.name, one.Budget)
	}
	f.oracle.Configures(f.version)
	if err := f.store.Configure(c); err != nil {
		return err
	}
	f.oracle.Configured(f.version, time.Now())
	return nil
}

// play applies the steps of a schedule at their times, beside each other.
func (f *fleet) play(ctx context.Context, steps []Step) {
	start := time.Now()
	for _, s := range steps {
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Until(start.Add(s.At))):
		}
		f.changes.Add(1)
		go func() {
			defer f.changes.Done()
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

// err returns what went wrong with the run itself.
func (f *fleet) err() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	return errors.Join(f.errs...)
}

// apply brings about one fault and ends it.
func (f *fleet) apply(s Step) error {
	switch s.Fault {
	case RouterStopped, RouterPaused, RouterKilled, RouterReloads:
		f.tally.fault(s.Fault)
		return f.disturbRouter(s)
	case ConfigChanged:
		f.tally.fault(s.Fault)
		return f.configure(true)
	case ServerLeaves, ServerCrashes, ServerRefuses, ServerLimits:
		return f.disturbServer(s)
	}
	f.tally.fault(s.Fault)
	switch natures[s.Fault].target {
	case atRouter:
		f.disturb(StoreLinkOf(s.Target), s.Lasts)
		disturbLink(f.links[s.Target], s, storeLinkDelay)
	case atServer:
		f.disturb(ServerAt(s.Target), s.Lasts)
		disturbLink(f.places[s.Target].proxy, s, serverLinkDelay)
	default:
		f.disturb(StoreItself, s.Lasts)
		f.disturbStore(s.Fault, 1)
		time.Sleep(s.Lasts)
		f.disturbStore(s.Fault, -1)
	}
	return nil
}

// disturb tells the oracle of a disturbance that begins now.
func (f *fleet) disturb(s Subject, lasts time.Duration) {
	now := time.Now()
	f.oracle.Disturbed(s, now, now.Add(lasts))
}

func (f *fleet) disturbRouter(s Step) error {
	r := f.routers[s.Target]
	switch s.Fault {
	case RouterStopped:
		end := f.oracle.Disturb(StopOf(s.Target), time.Now())
		if killed := r.stop(s.Lasts); !killed.IsZero() {
			f.oracle.Disturbed(ProcessOf(s.Target), killed, killed.Add(s.Lasts))
		}
		time.Sleep(s.Lasts)
		r.awaitReady(settled)
		end(time.Now())
	case RouterPaused:
		f.disturb(ProcessOf(s.Target), s.Lasts)
		r.signal(syscall.SIGSTOP)
		time.Sleep(s.Lasts)
		r.signal(syscall.SIGCONT)
		f.disturb(ProcessOf(s.Target), 0)
	case RouterKilled:
		end := f.oracle.Disturb(ProcessOf(s.Target), time.Now())
		r.kill(s.Lasts)
		time.Sleep(s.Lasts)
		r.awaitReady(settled)
		end(time.Now())
	case RouterReloads:
		return r.reload(50 + float64(s.At%10))
	}
	return nil
}

func (f *fleet) disturbServer(s Step) (err error) {
	p := f.places[s.Target]
	done := true
	switch s.Fault {
	case ServerLeaves:
		done, err = p.leave(DefaultBounds().Leaving + serveOn)
	case ServerCrashes:
		done, err = p.crash(s.Lasts)
	case ServerRefuses:
		p.refuse(s.Lasts)
	case ServerLimits:
		done = p.limitFor(s.Lasts)
	}
	if done {
		f.tally.fault(s.Fault)
	}
	return err
}

func disturbLink(p *Proxy, s Step, delay time.Duration) {
	switch s.Fault {
	case StoreLinkDelayed, ServerLinkDelayed:
		p.Delay(delay)
		time.Sleep(s.Lasts)
		p.Delay(0)
	case StoreLinkReset, ServerLinkReset:
		p.Reset()
	case StoreLinkSilent, ServerLinkSilent:
		p.Silence()
	case StoreLinkOneWay, ServerLinkOneWay:
		p.CutOneWay(direction(s.Lasts.Milliseconds() % 2))
		time.Sleep(s.Lasts)
		p.Mend()
	case StoreLinkDown:
		p.Down(true)
		time.Sleep(s.Lasts)
		p.Down(false)
	}
}

// disturbStore adds or ends one fault of the store beside those that overlap it.
func (f *fleet) disturbStore(kind Fault, n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.storeFaults[kind] += n
	on := func(kind Fault) bool { return f.storeFaults[kind] > 0 }
	faults := standin.StoreFaults{Down: on(StoreDown), LoseWrites: on(StoreLosesAnswers), Forget: on(StoreForgets), Deaf: on(StoreDeaf)}
	if on(StoreSlow) {
		faults.Delay = storeDelay
	}
	if on(StoreWritesLate) {
		faults.LateWrites = lateBy
	}
	f.store.SetFaults(faults)
}

// audit compares what the store says was issued with what servers handed out.
func (f *fleet) audit() error {
	handed := f.oracle.Handed()
	value, err := f.store.Value(budget.PageKey(0))
	if errors.Is(err, store.ErrNotFound) && len(handed) == 0 {
		return nil // no router has drawn yet
	}
	if err != nil {
		return err
	}
	page, err := budget.DecodePage(value)
	if err != nil {
		return err
	}
	for _, a := range accounts {
		name := a.name
		var issued int64
		if record := page.Budgets[name]; record != nil {
			issued = record.Issued()
		}
		f.oracle.Issued(name, issued, handed[name], time.Now())
		f.tally.issued(name, issued)
	}
	return nil
}

// stop waits for the last changes and ends the routers in order.
func (f *fleet) stop() {
	f.changes.Wait()
	var all sync.WaitGroup
	for _, r := range f.routers {
		all.Add(1)
		go func() {
			defer all.Done()
			r.close()
		}()
	}
	all.Wait()
}

// close ends the stand-ins.
func (f *fleet) close() {
	for _, l := range f.links {
		l.Close()
	}
	for _, p := range f.places {
		p.proxy.Close()
		p.close()
	}
	_ = f.listen.Close()
}
