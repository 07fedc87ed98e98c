package soak

import (
	"fmt"
	"sync"
	"time"

	"github.com/gaplink/gaplink/platform/standin"
)

// place is where one backend server runs after another, each under an id of its
// own and all at the same address, behind a proxy.
type place struct {
	number int
	seed   uint64
	oracle *Oracle
	store  *standin.Store
	tally  *tally
	proxy  *Proxy
	// fail notes what went wrong with the run itself.
	fail func(error)

	mu       sync.Mutex
	id       string
	life     int
	scripted *standin.Scripted
	leaving  bool
	refusing int
	// limit is the rate limit that the server names, in requests a second; 0: none.
	limit float64
}

func newPlace(number int, seed uint64, f *fleet) (*place, error) {
	p := &place{number: number, seed: seed, oracle: f.oracle, store: f.store, tally: f.tally, fail: f.fail}
	var err error
	if p.proxy, err = NewProxy(""); err != nil {
		return nil, err
	}
	return p, p.open()
}

// open starts the next server and registers it.
func (p *place) open() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.life++
	id := fmt.Sprintf("s%d-%d", p.number, p.life)
	scripted, err := standin.NewScripted(standin.NewPlay(func(r standin.Run) standin.Answer { return p.answer(id, r) }))
	if err != nil {
		return err
	}
	p.id, p.scripted, p.leaving, p.limit = id, scripted, false, 0
	p.proxy.Retarget(scripted.Addr())
	return p.store.Register(id, p.proxy.Addr(), false)
}

// answer is the script of the server with that id.
func (p *place) answer(id string, r standin.Run) standin.Answer {
	if !r.MeantFor(id) {
		return standin.Elsewhere(id)
	}
	now := time.Now()
	request, before, ok := p.oracle.Arrived(r.RequestID, id, p.number, now)
	if !ok {
		return standin.Elsewhere(id)
	}
	if request.Poison != "" {
		p.tally.ending(EndsServer)
		p.oracle.Ran(r.RequestID, p.number, EndsServer, silent(), now)
		go p.endUnder(id, request.Poison)
		return silent()
	}
	a, e := DrawAnswer(p.seed, r, before, request)
	if p.refuses() {
		a, e = refusal(r.RequestID), Refusal
	}
	if limit := p.named(); limit > 0 {
		a.Fields = append(a.Fields, standin.Limit(limit))
	}
	p.tally.ending(e)
	if !e.NotRun() {
		p.oracle.Ran(r.RequestID, p.number, e, a, now)
	}
	return a
}

// limits are what servers name as their rate limits, in requests a second.
var limits = []float64{0.5, 1.2, 4, 9}

// limitFor makes the server name a rate limit for a while; false: it names one already.
func (p *place) limitFor(lasts time.Duration) bool {
	id, ok := p.setLimit(limits[lasts.Milliseconds()%int64(len(limits))])
	if !ok {
		return false
	}
	time.Sleep(lasts)
	p.endLimit(id)
	return true
}

func (p *place) setLimit(perSecond float64) (id string, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.limit > 0 {
		return "", false
	}
	p.limit = perSecond
	p.oracle.Limits(p.id, perSecond, time.Now())
	return p.id, true
}

// endLimit ends the limit of a server, if it still runs.
func (p *place) endLimit(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.oracle.Limits(id, 0, time.Now())
	if p.id == id {
		p.limit = 0
	}
}

// named returns the limit that the server names.
func (p *place) named() float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.limit
}

func (p *place) refuses() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.refusing > 0
}

// refuse makes the server refuse for a while.
func (p *place) refuse(lasts time.Duration) {
	p.addRefusing(1)
	time.Sleep(lasts)
	p.addRefusing(-1)
}

func (p *place) addRefusing(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.refusing += n
}

// claim takes the server for its end, which only one may bring about.
func (p *place) claim() (id string, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	ok = !p.leaving
	p.leaving = true
	return p.id, ok
}

// leave registers the server as leaving, lets it serve on for a while, and puts
// another one in its place. It returns false if its end was under way already.
func (p *place) leave(serveOn time.Duration) (bool, error) {
	id, ok := p.claim()
	if !ok {
		return false, nil
	}
	if err := p.store.Register(id, p.proxy.Addr(), true); err != nil {
		return true, err
	}
	p.oracle.Leaving(id, time.Now())
	time.Sleep(serveOn)
	p.oracle.Disturbed(ServerAt(p.number), time.Now(), time.Now())
	defer p.oracle.Left(id)
	return true, p.replace(id)
}

// crash ends the server at once; another one takes its place later.
func (p *place) crash(away time.Duration) (bool, error) {
	return p.crashAnd(func() {}, away)
}

// crashAnd does so, and calls ended when the server has.
func (p *place) crashAnd(ended func(), away time.Duration) (bool, error) {
	id, ok := p.claim()
	if !ok {
		return false, nil
	}
	now := time.Now()
	p.oracle.Disturbed(ServerAt(p.number), now, now.Add(away))
	p.close()
	ended()
	time.Sleep(away)
	return true, p.replace(id)
}

func (p *place) replace(id string) error {
	p.close()
	if err := p.store.Unregister(id); err != nil {
		return err
	}
	return p.open()
}

func (p *place) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.scripted.Close()
}
