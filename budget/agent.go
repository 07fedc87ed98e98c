package budget

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Cause says why a reservation was refused.
type Cause string

// The causes of a refusal.
const (
	// Exhausted: the store and the known holders have too little left.
	Exhausted Cause = "exhausted"
	// Unreachable: tokens may be left, but store or home did not answer.
	Unreachable Cause = "unreachable"
	// Unknown: the store has no such budget.
	Unknown Cause = "unknown"
	// Moved: the asked router is closing; ask the next home.
	Moved Cause = "moved"
)

// Peer names a router process.
type Peer struct {
	// ID is the instance.
	ID string
	// Incarnation is unique to one process life.
	Incarnation string
}

// Kind is the kind of a message between routers.
type Kind string

// The message kinds.
const (
	// Draw asks the home for tokens.
	Draw Kind = "draw"
	// Grant moves tokens from the home, or refuses a draw.
	Grant Kind = "grant"
	// Recall asks a holder for its unused tokens.
	Recall Kind = "recall"
	// Back moves unused tokens to the home.
	Back Kind = "back"
	// Borrow asks any router for tokens, when the store has too few or does
	// not answer.
	Borrow Kind = "borrow"
	// Loan answers a Borrow, with tokens or a refusal.
	Loan Kind = "loan"
)

// Message is what routers tell each other about one budget. Tokens move by
// cumulative totals per pair of incarnations, so that a lost, doubled or late
// message can strand tokens for a while but never double them; the next
// message heals a loss.
type Message struct {
	Kind   Kind
	Budget string
	From   Peer
	// To is the receiver; an empty incarnation stands for any.
	To Peer
	// Need is the least number of tokens that helps the drawer.
	Need int64
	// Want is what the drawer would like, by its demand.
	Want int64
	// Total is the sum of all tokens ever moved from From to To.
	Total int64
	// Delta is the part of Total that this message adds.
	Delta int64
	// Scarce tells the receiver to give unused tokens back at once.
	Scarce bool
	// Refused is set on a Grant that moves nothing.
	Refused Cause
	// Token is the drawer's reservation; a Grant repeats it. 0 is a draw
	// ahead of demand.
	Token uint64
}

// Effect is something the caller of an Agent must do.
type Effect interface{ effect() }

// Send delivers a message, once, without waiting. A failure is told by
// Undelivered.
type Send struct{ Message Message }

// ReadPage reads a page and calls PageRead.
type ReadPage struct{ Page int }

// WritePage updates a page (a create for version 0) and calls PageWritten.
type WritePage struct {
	Page    int
	Version int64
	Value   *Page
}

// Resolve answers a reservation that had to wait.
type Resolve struct {
	Token uint64
	// OK tells that the tokens are reserved; otherwise Cause says why not.
	OK    bool
	Cause Cause
}

// Suspect tells that an instance did not answer in time.
type Suspect struct{ ID string }

// Stop tells that this holder was fenced: its tokens are void, and the
// process must end.
type Stop struct{}

func (Send) effect()      {}
func (ReadPage) effect()  {}
func (WritePage) effect() {}
func (Resolve) effect()   {}
func (Suspect) effect()   {}
func (Stop) effect()      {}

