package budget

import (
	"slices"
	"time"
)

// StoreResult is the outcome of a store call.
type StoreResult int

// The results of a store call.
const (
	// Done: the call took effect or returned its value.
	Done StoreResult = iota
	// Missing: the page does not exist.
	Missing
	// Conflict: the page was changed by another writer; nothing was written.
	Conflict
	// Unavailable: the call had no effect.
	Unavailable
	// ResultUnknown: the answer was lost; a write may have taken effect, now or later.
	ResultUnknown
)

// pageOp is one requested change of a page: a draw, or a return when need is negative.
type pageOp struct {
	budget string
	need   int64
	want   int64
	at     time.Time
	// awaited is set if the write should not wait for others although no caller's draw does: a
	// loan waits for it, or the router holds too little to wait.
	awaited bool
	// releases is set if deferred draws wait for the tokens in escrow that the write releases.
	releases bool
	// finalReserve is set if the draw may take from the budget's final reserve.
	finalReserve bool
}

// appliedOp is a pageOp with the number of tokens that the write moves for it.
type appliedOp struct {
	op     pageOp
	tokens int64
}

// pageWrite is a conditional update of a page. While its outcome is unknown it may only be
// repeated unchanged.
type pageWrite struct {
	version int64
	number  int64
	value   *Page
	applied []appliedOp
	escrow  heldEscrow
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
	// failed is set if the last call got no response.
	failed bool
	// calledAt is when the outstanding call was made.
	calledAt time.Time
	retryAt  time.Time
	// conflicts counts consecutive conflicts; pause is the delay that the last one caused
	// before the next write.
	conflicts int
	// writers is how many holders had written the page when it was last read.
	writers      int
	conflictedAt time.Time
	pause        time.Duration
	// escrow is this holder's escrow as the page in the store has it.
	escrow heldEscrow
	// rewriteEscrow is set if the page must be written although no tokens move.
	rewriteEscrow bool
}

// drawFromStore queues a draw of at least need and, depending on demand, more.
func (a *Agent) drawFromStore(now time.Time, p *budgetState, need int64) {
	p.lookup = lookupRunning
	p.lookedAt = now
	a.reportNearEnd(p)
	want := a.targetBalance(now, p)
	if a.drawsOnlyForItself(now, p) {
		a.emit(DrawnForItself{Budget: p.id, Target: want, Starting: now.Sub(a.cfg.Started) < ownNeedPeriod})
	}
	a.queue(now, pageOp{budget: p.id, need: need, want: max(want-p.balance, need), awaited: a.nearEnd(p), finalReserve: a.inFinalReserve(p)})
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
	a.startStoreCall(now, n, ps)
}

