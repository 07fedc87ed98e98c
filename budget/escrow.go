package budget

import (
	"maps"
	"math"
	"time"
)

// Escrow is a part of a holder's issued tokens that the holder releases to itself by a
// schedule: at any time after it wrote the page, it may use no more than what was usable
// then and what the schedule has released since.
//
// If the process ends, its successor on the same machine determines by the machine's
// monotonic clock how much the schedule can have released before the successor itself
// started, and reclaims the rest: a process that was no longer running cannot have used
// it. So a router may hold far more than it currently needs, to bridge an outage of the
// store, and little of it is lost even if all routers die.
type Escrow struct {
	// Boot identifies the boot of the machine whose monotonic clock At is read from; the
	// clock restarts with each boot.
	Boot string `json:"boot"`
	// At is the monotonic clock before the write was sent, in nanoseconds.
	At int64 `json:"at"`
	// WallClock is the wall clock at that moment, in Unix nanoseconds; 0: it was not
	// recorded, and nothing proves the entry's age.
	WallClock int64 `json:"of_day,omitempty"`
	// Schedule determines how the parts are released.
	Schedule Schedule `json:"schedule"`
	// Parts are the withheld tokens by budget.
	Parts map[string]Withheld `json:"parts"`
}

// Schedule defines how a holder releases the tokens in escrow: at a rate near the demand
// at first, while its next write is expected, and then linearly until all are released,
// since a store that accepts no write for that long is unavailable.
type Schedule struct {
	// Speed is the initial rate, as a multiple of the demand.
	Speed float64 `json:"speed"`
	// Slow is how long after the write parts are released at that rate alone.
	Slow time.Duration `json:"slow"`
	// Within is the time after the write by which all parts are released.
	Within time.Duration `json:"within"`
}

// Withheld is the part of one budget's balance that a holder put in escrow with the write.
type Withheld struct {
	// Tokens is the number of tokens withheld at the write.
	Tokens int64 `json:"tokens"`
	// Demand is the holder's demand for the budget, in tokens per second.
	Demand int64 `json:"demand"`
}

// left returns what is still withheld of a part at the given age since the write. It never
// grows with the age.
func (s Schedule) left(w Withheld, age time.Duration) int64 {
	age = max(age, 0)
	left := float64(w.Tokens) - s.Speed*float64(w.Demand)*age.Seconds()
	if age > s.Slow {
		left = min(left, float64(w.Tokens)*float64(s.Within-age)/float64(s.Within-s.Slow))
	}
	return max(int64(math.Floor(left)), 0)
}

const (
	// maxUsableRatio is the ratio of the usable tokens to the usable target above which the
	// page is rewritten to put the excess in escrow again.
	maxUsableRatio = 2.0
	// rewriteEscrowBelow is the share of the usable target below which the page is
	// rewritten to release more.
	rewriteEscrowBelow = 0.3
)

// heldEscrow is the holder's own copy of its escrow.
type heldEscrow struct {
	at       time.Time
	schedule Schedule
	parts    map[string]Withheld
}

// left returns the tokens of a budget that may not be used yet.
func (e heldEscrow) left(now time.Time, id string) int64 {
	return e.schedule.left(e.parts[id], now.Sub(e.at))
}

// refreshEscrow recomputes how much of the balance may not be used now: what the page in
// the store says, or may say if a write's answer is outstanding or lost.
func (a *Agent) refreshEscrow(now time.Time, p *budgetState) {
	p.escrow = 0
	ps := a.pages[p.page]
	if !a.keepsEscrow() || ps == nil {
		return
	}
	p.escrow = ps.escrow.left(now, p.id)
	if p.escrow > 0 && a.sharedOwner() {
		// Tokens in escrow may be queued for return: they left the balance and are not used.
		p.escrow = max(p.escrow-ps.queuedReturns(p.id), 0)
	}
	if ps.write != nil {
		p.escrow = max(p.escrow, ps.write.escrow.left(now, p.id))
	}
}

// leftInPage returns what the page has, or may have, in escrow now, whether it is in the balance or queued for return.
func (a *Agent) leftInPage(now time.Time, p *budgetState) int64 {
	ps := a.pages[p.page]
	if !a.keepsEscrow() || ps == nil {
		return 0
	}
	left := ps.escrow.left(now, p.id)
	if ps.write != nil {
		left = max(left, ps.write.escrow.left(now, p.id))
	}
	return left
}

