package policy

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// held is what routers hold of budgets in the baselines.
type held []map[string]int64

func newHeld(routers int) held {
	h := make(held, routers)
	for i := range h {
		h[i] = map[string]int64{}
	}
	return h
}

// where sums a budget's balances.
func (h held) where(w *world, id string, store, lost int64) Place {
	p := Place{Store: store, Dead: lost}
	for i, m := range h {
		if w.killed[i] || w.frozen[i] {
			p.Dead += m[id]
		} else {
			p.Routers += m[id]
		}
	}
	return p
}

// lose counts a killed router's balances as lost.
func (h held) lose(router int, lost map[string]int64) {
	for id, n := range h[router] {
		lost[id] += n
	}
	h[router] = map[string]int64{}
}

// noFaults are the parts of Sharer that a baseline has no use for.
type noFaults struct{}

func (noFaults) Started(int) {}
func (noFaults) Frozen(int)  {}
func (noFaults) Woken(int)   {}

// static gives every router an equal share of each budget, once.
type static struct {
	noFaults
	w    *world
	held held
	lost map[string]int64
}

// Static returns the policy of equal static shares.
func Static(w *world) Sharer {
	s := &static{w: w, held: newHeld(w.spec.Routers), lost: map[string]int64{}}
	for i, limit := range w.spec.limits() {
		s.split(budgetName(i), limit)
	}
	return s
}

func (s *static) split(id string, tokens int64) {
	n := int64(len(s.held))
	for i := range s.held {
		s.held[i][id] += tokens / n
	}
	s.held[0][id] += tokens % n
}

// Reserve implements Sharer.
func (s *static) Reserve(router int, id string, need int64, done func(bool)) {
	ok := s.held[router][id] >= need
	if ok {
		s.held[router][id] -= need
	}
	done(ok)
}

// Settle implements Sharer.
func (s *static) Settle(router int, id string, reserved, actual int64) {
	s.held[router][id] += reserved - actual
}

// Killed implements Sharer.
func (s *static) Killed(router int) { s.held.lose(router, s.lost) }

// ToppedUp implements Sharer.
func (s *static) ToppedUp(id string, tokens int64) { s.split(id, tokens) }

// Where implements Sharer.
func (s *static) Where(id string) Place { return s.held.where(s.w, id, 0, s.lost[id]) }

// bank is the store of the baselines that draw from it.
type bank struct {
	w    *world
	free map[string]int64
}

func newBank(w *world) *bank {
	b := &bank{w: w, free: map[string]int64{}}
	for i, limit := range w.spec.limits() {
		b.free[budgetName(i)] = limit
	}
	return b
}

// draw takes at least need and at most want tokens, in one write.
func (b *bank) draw(id string, need, want int64, done func(tokens int64)) {
	b.w.counts.Writes++
	b.w.After(b.w.spec.StoreDelay, func() {
		if b.w.down || b.free[id] < need {
			done(0)
			return
		}
		tokens := max(need, min(want, b.free[id]))
		b.free[id] -= tokens
		done(tokens)
	})
}

// grantSize is the size of fixed grants, in tokens.
const grantSize = 4000

// fixed lets every router draw grants of a fixed size from the store.
type fixed struct {
	noFaults
	*bank
	held held
	lost map[string]int64
}

// Fixed returns the policy of fixed-size grants.
func Fixed(w *world) Sharer {
	return &fixed{bank: newBank(w), held: newHeld(w.spec.Routers), lost: map[string]int64{}}
}

// Reserve implements Sharer.
func (f *fixed) Reserve(router int, id string, need int64, done func(bool)) {
	if f.take(router, id, need) {
		done(true)
		return
	}
	f.draw(id, need, grantSize, func(tokens int64) {
		if f.w.killed[router] {
			f.lost[id] += tokens
			return
		}
		f.held[router][id] += tokens
		done(f.take(router, id, need))
	})
}

func (f *fixed) take(router int, id string, need int64) bool {
	if f.held[router][id] < need {
		return false
	}
	f.held[router][id] -= need
	return true
}

// Settle implements Sharer.
func (f *fixed) Settle(router int, id string, reserved, actual int64) {
	f.held[router][id] += reserved - actual
}

// Killed implements Sharer.
func (f *fixed) Killed(router int) { f.held.lose(router, f.lost) }

// ToppedUp implements Sharer.
func (f *fixed) ToppedUp(id string, tokens int64) { f.free[id] += tokens }

// Where implements Sharer.
func (f *fixed) Where(id string) Place { return f.held.where(f.w, id, f.free[id], f.lost[id]) }

const (
	// homeMessage is the size of a message to or from a home, in bytes.
	homeMessage = 90
	// homeGrants is how many fixed grants a home draws at once.
	homeGrants = 4
	shortPause = 100 * time.Millisecond
)

// home lets one router decide over each budget; every reservation and every
// settlement is a message to it.
type home struct {
	fixed
	shortAt map[string]time.Time
}

// Home returns the policy of one home router for each budget.
func Home(w *world) Sharer {
	return &home{
		fixed:   fixed{bank: newBank(w), held: newHeld(w.spec.Routers), lost: map[string]int64{}},
		shortAt: map[string]time.Time{},
	}
}

// homeOf returns the first reachable router in the budget's order.
func (h *home) homeOf(router int, id string) int {
	n := h.w.spec.Routers
	first := int(xxhash.Sum64String(id) % uint64(n))
	for k := range n {
		candidate := (first + k) % n
		if !h.w.killed[candidate] && !h.w.frozen[candidate] && h.w.reaches(router, candidate) {
			return candidate
		}
	}
	return router
}

// Reserve implements Sharer.
func (h *home) Reserve(router int, id string, need int64, done func(bool)) {
	at := h.homeOf(router, id)
	h.message(router, at)
	h.w.After(h.w.delay(router, at), func() {
		h.decide(at, id, need, func(ok bool) {
			h.message(at, router)
			h.w.After(h.w.delay(at, router), func() { done(ok) })
		})
	})
}

func (h *home) message(from, to int) {
	if from == to {
		return
	}
	h.w.counts.Messages++
	h.w.counts.Bytes += homeMessage
}

func (h *home) decide(at int, id string, need int64, done func(bool)) {
	if h.take(at, id, need) {
		done(true)
		return
	}
	if h.w.Now.Sub(h.shortAt[id]) < shortPause {
		done(false)
		return
	}
	h.draw(id, need, homeGrants*grantSize, func(tokens int64) {
		if tokens == 0 {
			h.shortAt[id] = h.w.Now
		}
		h.held[at][id] += tokens
		done(h.take(at, id, need))
	})
}

// Settle implements Sharer.
func (h *home) Settle(router int, id string, reserved, actual int64) {
	at := h.homeOf(router, id)
	h.message(router, at)
	h.w.After(h.w.delay(router, at), func() { h.held[at][id] += reserved - actual })
}