// Config are the settings of an agent.
type Config struct {
	// Self is this router.
	Self Peer
	// Pages is the fleet's number of budget pages.
	Pages int
	// Home names the instance that holds a budget's shared tokens now. It
	// should be the same for all budgets of a page, whose writes then go
	// together.
	Home func(now time.Time, budget string) string
	// Running names the process that is known to run at an instance; its
	// incarnation is empty if none is known. nil: none ever is.
	Running func(id string) Peer
	// Lenders names other routers to borrow a budget from, best first; nil: none.
	Lenders func(now time.Time, budget string) []Peer
	// StoreLost tells whether the store does not answer; nil: it is not known.
	// A router that stops meanwhile hands its tokens to a lender.
	StoreLost func() bool
	// EscrowAfter is the time after a write of a page from which a holder may
	// use its escrow; 0: there is none. Boot identifies the boot of the machine,
	// Uptime reads its steady clock, Started is when this process began, and
	// Predecessor tells whether a holder is an earlier process of this instance.
	EscrowAfter time.Duration
	Boot        string
	Uptime      func(time.Time) time.Duration
	Started     time.Time
	Predecessor func(holder string) bool
	// HomeHorizon is how much demand a home draws ahead from the store. It is
	// the setting between the users' preferences: longer lasts longer through
	// an outage and strands more when a home dies.
	HomeHorizon time.Duration
	// ScarceHorizon is how much demand the store must have left for tokens not to
	// be scarce; 0: HomeHorizon.
	ScarceHorizon time.Duration
	// EntryHorizon is how much demand an entry router holds, if that is at least
	// EntryLeast requests of the mean size. One that has fewer requests for a
	// budget asks its home for each, and returns what that leaves, so that little
	// lies idle in the many routers of a large fleet.
	EntryHorizon time.Duration
	EntryLeast   float64
	// DrawTimeout is how long an entry router waits for the home's answer.
	DrawTimeout time.Duration
	// LenderTimeout is how long another router may take to lend.
	LenderTimeout time.Duration
	// DrawSpacing is the least time between two writes of a page by a home that
	// grants to others: their draws are gathered meanwhile.
	DrawSpacing time.Duration
	// RecallTimeout is how long a home waits for recalled tokens.
	RecallTimeout time.Duration
	// CheckEvery bounds how often an exhausted budget is looked up again.
	CheckEvery time.Duration
	// PageSpacing is the least time between two writes of a page that nobody
	// waits for.
	PageSpacing time.Duration
	// StoreRetry is the pause after the store was unavailable.
	StoreRetry time.Duration
	// RefillBelow is the share of HomeHorizon below which a home draws more.
	RefillBelow float64
	// FreeShare bounds what a home holds ahead: this share of the store's free
	// tokens, divided by the number of Routers. 0: no such bound.
	FreeShare float64
	// Routers is the number of routers that draw; it may be nil without
	// FreeShare.
	Routers func() int
	// TailShare is the last share of a budget, which is spent slowly: so that it
	// lasts about TailTime. 0: there is no tail.
	TailShare float64
	TailTime  time.Duration
	// StarterShare is the part of a budget that all homes together hold of it
	// before any request has asked for it.
	StarterShare float64
	// RateWindow is the time constant of the demand estimate.
	RateWindow time.Duration
	// Surplus is by how much more than it would hold a home may have before it
	// returns the excess with its next write, as a share; 0: it never does.
	Surplus float64
	// HeldRequests and LowRequests are the least that a home holds, and at
	// which it draws more, in requests of the mean size.
	HeldRequests, LowRequests float64
	// IdleAfter is when an unused balance is given back to the home, and
	// HomeIdleAfter when the home returns it to the store.
	IdleAfter, HomeIdleAfter time.Duration
}

// DefaultConfig returns the settings used when an operator names none.
func DefaultConfig() Config {
	return Config{
		Pages:         16,
		HomeHorizon:   10 * time.Second,
		EntryHorizon:  time.Second,
		DrawTimeout:   400 * time.Millisecond,
		LenderTimeout: 100 * time.Millisecond,
		RecallTimeout: 150 * time.Millisecond,
		CheckEvery:    100 * time.Millisecond,
		PageSpacing:   time.Second,
		StoreRetry:    200 * time.Millisecond,
		RateWindow:    5 * time.Second,
		RefillBelow:   1.0 / shareOfFree,
		HeldRequests:  24,
		LowRequests:   6,
		IdleAfter:     5 * time.Second,
		HomeIdleAfter: 2 * time.Minute,
	}
}

func (c *Config) scarceHorizon() time.Duration {
	if c.ScarceHorizon > 0 {
		return c.ScarceHorizon
	}
	return c.HomeHorizon
}

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
	a.noteSmall(now, p, need)
	a.refreshEscrow(now, p)
	if p.usable() >= need {
		p.balance -= need
		p.reserved += need
		a.prefetch(now, p)
		return a.token, true, a.drain()
	}
	if a.inTail(p) && !a.admitsTail(now, p, need) {
		a.emit(Resolve{Token: a.token, Cause: Exhausted})
		return a.token, false, a.drain()
	}
	p.waiters = append(p.waiters, waiter{token: a.token, need: need})
	a.pump(now, p)
	return a.token, false, a.drain()
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
		a.lend(p, m)
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
	a.noteSmall(now, p, m.Need)
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
	if m.Token == 0 {
		p.prefetching = time.Time{}
	}
	switch m.Refused {
	case "":
	case Moved:
		a.emit(Suspect{ID: m.From.ID})
		p.unask()
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
		p.unask()
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
		p.awake = !p.idle()
		return !p.awake
	})
	for n := range a.cfg.Pages {
		if ps, ok := a.pages[n]; ok {
			a.kick(now, n, ps)
		}
	}
	return a.drain()
}

func (a *Agent) tickPurse(now time.Time, p *purse) {
	a.refreshEscrow(now, p)
	if p.silent(now, a.cfg.DrawTimeout) {
		a.emit(Suspect{ID: p.askedOf})
		p.unask()
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
