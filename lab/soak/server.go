package soak

import (
	"cmp"
	"fmt"
	"sync"
	"time"

	"github.com/gaplink/gaplink/platform/standin"
)

// serverSlot is an address, behind a proxy, at which one backend server runs after another, each
// under its own id.
type serverSlot struct {
	number   int
	service  string
	seed     uint64
	oracle   *Oracle
	store    *standin.Store
	counters *runCounters
	proxy    *Proxy
	// fail records an error of the test harness itself.
	fail func(error)
	// room is nil in runs without brittle servers.
	room *room
	// releases is set in runs with releases.
	releases bool

	mu      sync.Mutex
	id      string
	version string
	// released is the version that was released to the slot; empty: servers draw theirs.
	released    string
	incarnation int
	scripted    *standin.Scripted
	leaving     bool
	refusing    int
	// refusedShare is the share of the requests that the server refuses.
	refusedShare float64
	// breaksOff makes the server break off its answers to that share in place of refusing them.
	breaksOff bool
	// announcing is set while the server announces in its answers that it is leaving, and backoff
	// is the time for which it asks for no requests in its refusals; 0 means that it does not.
	announcing bool
	backoff    time.Duration
	// rateLimit is the rate limit that the server names, in requests per second; 0 means none.
	rateLimit float64
}

func newServerSlot(number int, service string, seed uint64, f *fleet) (*serverSlot, error) {
	p := &serverSlot{number: number, service: service, seed: seed, releases: f.releases, oracle: f.oracle, store: f.store, counters: f.counters, fail: f.fail}
	if f.brittle {
		p.room = &room{}
	}
	var err error
	if p.proxy, err = NewProxy(""); err != nil {
		return nil, err
	}
	return p, p.open()
}

// open starts the next server and registers it.
func (p *serverSlot) open() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.incarnation++
	id := fmt.Sprintf("s%d-%d", p.number, p.incarnation)
	version := cmp.Or(p.released, drawVersion(p.seed, p.number, p.incarnation))
	scripted, err := standin.NewScripted(standin.NewPlay(func(r standin.Run) standin.Answer { return p.answer(id, version, r) }))
	if err != nil {
		return err
	}
	p.id, p.scripted, p.leaving, p.rateLimit, p.announcing = id, scripted, false, 0, false
	p.version = version
	p.room.reset()
	p.oracle.Serves(p.number, p.version)
	p.proxy.Retarget(scripted.Addr())
	return p.register(id, false)
}

// register writes the registration of the server with the given id. The caller holds p.mu.
func (p *serverSlot) register(id string, leaving bool) error {
	slots := standin.Slots
	if p.room != nil {
		slots = brittleSlots
	}
	return p.store.RegisterServer(p.service, id, p.proxy.Addr(), p.version, slots, leaving)
}

// answer returns the answer of the server with the given id and software version to a run.
func (p *serverSlot) answer(id, version string, r standin.Run) standin.Answer {
	now := time.Now()
	if !r.MeantFor(id) {
		p.oracle.ArrivedElsewhere(r.RequestID, now)
		return standin.Elsewhere(id)
	}
	request, before, ok := p.oracle.Arrived(r.RequestID, id, p.number, now)
	if !ok {
		return standin.Elsewhere(id)
	}
	if request.Poison != "" {
		p.counters.countEnding(EndsServer)
		p.oracle.Ran(r.RequestID, p.number, EndsServer, silentAnswer(), now)
		go p.crashUnder(id, request.Poison)
		return silentAnswer()
	}
	accepted, fallsUnder := p.room.enter(r.RequestID, p.oracle.bounds.QuietPeriod, now)
	if fallsUnder != nil {
		go p.fall(id, fallsUnder)
	}
	request.Version = version
	draw := DrawAnswer
	if p.releases {
		draw = drawReleaseAnswer
	}
	a, e := draw(p.seed, r, before, request)
	backoff := p.askedBackoff()
	if p.refuses(r.RequestID, before) || backoff > 0 || !accepted {
		a, e = p.failedAnswer(r, before, request)
	}
	if accepted {
		p.occupy(&a)
	}
	if p.room.saysBrittle() {
		a.Fields = append(a.Fields, standin.Brittle(brittleRejections))
	}
	if backoff > 0 {
		a.Fields = append(a.Fields, standin.RetryAfter(backoff))
		p.oracle.AskedBackoff(r.RequestID, id, p.number, backoff, now)
	}
	if p.isAnnouncing() {
		a.Fields = append(a.Fields, standin.Leaving())
		p.oracle.AnnouncedLeaving(r.RequestID, id)
	}
	if limit := p.namedRateLimit(); limit > 0 {
		a.Fields = append(a.Fields, standin.Limit(limit))
	}
	p.counters.countEnding(e)
	if !e.NotRun() {
		p.oracle.Ran(r.RequestID, p.number, e, a, now)
	}
	return a
}

