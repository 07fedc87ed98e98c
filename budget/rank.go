package budget

import (
	"slices"
	"time"
)

// This file decides which requests get the tokens while more cannot come, or while a budget is
// nearly used up: those of a less urgent rank leave what the more urgent ranks are expected to need.

const (
	// maxRanks is the number of ranks that are distinguished; less urgent ones share the last.
	maxRanks = 8
	// rankShift is the position of the rank in a reservation's number, which fits three bits.
	rankShift = 61
	// defaultOutage is the assumed length of an outage of the store if none was met: outages of
	// 5 to 9 s were seen on simulated days.
	defaultOutage = 9 * time.Second
	// minOutage is the shortest outage whose length is remembered; a lost call or two is no
	// outage.
	minOutage = time.Second
	// maxOutage bounds the remembered length: what is kept for more urgent requests grows with
	// it.
	maxOutage = 30 * time.Second
	// lastShareDivisor defines the last share of a budget, a thirtieth, in which less urgent
	// requests leave what the more urgent ones need within lastShareHorizon.
	lastShareDivisor = 30
	lastShareHorizon = 10 * time.Second
	// lastShareMaxAge is the age up to which the copy of the page is evidence that only the last
	// share is left. With an older one a request does not yield, so that its draw reads the page.
	lastShareMaxAge = 5 * time.Second
)

// outages records how long the store did not answer.
type outages struct {
	since   time.Time // start of the current outage; zero: there is none
	longest time.Duration
}

// track updates the record.
func (o *outages) track(now time.Time, lost bool) {
	switch {
	case lost && o.since.IsZero():
		o.since = now
	case !lost && !o.since.IsZero():
		if length := now.Sub(o.since); length >= minOutage {
			o.longest = min(max(o.longest, length), maxOutage)
		}
		o.since = time.Time{}
	}
}

// expected returns how long an outage is expected to last.
func (o *outages) expected(now time.Time) time.Duration {
	d := o.longest
	if d == 0 {
		d = defaultOutage
	}
	if !o.since.IsZero() {
		d = max(d, min(now.Sub(o.since), maxOutage))
	}
	return d
}

// trackOutage records whether the store answers.
func (a *Agent) trackOutage(now time.Time) {
	if a.cfg.ByRank && a.cfg.StoreLost != nil {
		a.outages.track(now, a.cfg.StoreLost())
	}
}

// recordRank records that a request of a rank asked for tokens.
func (a *Agent) recordRank(now time.Time, p *budgetState, rank int, tokens int64) {
	if !a.cfg.ByRank {
		return
	}
	for len(p.ranks) <= rank {
		p.ranks = append(p.ranks, rankDemand{rate: rate{window: a.cfg.RateWindow}})
	}
	p.ranks[rank].record(now, tokens)
}

// rankDemand is the demand of the requests of a rank.
type rankDemand struct {
	rate
	meanNeed float64 // mean tokens per request, exponentially weighted by count
}

func (d *rankDemand) record(now time.Time, need int64) {
	if d.meanNeed == 0 {
		d.meanNeed = float64(need)
	}
	d.meanNeed += (float64(need) - d.meanNeed) / needWindow
	d.add(now, need)
}

// boundedRank returns the rank by which a request is treated.
func boundedRank(rank int) int { return min(max(rank, 0), maxRanks-1) }

// rankedToken returns the number of a reservation with its rank in the top bits. So an owner learns the
// rank from a draw without a further field: messages are encoded as arrays, and a router of an earlier
// version could not decode one that is longer.
func rankedToken(number uint64, rank int) uint64 { return number | uint64(rank)<<rankShift }

// rankOf returns the rank in a reservation's number.
func rankOf(token uint64) int { return int(token >> rankShift) }

// urgentShare returns the share of the demand that is of more urgent ranks with requests whose mean size is
// need at most. A request does not yield to larger ones: it would be refused for a part of one of
// them.
func (p *budgetState) urgentShare(now time.Time, rank int, need int64) float64 {
	var urgent, all float64
	for r := range p.ranks {
		d := p.ranks[r].decayed(now)
		all += d
		if r < rank && p.ranks[r].meanNeed <= float64(need) {
			urgent += d
		}
	}
	if urgent == 0 {
		return 0
	}
	return urgent / all
}

// urgentWaiting returns the tokens that waiting requests of more urgent ranks ask for that need no more
// than need each.
func (p *budgetState) urgentWaiting(rank int, need int64) (tokens int64) {
	for _, w := range p.waiters {
		if w.rank < rank && w.need <= need {
			tokens += w.need
		}
	}
	for _, d := range p.draws {
		if d.rank < rank && d.need <= need {
			tokens += d.need
		}
	}
	return tokens
}

