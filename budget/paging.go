package budget

import (
	"time"
)

// StoreResult is what a store call came to.
type StoreResult int

// The results of a store call.
const (
	// Done: the call took effect or returned its value.
	Done StoreResult = iota
	// Missing: the page does not exist.
	Missing
	// Conflict: the page was changed by another; nothing was written.
	Conflict
	// Unavailable: the call had no effect.
	Unavailable
	// Lost: the answer was lost; a write may have taken effect, now or later.
	Lost
)

// pageOp is one wished change of a page: a draw, or a return when need is
// negative.
type pageOp struct {
	budget string
	need   int64
	want   int64
	at     time.Time
	// awaited tells that somebody waits for the write though it draws nothing.
	awaited bool
	// tail tells that the draw may take the budget's tail.
	tail bool
}

// appliedOp is a pageOp with what the built write gives it.
type appliedOp struct {
	op     pageOp
	tokens int64
}

// pageWrite is a built conditional update. While its outcome is unknown it
// may only be repeated as it is.
type pageWrite struct {
	version int64
	number  int64
	value   *Page
	applied []appliedOp
	escrow  escrowed
	lost    bool
}

// pageState is one router's copy of a page.
type pageState struct {
	page    *Page
	version int64
	have    bool
	readAt  time.Time
	reading bool
	writing bool
	write   *pageWrite
	ops     []pageOp
	wroteAt time.Time
	// failed tells that the last call got no answer.
	failed bool
	// calledAt is when the call that is out was made.
	calledAt time.Time
	retryAt  time.Time
	// conflicts in a row, and the pause before the next write because of the last.
	conflicts int
	// writers is how many holders had written the page when it was last seen.
	writers      int
	conflictedAt time.Time
	pause        time.Duration
	// escrow is this holder's escrow in the page in the store.
	escrow escrowed
	// reseal tells that the page must be written although no tokens move.
	reseal bool
}

// drawFromStore queues a draw of at least need and, by demand, more.
func (a *Agent) drawFromStore(now time.Time, p *purse, need int64) {
	p.lookup = lookupRunning
	p.lookedAt = now
	want := a.hold(now, p)
	a.queue(now, pageOp{budget: p.id, need: need, want: max(want-p.balance, need), tail: a.inTail(p)})
}

func (a *Agent) queue(now time.Time, op pageOp) {
	op.at = now
	n := PageOf(op.budget, a.cfg.Pages)
	ps, ok := a.pages[n]
	if !ok {
		ps = &pageState{}
		a.pages[n] = ps
	}
	ps.ops = append(ps.ops, op)
	a.kick(now, n, ps)
}

// kick starts the next store call of a page, if one is due.
func (a *Agent) kick(now time.Time, n int, ps *pageState) {
	if ps.reading || ps.writing || len(ps.ops) == 0 && ps.write == nil {
		return
	}
	if now.Before(ps.retryAt) {
		a.failDraws(now, ps)
		return
	}
	if ps.write == nil && !a.closing && (now.Sub(ps.wroteAt) < a.spacing(ps) || ps.backsOff(now)) {
		return
	}
	if !ps.have || a.stale(now, ps) {
		ps.reading = true
		ps.calledAt = now
		a.emit(ReadPage{Page: n})
		return
	}
	if ps.write == nil {
		a.rideAlong(now, n, ps)
		a.build(now, n, ps)
	}
	if ps.write == nil {
		a.finishOps(now, ps, nil)
		return
	}
	ps.writing = true
	ps.wroteAt = now
	ps.calledAt = now
	a.emit(WritePage{Page: n, Version: ps.write.version, Value: ps.write.value})
}

// spacing returns the least time between two writes of a page.
func (a *Agent) spacing(ps *pageState) time.Duration {
	switch {
	case !ps.urgent():
		return a.cfg.PageSpacing
	case a.grants:
		return a.cfg.DrawSpacing
	default:
		return 0
	}
}

// urgent tells whether somebody waits for a queued draw.
func (ps *pageState) urgent() bool {
	for _, op := range ps.ops {
		if op.need > 0 || op.awaited {
			return true
		}
	}
	return false
}

// urge turns a queued draw ahead of demand into one that somebody waits for.
func (a *Agent) urge(now time.Time, p *purse) {
	ps := a.pages[p.page]
	if ps == nil {
		return
	}
	for i := range ps.ops {
		op := &ps.ops[i]
		if op.budget == p.id && op.need == 0 {
			op.need = max(p.unmet(), 0)
			op.want = max(op.want, op.need)
		}
	}
	a.kick(now, p.page, ps)
}

