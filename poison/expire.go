package poison

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/gaplink/gaplink/placement"
)

const (
	// crashRetention is how long the crash of a process is kept. A caller that repeats a
	// poison request less often than this crashes a server each time; more often, three at
	// most.
	crashRetention = time.Hour
	// verdictRetention is how long an expired verdict is kept, so that the next one needs one
	// crash instead of three.
	verdictRetention = 24 * time.Hour
	// maxCrashes and maxRequests bound the memory: with 64 requests per crash, 2 MB
	// (TestMemoryIsBounded). What says least goes first: crashes all of whose requests were
	// cleared or are at no other crash, and requests with the least evidence.
	maxCrashes  = 512
	maxRequests = 4096
	// maxPartEntries bounds the parts of prompts on record, summed over the crashes. Those of the crashes that say least
	// are dropped first.
	maxPartEntries = 64 * maxCrashParts
	// maxCrashWeight bounds the weight of a crash when room is made: what was at that many crashes
	// has a verdict, or has none for another reason than a lack of crashes.
	maxCrashWeight = 8
	// unsettledAge is the time for which a crash is kept because late reports of it may come.
	unsettledAge = 2 * time.Second
	// unsettledWeight is the least weight of such a crash.
	unsettledWeight = 2
)

// Expire drops crashes and verdicts past their retention.
func (t *Table) Expire(now time.Time) {
	t.dropCrashes(func(in placement.Incarnation) bool { return now.Sub(t.crashes[in].at) > crashRetention })
	for f, r := range t.requests {
		if len(r.crashes) == 0 && now.Sub(r.last) > verdictRetention && !r.quarantined(now) {
			delete(t.requests, f)
		}
	}
}

// dropIfEmpty drops the record of a request without crashes or verdicts.
func (t *Table) dropIfEmpty(f Fingerprint) {
	if r := t.requests[f]; len(r.crashes) == 0 && r.number == 0 {
		delete(t.requests, f)
	}
}

// trimCrashes makes room if there are too many crashes, or parts of prompts at them.
func (t *Table) trimCrashes(now time.Time) {
	if len(t.crashOrder) > maxCrashes {
		drop := map[placement.Incarnation]bool{}
		for _, in := range t.byWeight(now)[:len(t.crashOrder)/8] {
			drop[in] = true
		}
		t.dropCrashes(func(in placement.Incarnation) bool { return drop[in] })
	}
	if t.partEntries <= maxPartEntries {
		return
	}
	for _, in := range t.byWeight(now) {
		if t.partEntries <= maxPartEntries*7/8 {
			return
		}
		t.dropParts(in)
	}
}

// byWeight returns the crashes ordered by what they say, those that say least first, and the oldest of these first.
func (t *Table) byWeight(now time.Time) []placement.Incarnation {
	weights := make(map[placement.Incarnation]int, len(t.crashOrder))
	for _, in := range t.crashOrder {
		weights[in] = t.weightOf(now, in)
	}
	ordered := slices.Clone(t.crashOrder)
	slices.SortStableFunc(ordered, func(a, b placement.Incarnation) int {
		return cmp.Or(cmp.Compare(weights[a], weights[b]), t.crashes[a].at.Compare(t.crashes[b].at))
	})
	return ordered
}

// weightOf returns what a crash says: the largest number of crashes of one of its suspects. A suspect counts for nothing
// while it is quarantined, and for little if it had crashed another server just before.
func (t *Table) weightOf(now time.Time, in placement.Incarnation) (weight int) {
	e := t.crashes[in]
	if now.Sub(e.at) < unsettledAge {
		weight = unsettledWeight
	}
	for f, present := range e.suspects {
		if r := t.requests[f]; present && r != nil && !r.quarantined(now) {
			weight = max(weight, t.weightFor(r, in))
		}
	}
	return weight
}

// weightFor returns what a crash says of one suspect.
func (t *Table) weightFor(r *record, in placement.Incarnation) int {
	n := slices.Index(r.crashes, in)
	if n > 0 && r.scope != ScopeRequest && t.crashes[in].at.Sub(t.crashes[r.crashes[n-1]].at).Abs() < minSuccessWindow {
		return 1
	}
	return min(r.total, maxCrashWeight)
}

// dropParts drops the parts of the prompts of the requests that ran at a crash.
func (t *Table) dropParts(in placement.Incarnation) {
	e := t.crashes[in]
	if len(e.parts.list) > 0 {
		t.forgotten++
	}
	for _, p := range e.parts.list {
		t.forgetCrash(in, p.Own)
		t.forgetCrash(in, p.Shared)
		delete(e.suspects, p.Own)
		delete(e.suspects, p.Shared)
	}
	t.partEntries -= len(e.parts.list)
	e.parts = crashParts{}
}

// forgetCrash removes a crash from the record of a request or part.
func (t *Table) forgetCrash(in placement.Incarnation, f Fingerprint) {
	r := t.requests[f]
	if r == nil {
		return
	}
	r.crashes = slices.DeleteFunc(r.crashes, func(other placement.Incarnation) bool { return other == in })
	r.crashesAtVerdict = min(r.crashesAtVerdict, len(r.crashes))
	t.dropIfEmpty(f)
}

// dropCrashes drops the crashes that a function selects.
func (t *Table) dropCrashes(selected func(placement.Incarnation) bool) {
	t.crashOrder = slices.DeleteFunc(t.crashOrder, func(in placement.Incarnation) bool {
		if !selected(in) {
			return false
		}
		for f := range t.crashes[in].suspects {
			t.forgetCrash(in, f)
		}
		t.partEntries -= len(t.crashes[in].parts.list)
		delete(t.crashes, in)
		return true
	})
}

// evictRequests makes room for new requests. It evicts an eighth of them at once, so that they
// are not sorted at each insertion: first those without a verdict, then those with fewer
// crashes, then those whose record changed longest ago.
func (t *Table) evictRequests() {
	all := slices.Collect(maps.Keys(t.requests))
	slices.SortFunc(all, func(a, b Fingerprint) int { return compareEvictionOrder(t.requests[a], t.requests[b]) })
	for _, f := range all[:len(all)/8] {
		for _, in := range t.requests[f].crashes {
			delete(t.crashes[in].suspects, f)
		}
		delete(t.requests, f)
	}
}

// compareEvictionOrder orders records by their priority, the first to be evicted first.
func compareEvictionOrder(a, b *record) int {
	if a.hasVerdict() != b.hasVerdict() {
		if a.hasVerdict() {
			return 1
		}
		return -1
	}
	return cmp.Or(cmp.Compare(len(a.crashes), len(b.crashes)), a.last.Compare(b.last))
}
