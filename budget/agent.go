package budget

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// freeDivisor limits a draw to one part in freeDivisor of the free tokens, or to what is
// needed at once if that is more; a larger divisor fragments less near the end of the
// budget.
const freeDivisor = 4

// Agent manages the budgets of one router: as entry router for its own callers and as owner
// for some budgets. It is not safe for concurrent use.
type Agent struct {
	cfg     Config
	budgets map[string]*budgetState
	active  []*budgetState // the budgets that Tick visits, in a fixed order
	pages   map[int]*pageState
	effects []Effect
	token   uint64
	writes  int64
	closing bool
	grants  bool // this router has granted tokens to others as their owner
	sealed  bool
	fenced  map[string]bool // incarnations whose messages are void
	limits  map[string]Limit
	outages outages
	// movesBeyondUsable counts messages that were to carry tokens which were not usable.
	movesBeyondUsable int64
	seed              uint64 // differs between most processes
}

// seedCount is the number of distinct seeds, kept small because quasiRandom spreads only
// small numbers well.
const seedCount = 1 << 12

// NewAgent returns an agent that holds no tokens.
func NewAgent(cfg Config) *Agent {
	return &Agent{cfg: cfg, budgets: map[string]*budgetState{}, pages: map[int]*pageState{}, fenced: map[string]bool{}, limits: map[string]Limit{}, seed: xxhash.Sum64String(cfg.Self.Incarnation) % seedCount}
}

// takeEffects returns and clears the collected effects.
func (a *Agent) takeEffects() []Effect {
	effects := a.effects
	a.effects = nil
	return effects
}

func (a *Agent) emit(e Effect) { a.effects = append(a.effects, e) }

func (a *Agent) budgetState(id string) *budgetState {
	p, ok := a.budgets[id]
	if !ok {
		p = newBudgetState(id, PageOf(id, a.cfg.Pages), a.cfg.RateWindow)
		a.budgets[id] = p
	}
	if !p.active {
		p.active = true
		a.active = append(a.active, p)
	}
	return p
}

func (a *Agent) isOwner(now time.Time, id string) bool {
	return a.cfg.Owner(now, id) == a.cfg.Self.ID
}

// Reserve asks for need tokens for a request of the most urgent rank; see ReserveRanked.
func (a *Agent) Reserve(now time.Time, id string, need int64) (token uint64, granted bool, effects []Effect) {
	return a.ReserveRanked(now, id, need, 0)
}

// ReserveRanked asks for need tokens for a request of a rank, 0 being the most urgent. It returns a
// reservation number; if granted is false, a Resolve effect with that number gives the answer, now or later.
func (a *Agent) ReserveRanked(now time.Time, id string, need int64, rank int) (token uint64, granted bool, effects []Effect) {
	a.token++
	rank = boundedRank(rank)
	token = rankedToken(a.token, rank)
	p := a.budgetState(id)
	p.recordUse(now, need)
	p.demand.add(now, need)
	a.recordRank(now, p, rank, need)
	a.trackOutage(now)
	a.trackFinalReserve(now, p)
	a.refreshEscrow(now, p)
	if cause, yields := a.mustYield(now, p, need, rank); yields {
		a.emit(Resolve{Token: token, Cause: cause})
		a.emitRefusedByRank(p, need, rank, cause)
		return token, false, a.takeEffects()
	}
	if a.reserve(now, p, need) {
		a.prefetch(now, p)
		return token, true, a.takeEffects()
	}
	peersOnly := a.inFinalReserve(p) && !a.admitsFromFinalReserve(now, p, need)
	p.waiters = append(p.waiters, waiter{token: token, need: need, rank: rank, peersOnly: peersOnly})
	a.advance(now, p)
	return token, false, a.takeEffects()
}

// TryReserve reserves need tokens from the usable balance; it neither waits nor draws
// more.
func (a *Agent) TryReserve(now time.Time, id string, need int64) bool {
	p := a.budgetState(id)
	if !a.reserve(now, p, need) {
		return false
	}
	p.demand.add(now, need) // Settle subtracts what is not used
	return true
}

// Cancel withdraws a reservation that is still waiting.
func (a *Agent) Cancel(id string, token uint64) {
	a.budgetState(id).removeWaiter(token)
}

