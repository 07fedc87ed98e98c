package poison

import (
	"slices"
	"time"

	"github.com/gaplink/gaplink/placement"
)

const (
	// SettleTime is the time after a crash in which all routers report the requests that ran there.
	SettleTime = 300 * time.Millisecond
	// reconsiderTime is how long after its last crash a part is evaluated again and again.
	reconsiderTime = 3 * time.Second
	// downWindow is the time in which further crashes of one server may be requests that came to it while
	// it was down, if it does not report when its process started.
	downWindow = 10 * time.Second
	// minSharedCrashes is the number of crashes that quarantines a part for all accounts, and
	// minOtherCrashes how many of them must be of other accounts than the one with the most: none can
	// have the requests of others refused by its own.
	minSharedCrashes = 5
	minOtherCrashes  = 2
)

// Settle evaluates the parts of prompts that were at crashes which all routers have reported by now: the request
// that explains a crash may be known to another router than those that merely ran there. pending is set if
// it must be called again after SettleTime.
func (t *Table) Settle(now time.Time) (verdicts []Verdict, pending bool) {
	for f := range t.unsettled {
		r := t.requests[f]
		if r == nil || len(r.crashes) == 0 {
			delete(t.unsettled, f)
			continue
		}
		if v, ok := t.evaluateOne(now, f, r); ok {
			verdicts = append(verdicts, v)
		}
		if now.Sub(t.crashes[r.crashes[len(r.crashes)-1]].at) >= SettleTime && !t.mayStandOut(now, r) {
			delete(t.unsettled, f)
		}
	}
	return verdicts, len(t.unsettled) > 0
}

// mayStandOut reports whether a part may come to stand out without a further crash, as other requests succeed.
func (t *Table) mayStandOut(now time.Time, r *record) bool {
	return !r.hasVerdict() && r.total >= minCrashes && now.Sub(r.last) < reconsiderTime
}

// settled returns the crashes of a part that all routers have reported.
func (t *Table) settled(now time.Time, r *record) []placement.Incarnation {
	n := len(r.crashes)
	for n > 0 && now.Sub(t.crashes[r.crashes[n-1]].at) < SettleTime {
		n--
	}
	return r.crashes[:n]
}

// shouldQuarantinePart reports whether the crashes at which requests with a part ran justify a verdict. The
// part has had no successful run since: that would have cleared it.
func (t *Table) shouldQuarantinePart(now time.Time, f Fingerprint, r *record) bool {
	crashes, needed := t.settled(now, r), neededFor(r.scope)
	switch {
	case r.hasVerdict():
		return t.partEvidence(now, f, r, r.crashes[min(r.crashesAtVerdict, len(r.crashes)):], 0.5).Weight > 0
	case float64(len(crashes)) < needed || r.scope == ScopeSharedPart && !t.concernsAccounts(f, crashes):
		return false
	default:
		return !t.isOneRequest(f, crashes) && t.partEvidence(now, f, r, crashes, needed).Weight >= needed
	}
}

// Evidence is what the crashes at which requests with a part ran say against it.
type Evidence struct {
	// Weight is the sum of what the crashes count, and Needed the weight of a verdict.
	Weight, Needed float64
	// Crashes are those on record. Of the ones that do not count, Repeated met no further request, Down were of a server
	// that had crashed just before, Close came too soon after the last one that counts, and Explained have another cause.
	Crashes, Repeated, Down, Close, Explained int
	// Contrast is how clearly the part stands out from other requests of the service, and Coverage its share of the
	// service's crashes.
	Contrast, Coverage float64
}

// partEvidence weighs the crashes that speak against a part. Each
// counts that nothing else explains better and at which a request with the part ran that had met none of those
// counted before; half, if that request is a suspect of its own. One of a server that had crashed just before does
// not count unless the server is known to have started again. Those within a window count as one: a
// common part is at all crashes of a wave, and time must pass in which one of its requests could succeed.
func (t *Table) partEvidence(now time.Time, f Fingerprint, r *record, crashes []placement.Incarnation, enough float64) Evidence {
	found := Evidence{Needed: enough}
	var counted []weighedCrash
	seen, servers := map[Fingerprint]bool{}, map[string]time.Time{}
	for _, in := range crashes {
		e := t.crashes[in]
		found.Crashes++
		fresh, most := false, 0
		e.parts.with(f, func(request Fingerprint) {
			fresh = fresh || !seen[request]
			seen[request] = true
			most = max(most, t.Crashes(request))
		})
		again := e.server.Started == 0 && e.at.Sub(servers[e.server.ID]) <= downWindow
		servers[e.server.ID] = e.at
		weight := 1.0
		if most >= minCrashes {
			weight = 0.5
		}
		switch {
		case !fresh:
			found.Repeated++
		case again:
			found.Down++
		case t.explainedByRequest(e, f) || t.explainedByPart(e, f, r):
			found.Explained++
		default:
			counted = append(counted, weighedCrash{e.at, weight})
		}
	}
	t.weigh(now, r, counted, &found)
	return found
}

