package verdicts_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/gaplink/gaplink/controller/verdicts"
	"github.com/gaplink/gaplink/placement"
	"github.com/gaplink/gaplink/poison"
	"github.com/gaplink/gaplink/store/memory"
)

// fleetPlay is a fleet of routers, in virtual time, that receives requests with a part that crashes servers beside sound
// ones. It has as many servers as it needs.
type fleetPlay struct {
	routers, accounts int
	// rate is that of requests with the part, sound that of sound ones, and waves that of crashes for other
	// reasons, each per second.
	rate, sound, waves float64
	// killEvery is the time between two kills of all routers, the first of which comes after half of it; zero: none. They
	// are back after playDowntime.
	killEvery time.Duration
	// unnumbered is set if servers do not report when their process started.
	unnumbered bool
	length     time.Duration
	seed       uint64

	rng   *rand.Rand
	store *memory.Store
	fleet []*verdicts.Controller
	kill  context.CancelFunc
	net   *network

	mu                sync.Mutex
	arrivals, crashes []time.Duration
	sent, refused     int
	numbers           int
	begun             time.Time
}

const (
	playDowntime   = 500 * time.Millisecond
	playCrashDelay = 30 * time.Millisecond
	// playPropagation is the time until a router has what another one sends, as in a large fleet.
	playPropagation = 150 * time.Millisecond
	// playBound is the time after the fifth crash from which arrivals count, and playAllowed how many there may be.
	playBound   = 3 * time.Second
	playAllowed = 3
)

func (p *fleetPlay) run(t *testing.T) {
	p.rng, p.store, p.begun = rand.New(rand.NewPCG(p.seed, 87)), memory.New(), time.Now()
	p.start(t)
	stop, cancel := context.WithTimeout(t.Context(), p.length)
	defer cancel()
	var running sync.WaitGroup
	running.Go(func() { p.repeat(stop, p.rate, p.sendFatal) })
	running.Go(func() { p.repeat(stop, p.sound, p.sendSound) })
	running.Go(func() { p.repeat(stop, p.waves, func() { p.crash("wave", p.server("w", p.number())) }) })
	if p.killEvery > 0 {
		running.Go(func() { p.killAll(stop, t) })
	}
	running.Wait()
	time.Sleep(time.Second) // requests in flight
	p.kill()
	time.Sleep(time.Second)
}

// start starts a process of each router.
func (p *fleetPlay) start(t *testing.T) {
	ctx, kill := context.WithCancel(t.Context())
	net := newNetwork()
	net.delay = playPropagation
	var fleet []*verdicts.Controller
	for i := range p.routers {
		fleet = append(fleet, net.join(ctx, fmt.Sprint("r", i), p.store))
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fleet, p.kill, p.net = fleet, kill, net
}

func (p *fleetPlay) killAll(ctx context.Context, t *testing.T) {
	for pause := p.killEvery / 2; ; pause = p.killEvery - playDowntime {
		if !sleep(ctx, pause) {
			return
		}
		p.kill()
		p.net.close()
		p.mu.Lock()
		p.fleet = nil
		p.mu.Unlock()
		time.Sleep(playDowntime)
		p.start(t)
	}
}

func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// repeat calls send at random times with the given mean rate per second.
func (p *fleetPlay) repeat(ctx context.Context, rate float64, send func()) {
	if rate == 0 {
		return
	}
	rng := rand.New(rand.NewPCG(p.seed, uint64(rate*1000)))
	for sleep(ctx, time.Duration(rng.ExpFloat64()/rate*float64(time.Second))) {
		go send()
	}
}

// router returns a random router, or nil if all are down.
func (p *fleetPlay) router() *verdicts.Controller {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.fleet) == 0 {
		return nil
	}
	return p.fleet[p.rng.IntN(len(p.fleet))]
}

func (p *fleetPlay) number() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.numbers++
	return p.numbers
}

// partsOf returns the parts of a prompt of a random account.
func (p *fleetPlay) partsOf(shared string) []poison.Part {
	p.mu.Lock()
	account := fmt.Sprint("account ", p.rng.IntN(p.accounts))
	p.mu.Unlock()
	return poison.PartsOf(account, []string{shared, "of " + account})
}

func (p *fleetPlay) sendFatal() {
	r, n := p.router(), p.number()
	parts := p.partsOf("bad")
	if r == nil {
		return
	}
	if _, refused := r.Admit(request(fmt.Sprint("bad ", n)), parts...); refused {
		return
	}
	p.mu.Lock()
	p.arrivals = append(p.arrivals, time.Since(p.begun))
	p.mu.Unlock()
	time.Sleep(playCrashDelay)
	p.mu.Lock()
	p.crashes = append(p.crashes, time.Since(p.begun))
	p.mu.Unlock()
	server := p.server("s", n)
	r.RecordBroken(server, request(fmt.Sprint("bad ", n)), parts...)
	p.crash("bystander", server)
}