// keepsEscrow reports whether this router keeps escrows.
func (a *Agent) keepsEscrow() bool { return a.cfg.UsableHorizon > 0 }

// usable returns the tokens that may be spent or lent now.
func (p *budgetState) usable() int64 { return p.balance - p.escrow }

// usableTarget returns how many tokens a write of the page leaves usable: the demand until
// the page is likely written again, and what draws and loans wait for.
func (a *Agent) usableTarget(now time.Time, p *budgetState) int64 {
	target := p.expectedDemand(now, a.cfg.UsableHorizon)
	return max(target, int64(a.cfg.HeldRequests*p.meanNeed)) + p.requested() + p.deferredTokens()
}

// putEscrow puts this holder's escrow into a page that is about to be written.
func (a *Agent) putEscrow(now time.Time, n int, value *Page) heldEscrow {
	e := heldEscrow{at: now, schedule: a.cfg.Release, parts: map[string]Withheld{}}
	if !a.keepsEscrow() {
		return e
	}
	for _, p := range a.active {
		if p.page != n || a.closing {
			continue
		}
		part := Withheld{Tokens: max(p.balance-a.usableTarget(now, p), 0), Demand: p.expectedDemand(now, time.Second)}
		if part.Tokens > 0 || part.Demand > 0 {
			e.parts[p.id] = part
		}
	}
	value.Escrows[a.cfg.Self.Incarnation] = Escrow{
		Boot:      a.cfg.Boot,
		At:        int64(a.cfg.Uptime(now)),
		WallClock: a.cfg.WallClock().UnixNano(),
		Schedule:  e.schedule,
		Parts:     maps.Clone(e.parts),
	}
	return e
}

// needsEscrowRewrite reports whether the page should be written for its escrow alone: so
// little is usable that more should be released, or so much that the excess should be put
// in escrow again.
func (a *Agent) needsEscrowRewrite(now time.Time, p *budgetState) bool {
	if !a.keepsEscrow() {
		return false
	}
	usable, target := float64(p.usable()), float64(a.usableTarget(now, p))
	if p.escrow > 0 && (p.shortfall() > 0 || p.deferredTokens() > p.usable() || usable < rewriteEscrowBelow*target) {
		return true
	}
	return a.exceedsUsableTarget(now, p, usable, target)
}

// exceedsUsableTarget reports whether far more is usable than a write would leave usable.
func (a *Agent) exceedsUsableTarget(now time.Time, p *budgetState, usable, target float64) bool {
	ps := a.pages[p.page]
	if ps == nil || ps.write != nil || now.Sub(ps.wroteAt) < a.cfg.EscrowRewriteInterval {
		return false
	}
	return usable > maxUsableRatio*target
}

// reclaimEscrows returns the escrows of this machine's earlier processes to the budgets,
// in the router's copy of the page. Their tokens were not used if this process started
// before they were released. An entry whose age cannot be proven is closed: all tokens
// that its process held count as spent.
func (a *Agent) reclaimEscrows(ps *pageState) {
	if !a.keepsEscrow() || a.cfg.Boot == "" {
		return
	}
	for holder, e := range ps.page.Escrows {
		if holder == a.cfg.Self.Incarnation || !a.cfg.Predecessor(holder) || e.Boot != a.cfg.Boot {
			continue
		}
		age := a.ageAtStart(e)
		if age.monotonic < 0 {
			continue // written by a process that started later than this one
		}
		ps.rewriteEscrow = true
		if !age.proven(e) {
			a.emit(EscrowForfeited{Holder: holder, Monotonic: age.monotonic, WallClock: age.wallClock, Tokens: e.tokens()})
			ps.page.Close(holder)
			continue
		}
		tokens := ps.page.release(holder, e, age.monotonic)
		a.emit(EscrowReclaimed{Holder: holder, Age: age.monotonic, Tokens: tokens})
	}
}

// release subtracts what a holder still had in escrow at an age from what it was issued,
// and closes the holder. It returns the tokens by budget.
func (p *Page) release(holder string, e Escrow, age time.Duration) map[string]int64 {
	released := map[string]int64{}
	for id, part := range e.Parts {
		if tokens := e.Schedule.left(part, age); p.Budgets[id] != nil && tokens > 0 {
			p.issue(id, holder, -tokens)
			released[id] = tokens
		}
	}
	p.Close(holder)
	return released
}