// Settle ends a reservation of reserved tokens of which actual were spent.
func (a *Agent) Settle(now time.Time, id string, reserved, actual int64) []Effect {
	p := a.budgetState(id)
	p.reserved -= reserved
	p.balance += reserved - actual
	p.demand.add(now, actual-reserved) // the reservation was counted at its worst case
	a.advance(now, p)
	a.returnSurplus(now, p)
	return a.takeEffects()
}

// Receive handles a message from another router.
func (a *Agent) Receive(now time.Time, m Message) []Effect {
	if !a.Accepts(m) {
		return nil
	}
	if a.fenced[m.From.Incarnation] {
		return nil
	}
	p := a.budgetState(m.Budget)
	if moved := a.credit(p, m); m.Kind == Back || m.Kind == Draw {
		p.demand.add(now, -moved) // the tokens were counted when they were granted
	}
	a.refreshEscrow(now, p)
	switch m.Kind {
	case Draw:
		p.recordUse(now, max(m.Need, 1))
		a.trackFinalReserve(now, p)
		a.handleDraw(now, p, m)
	case Grant:
		a.handleGrant(now, p, m)
	case Recall:
		p.scarce = true
		p.owner = m.From
		a.returnToPeer(now, p, m.From)
	case Back:
		p.recallAnswered(m.From.Incarnation)
	case Borrow:
		a.lend(now, p, m)
		return a.takeEffects()
	case Loan:
		p.finishLoan(m.From.ID)
	}
	a.advance(now, p)
	if m.Kind == Draw && a.isOwner(now, p.id) {
		a.prefetch(now, p)
	}
	if m.Kind != Back || !a.sharedOwner() { // two routers that each take the other for the owner
		a.returnSurplus(now, p)
	}
	return a.takeEffects()
}

// handleDraw queues a peer's draw, or redirects it to the successor if this router is
// closing.
func (a *Agent) handleDraw(now time.Time, p *budgetState, m Message) {
	d := draw{peer: m.From, token: m.Token, need: m.Need, want: m.Want, rank: rankOf(m.Token)}
	switch {
	case a.closing:
		a.refuseDraw(now, p, d, Moved)
		return
	case p.usable() < p.requested()+m.Need && a.inFinalReserve(p) && !a.admitsFromFinalReserve(now, p, m.Need):
		a.refuseDraw(now, p, d, Exhausted)
		return
	}
	if m.Token == 0 && a.releasesEscrow(p) {
		d.need = 0 // nobody waits for it, so it is answered at once and the rest deferred
	}
	p.draws = append(p.draws, d)
}

// Accepts reports whether a message is for this incarnation and the agent still accepts
// tokens. A message that is not accepted must be reported to its sender as certainly
// undelivered.
func (a *Agent) Accepts(m Message) bool {
	return !a.sealed && (m.To.Incarnation == "" || m.To.Incarnation == a.cfg.Self.Incarnation)
}

// credit adds the tokens that the message newly moves here, and returns their number.
func (a *Agent) credit(p *budgetState, m Message) int64 {
	if m.To.Incarnation == "" || m.Total <= p.received[m.From.Incarnation] {
		return 0
	}
	moved := m.Total - p.received[m.From.Incarnation]
	p.received[m.From.Incarnation] = m.Total
	p.balance += moved
	return moved
}

// handleGrant handles the owner's answer to a draw.
func (a *Agent) handleGrant(now time.Time, p *budgetState, m Message) {
	p.scarce = m.Scarce
	p.owner = m.From
	if m.Refused == "" {
		p.setHoldLimit(m.Want)
	}
	if p.unreachableOwner == m.From.ID {
		p.unreachableOwner = ""
	}
	if m.Token == 0 {
		p.prefetchSentAt = time.Time{}
	}
	switch m.Refused {
	case "":
	case Moved:
		a.skipOwner(now, p, m.From.ID)
	default:
		a.serveWaiters(now, p)
		if _, ok := p.removeWaiter(m.Token); ok {
			a.emit(Resolve{Token: m.Token, Cause: m.Refused})
		}
	}
}

