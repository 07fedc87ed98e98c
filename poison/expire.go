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
	// (TestMemoryIsBounded). The oldest crashes, and the requests with the least evidence,
	// are dropped first.
	maxCrashes = 512
	// maxPartCrashes is the number of latest crashes of which the parts of prompts are kept.
	maxPartCrashes = 64
	maxRequests    = 4096
)

// Expire drops crashes and verdicts past their retention.
func (t *Table) Expire(now time.Time) {
	for len(t.crashOrder) > 0 && now.Sub(t.crashes[t.crashOrder[0]].at) > crashRetention {
		t.dropOldestCrash(t.crashOrder[0])
	}
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

// trimCrashes drops the oldest crashes, and the parts of those before the latest maxPartCrashes.
func (t *Table) trimCrashes() {
	if excess := len(t.crashOrder) - maxPartCrashes; excess > 0 {
		t.dropParts(t.crashOrder[excess-1])
	}
	for len(t.crashOrder) > maxCrashes {
		t.dropOldestCrash(t.crashOrder[0])
	}
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

// dropOldestCrash drops a crash, which must be the oldest.
func (t *Table) dropOldestCrash(in placement.Incarnation) {
	for f := range t.crashes[in].suspects {
		t.forgetCrash(in, f)
	}
	delete(t.crashes, in)
	t.crashOrder = t.crashOrder[1:]
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
