package budget

import (
	"math"
	"time"
)

const (
	// needWindow is the number of reservations that the mean need averages over.
	needWindow = 8
	// startupDelay is how long after its start a router prefetches nothing: by then it has
	// discovered the other routers and can tell whether it is an owner at all.
	startupDelay = 500 * time.Millisecond
)

// waiter is a local reservation that could not be granted immediately.
type waiter struct {
	token      uint64
	need       int64
	rank       int       // 0 is the most urgent
	drawSentAt time.Time // zero: no draw has been sent to the owner
	// peersOnly is set if the store has only the final reserve left, which this request
	// may not take from: only tokens held by other routers can serve it.
	peersOnly bool
}

// draw is another router's unanswered draw.
type draw struct {
	peer       Peer
	token      uint64
	need, want int64
	rank       int // 0 is the most urgent
}

// holder is a router that this router granted tokens to.
type holder struct {
	peer Peer
	// recallable is set if the holder may have more than its running requests need, so
	// that a recall is worthwhile.
	recallable bool
	granted    rate // rate of tokens granted
}

// recallRound is one round of asking holders for their unused tokens.
type recallRound struct {
	active  bool
	at      time.Time
	waiting map[string]bool
}

// lookup is the state of the owner's search in the store.
type lookup int

const (
	lookupIdle lookup = iota
	lookupRunning
	lookupShort  // the store gave what it had, which was not enough
	lookupFailed // the store did not answer
)

// budgetState is the state of one budget at this router.
type budgetState struct {
	id                string
	page              int
	balance           int64
	reserved          int64
	escrow            int64 // part of the balance that is not usable yet
	waiters           []waiter
	draws             []draw
	deferred          []draw // draws granted in part, until a write releases the rest
	loans             []loanRequest
	drawTarget        string
	prefetchSentAt    time.Time // when a draw ahead of demand was sent; zero: none is outstanding
	recall            recallRound
	borrowing         borrowing
	lookup            lookup
	lookedAt          time.Time
	shortAt           time.Time // when the store last had too few tokens
	unknown           bool
	scarce            bool
	owner             Peer
	unreachableOwner  string               // the owner that did not receive the last draw; empty: it did
	unreachableAt     time.Time            // when that became known
	skippedOwners     map[string]time.Time // owners that redirected or did not answer, and when
	awaitingSuccessor bool                 // the successor is not known yet
	sent              map[string]int64     // by the receiver's incarnation
	newest            map[string]transfer  // the last tokens sent, by the receiver's incarnation
	received          map[string]int64     // by the sender's incarnation
	holders           map[string]*holder
	holdLimit         int64        // the most that the owner lets this router hold
	nearlyUsedUp      bool         // little is left of the budget
	reportedNearEnd   bool         // the budget was reported to be held short
	backFailedAt      time.Time    // when a return of tokens was last not delivered
	repeatBack        Peer         // the receiver of a return that may have been lost; zero: none
	demand            rate         // rate of tokens asked for
	ranks             []rankDemand // the same by rank, of requests and of draws for requests
	finalReserveSince time.Time    // when only the final reserve was left; zero: more is left
	meanNeed          float64      // mean tokens per reservation, exponentially weighted by count
	lastUse           time.Time
	active            bool // in the agent's list of active budgets
}

func newBudgetState(id string, page int, window time.Duration) *budgetState {
	return &budgetState{id: id, page: page, demand: rate{window: window}, holdLimit: math.MaxInt64, skippedOwners: map[string]time.Time{}, sent: map[string]int64{}, newest: map[string]transfer{}, received: map[string]int64{}, holders: map[string]*holder{}}
}

// recordUse records that a request of need tokens asked for the budget.
func (p *budgetState) recordUse(now time.Time, need int64) {
	p.lastUse = now
	p.meanNeed += (float64(need) - p.meanNeed) / needWindow
}

// expectedDemand returns the tokens that the current demand takes in d.
func (p *budgetState) expectedDemand(now time.Time, d time.Duration) int64 {
	return p.demand.expected(now, d)
}

// shortfall returns the tokens asked for and not covered by the usable balance.
func (p *budgetState) shortfall() int64 { return p.requested() - p.usable() }

