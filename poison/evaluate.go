package poison

import (
	"slices"
	"time"

	"github.com/gaplink/gaplink/placement"
)

const (
	// minCrashes is the number of crashes that quarantines a request. One crash proves nothing,
	// since dozens of requests run on a server that crashes. A request that is retried while
	// the servers of a failure domain crash one after the other sees two. Three independent
	// crashes, without a successful run in between and without another request that explains
	// them better, happened to one of 320,000 requests among 1,800 crashes of servers that
	// crashed for other reasons (TestNoVerdictWithoutPoison).
	minCrashes = 3
	// minAmbiguousCrashes is the number of crashes that quarantines a request although another
	// request ran at all of them: each further crash fails dozens of other requests, and a
	// successful run still clears the harmless one.
	minAmbiguousCrashes = 5
	// correlationWindow is how long after one server of a failure domain another may crash
	// from the same cause, and failoverWindow how soon a request that lost its server reaches
	// the next one if it is retried at once. With minAmbiguousCrashes as the threshold for
	// dependent crashes in place of these windows, 3 of the 320,000 requests were quarantined.
	correlationWindow = time.Second
	failoverWindow    = 100 * time.Millisecond
	// duplicateWindow is the time within which crashes reported for a server without a start
	// time are the same crash: routers observe it some tens of milliseconds apart, or as late
	// as sent bytes may stay unacknowledged (1.5 s) if packets are lost, and no server is back
	// much sooner.
	duplicateWindow = 2 * time.Second
)

// evaluate returns the new verdicts that follow from the recorded crashes. Parts of prompts without a verdict are
// evaluated by Settle.
func (t *Table) evaluate(now time.Time) (verdicts []Verdict) {
	for f, r := range t.requests {
		t.updateAlso(f, r)
		if r.scope != ScopeRequest && !(r.hasVerdict() && t.unsettled[f]) {
			continue
		}
		if v, ok := t.evaluateOne(now, f, r); ok {
			verdicts = append(verdicts, v)
		}
	}
	return verdicts
}

// evaluateOne returns the verdict on a request or part that follows from its crashes, if there is a new one.
func (t *Table) evaluateOne(now time.Time, f Fingerprint, r *record) (Verdict, bool) {
	if r.quarantined(now) {
		r.crashesAtVerdict = len(r.crashes) // of the trial run, or of runs that were admitted before the verdict
		return Verdict{}, false
	}
	if len(r.crashes) <= r.crashesAtVerdict || !t.shouldQuarantine(now, f, r) {
		return Verdict{}, false
	}
	r.number = max(r.number, r.lifted) + 1
	r.crashesAtVerdict = len(r.crashes)
	r.until = now.Add(quarantineDurationFor(r.number, r.lifted, r.scope))
	r.service, r.servers = t.evidence(r)
	if r.scope != ScopeRequest {
		r.also = t.inseparable(f, r)
	}
	return r.verdict(now, f), true
}

// updateAlso drops parts that a verdict requires and that have turned out not to be the cause.
func (t *Table) updateAlso(f Fingerprint, r *record) {
	if len(r.also) > 0 && len(r.crashes) > 0 {
		possible := t.inseparable(f, r)
		r.also = slices.DeleteFunc(r.also, func(other Fingerprint) bool { return !slices.Contains(possible, other) })
	}
}

// evidence returns the service of the last crash and the servers of all.
func (t *Table) evidence(r *record) (service string, servers []string) {
	for _, in := range r.crashes {
		servers = append(servers, in.ID)
		service = t.crashes[in].service
	}
	return service, servers
}

// shouldQuarantine reports whether the crashes of a request justify a verdict.
func (t *Table) shouldQuarantine(now time.Time, f Fingerprint, r *record) bool {
	if len(r.crashes) < minCrashes && !r.hasVerdict() {
		return false // the common case
	}
	if r.scope != ScopeRequest {
		return t.shouldQuarantinePart(now, f, r)
	}
	independent := t.independentCrashes(f, r)
	switch {
	case r.hasVerdict():
		return independent > 0
	case independent >= minAmbiguousCrashes:
		return true
	default:
		return independent >= minCrashes && !t.isAmbiguous(f, r)
	}
}

// independentCrashes counts the crashes that no other request explains better. Crashes that a
// request met while it was retried at once, and correlated ones, may have one cause and count
// as one.
func (t *Table) independentCrashes(f Fingerprint, r *record) (independent int) {
	var counted time.Time
	for _, in := range r.crashes {
		e := t.crashes[in]
		if t.explained(e, f, r) {
			continue
		}
		since := e.at.Sub(counted)
		if since <= failoverWindow || since <= correlationWindow && t.isCorrelated(e, f) {
			continue
		}
		independent++
		counted = e.at
	}
	return independent
}

// isCorrelated reports whether a crash may be one of a series with another cause: a server of
// the same service crashed at about the same time without running the request.
func (t *Table) isCorrelated(e *crash, f Fingerprint) bool {
	for _, other := range t.crashes {
		if _, ranThere := other.suspects[f]; !ranThere && other.service == e.service && e.at.Sub(other.at).Abs() <= correlationWindow {
			return true
		}
	}
	return false
}

// explained reports whether another request that ran at a crash ran at more crashes than this
// one, and so is the more likely cause. This clears requests that were retried onto the next
// server that the same poison request crashed.
func (t *Table) explained(e *crash, f Fingerprint, r *record) bool {
	for other, present := range e.suspects {
		if present && other != f && !t.isPart(other) && t.Crashes(other) > len(r.crashes) {
			return true
		}
	}
	return false
}

// isAmbiguous reports whether another request ran at all the same crashes, so that the cause
// cannot be determined.
func (t *Table) isAmbiguous(f Fingerprint, r *record) bool {
	for other, present := range t.crashes[r.crashes[0]].suspects {
		if present && other != f && !t.isPart(other) && t.ranAtAll(other, r.crashes) {
			return true
		}
	}
	return false
}

func (t *Table) isPart(f Fingerprint) bool {
	r := t.requests[f]
	return r != nil && r.scope != ScopeRequest
}

func (t *Table) ranAtAll(f Fingerprint, crashes []placement.Incarnation) bool {
	for _, in := range crashes {
		if !t.crashes[in].suspects[f] {
			return false
		}
	}
	return true
}
