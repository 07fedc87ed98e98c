package policy

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// balances contains the token balances of each router by budget, in the baselines.
type balances []map[string]int64

func newBalances(routers int) balances {
	h := make(balances, routers)
	for i := range h {
		h[i] = map[string]int64{}
	}
	return h
}

// locate sums the balances of a budget by location.
func (h balances) locate(w *simulation, id string, store, lost int64) Location {
	p := Location{Store: store, Dead: lost}
	for i, m := range h {
		if w.killed[i] || w.frozen[i] {
			p.Dead += m[id]
		} else {
			p.Routers += m[id]
		}
	}
	return p
}

// writeOff adds the balances of a killed router to the lost tokens.
func (h balances) writeOff(router int, lost map[string]int64) {
	for id, n := range h[router] {
		lost[id] += n
	}
	h[router] = map[string]int64{}
}

// noFaults implements the fault notifications of Allocator that the baselines ignore.
type noFaults struct{}

func (noFaults) Started(int) {}
func (noFaults) Frozen(int)  {}
func (noFaults) Resumed(int) {}

// static gives every router an equal share of each budget at the start.
type static struct {
	noFaults
	w    *simulation
	held balances
	lost map[string]int64
}

// Static returns an allocator with equal static shares.
func Static(w *simulation) Allocator {
	s := &static{w: w, held: newBalances(w.scenario.Routers), lost: map[string]int64{}}
	for i, limit := range w.scenario.limits() {
		s.distribute(budgetName(i), limit)
	}
	return s
}

func (s *static) distribute(id string, tokens int64) {
	n := int64(len(s.held))
	for i := range s.held {
		s.held[i][id] += tokens / n
	}
	s.held[0][id] += tokens % n
}

// Reserve implements Allocator.
func (s *static) Reserve(router int, id string, need int64, done func(bool)) {
	ok := s.held[router][id] >= need
	if ok {
		s.held[router][id] -= need
	}
	done(ok)
}

// Settle implements Allocator.
func (s *static) Settle(router int, id string, reserved, actual int64) {
	s.held[router][id] += reserved - actual
}

// Killed implements Allocator.
func (s *static) Killed(router int) { s.held.writeOff(router, s.lost) }

// ToppedUp implements Allocator.
func (s *static) ToppedUp(id string, tokens int64) { s.distribute(id, tokens) }

// Locate implements Allocator.
func (s *static) Locate(id string) Location { return s.held.locate(s.w, id, 0, s.lost[id]) }

// storeBalances is the store of the baselines that draw tokens on demand.
type storeBalances struct {
	w    *simulation
	free map[string]int64
}

func newStoreBalances(w *simulation) *storeBalances {
	b := &storeBalances{w: w, free: map[string]int64{}}
	for i, limit := range w.scenario.limits() {
		b.free[budgetName(i)] = limit
	}
	return b
}

// draw takes at least need and, if that is more, up to want tokens in one store write,
// and passes their number to done. It passes 0 if the store is down or has fewer than need.
func (b *storeBalances) draw(id string, need, want int64, done func(tokens int64)) {
	b.w.counts.Writes++
	b.w.After(b.w.scenario.StoreDelay, func() {
		if b.w.storeDown || b.free[id] < need {
			done(0)
			return
		}
		tokens := max(need, min(want, b.free[id]))
		b.free[id] -= tokens
		done(tokens)
	})
}

// grantTokens is the number of tokens in a fixed-size grant.
const grantTokens = 4000

// fixed has each router draw fixed-size grants from the store.
type fixed struct {
	noFaults
	*storeBalances
	held balances
	lost map[string]int64
}

// Fixed returns an allocator with fixed-size grants.
func Fixed(w *simulation) Allocator {
	return &fixed{storeBalances: newStoreBalances(w), held: newBalances(w.scenario.Routers), lost: map[string]int64{}}
}

// Reserve implements Allocator.
func (f *fixed) Reserve(router int, id string, need int64, done func(bool)) {
	if f.take(router, id, need) {
		done(true)
		return
	}
	f.draw(id, need, grantTokens, func(tokens int64) {
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

// Settle implements Allocator.
func (f *fixed) Settle(router int, id string, reserved, actual int64) {
	f.held[router][id] += reserved - actual
}

// Killed implements Allocator.
func (f *fixed) Killed(router int) { f.held.writeOff(router, f.lost) }

// ToppedUp implements Allocator.
func (f *fixed) ToppedUp(id string, tokens int64) { f.free[id] += tokens }

// Locate implements Allocator.
func (f *fixed) Locate(id string) Location { return f.held.locate(f.w, id, f.free[id], f.lost[id]) }

const (
	// ownerMessageBytes is the size of a message to or from an owner, in bytes.
	ownerMessageBytes = 90
	// ownerGrants is the number of fixed-size grants that an owner draws at once.
	ownerGrants = 4
	// emptyRetryDelay is the delay before an owner draws again after the store had too few tokens.
	emptyRetryDelay = 100 * time.Millisecond
)

// owner assigns each budget to one router. Every reservation and settlement is a
// message to that router.
type owner struct {
	fixed
	emptySince map[string]time.Time
}

// Owner returns an allocator with one owner for each budget.
func Owner(w *simulation) Allocator {
	return &owner{
		fixed:      fixed{storeBalances: newStoreBalances(w), held: newBalances(w.scenario.Routers), lost: map[string]int64{}},
		emptySince: map[string]time.Time{},
	}
}

// ownerOf returns the first router in the budget's order that the given router can reach.
func (h *owner) ownerOf(router int, id string) int {
	n := h.w.scenario.Routers
	first := int(xxhash.Sum64String(id) % uint64(n))
	for k := range n {
		candidate := (first + k) % n
		if !h.w.killed[candidate] && !h.w.frozen[candidate] && h.w.reaches(router, candidate) {
			return candidate
		}
	}
	return router
}

// Reserve implements Allocator.
func (h *owner) Reserve(router int, id string, need int64, done func(bool)) {
	at := h.ownerOf(router, id)
	h.message(router, at)
	h.w.After(h.w.delay(router, at), func() {
		h.decide(at, id, need, func(ok bool) {
			h.message(at, router)
			h.w.After(h.w.delay(at, router), func() { done(ok) })
		})
	})
}

func (h *owner) message(from, to int) {
	if from == to {
		return
	}
	h.w.counts.Messages++
	h.w.counts.Bytes += ownerMessageBytes
}

func (h *owner) decide(at int, id string, need int64, done func(bool)) {
	if h.take(at, id, need) {
		done(true)
		return
	}
	if h.w.Now.Sub(h.emptySince[id]) < emptyRetryDelay {
		done(false)
		return
	}
	h.draw(id, need, ownerGrants*grantTokens, func(tokens int64) {
		if tokens == 0 {
			h.emptySince[id] = h.w.Now
		}
		h.held[at][id] += tokens
		done(h.take(at, id, need))
	})
}

// Settle implements Allocator.
func (h *owner) Settle(router int, id string, reserved, actual int64) {
	at := h.ownerOf(router, id)
	h.message(router, at)
	h.w.After(h.w.delay(router, at), func() { h.held[at][id] += reserved - actual })
}