// mustYield reports whether a request must leave the tokens to more urgent ranks, and the cause of its
// refusal.
func (a *Agent) mustYield(now time.Time, p *budgetState, need int64, rank int) (Cause, bool) {
	if !a.cfg.ByRank || rank == 0 {
		return "", false
	}
	share := p.urgentShare(now, rank, need)
	if share == 0 {
		return "", false
	}
	expected := func(d time.Duration) int64 {
		return int64(share*float64(p.expectedDemand(now, d))) + p.urgentWaiting(rank, need)
	}
	if a.cutOff(now, p) {
		d := a.outages.expected(now)
		soon := min(d, a.cfg.UsableHorizon)
		return Unreachable, a.usableAt(now, p, d)-need < expected(d) || p.usable()-need < expected(soon)
	}
	if a.inLastShare(now, p) {
		return Exhausted, a.obtainable(now, p)-need < expected(lastShareHorizon)
	}
	return "", false
}

// cutOff reports whether no more tokens can be obtained: neither from the store nor from the owner.
func (a *Agent) cutOff(now time.Time, p *budgetState) bool {
	return a.storeUnavailable(p) && (a.isOwner(now, p.id) || a.ownerUnreachable(now, p))
}

// usableAt returns the tokens that will be usable after d if none are used or obtained before: escrow
// is released meanwhile.
func (a *Agent) usableAt(now time.Time, p *budgetState, d time.Duration) int64 {
	return p.balance - min(a.leftInPage(now.Add(d), p), p.escrow)
}

// inLastShare reports whether, by a recent copy of the page, only the last share of a budget that this
// router owns is left. The page of a former owner tells nothing about what the owner has.
func (a *Agent) inLastShare(now time.Time, p *budgetState) bool {
	r := a.record(p)
	if r == nil || r.Free() > r.Limit/lastShareDivisor {
		return false
	}
	return now.Sub(a.pages[p.page].readAt) <= lastShareMaxAge && a.isOwner(now, p.id)
}

// obtainable returns the tokens held and this router's part of the free tokens in the store.
func (a *Agent) obtainable(now time.Time, p *budgetState) int64 {
	free := float64(a.spendable(a.record(p), a.inFinalReserve(p)))
	if a.cfg.Routers != nil && a.cfg.Routers() > 1 {
		if own, fleet := a.demands(now, p); fleet > 0 {
			free *= own / fleet
		}
	}
	return p.balance + int64(free)
}

// refuseYielding refuses the waiting requests and draws that must leave the tokens to more urgent ranks,
// and orders the others by rank while that applies.
func (a *Agent) refuseYielding(now time.Time, p *budgetState) {
	if len(p.ranks) < 2 || !p.waiting() || !a.cutOff(now, p) && !a.inLastShare(now, p) {
		return
	}
	slices.SortStableFunc(p.waiters, func(x, y waiter) int { return x.rank - y.rank })
	slices.SortStableFunc(p.draws, func(x, y draw) int { return x.rank - y.rank })
	var waiters []waiter
	for _, w := range p.waiters {
		cause, yields := a.mustYield(now, p, w.need, w.rank)
		if !yields {
			waiters = append(waiters, w)
			continue
		}
		a.emit(Resolve{Token: w.token, Cause: cause})
		a.emitRefusedByRank(p, w.need, w.rank, cause)
	}
	var draws []draw
	for _, d := range p.draws {
		cause, yields := a.mustYield(now, p, d.need, d.rank)
		if !yields {
			draws = append(draws, d)
			continue
		}
		a.refuseDrawByRank(now, p, d, cause)
	}
	p.waiters, p.draws = waiters, draws
}

// refuseDrawByRank refuses a peer's draw that must leave the tokens to more urgent requests. Unlike
// other refusals it does not ask the peer for its tokens.
func (a *Agent) refuseDrawByRank(now time.Time, p *budgetState, d draw, cause Cause) {
	a.emitRefusedByRank(p, d.need, d.rank, cause)
	m := a.move(now, p, Grant, d.peer, 0)
	m.Token = d.token
	m.Refused = cause
	a.emit(Send{m})
}

func (a *Agent) emitRefusedByRank(p *budgetState, need int64, rank int, cause Cause) {
	a.emit(RefusedByRank{Budget: p.id, Need: need, Rank: rank, Usable: p.usable(), Cause: cause})
}
