package budget

import (
	"time"
)

const (
	// needWindow is how many reservations the mean need looks back.
	needWindow = 8
	// settleTime is how long after its start a router draws nothing ahead: by then
	// it has met the others, and knows whether it is a home at all.
	settleTime = 500 * time.Millisecond
)

// waiter is a local reservation that could not be granted at once.
type waiter struct {
	token   uint64
	need    int64
	askedAt time.Time // zero: the home has not been asked
	// fromOthers tells that only the tail is left at the store, which this one may
	// not take from: only what other routers hold can serve it.
	fromOthers bool
}

// draw is another router's unanswered draw.
type draw struct {
	peer       Peer
	token      uint64
	need, want int64
}

// holder is a router that was granted tokens by this one.
type holder struct {
	peer Peer
	// loose tells that it may hold more than its running requests need, so
	// that a recall is worth while.
	loose bool
}

// recallRound is one round of asking holders for their unused tokens.
type recallRound struct {
	active  bool
	at      time.Time
	waiting map[string]bool
}

// lookup says how far the home's search in the store has come.
type lookup int

const (
	lookupIdle lookup = iota
	lookupRunning
	lookupShort  // the store gave what it had, and it was not enough
	lookupFailed // the store did not answer
)

// purse is what one router holds of one budget.
type purse struct {
	id          string
	page        int
	balance     int64
	reserved    int64
	escrow      int64 // of the balance, not usable yet
	waiters     []waiter
	draws       []draw
	loans       []asking
	askedOf     string
	prefetching time.Time // when a draw ahead was sent; zero: none is out
	recall      recallRound
	borrowing   borrowing
	lookup      lookup
	lookedAt    time.Time
	shortAt     time.Time // when the store last had too little
	unknown     bool
	scarce      bool
	home        Peer
	failedHome  string               // the home that did not get the last question; empty: it got it
	failedAt    time.Time            // when that was known
	passedOver  map[string]time.Time // homes that were of no use, and when
	passing     bool                 // the next home is not known yet
	sent        map[string]int64     // by the receiver's incarnation
	received    map[string]int64     // by the sender's incarnation
	holders     map[string]*holder
	demand      rate      // tokens asked for
	tailSince   time.Time // when only the tail was left; zero: more is
	meanNeed    float64   // of one reservation, decayed by count
	lastUse     time.Time
	awake       bool // in the agent's list
}

func newPurse(id string, page int, window time.Duration) *purse {
	return &purse{id: id, page: page, demand: rate{window: window}, passedOver: map[string]time.Time{}, sent: map[string]int64{}, received: map[string]int64{}, holders: map[string]*holder{}}
}

// used notes that a request of need tokens asked for the budget.
func (p *purse) used(now time.Time, need int64) {
	p.lastUse = now
	p.meanNeed += (float64(need) - p.meanNeed) / needWindow
}

// ahead returns the tokens that the present demand takes in d.
func (p *purse) ahead(now time.Time, d time.Duration) int64 { return p.demand.ahead(now, d) }

// unmet returns the tokens asked for and not yet covered.
func (p *purse) unmet() int64 { return p.asked() - p.usable() }

