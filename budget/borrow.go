package budget

import "time"

const (
	// lendersAsked is how many routers are asked for one shortage.
	lendersAsked = 3
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

// lend answers a router that is short of tokens: with what it needs and a part
// of the rest, or with a refusal.
func (a *Agent) lend(p *purse, m Message) {
	amount := int64(0)
	if !a.closing && p.usable() >= m.Need {
		amount = max(m.Need, min(m.Want, p.usable()/lentShare))
	}
	loan := a.move(p, Loan, m.From, amount)
	if amount == 0 {
		loan.Refused = Exhausted
	}
	a.emit(Send{loan})
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
