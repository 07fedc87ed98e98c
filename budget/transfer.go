package budget

// transfer is the newest movement of tokens to a process. A later message without tokens repeats
// the total and so carries them too.
type transfer struct {
	tokens int64
	// carriers is the number of messages that carry the tokens and are not known to be
	// undelivered.
	carriers int
}

// carry counts a message to a process that adds tokens to the total, or repeats it.
func (p *budgetState) carry(incarnation string, tokens int64) {
	t := p.newest[incarnation]
	if tokens != 0 {
		t = transfer{tokens: tokens}
	}
	t.carriers++
	p.newest[incarnation] = t
}

// takeBack handles a message that certainly was not delivered. It returns the tokens that it
// carried to the balance, unless another message may have delivered them.
func (p *budgetState) takeBack(m Message) {
	incarnation := m.To.Incarnation
	t := p.newest[incarnation]
	if incarnation == "" || t.tokens <= 0 || p.sent[incarnation] != m.Total {
		return
	}
	t.carriers--
	if t.carriers <= 0 {
		p.sent[incarnation] -= t.tokens
		p.balance += t.tokens
		t = transfer{}
	}
	p.newest[incarnation] = t
}
