package budget

import "time"

const (
	// lendersAsked is how many routers are asked at most for one shortage; an answer
	// takes a few milliseconds.
	lendersAsked = 8
	// storeSlowAfter is how long a store call may be out before other routers are
	// asked meanwhile: some times what one takes at a store that is well.
	storeSlowAfter = 60 * time.Millisecond
	// lentShare is the part of a balance that is lent beyond what is needed.
	lentShare = 3
)

// borrowing is a router's search for tokens at other routers, after the store
// had too few or did not answer.
type borrowing struct {
	// from is the router that was asked and has not answered yet.
	from string
	at   time.Time
	// asked are the routers of this search.
	asked map[string]bool
	// failedAt is when the last search found nothing.
	failedAt time.Time
}

// storeSlow tells whether the answer to the purse's draw is overdue, so that other
// routers should be asked meanwhile.
func (a *Agent) storeSlow(now time.Time, p *purse) bool {
	ps := a.pages[p.page]
	return ps != nil && (ps.reading || ps.writing) && now.Sub(ps.calledAt) >= storeSlowAfter
}

// storeAway tells whether waiting for the store is of no use: it does not answer
// this router, or its last call for the purse's page failed.
func (a *Agent) storeAway(p *purse) bool {
	ps := a.pages[p.page]
	return ps != nil && ps.failed || a.cfg.StoreLost != nil && a.cfg.StoreLost()
}

// borrow asks the next router; false means that there is none left to ask.
func (a *Agent) borrow(now time.Time, p *purse) bool {
	b := &p.borrowing
	if b.from != "" {
		return true
	}
	if a.cfg.Lenders == nil || now.Sub(b.failedAt) < a.cfg.CheckEvery {
		return false
	}
	for _, lender := range a.cfg.Lenders(now, p.id) {
		if len(b.asked) >= lendersAsked {
			break
		}
		if b.asked[lender.ID] {
			continue
		}
		a.askLender(now, p, lender.ID)
		return true
	}
	b.asked = nil
	b.failedAt = now
	return false
}

func (a *Agent) askLender(now time.Time, p *purse, id string) {
	b := &p.borrowing
	if b.asked == nil {
		b.asked = map[string]bool{}
	}
	b.asked[id] = true
	b.from, b.at = id, now
	m := a.move(p, Borrow, Peer{ID: id}, 0)
	m.Need = max(p.unmet(), 1)
	m.Want = max(m.Need, p.ahead(now, a.cfg.EntryHorizon))
	a.emit(Send{m})
}

// asking is another router's question for a loan that waits for this router's
// escrow.
type asking struct {
	message Message
	at      time.Time
}

// lend answers a router that is short of tokens: with what it needs and a part
// of the rest, with all there is if that is less, since it may get the rest from
// others, or with a refusal. What is only withheld is released first, by a write
// of the page, if the store answers.
func (a *Agent) lend(now time.Time, p *purse, m Message) {
	if !a.closing && p.usable() < m.Need && p.escrow > 0 && !a.storeAway(p) {
		p.loans = append(p.loans, asking{message: m, at: now})
		a.queue(now, pageOp{budget: p.id, awaited: true})
		return
	}
	a.answerLoan(p, m)
}

func (a *Agent) answerLoan(p *purse, m Message) {
	amount := int64(0)
	if !a.closing && p.usable() > 0 {
		amount = max(min(m.Need, p.usable()), min(m.Want, p.usable()/lentShare))
	}
	loan := a.move(p, Loan, m.From, amount)
	if amount == 0 {
		loan.Refused = Exhausted
	}
	a.emit(Send{loan})
}

// serveLoans answers the questions that the balance covers by now, and those
// that have waited for long.
func (a *Agent) serveLoans(now time.Time, p *purse) {
	var waiting []asking
	for _, l := range p.loans {
		if p.escrow > 0 && p.usable() < l.message.Need && now.Sub(l.at) < a.cfg.LenderTimeout/2 {
			waiting = append(waiting, l)
			continue
		}
		a.answerLoan(p, l.message)
	}
	p.loans = waiting
}

// lent ends the question to a lender. What it lent is in the balance already.
func (p *purse) lent(from string) {
	if p.borrowing.from == from {
		p.borrowing.from = ""
	}
	if !p.waiting() {
		p.borrowing.asked = nil
	}
}

// lenderSilent tells whether the asked router left the question open for too
// long.
func (p *purse) lenderSilent(now time.Time, timeout time.Duration) bool {
	return p.borrowing.from != "" && now.Sub(p.borrowing.at) >= timeout
}