// startStoreCall starts the next store call of a page, if one is due.
func (a *Agent) startStoreCall(now time.Time, n int, ps *pageState) {
	if ps.reading || ps.writing || len(ps.ops) == 0 && ps.write == nil {
		return
	}
	if now.Before(ps.retryAt) {
		a.failDraws(now, ps)
		return
	}
	if ps.write == nil && !a.closing && (now.Sub(ps.wroteAt) < a.writeInterval(ps) || ps.inBackoff(now)) {
		return
	}
	if !ps.have || a.needsRead(now, ps) {
		ps.reading = true
		ps.calledAt = now
		a.emit(ReadPage{Page: n})
		return
	}
	if ps.write == nil {
		a.batchDraws(now, n, ps)
		a.buildWrite(now, n, ps)
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

// writeInterval returns the minimum time between two writes of a page.
func (a *Agent) writeInterval(ps *pageState) time.Duration {
	switch {
	case !ps.urgent() && ps.releases():
		return a.cfg.ReleaseInterval
	case !ps.urgent():
		return a.cfg.PageWriteInterval
	case a.grants:
		return a.cfg.DrawInterval
	default:
		return 0
	}
}

// urgent reports whether a caller waits for a queued operation.
func (ps *pageState) urgent() bool {
	for _, op := range ps.ops {
		if op.need > 0 || op.awaited {
			return true
		}
	}
	return false
}

// releases reports whether a deferred draw waits for a queued operation.
func (ps *pageState) releases() bool {
	return slices.ContainsFunc(ps.ops, func(op pageOp) bool { return op.releases })
}

// makeUrgent turns a queued prefetch into a draw that callers wait for.
func (a *Agent) makeUrgent(now time.Time, p *budgetState) {
	ps := a.pages[p.page]
	if ps == nil {
		return
	}
	for i := range ps.ops {
		op := &ps.ops[i]
		if op.budget == p.id && op.need == 0 {
			op.need = max(p.shortfall(), 0)
			op.want = max(op.want, op.need)
		}
	}
	a.startStoreCall(now, p.page, ps)
}

// batchDraws adds draws for the page's other budgets that are below their target balance
// at their owner, so that one write serves the whole page and the number of writes does not
// grow with the number of budgets.
func (a *Agent) batchDraws(now time.Time, n int, ps *pageState) {
	if a.closing {
		return
	}
	for _, p := range a.active {
		if p.page != n || p.lookup != lookupIdle || p.scarce || p.recall.active {
			continue
		}
		target := a.targetBalance(now, p)
		if !a.isOwner(now, p.id) {
			continue
		}
		if a.cfg.Surplus > 0 && float64(p.balance) > float64(target)*(1+a.cfg.Surplus) {
			a.returnExcess(now, p, ps, p.balance-target)
			continue
		}
		want := target - p.balance
		if want <= 0 {
			continue
		}
		p.lookup = lookupRunning
		p.lookedAt = now
		ps.ops = append(ps.ops, pageOp{budget: p.id, want: want, at: now})
	}
}

// returnExcess queues a return of tokens beyond an owner's target balance.
func (a *Agent) returnExcess(now time.Time, p *budgetState, ps *pageState, tokens int64) {
	p.balance -= tokens
	ps.ops = append(ps.ops, pageOp{budget: p.id, need: -tokens, at: now})
}

// needsRead reports whether a queued draw needs a newer copy of the page: the held one is
// older than LookupInterval and has too few tokens.
func (a *Agent) needsRead(now time.Time, ps *pageState) bool {
	if ps.write != nil || now.Sub(ps.readAt) < a.cfg.LookupInterval {
		return false
	}
	for _, op := range ps.ops {
		r := ps.page.Budgets[op.budget]
		if op.need >= 0 && (r == nil || a.spendable(r, op.finalReserve) < max(op.need, op.want)) {
			return true
		}
	}
	return false
}

// buildWrite builds one conditional update for all queued operations. If none of them moves
// tokens and the escrow need not be rewritten, it builds none and the operations are
// answered without a write.
func (a *Agent) buildWrite(now time.Time, n int, ps *pageState) {
	value := ps.page.Clone()
	changed := ps.rewriteEscrow
	applied := make([]appliedOp, 0, len(ps.ops))
	for _, op := range ps.ops {
		tokens := a.tokensFor(value, op)
		if op.need >= 0 && a.needsEscrowRewrite(now, a.budgetState(op.budget)) {
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
	escrow := a.putEscrow(now, n, value)
	ps.write = &pageWrite{version: ps.version, number: a.writes, value: value, applied: applied, escrow: escrow}
	ps.ops = nil
	ps.rewriteEscrow = false
}

// tokensFor returns the tokens that an operation moves: all that is needed if it is
// available, a share of the free tokens beyond that, and whatever is left if less than
// needed is available. A return moves its negative amount.
func (a *Agent) tokensFor(page *Page, op pageOp) int64 {
	r := page.Budgets[op.budget]
	if r == nil {
		return 0
	}
	if op.need < 0 {
		return op.need
	}
	free := a.spendable(r, op.finalReserve)
	return max(min(op.need, free), min(op.want, free/freeDivisor))
}

// PageRead handles the answer to a ReadPage.
func (a *Agent) PageRead(now time.Time, n int, version int64, page *Page, result StoreResult) []Effect {
	ps := a.pages[n]
	ps.reading = false
	ps.failed = false
	switch result {
	case Done:
		if page.Fenced[a.cfg.Self.Incarnation] {
			a.emit(HolderFenced{})
			return a.takeEffects()
		}
		ps.page, ps.version, ps.have, ps.readAt = page, version, true, now
		ps.writers = len(page.Ops)
		a.applyLimits(n, ps)
		a.reclaimEscrows(ps)
		a.resolveLostWrite(now, ps)
		a.returnOverissued(now, n, ps)
	case Missing:
		ps.page, ps.version, ps.have, ps.readAt = NewPage(), 0, true, now
		a.applyLimits(n, ps)
	default:
		a.storeFailed(now, ps)
		return a.takeEffects()
	}
	a.startStoreCall(now, n, ps)
	return a.takeEffects()
}

// resolveLostWrite determines the outcome of a write whose answer was lost, by the
// operation number in the page. If the version has not changed, the same write is repeated
// unchanged: if the first one arrives late, the second fails instead of counting twice.
func (a *Agent) resolveLostWrite(now time.Time, ps *pageState) {
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

// requeue puts the operations of a write that had no effect back into the queue.
func (a *Agent) requeue(ps *pageState) {
	ops := make([]pageOp, 0, len(ps.write.applied)+len(ps.ops))
	for _, ap := range ps.write.applied {
		ops = append(ops, ap.op)
	}
	ps.ops = append(ops, ps.ops...)
	ps.write = nil
}

// PageWritten handles the answer to a WritePage. With a Conflict, current is the page at
// that version, or nil if the store did not return it.
func (a *Agent) PageWritten(now time.Time, n int, version int64, result StoreResult, current *Page) []Effect {
	ps := a.pages[n]
	ps.writing = false
	ps.failed = result == ResultUnknown
	switch result {
	case Done:
		ps.conflicts, ps.pause = 0, 0
		ps.page, ps.version, ps.readAt = ps.write.value, version, now
		a.applyLimits(n, ps)
		a.finishWrite(now, ps)
		a.returnOverissued(now, n, ps)
	case Conflict:
		ps.have = false
		ps.wroteAt = time.Time{} // nothing was written, so the retry need not wait
		a.backOff(now, ps)
		if !ps.write.lost {
			a.requeue(ps)
		}
		if current != nil {
			return a.PageRead(now, n, version, current, Done)
		}
	case ResultUnknown:
		ps.have = false
		ps.write.lost = true
	default:
		if !ps.write.lost {
			a.requeue(ps)
		}
		ps.have = false
		a.storeFailed(now, ps)
		return a.takeEffects()
	}
	a.startStoreCall(now, n, ps)
	return a.takeEffects()
}

// unqueueReturns moves tokens that are queued for return to the store back to the balance.
func (a *Agent) unqueueReturns(p *budgetState) {
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

// finishWrite credits the tokens drawn by a write that took effect.
func (a *Agent) finishWrite(now time.Time, ps *pageState) {
	applied := ps.write.applied
	ps.escrow = ps.write.escrow
	ps.write = nil
	a.finishOps(now, ps, applied)
}

// finishOps completes draws with the tokens they got; without a write, no queued operation
// got any.
func (a *Agent) finishOps(now time.Time, ps *pageState, applied []appliedOp) {
	if applied == nil {
		for _, op := range ps.ops {
			applied = append(applied, appliedOp{op: op})
		}
		ps.ops = nil
	}
	for _, ap := range applied {
		if ap.op.need >= 0 {
			a.finishDraw(now, ps, ap)
		}
	}
}

func (a *Agent) finishDraw(now time.Time, ps *pageState, ap appliedOp) {
	p := a.budgetState(ap.op.budget)
	r := ps.page.Budgets[p.id]
	p.balance += ap.tokens
	p.unknown = r == nil
	p.lookup = lookupIdle
	if ap.tokens < ap.op.need {
		p.lookup = lookupShort
		p.shortAt = now
	}
	p.scarce = r == nil || r.Free() < p.expectedDemand(now, a.cfg.scarceHorizon())
	a.advance(now, p)
}

// storeFailed fails the waiting draws of a page when the store is unavailable; returns
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

// failDraw ends the search that waits for a draw. A draw in a lost write may still be
// credited later.
func (a *Agent) failDraw(now time.Time, op pageOp) {
	p := a.budgetState(op.budget)
	if op.need < 0 || p.lookup != lookupRunning {
		return
	}
	p.lookup = lookupFailed
	a.advance(now, p)
}