// rideAlong adds draws for the page's other budgets that are below what their
// home would hold, so that one write renews the whole page and the number of
// writes does not grow with the number of budgets.
func (a *Agent) rideAlong(now time.Time, n int, ps *pageState) {
	if a.closing {
		return
	}
	for _, p := range a.awake {
		if p.page != n || p.lookup != lookupIdle || p.scarce || p.recall.active {
			continue
		}
		hold := a.hold(now, p)
		if !a.isHome(now, p.id) {
			continue
		}
		if a.cfg.Surplus > 0 && float64(p.balance) > float64(hold)*(1+a.cfg.Surplus) {
			a.returnExcess(now, p, ps, p.balance-hold)
			continue
		}
		want := hold - p.balance
		if want <= 0 {
			continue
		}
		p.lookup = lookupRunning
		p.lookedAt = now
		ps.ops = append(ps.ops, pageOp{budget: p.id, want: want, at: now})
	}
}

// returnExcess adds a return of tokens that are more than a home would hold.
func (a *Agent) returnExcess(now time.Time, p *purse, ps *pageState, tokens int64) {
	p.balance -= tokens
	ps.ops = append(ps.ops, pageOp{budget: p.id, need: -tokens, at: now})
}

// stale tells whether a queued draw should see a newer copy: the held one is
// older than the draw and has too little.
func (a *Agent) stale(now time.Time, ps *pageState) bool {
	if ps.write != nil || now.Sub(ps.readAt) < a.cfg.CheckEvery {
		return false
	}
	for _, op := range ps.ops {
		r := ps.page.Budgets[op.budget]
		if op.need >= 0 && (r == nil || a.spendable(r, op.tail) < max(op.need, op.want)) {
			return true
		}
	}
	return false
}

// build makes the conditional update for all queued ops. Ops that change
// nothing are answered without a write.
func (a *Agent) build(now time.Time, n int, ps *pageState) {
	value := ps.page.Clone()
	changed := ps.reseal
	applied := make([]appliedOp, 0, len(ps.ops))
	for _, op := range ps.ops {
		tokens := a.amount(value, op)
		if op.need >= 0 && a.needsReseal(now, a.purse(op.budget)) {
			changed = true
		}
		if tokens != 0 {
			value.issue(op.budget, a.cfg.Self.Incarnation, tokens)
			changed = true
		}
		applied = append(applied, appliedOp{op: op, tokens: tokens})
	}
	if !changed {
		return
	}
	a.writes++
	value.Ops[a.cfg.Self.Incarnation] = a.writes
	escrow := a.setAside(now, n, value)
	ps.write = &pageWrite{version: ps.version, number: a.writes, value: value, applied: applied, escrow: escrow}
	ps.ops = nil
	ps.reseal = false
}

// amount returns the tokens that an op moves: all that is needed if it is
// there, a part of the free tokens beyond that, and whatever is left when
// less than needed is there. A return moves its negative amount.
func (a *Agent) amount(page *Page, op pageOp) int64 {
	r := page.Budgets[op.budget]
	if r == nil {
		return 0
	}
	if op.need < 0 {
		return op.need
	}
	free := a.spendable(r, op.tail)
	return max(min(op.need, free), min(op.want, free/shareOfFree))
}

// PageRead takes the answer of a ReadPage.
func (a *Agent) PageRead(now time.Time, n int, version int64, page *Page, result StoreResult) []Effect {
	ps := a.pages[n]
	ps.reading = false
	ps.failed = false
	switch result {
	case Done:
		if page.Fenced[a.cfg.Self.Incarnation] {
			a.emit(Stop{})
			return a.drain()
		}
		ps.page, ps.version, ps.have, ps.readAt = page, version, true, now
		ps.writers = len(page.Ops)
		a.applyLimits(n, ps)
		a.takeBack(ps)
		a.resolveLost(now, ps)
		a.shedOverdrawn(now, n, ps)
	case Missing:
		ps.page, ps.version, ps.have, ps.readAt = NewPage(), 0, true, now
		a.applyLimits(n, ps)
	default:
		a.storeFailed(now, ps)
		return a.drain()
	}
	a.kick(now, n, ps)
	return a.drain()
}

// resolveLost decides a write whose answer was lost, by the op number in the
// page. If the version has not moved, the same write is repeated as it is: a
// late arrival of the first one then makes the second fail, not double.
func (a *Agent) resolveLost(now time.Time, ps *pageState) {
	w := ps.write
	if w == nil {
		return
	}
	if ps.page.Ops[a.cfg.Self.Incarnation] == w.number {
		a.finishWrite(now, ps)
		return
	}
	if ps.version != w.version {
		a.requeue(ps)
	}
}