// explainedByRequest reports whether a request that is a suspect of its own is the more likely cause of a crash:
// other requests with the part merely ran there.
func (t *Table) explainedByRequest(e *crash, f Fingerprint) bool {
	holders := e.parts.holdersOf(f)
	for request, present := range e.suspects {
		if !present || t.isPart(request) || t.Crashes(request) < minCrashes {
			continue
		}
		if !holders.without(e.parts.setOf(request)).isEmpty() {
			return true
		}
	}
	return false
}

// explainedByPart reports whether another part is the more likely cause of a crash: one that not all requests with
// the part held, and that either was at more crashes or, held by fewer requests there, is a suspect itself. A part
// of many requests would have crashed the server under the first of them. If all requests with the part held the other
// one there, it is the cause if it was at all the crashes and fewer requests held it in all.
func (t *Table) explainedByPart(e *crash, f Fingerprint, r *record) bool {
	holders := e.parts.holdersOf(f)
	for n, p := range e.parts.list {
		other := p.fingerprint(r.scope)
		if other == f || !e.suspects[other] {
			continue
		}
		crashes := t.Crashes(other)
		if holders.without(e.parts.holders[n]).isEmpty() {
			if crashes >= max(len(r.crashes), minCrashes) && t.requests[other].holders < r.holders {
				return true
			}
			continue
		}
		isRarer := e.parts.holders[n].size() < holders.size()
		if crashes > len(r.crashes) || isRarer && crashes >= int(neededFor(r.scope)) {
			return true
		}
	}
	return false
}

// LeadingPart returns the part of prompts without a verdict that was at the most crashes, and the evidence against it.
// The name is empty if none was at minCrashes.
func (t *Table) LeadingPart(now time.Time) (name string, found Evidence) {
	var leading *record
	var of Fingerprint
	for f, r := range t.requests {
		if r.scope == ScopeRequest || r.hasVerdict() || len(r.crashes) < max(minCrashes, found.Crashes+1) {
			continue
		}
		leading, of, found.Crashes = r, f, len(r.crashes)
	}
	if leading == nil {
		return "", Evidence{}
	}
	return leading.name, t.partEvidence(now, of, leading, t.settled(now, leading), neededFor(leading.scope))
}

// neededFor returns the weight of evidence that a verdict on a part needs.
func neededFor(s Scope) float64 {
	if s == ScopeSharedPart {
		return minSharedCrashes
	}
	return minCrashes
}

// isOneRequest reports whether one request ran at all crashes of a part, which is then the cause itself.
func (t *Table) isOneRequest(f Fingerprint, crashes []placement.Incarnation) (is bool) {
	t.crashes[crashes[0]].parts.with(f, func(request Fingerprint) {
		is = is || t.ranAtAll(request, crashes)
	})
	return is
}

// concernsAccounts reports whether the crashes of a part are those of several accounts.
func (t *Table) concernsAccounts(f Fingerprint, crashes []placement.Incarnation) bool {
	byAccount, sum, most := map[Fingerprint]int{}, 0, 0
	for _, in := range crashes {
		for _, p := range t.crashes[in].parts.list {
			if p.Shared == f {
				byAccount[p.Own]++
				sum++
				most = max(most, byAccount[p.Own])
			}
		}
	}
	return sum-most >= minOtherCrashes
}

// inseparable returns the other parts that every request with the part held at all its crashes, and that had no
// successful run either: which of them is the cause is unknown, so a verdict concerns only requests with all
// of them.
func (t *Table) inseparable(f Fingerprint, r *record) (also []Fingerprint) {
	for _, p := range t.crashes[r.crashes[0]].parts.list {
		other := p.fingerprint(r.scope)
		separated := func(in placement.Incarnation) bool { return t.separates(in, f, other) }
		if other != f && !slices.Contains(also, other) && !slices.ContainsFunc(r.crashes, separated) {
			also = append(also, other)
		}
	}
	return also
}

// separates reports whether at a crash a request with a part lacked another part, or that part was cleared.
func (t *Table) separates(in placement.Incarnation, f, other Fingerprint) bool {
	e := t.crashes[in]
	return !e.suspects[other] || !e.parts.holdersOf(f).without(e.parts.holdersOf(other)).isEmpty()
}