func (p *fleetPlay) server(prefix string, n int) placement.Server {
	s := placement.Server{ID: fmt.Sprint(prefix, n), Started: int64(n), Service: "llm"}
	if p.unnumbered {
		s.Started = 0
	}
	return s
}

// crash breaks off two sound requests at a server.
func (p *fleetPlay) crash(name string, server placement.Server) {
	for i := range 2 {
		if r := p.router(); r != nil {
			r.RecordBroken(server, request(fmt.Sprint(name, server.ID, i)), p.partsOf("good")...)
		}
	}
}

func (p *fleetPlay) sendSound() {
	r, n := p.router(), p.number()
	parts := p.partsOf("good")
	if r == nil {
		return
	}
	_, refused := r.Admit(request(fmt.Sprint("sound ", n)), parts...)
	p.mu.Lock()
	p.sent++
	if refused {
		p.refused++
	}
	p.mu.Unlock()
	if refused {
		return
	}
	time.Sleep(300 * time.Millisecond)
	r.RecordSuccess("llm", request(fmt.Sprint("sound ", n)), parts...)
}

func (p *fleetPlay) late() (n int) {
	if len(p.crashes) < 5 {
		return 0
	}
	for _, at := range p.arrivals {
		if at > p.crashes[4]+playBound {
			n++
		}
	}
	return n
}

func fleetPlays() map[string]*fleetPlay {
	return map[string]*fleetPlay{
		"4 routers, 0.9 a second, all killed every 3 s":                               {routers: 4, accounts: 2, rate: 0.9, sound: 40, killEvery: 3 * time.Second, length: 40 * time.Second},
		"4 routers, 0.9 a second, all killed every 3 s, servers without a start time": {routers: 4, accounts: 2, rate: 0.9, sound: 40, killEvery: 3 * time.Second, length: 40 * time.Second, unnumbered: true},
		"4 routers, 0.3 a second, all killed every 3 s":                               {routers: 4, accounts: 1, rate: 0.3, sound: 40, killEvery: 3 * time.Second, length: 90 * time.Second},
		"6 routers, 9 a second, all killed every 1.5 s":                               {routers: 6, accounts: 300, rate: 9, sound: 100, killEvery: 1500 * time.Millisecond, length: 30 * time.Second},
		"4 routers, 80 a second":                                                      {routers: 4, accounts: 300, rate: 80, sound: 200, length: 30 * time.Second},
		"4 routers, 3 a second, 30 other crashes a second":                            {routers: 4, accounts: 20, rate: 3, sound: 200, waves: 30, length: 30 * time.Second},
		"87 routers, 20 a second":                                                     {routers: 87, accounts: 300, rate: 20, sound: 200, length: 30 * time.Second},
		"87 routers, 5 a second, all killed every 3 s":                                {routers: 87, accounts: 300, rate: 5, sound: 100, killEvery: 3 * time.Second, length: 20 * time.Second},
		"300 routers, 20 a second":                                                    {routers: 300, accounts: 300, rate: 20, sound: 100, length: 20 * time.Second},
		"300 routers, 5 a second, all killed every 3 s":                               {routers: 300, accounts: 300, rate: 5, sound: 100, killEvery: 3 * time.Second, length: 14 * time.Second},
		"87 routers, 9 a second, 20 other crashes a second":                           {routers: 87, accounts: 300, rate: 9, sound: 100, waves: 20, length: 20 * time.Second},
	}
}

// Guards against requests with a fatal part that are sent on after the fifth crash: by each router once when a quarantine
// expires, or while there is no verdict; and against sound requests that are refused meanwhile.
func TestFleetHoldsAFatalPartBack(t *testing.T) {
	playFleets(t, func(p *fleetPlay) bool { return p.killEvery == 0 })
}

// Guards against requests with a fatal part that are sent on after the fifth crash because the death of all routers has lost
// what they knew.
func TestFatalPartIsHeldBackThroughDeathsOfAll(t *testing.T) {
	playFleets(t, func(p *fleetPlay) bool { return p.killEvery > 0 })
}

func playFleets(t *testing.T, selected func(*fleetPlay) bool) {
	t.Helper()
	for name, play := range fleetPlays() {
		if !selected(play) {
			continue
		}
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				play.run(t)
				t.Logf("%d arrivals, %d crashes, late %d, %d of %d sound requests refused", len(play.arrivals), len(play.crashes), play.late(), play.refused, play.sent)
				if late := play.late(); late > playAllowed {
					t.Errorf("%d arrivals later than %s after the fifth crash", late, playBound)
				}
				if float64(play.refused) > 0.03*float64(play.sent) {
					t.Errorf("%d of %d sound requests refused", play.refused, play.sent)
				}
			})
		})
	}
}
