package budget

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// shareOfFree is the part of the free tokens that one draw may take beyond
// what is needed at once; a smaller part fragments less near the end.
const shareOfFree = 4

// Agent is the budget part of one router: entry router for its own callers
// and home for some budgets. It is not safe for concurrent use.
type Agent struct {
	cfg     Config
	purses  map[string]*purse
	awake   []*purse // those that Tick looks at, in a fixed order
	pages   map[int]*pageState
	out     []Effect
	token   uint64
	writes  int64
	closing bool
	grants  bool // this router has granted to others as their home
	sealed  bool
	fenced  map[string]bool // incarnations whose messages are void
	limits  map[string]Limit
	seed    uint64 // differs between most processes
}

// seeds is how many different seeds there are: chance spreads small numbers.
const seeds = 1 << 12

// NewAgent returns an agent that holds nothing.
func NewAgent(cfg Config) *Agent {
	return &Agent{cfg: cfg, purses: map[string]*purse{}, pages: map[int]*pageState{}, fenced: map[string]bool{}, limits: map[string]Limit{}, seed: xxhash.Sum64String(cfg.Self.Incarnation) % seeds}
}

// drain returns and clears the collected effects.
func (a *Agent) drain() []Effect {
	out := a.out
	a.out = nil
	return out
}

func (a *Agent) emit(e Effect) { a.out = append(a.out, e) }

func (a *Agent) purse(id string) *purse {
	p, ok := a.purses[id]
	if !ok {
		p = newPurse(id, PageOf(id, a.cfg.Pages), a.cfg.RateWindow)
		a.purses[id] = p
	}
	if !p.awake {
		p.awake = true
		a.awake = append(a.awake, p)
	}
	return p
}

func (a *Agent) isHome(now time.Time, id string) bool {
	return a.cfg.Home(now, id) == a.cfg.Self.ID
}

// Reserve asks for need tokens. It returns a token number; when granted is
// false, a later Resolve effect with that number gives the answer.
func (a *Agent) Reserve(now time.Time, id string, need int64) (token uint64, granted bool, effects []Effect) {
	a.token++
	p := a.purse(id)
	p.used(now, need)
	p.demand.add(now, need)
	a.noteTail(now, p)
	a.refreshEscrow(now, p)
	if p.take(need) {
		a.prefetch(now, p)
		return a.token, true, a.drain()
	}
	fromOthers := a.inTail(p) && !a.admitsTail(now, p, need)
	p.waiters = append(p.waiters, waiter{token: a.token, need: need, fromOthers: fromOthers})
	a.pump(now, p)
	return a.token, false, a.drain()
}

// TryReserve takes need tokens from what this router may use now, or nothing.
func (a *Agent) TryReserve(now time.Time, id string, need int64) bool {
	p := a.purse(id)
	a.refreshEscrow(now, p)
	if !p.take(need) {
		return false
	}
	p.demand.add(now, need) // Settle takes back what is not used of it
	return true
}

// Cancel withdraws a reservation that still waits.
func (a *Agent) Cancel(id string, token uint64) {
	a.purse(id).takeWaiter(token)
}

// Settle ends a reservation of reserved tokens of which actual were spent.
func (a *Agent) Settle(now time.Time, id string, reserved, actual int64) []Effect {
	p := a.purse(id)
	p.reserved -= reserved
	p.balance += reserved - actual
	p.demand.add(now, actual-reserved) // it was counted at its worst
	a.pump(now, p)
	a.giveBackSurplus(now, p)
	return a.drain()
}

// Receive takes a message from another router.
func (a *Agent) Receive(now time.Time, m Message) []Effect {
	if !a.Accepts(m) {
		return nil
	}
	if a.fenced[m.From.Incarnation] {
		return nil
	}
	p := a.purse(m.Budget)
	if moved := a.credit(p, m); m.Kind == Back || m.Kind == Draw {
		p.demand.add(now, -moved) // it was counted when it was granted
	}
	a.refreshEscrow(now, p)
	switch m.Kind {
	case Draw:
		p.used(now, max(m.Need, 1))
		a.noteTail(now, p)
		a.drawAsked(now, p, m)
	case Grant:
		a.granted(now, p, m)
	case Recall:
		p.scarce = true
		p.home = m.From
		a.giveBack(p, m.From)
	case Back:
		p.recallAnswered(m.From.Incarnation)
	case Borrow:
		a.lend(now, p, m)
		return a.drain()
	case Loan:
		p.lent(m.From.ID)
	}
	a.pump(now, p)
	if m.Kind == Draw && a.isHome(now, p.id) {
		a.prefetch(now, p)
	}
	a.giveBackSurplus(now, p)
	return a.drain()
}

// drawAsked queues a peer's draw, or sends it on to the next home when this
// router is closing.
func (a *Agent) drawAsked(now time.Time, p *purse, m Message) {
	d := draw{peer: m.From, token: m.Token, need: m.Need, want: m.Want}
	switch {
	case a.closing:
		a.refuseDraw(p, d, Moved)
		return
	case p.usable() < p.asked()+m.Need && a.inTail(p) && !a.admitsTail(now, p, m.Need):
		a.refuseDraw(p, d, Exhausted)
		return
	}
	p.draws = append(p.draws, d)
}

// Accepts tells whether a message is for this incarnation, and it still takes
// tokens. One that is not must be told to its sender as certainly undelivered.
func (a *Agent) Accepts(m Message) bool {
	return !a.sealed && (m.To.Incarnation == "" || m.To.Incarnation == a.cfg.Self.Incarnation)
}

