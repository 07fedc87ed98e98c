package placement_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/gaplink/gaplink/placement"
)

// This file models engines in virtual time, in milliseconds: each step of a server makes one token for
// every running stream whose prompt is read, and reads at most one piece of one prompt.
const (
	modelServers    = 60
	modelSlots      = 32
	stepTime        = 6.0
	stepTimePerSlot = 0.11
	tokensPerMs     = 51.0
	pieceTokens     = 1024
	eventTokens     = 5
	sharedTokens    = 6300
	cachedPrefixes  = 30 // prefixes that fit a server's memory beside its running requests
	modelStart      = 2000.0
	modelEnd        = 12000.0
)

// modelKind is a kind of request and its objectives.
type modelKind struct {
	prompt, shared, events int
	first, pause           float64
}

type modelRequest struct {
	modelKind
	router            int
	server            *modelServer
	prefix            uint64
	newTokens, unread int
	tokens            int
	arrived, last     float64
	late              bool
}

type modelServer struct {
	index             int
	in                placement.Incarnation
	speed             float64
	running, waiting  []*modelRequest
	cache             []uint64 // least recently used first
	busyUntil, loaded float64
	reading           *modelRequest
	read              int
}

type model struct {
	pattern
	rng     *rand.Rand
	servers []*modelServer
	fleet   []*placement.Servers
	sent    []*modelRequest
	reports [][]placement.ServerLoad // by router, the sum of the others at the last exchange
	seen    map[uint64]bool
	result  modelResult
}

func at(ms float64) time.Time { return time.Unix(1000, int64(ms*1e6)) }

func newModel(p pattern, seed uint64) *model {
	m := &model{pattern: p, rng: rand.New(rand.NewPCG(seed, 7)), seen: map[uint64]bool{}}
	for i := range modelServers {
		s := &modelServer{index: i, in: incarnation(fmt.Sprintf("s%02d", i)), speed: 1}
		if p.slowThird {
			s.speed = []float64{0.7, 0.7, 1.7}[i%3]
		}
		m.servers = append(m.servers, s)
	}
	for range p.routers {
		f := placement.New()
		f.SetOrder(m.rng.Uint64())
		for _, s := range m.servers {
			f.Put(placement.Server{ID: s.in.ID, Service: "llm", Slots: modelSlots})
		}
		m.fleet = append(m.fleet, f)
	}
	return m
}

// run plays the pattern and returns what it measured of the requests from modelStart on.
func (m *model) run() modelResult {
	for now := 0.0; now < modelEnd; now++ {
		longRate := m.long
		if now >= 5000 && now < 8000 {
			longRate *= m.burst
		}
		for range m.arrivals(m.short) {
			m.send(now, shortKind, m.rng.Uint64())
		}
		for range m.arrivals(longRate) {
			prefix := 1 + m.rng.Uint64N(200)
			if m.rng.Float64() < m.hot {
				prefix = 1
			}
			m.send(now, longKind, prefix*0x9e3779b97f4a7c15)
		}
		for _, s := range m.servers {
			for now >= s.busyUntil {
				m.step(s, now)
			}
			s.loaded += float64(len(s.running) + len(s.waiting))
		}
		if m.shared && int(now)%500 == 0 {
			m.exchange(now)
		}
	}
	return m.measure()
}

func (m *model) arrivals(perSecond float64) int {
	n := int(perSecond / 1000)
	if m.rng.Float64() < perSecond/1000-float64(n) {
		n++
	}
	return n
}

// exchange delivers the load of the previous exchange, which is half a second old, and takes the next.
func (m *model) exchange(now float64) {
	for i, loads := range m.reports {
		m.fleet[i].SetFleetLoad(loads)
	}
	sums := map[placement.Incarnation]placement.ServerLoad{}
	own := make([][]placement.ServerLoad, len(m.fleet))
	for i, f := range m.fleet {
		own[i] = f.OwnLoad(at(now))
		for _, l := range own[i] {
			sums[l.Server] = plus(sums[l.Server], l, 1)
		}
	}
	m.reports = m.reports[:0]
	for i := range m.fleet {
		mine := map[placement.Incarnation]placement.ServerLoad{}
		for _, l := range own[i] {
			mine[l.Server] = l
		}
		var others []placement.ServerLoad
		for in, sum := range sums {
			l := plus(sum, mine[in], -1)
			l.Server, l.At = in, at(now)
			others = append(others, l)
		}
		m.reports = append(m.reports, others)
	}
}

