package budget

import "time"

const (
	// maxLendersAsked is how many routers are asked at most for one shortage; an answer
	// takes a few milliseconds.
	maxLendersAsked = 8
	// storeSlowAfter is how long a store call may be outstanding before other routers are
	// asked in parallel: a few times the duration of a call to a healthy store.
	storeSlowAfter = 60 * time.Millisecond
	// lendDivisor limits a loan to one part in lendDivisor of the lender's usable balance,
	// or to what the borrower needs if that is more.
	lendDivisor = 3
)

// borrowing is a router's search for tokens at other routers, after the store had too few
// or did not answer.
type borrowing struct {
	// from is the router whose answer is outstanding; empty: none.
	from string
	at   time.Time
	// asked holds the routers already asked in this search.
	asked map[string]bool
	// failedAt is when the last search failed.
	failedAt time.Time
}

// storeSlow reports whether the answer to the budget's draw is overdue, so that other
// routers should be asked in the meantime.
func (a *Agent) storeSlow(now time.Time, p *budgetState) bool {
	ps := a.pages[p.page]
	return ps != nil && (ps.reading || ps.writing) && now.Sub(ps.calledAt) >= storeSlowAfter
}

// storeUnavailable reports whether waiting for the store is pointless: it does not answer
// this router, or its last call for the budget's page failed.
func (a *Agent) storeUnavailable(p *budgetState) bool {
	ps := a.pages[p.page]
	return ps != nil && ps.failed || a.cfg.StoreLost != nil && a.cfg.StoreLost()
}

// borrow asks the next router; it returns false if there is none left to ask.
func (a *Agent) borrow(now time.Time, p *budgetState) bool {
	b := &p.borrowing
	if b.from != "" {
		return true
	}
	if now.Sub(b.failedAt) < a.cfg.LookupInterval {
		return false
	}
	lenders, recorded := a.lenders(now, p)
	for i, lender := range lenders {
		if len(b.asked) >= maxLendersAsked {
			break
		}
		if b.asked[lender.ID] {
			continue
		}
		if i < recorded {
			a.emit(HolderAsked{Budget: p.id, Holder: lender.ID, Need: p.shortfall()})
		}
		a.requestLoan(now, p, lender.ID)
		return true
	}
	b.asked = nil
	b.failedAt = now
	return false
}

func (a *Agent) requestLoan(now time.Time, p *budgetState, id string) {
	b := &p.borrowing
	if b.asked == nil {
		b.asked = map[string]bool{}
	}
	b.asked[id] = true
	b.from, b.at = id, now
	m := a.move(now, p, Borrow, Peer{ID: id}, 0)
	m.Need = max(p.shortfall(), 1)
	m.Want = max(m.Need, p.expectedDemand(now, a.cfg.EntryHorizon))
	a.emit(Send{m})
}

// loanRequest is another router's request for a loan that waits until this router's escrow
// is released.
type loanRequest struct {
	message Message
	at      time.Time
}

// lend answers a router that is short of tokens: with what it needs and a share of the
// rest; with all usable tokens if they are fewer, since the router may get the rest from
// others; or with a refusal. Tokens that are only held in escrow are released first, by a
// write of the page, if the store answers.
func (a *Agent) lend(now time.Time, p *budgetState, m Message) {
	if !a.closing && p.usable() < m.Need && p.escrow > 0 && !a.storeUnavailable(p) {
		p.loans = append(p.loans, loanRequest{message: m, at: now})
		a.queue(now, pageOp{budget: p.id, awaited: true})
		return
	}
	a.answerLoan(now, p, m)
}

func (a *Agent) answerLoan(now time.Time, p *budgetState, m Message) {
	amount := int64(0)
	if !a.closing && p.usable() > 0 {
		amount = max(min(m.Need, p.usable()), min(m.Want, p.usable()/lendDivisor))
	}
	loan := a.move(now, p, Loan, m.From, amount)
	if amount == 0 {
		loan.Refused = Exhausted
	}
	a.emit(Send{loan})
}

// serveLoans answers the loan requests that the balance now covers, and those that have
// waited too long.
func (a *Agent) serveLoans(now time.Time, p *budgetState) {
	var waiting []loanRequest
	for _, l := range p.loans {
		if p.escrow > 0 && p.usable() < l.message.Need && now.Sub(l.at) < a.cfg.LenderTimeout/2 {
			waiting = append(waiting, l)
			continue
		}
		a.answerLoan(now, p, l.message)
	}
	p.loans = waiting
}

// finishLoan ends the request to a lender. The lent tokens are already in the balance.
func (p *budgetState) finishLoan(from string) {
	if p.borrowing.from == from {
		p.borrowing.from = ""
	}
	if !p.waiting() {
		p.borrowing.asked = nil
	}
}

// loanTimedOut reports whether the lender has left the request unanswered for at least
// timeout.
func (p *budgetState) loanTimedOut(now time.Time, timeout time.Duration) bool {
	return p.borrowing.from != "" && now.Sub(p.borrowing.at) >= timeout
}