// credit adds the tokens that the message newly moves here, and returns them.
func (a *Agent) credit(p *purse, m Message) int64 {
	if m.To.Incarnation == "" || m.Total <= p.received[m.From.Incarnation] {
		return 0
	}
	moved := m.Total - p.received[m.From.Incarnation]
	p.received[m.From.Incarnation] = m.Total
	p.balance += moved
	return moved
}

// granted handles the home's answer to a draw.
func (a *Agent) granted(now time.Time, p *purse, m Message) {
	p.scarce = m.Scarce
	p.home = m.From
	if p.failedHome == m.From.ID {
		p.failedHome = ""
	}
	if m.Token == 0 {
		p.prefetching = time.Time{}
	}
	switch m.Refused {
	case "":
	case Moved:
		a.passOver(now, p, m.From.ID)
	default:
		a.serveWaiters(p)
		if _, ok := p.takeWaiter(m.Token); ok {
			a.emit(Resolve{Token: m.Token, Cause: m.Refused})
		}
	}
}

// Undelivered tells that a message was not delivered. certain means that the
// receiver certainly did not get it, so that its tokens may be taken back;
// unless the receiver was fenced, for then they were reclaimed with it.
func (a *Agent) Undelivered(now time.Time, m Message, certain bool) []Effect {
	p := a.purse(m.Budget)
	if certain && m.Delta > 0 && !a.fenced[m.To.Incarnation] && p.sent[m.To.Incarnation] == m.Total {
		p.sent[m.To.Incarnation] -= m.Delta
		p.balance += m.Delta
	}
	if certain && p.home == m.To {
		p.home = Peer{} // it may run as another incarnation now
	}
	switch m.Kind {
	case Draw:
		p.notAsked(m.Token)
		if m.To.Incarnation == "" || !certain {
			p.failedHome, p.failedAt = m.To.ID, now
		}
	case Recall:
		p.recallAnswered(m.To.Incarnation)
	case Borrow:
		p.lent(m.To.ID)
	}
	a.pump(now, p)
	return a.drain()
}

// Tick handles timeouts and idle balances. Call it a few times a second.
func (a *Agent) Tick(now time.Time) []Effect {
	if a.sealed {
		return nil
	}
	for _, p := range slices.Clone(a.awake) {
		a.tickPurse(now, p)
	}
	a.awake = slices.DeleteFunc(a.awake, func(p *purse) bool {
		p.awake = a.settling(now) || !p.idle()
		return !p.awake
	})
	for n := range a.cfg.Pages {
		if ps, ok := a.pages[n]; ok {
			a.kick(now, n, ps)
		}
	}
	return a.drain()
}

// IsIdle tells whether nothing is held or asked for, so that Tick changes nothing.
func (a *Agent) IsIdle() bool { return len(a.awake) == 0 && !a.closing }

// IsWaiting tells whether an answer, a pause or a timeout is awaited, so that Tick is due soon.
func (a *Agent) IsWaiting() bool {
	if a.closing {
		return true
	}
	for _, p := range a.awake {
		if p.waiting() || p.asking() || len(p.loans) > 0 || p.recall.active || p.borrowing.from != "" || p.lookup == lookupRunning {
			return true
		}
	}
	for _, ps := range a.pages {
		if ps.reading || ps.writing || ps.write != nil || len(ps.ops) > 0 {
			return true
		}
	}
	return false
}

func (a *Agent) tickPurse(now time.Time, p *purse) {
	a.refreshEscrow(now, p)
	p.passing = false
	if p.silent(now, a.cfg.DrawTimeout) {
		a.passOver(now, p, p.askedOf)
	}
	if p.lenderSilent(now, a.cfg.LenderTimeout) {
		a.emit(Suspect{ID: p.borrowing.from})
		p.lent(p.borrowing.from)
	}
	if p.recall.active && now.Sub(p.recall.at) >= a.cfg.RecallTimeout {
		p.finishRecall()
	}
	a.pump(now, p)
	idle := a.cfg.IdleAfter
	if a.isHome(now, p.id) {
		idle = a.cfg.HomeIdleAfter
	}
	if a.closing || now.Sub(p.lastUse) >= idle {
		a.returnIdle(now, p)
		return
	}
	a.giveBackSurplus(now, p)
	if a.cfg.StarterShare > 0 && a.isHome(now, p.id) {
		a.prefetch(now, p)
	}
}

// Close starts a planned stop: every balance, now and later, is returned to
// the store.
func (a *Agent) Close(now time.Time) []Effect {
	a.closing = true
	for _, p := range a.awake {
		a.returnIdle(now, p)
	}
	return a.drain()
}

// Closed tells whether nothing is held, reserved or being written any more.
func (a *Agent) Closed() bool {
	for _, p := range a.purses {
		if p.balance > 0 || p.reserved != 0 {
			return false
		}
	}
	for _, ps := range a.pages {
		if ps.write != nil || len(ps.ops) > 0 {
			return false
		}
	}
	return true
}

// Seal ends a closed agent: it takes no tokens any more, so that it has nothing
// to return after its registration is gone and others may reclaim it.
func (a *Agent) Seal() { a.sealed = true }

// Touched returns this holder's incarnation and the pages it used.
func (a *Agent) Touched() (holder string, pages []int) {
	for n := range a.cfg.Pages {
		if _, ok := a.pages[n]; ok {
			pages = append(pages, n)
		}
	}
	return a.cfg.Self.Incarnation, pages
}