// requeue puts the ops of a write that had no effect back.
func (a *Agent) requeue(ps *pageState) {
	ops := make([]pageOp, 0, len(ps.write.applied)+len(ps.ops))
	for _, ap := range ps.write.applied {
		ops = append(ops, ap.op)
	}
	ps.ops = append(ops, ps.ops...)
	ps.write = nil
}

// PageWritten takes the answer of a WritePage. With a Conflict, current is the
// page as it is at that version, or nil if the store did not tell it.
func (a *Agent) PageWritten(now time.Time, n int, version int64, result StoreResult, current *Page) []Effect {
	ps := a.pages[n]
	ps.writing = false
	ps.failed = result == Lost
	switch result {
	case Done:
		ps.conflicts, ps.pause = 0, 0
		ps.page, ps.version, ps.readAt = ps.write.value, version, now
		a.applyLimits(n, ps)
		a.finishWrite(now, ps)
		a.shedOverdrawn(now, n, ps)
	case Conflict:
		ps.have = false
		ps.wroteAt = time.Time{} // nothing was written: the next try need not wait
		a.backOff(now, ps)
		if !ps.write.lost {
			a.requeue(ps)
		}
		if current != nil {
			return a.PageRead(now, n, version, current, Done)
		}
	case Lost:
		ps.have = false
		ps.write.lost = true
	default:
		if !ps.write.lost {
			a.requeue(ps)
		}
		ps.have = false
		a.storeFailed(now, ps)
		return a.drain()
	}
	a.kick(now, n, ps)
	return a.drain()
}

// unqueueReturns takes back what is queued to be returned to the store.
func (a *Agent) unqueueReturns(p *purse) {
	ps := a.pages[p.page]
	if ps == nil {
		return
	}
	kept := ps.ops[:0]
	for _, op := range ps.ops {
		if op.budget == p.id && op.need < 0 {
			p.balance -= op.need
			continue
		}
		kept = append(kept, op)
	}
	ps.ops = kept
}

// finishWrite credits what the write that took effect drew.
func (a *Agent) finishWrite(now time.Time, ps *pageState) {
	applied := ps.write.applied
	ps.escrow = ps.write.escrow
	ps.write = nil
	a.finishOps(now, ps, applied)
}

// finishOps ends draws, with what they got; without a write, all queued ops
// got nothing.
func (a *Agent) finishOps(now time.Time, ps *pageState, applied []appliedOp) {
	if applied == nil {
		for _, op := range ps.ops {
			applied = append(applied, appliedOp{op: op})
		}
		ps.ops = nil
	}
	for _, ap := range applied {
		if ap.op.need >= 0 {
			a.drawn(now, ps, ap)
		}
	}
}

func (a *Agent) drawn(now time.Time, ps *pageState, ap appliedOp) {
	p := a.purse(ap.op.budget)
	r := ps.page.Budgets[p.id]
	p.balance += ap.tokens
	p.unknown = r == nil
	p.lookup = lookupIdle
	if ap.tokens < ap.op.need {
		p.lookup = lookupShort
		p.shortAt = now
	}
	p.scarce = r == nil || r.Free() < p.ahead(now, a.cfg.scarceHorizon())
	a.pump(now, p)
}

// storeFailed ends the waiting draws of a page when the store is out; returns
// stay queued.
func (a *Agent) storeFailed(now time.Time, ps *pageState) {
	ps.failed = true
	ps.retryAt = now.Add(a.cfg.StoreRetry)
	a.failDraws(now, ps)
	if ps.write == nil {
		return
	}
	for _, ap := range ps.write.applied {
		a.failDraw(now, ap.op)
	}
}

func (a *Agent) failDraws(now time.Time, ps *pageState) {
	ops := ps.ops
	ps.ops = nil
	for _, op := range ops {
		if op.need < 0 {
			ps.ops = append(ps.ops, op)
		}
	}
	for _, op := range ops {
		a.failDraw(now, op)
	}
}

// failDraw ends the search that waits for a draw. A draw in a lost write may
// still be credited later.
func (a *Agent) failDraw(now time.Time, op pageOp) {
	p := a.purse(op.budget)
	if op.need < 0 || p.lookup != lookupRunning {
		return
	}
	p.lookup = lookupFailed
	a.pump(now, p)
}