// namedRateLimits are the rate limits that servers name, in requests per second.
var namedRateLimits = []float64{0.5, 1.2, 4, 9}

// nameLimitFor makes the server name a rate limit for the given time. It returns false if the
// server already names one.
func (p *serverSlot) nameLimitFor(duration time.Duration) bool {
	id, ok := p.setRateLimit(namedRateLimits[duration.Milliseconds()%int64(len(namedRateLimits))])
	if !ok {
		return false
	}
	time.Sleep(duration)
	p.endRateLimit(id)
	return true
}

func (p *serverSlot) setRateLimit(perSecond float64) (id string, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.rateLimit > 0 {
		return "", false
	}
	p.rateLimit = perSecond
	p.oracle.SetRateLimit(p.id, perSecond, time.Now())
	return p.id, true
}

// endRateLimit ends the rate limit of the server with the given id, if that server still runs.
func (p *serverSlot) endRateLimit(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.oracle.SetRateLimit(id, 0, time.Now())
	if p.id == id {
		p.rateLimit = 0
	}
}

// namedRateLimit returns the rate limit that the server names.
func (p *serverSlot) namedRateLimit() float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.rateLimit
}

// refuseFor makes the server refuse requests for the given time.
func (p *serverSlot) refuseFor(duration time.Duration) {
	p.addRefusing(1)
	time.Sleep(duration)
	p.addRefusing(-1)
}

func (p *serverSlot) addRefusing(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.refusing += n
}

// backOffFor makes the server refuse requests for the given time and ask in each refusal for none
// for one to three seconds. It returns false if the server already does.
func (p *serverSlot) backOffFor(duration time.Duration) bool {
	asked := time.Second + duration%(2*time.Second)
	if !p.setBackoff(asked) {
		return false
	}
	time.Sleep(duration)
	p.setBackoff(0)
	return true
}

// setBackoff sets the time for which the server asks for no requests; 0 ends that. It returns false
// if the server already asks for one.
func (p *serverSlot) setBackoff(asked time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if asked > 0 && p.backoff > 0 {
		return false
	}
	p.backoff = asked
	return true
}

func (p *serverSlot) askedBackoff() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.backoff
}

// announceLeaving makes the server announce in its answers that it is leaving, while its
// registration says that it is ready, keeps it serving for the given time and then replaces it. It
// returns false if a shutdown was already in progress.
func (p *serverSlot) announceLeaving(serveFor time.Duration) (bool, error) {
	id, ok := p.beginShutdown()
	if !ok {
		return false, nil
	}
	p.beginAnnouncing()
	time.Sleep(serveFor)
	p.oracle.AddDisruption(ServerAtSlot(p.number), time.Now(), time.Now())
	return true, p.replace(id)
}

func (p *serverSlot) beginAnnouncing() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.announcing = true
}

func (p *serverSlot) isAnnouncing() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.announcing
}

// beginShutdown marks the server as shutting down. ok is false if a shutdown was already in
// progress.
func (p *serverSlot) beginShutdown() (id string, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	ok = !p.leaving
	p.leaving = true
	return p.id, ok
}

// leave registers the server as leaving, keeps it serving for the given time and then replaces it.
// It returns false if a shutdown was already in progress.
func (p *serverSlot) leave(serveFor time.Duration) (bool, error) {
	id, ok := p.beginShutdown()
	if !ok {
		return false, nil
	}
	if err := p.registerLeaving(id); err != nil {
		return true, err
	}
	p.oracle.Leaving(id, time.Now())
	time.Sleep(serveFor)
	p.oracle.AddDisruption(ServerAtSlot(p.number), time.Now(), time.Now())
	defer p.oracle.Left(id)
	return true, p.replace(id)
}

func (p *serverSlot) registerLeaving(id string) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.register(id, true)
}

// crash ends the server abruptly and replaces it after the downtime.
func (p *serverSlot) crash(downtime time.Duration) (bool, error) {
	return p.crashWith(func() {}, downtime)
}

// crashWith is like crash and calls ended once the server has ended.
func (p *serverSlot) crashWith(ended func(), downtime time.Duration) (bool, error) {
	id, ok := p.beginShutdown()
	if !ok {
		return false, nil
	}
	now := time.Now()
	p.oracle.AddDisruption(ServerAtSlot(p.number), now, now.Add(downtime))
	p.close()
	ended()
	time.Sleep(downtime)
	return true, p.replace(id)
}

// crashServer is crashWith for the server with the given id; it does nothing if another one runs at the slot.
func (p *serverSlot) crashServer(id string, ended func(), downtime time.Duration) {
	p.mu.Lock()
	same := p.id == id
	p.mu.Unlock()
	if !same {
		return
	}
	if _, err := p.crashWith(ended, downtime); err != nil {
		p.fail(err)
	}
}

func (p *serverSlot) replace(id string) error {
	p.close()
	if err := p.store.Unregister(id); err != nil {
		return err
	}
	return p.open()
}

func (p *serverSlot) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.scripted.Close()
}