// Undelivered handles a message that was not delivered. If certain is set, the receiver
// certainly did not get it. Its tokens return to this router's balance once no other message
// can have carried them, unless the receiver was fenced: then they were already reclaimed
// from it.
func (a *Agent) Undelivered(now time.Time, m Message, certain bool) []Effect {
	p := a.budgetState(m.Budget)
	if certain && !a.fenced[m.To.Incarnation] {
		p.takeBack(m)
	}
	if certain && p.owner == m.To {
		p.owner = Peer{} // it may run under another incarnation now
	}
	switch m.Kind {
	case Draw:
		p.resetDraw(m.Token)
		if m.To.Incarnation == "" || !certain {
			p.unreachableOwner, p.unreachableAt = m.To.ID, now
		}
	case Recall:
		p.recallAnswered(m.To.Incarnation)
	case Borrow:
		p.finishLoan(m.To.ID)
	case Back:
		if a.sharedOwner() {
			p.backUndelivered(now, m, certain)
		}
	}
	a.advance(now, p)
	return a.takeEffects()
}

// Tick handles timeouts and idle balances. Call it a few times per second.
func (a *Agent) Tick(now time.Time) []Effect {
	if a.sealed {
		return nil
	}
	a.trackOutage(now)
	for _, p := range slices.Clone(a.active) {
		a.tickBudget(now, p)
	}
	a.active = slices.DeleteFunc(a.active, func(p *budgetState) bool {
		p.active = a.startingUp(now) || !p.idle() || a.mayRedirect(now, p)
		return !p.active
	})
	for n := range a.cfg.Pages {
		if ps, ok := a.pages[n]; ok {
			a.startStoreCall(now, n, ps)
		}
	}
	return a.takeEffects()
}

// IsIdle reports whether nothing is held or asked for, so that Tick changes nothing.
func (a *Agent) IsIdle() bool { return len(a.active) == 0 && !a.closing }

// IsWaiting reports whether an answer, a pause or a timeout is pending, so that Tick is
// due soon.
func (a *Agent) IsWaiting() bool {
	if a.closing {
		return true
	}
	for _, p := range a.active {
		if p.waiting() || p.drawPending() || len(p.loans) > 0 || p.recall.active || p.borrowing.from != "" || p.lookup == lookupRunning || len(p.deferred) > 0 {
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

func (a *Agent) tickBudget(now time.Time, p *budgetState) {
	a.refreshEscrow(now, p)
	a.repeatLostBack(now, p)
	a.redirectReturns(now, p)
	p.awaitingSuccessor = false
	if p.drawTimedOut(now, a.cfg.DrawTimeout) {
		a.skipOwner(now, p, p.drawTarget)
	}
	if p.loanTimedOut(now, a.cfg.LenderTimeout) {
		a.emit(Suspect{ID: p.borrowing.from})
		p.finishLoan(p.borrowing.from)
	}
	if p.recall.active && now.Sub(p.recall.at) >= a.cfg.RecallTimeout {
		p.finishRecall()
	}
	a.advance(now, p)
	idle := a.cfg.IdleAfter
	if a.isOwner(now, p.id) {
		idle = a.cfg.OwnerIdleAfter
	}
	if a.closing || now.Sub(p.lastUse) >= idle {
		a.returnIdle(now, p)
		return
	}
	a.returnSurplus(now, p)
	if a.cfg.InitialShare > 0 && a.isOwner(now, p.id) {
		a.prefetch(now, p)
	}
}

// Close starts a planned stop: every balance, now and later, is returned to the store.
func (a *Agent) Close(now time.Time) []Effect {
	a.closing = true
	for _, p := range a.active {
		a.returnIdle(now, p)
	}
	return a.takeEffects()
}

// Closed reports whether nothing is held, reserved or being written any more.
func (a *Agent) Closed() bool {
	for _, p := range a.budgets {
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

// Seal ends a closed agent: it accepts no more tokens, so that it has nothing to return
// after its registration is gone and others may reclaim its tokens.
func (a *Agent) Seal() { a.sealed = true }

// UsedPages returns this holder's incarnation and the pages it used.
func (a *Agent) UsedPages() (holder string, pages []int) {
	for n := range a.cfg.Pages {
		if _, ok := a.pages[n]; ok {
			pages = append(pages, n)
		}
	}
	return a.cfg.Self.Incarnation, pages
}