// asked returns the tokens that waiting reservations, draws and loans ask for.
func (p *purse) asked() int64 {
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

// drawable returns what the store may be asked for: the tokens not yet covered,
// without the reservations that only other routers can serve.
func (p *purse) drawable() int64 {
	sum := p.unmet()
	for _, w := range p.waiters {
		if w.fromOthers {
			sum -= w.need
		}
	}
	return sum
}

// idle tells whether nothing is held, awaited or asked for.
func (p *purse) idle() bool {
	return p.balance <= 0 && p.reserved == 0 && !p.waiting() && len(p.loans) == 0 && !p.asking() && !p.recall.active && p.borrowing.from == "" && p.lookup != lookupRunning
}

func (p *purse) waiting() bool {
	return len(p.waiters)+len(p.draws) > 0
}

// takeWaiter removes a waiting reservation.
func (p *purse) takeWaiter(token uint64) (waiter, bool) {
	for i, w := range p.waiters {
		if w.token == token {
			p.waiters = append(p.waiters[:i], p.waiters[i+1:]...)
			return w, true
		}
	}
	return waiter{}, false
}

// asking tells whether an answer of the home is outstanding.
func (p *purse) asking() bool {
	for _, w := range p.waiters {
		if !w.askedAt.IsZero() {
			return true
		}
	}
	return !p.prefetching.IsZero()
}

// unask forgets outstanding questions, so that they are asked again.
func (p *purse) unask() {
	for i := range p.waiters {
		p.waiters[i].askedAt = time.Time{}
	}
	p.prefetching = time.Time{}
}

// notAsked forgets one question, which did not reach the home: that of a waiting reservation, or
// the one ahead of demand.
func (p *purse) notAsked(token uint64) {
	if token == 0 {
		p.prefetching = time.Time{}
		return
	}
	for i := range p.waiters {
		if p.waiters[i].token == token {
			p.waiters[i].askedAt = time.Time{}
		}
	}
}

// silent tells whether the home left a question open for too long.
func (p *purse) silent(now time.Time, timeout time.Duration) bool {
	for _, w := range p.waiters {
		if !w.askedAt.IsZero() && now.Sub(w.askedAt) >= timeout {
			return true
		}
	}
	return !p.prefetching.IsZero() && now.Sub(p.prefetching) >= timeout
}

// recallAnswered notes that a holder gave back what it did not need.
func (p *purse) recallAnswered(incarnation string) {
	if h, ok := p.holders[incarnation]; ok {
		h.loose = false
	}
	if !p.recall.active {
		return
	}
	delete(p.recall.waiting, incarnation)
	if len(p.recall.waiting) == 0 {
		p.finishRecall()
	}
}

// finishRecall ends a round. A holder that did not answer is not waited for
// again until it is granted more; what it has comes back when it wakes.
func (p *purse) finishRecall() {
	for incarnation := range p.recall.waiting {
		if h, ok := p.holders[incarnation]; ok {
			h.loose = false
		}
	}
	p.recall.active = false
	p.recall.waiting = nil
}

// take reserves need tokens of the balance; false means that it does not cover
// them.
func (p *purse) take(need int64) bool {
	if p.usable() < need {
		return false
	}
	p.balance -= need
	p.reserved += need
	return true
}

// serveWaiters grants every local reservation that the balance covers.
func (a *Agent) serveWaiters(p *purse) {
	kept := p.waiters[:0]
	for _, w := range p.waiters {
		if !p.take(w.need) {
			kept = append(kept, w)
			continue
		}
		a.emit(Resolve{Token: w.token, OK: true})
	}
	p.waiters = kept
}

// serveDraws grants every peer's draw that the balance covers.
func (a *Agent) serveDraws(now time.Time, p *purse) {
	kept := p.draws[:0]
	for _, d := range p.draws {
		if p.usable() < d.need {
			kept = append(kept, d)
			continue
		}
		a.grant(now, p, d)
	}
	p.draws = kept
}

// grant moves tokens to the drawer: what it needs, and its demand ahead when
// there is plenty. What is granted is the home's demand: most draws are ahead
// of the drawer's and need little by themselves.
func (a *Agent) grant(now time.Time, p *purse, d draw) {
	amount := d.need
	if !p.scarce {
		amount = max(d.need, min(d.want, p.balance/shareOfFree))
	}
	a.grants = true
	p.demand.add(now, amount)
	p.holders[d.peer.Incarnation] = &holder{peer: d.peer, loose: !p.scarce}
	m := a.move(p, Grant, d.peer, amount)
	m.Token = d.token
	a.emit(Send{m})
}

// refuseDraw answers a peer's draw with a cause and no tokens.
func (a *Agent) refuseDraw(p *purse, d draw, cause Cause) {
	m := a.move(p, Grant, d.peer, 0)
	m.Token = d.token
	m.Refused = cause
	m.Scarce = true
	a.emit(Send{m})
}

// move decrements the balance and returns the message that carries the
// tokens.
func (a *Agent) move(p *purse, kind Kind, to Peer, amount int64) Message {
	p.balance -= amount
	p.sent[to.Incarnation] += amount
	return Message{
		Kind:   kind,
		Budget: p.id,
		From:   a.cfg.Self,
		To:     to,
		Total:  p.sent[to.Incarnation],
		Delta:  amount,
		Scarce: p.scarce,
	}
}