// plus adds a load to a sum, or subtracts it with sign -1.
func plus(a, b placement.ServerLoad, sign int) placement.ServerLoad {
	total := a.EventInterval*time.Duration(a.Events) + time.Duration(sign)*b.EventInterval*time.Duration(b.Events)
	a.InFlight, a.PendingTokens, a.Events = a.InFlight+sign*b.InFlight, a.PendingTokens+int64(sign)*b.PendingTokens, a.Events+sign*b.Events
	a.EventInterval = total / time.Duration(max(a.Events, 1))
	return a
}

func (m *model) send(now float64, kind modelKind, prefix uint64) {
	r := &modelRequest{modelKind: kind, router: m.rng.IntN(m.routers), prefix: prefix, newTokens: kind.prompt - kind.shared, unread: kind.prompt, arrived: now}
	f := m.fleet[r.router]
	chosen, ok := f.Pick(m.rng, m.query(now, r))
	if !ok {
		panic("no server")
	}
	f.Sent(chosen.Incarnation(), int64(r.newTokens))
	r.server = m.servers[slices.IndexFunc(m.servers, func(s *modelServer) bool { return s.in.ID == chosen.ID })]
	r.server.waiting = append(r.server.waiting, r)
	m.sent = append(m.sent, r)
}

// step ends the step that was due and begins the next one.
func (m *model) step(s *modelServer, now float64) {
	end := s.busyUntil
	decoding := slices.DeleteFunc(slices.Clone(s.running), func(r *modelRequest) bool { return r.unread > 0 })
	if s.reading != nil {
		s.reading.unread -= s.read
	}
	for _, r := range decoding {
		if r.tokens++; r.tokens%eventTokens == 0 {
			m.event(r, end)
		}
	}
	s.running = slices.DeleteFunc(s.running, func(r *modelRequest) bool { return r.tokens == r.events*eventTokens })
	for len(s.running) < modelSlots && len(s.waiting) > 0 {
		s.running = append(s.running, s.waiting[0])
		m.load(s, s.waiting[0])
		s.waiting = s.waiting[1:]
	}
	if len(s.running) == 0 {
		s.busyUntil, s.reading = now+1, nil
		return
	}
	s.reading, s.read = nil, 0
	if i := slices.IndexFunc(s.running, func(r *modelRequest) bool { return r.unread > 0 }); i >= 0 {
		s.reading, s.read = s.running[i], min(s.running[i].unread, pieceTokens)
	}
	speed := s.speed
	if m.slowThird && (s.index*7+int(now/3000)*9)%modelServers < modelServers*15/100 {
		speed *= 2.5
	}
	s.busyUntil = end + speed*(stepTime+stepTimePerSlot*float64(len(s.running))+float64(s.read)/tokensPerMs)
}

// load takes the cached part of a prompt off what has to be read.
func (m *model) load(s *modelServer, r *modelRequest) {
	if r.shared == 0 {
		return
	}
	if i := slices.Index(s.cache, r.prefix); i >= 0 {
		r.unread -= r.shared
		s.cache = slices.Delete(s.cache, i, i+1)
	} else if m.seen[r.prefix] && r.arrived >= modelStart {
		m.result.readAgain += r.shared
	}
	m.seen[r.prefix] = true
	s.cache = append(s.cache, r.prefix)
	s.cache = s.cache[max(len(s.cache)-cachedPrefixes, 0):]
}

// event delivers an event to the router, and ends the stream with the last one.
func (m *model) event(r *modelRequest, now float64) {
	f := m.fleet[r.router]
	if m.noise && m.rng.IntN(5) == 0 {
		now += 100
	}
	now = max(now, r.last)
	if r.last == 0 {
		f.RecordPromptRead(r.server.in, int64(r.newTokens))
		f.RecordFirstEvent(at(now), r.server.in, int64(r.newTokens), time.Duration((now-r.arrived)*1e6))
		r.late = now-r.arrived > r.first
	} else {
		r.late = r.late || now-r.last > r.pause
		f.RecordEventInterval(at(now), r.server.in, time.Duration((now-r.last)*1e6))
	}
	r.last = now
	if r.tokens == r.events*eventTokens {
		f.RecordOutcome(r.server.in, placement.Answered)
	}
}