// requested returns the tokens that waiting reservations, draws and loans ask for.
func (p *budgetState) requested() int64 {
	var sum int64
	for _, w := range p.waiters {
		sum += w.need
	}
	for _, d := range p.draws {
		sum += d.need
	}
	for _, l := range p.loans {
		sum += l.message.Need
	}
	return sum
}

// drawable returns the tokens to request from the store: the shortfall without the
// reservations that only other routers can serve.
func (p *budgetState) drawable() int64 {
	sum := p.shortfall()
	for _, w := range p.waiters {
		if w.peersOnly {
			sum -= w.need
		}
	}
	return sum
}

// idle reports whether nothing is held, awaited or asked for.
func (p *budgetState) idle() bool {
	return p.balance <= 0 && p.reserved == 0 && p.repeatBack.ID == "" && !p.waiting() && len(p.loans) == 0 && !p.drawPending() && !p.recall.active && p.borrowing.from == "" && p.lookup != lookupRunning
}

func (p *budgetState) waiting() bool {
	return len(p.waiters)+len(p.draws) > 0
}

// removeWaiter removes a waiting reservation.
func (p *budgetState) removeWaiter(token uint64) (waiter, bool) {
	for i, w := range p.waiters {
		if w.token == token {
			p.waiters = append(p.waiters[:i], p.waiters[i+1:]...)
			return w, true
		}
	}
	return waiter{}, false
}

// drawPending reports whether a draw sent to the owner is unanswered.
func (p *budgetState) drawPending() bool {
	for _, w := range p.waiters {
		if !w.drawSentAt.IsZero() {
			return true
		}
	}
	return !p.prefetchSentAt.IsZero()
}

// resetDraws marks all unanswered draws as not sent, so that they are sent again.
func (p *budgetState) resetDraws() {
	for i := range p.waiters {
		p.waiters[i].drawSentAt = time.Time{}
	}
	p.prefetchSentAt = time.Time{}
}

// resetDraw marks one draw that did not reach the owner as not sent: that of a waiting
// reservation, or the prefetch if token is 0.
func (p *budgetState) resetDraw(token uint64) {
	if token == 0 {
		p.prefetchSentAt = time.Time{}
		return
	}
	for i := range p.waiters {
		if p.waiters[i].token == token {
			p.waiters[i].drawSentAt = time.Time{}
		}
	}
}

// drawTimedOut reports whether the owner has left a draw unanswered for at least timeout.
func (p *budgetState) drawTimedOut(now time.Time, timeout time.Duration) bool {
	for _, w := range p.waiters {
		if !w.drawSentAt.IsZero() && now.Sub(w.drawSentAt) >= timeout {
			return true
		}
	}
	return !p.prefetchSentAt.IsZero() && now.Sub(p.prefetchSentAt) >= timeout
}

// holderOf returns the record of a router that tokens are granted to.
func (p *budgetState) holderOf(peer Peer) *holder {
	h, known := p.holders[peer.Incarnation]
	if !known {
		h = &holder{peer: peer, granted: rate{window: p.demand.window}}
		p.holders[peer.Incarnation] = h
	}
	return h
}

// recallAnswered records that a holder returned its unused tokens.
func (p *budgetState) recallAnswered(incarnation string) {
	if h, ok := p.holders[incarnation]; ok {
		h.recallable = false
	}
	if !p.recall.active {
		return
	}
	delete(p.recall.waiting, incarnation)
	if len(p.recall.waiting) == 0 {
		p.finishRecall()
	}
}

// finishRecall ends a round. A holder that did not answer is not recalled again until it
// is granted more; its tokens come back when it resumes.
func (p *budgetState) finishRecall() {
	for incarnation := range p.recall.waiting {
		if h, ok := p.holders[incarnation]; ok {
			h.recallable = false
		}
	}
	p.recall.active = false
	p.recall.waiting = nil
}

// serveWaiters grants every local reservation that the usable balance covers.
func (a *Agent) serveWaiters(now time.Time, p *budgetState) {
	kept := p.waiters[:0]
	for _, w := range p.waiters {
		if !a.reserve(now, p, w.need) {
			kept = append(kept, w)
			continue
		}
		a.emit(Resolve{Token: w.token, OK: true})
	}
	p.waiters = kept
}
