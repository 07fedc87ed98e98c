package poison

import (
	"slices"
	"time"

	"github.com/gaplink/gaplink/placement"
)

// quarantineDurations are how long the first and the second verdict quarantine a request. A wrong
// verdict must expire soon without an operator, since it may quarantine a request of many callers,
// and a later version of a model may be able to run it. After each quarantine one trial run is
// admitted, and one more crash is enough for the next verdict. The third verdict quarantines until
// it is lifted, so that a request crashes only two servers more after the first verdict.
var quarantineDurations = []time.Duration{time.Minute, time.Hour}

// trialTimeout is how long a trial run may take before another one is admitted. A successful
// run clears the request, a crash quarantines it again.
const trialTimeout = 2 * time.Second

// indefinite is the quarantine duration of the third and later verdicts, which only an operator or
// a successful run ends.
const indefinite = 100 * 365 * 24 * time.Hour

// partQuarantineDurations are those for parts of prompts. A wrong verdict on a part concerns many requests, one of
// which shows soon that it was wrong, unless its server crashes for another reason.
var partQuarantineDurations = []time.Duration{15 * time.Second, time.Minute, time.Hour}

// quarantineDurationFor returns the quarantine duration of a verdict, given its number and the
// number of the last one that was lifted.
func quarantineDurationFor(number, lifted int, scope Scope) time.Duration {
	durations := quarantineDurations
	if scope != ScopeRequest {
		durations = partQuarantineDurations
	}
	if i := number - lifted - 1; i < len(durations) {
		return durations[max(i, 0)]
	}
	return indefinite
}

// crash is the crash of a process, merged from the reports of all routers.
type crash struct {
	// server is the process as it was reported.
	server  placement.Incarnation
	service string
	at      time.Time
	// suspects are the requests that ran there; false marks one that was cleared, so that a
	// later report of the same crash does not make it a suspect again.
	suspects map[Fingerprint]bool
	// ran is the number of requests that ran there.
	ran int
	// stored is set if it is in the store.
	stored bool
	// parts are those of the prompts of the requests.
	parts crashParts
}

// record is the state of one request, or of one part of prompts.
type record struct {
	scope Scope
	// name is the name of a part, and also are the further parts that its verdict requires.
	name string
	also []Fingerprint

	// crashes are the processes that crashed while the request ran there, the oldest first.
	crashes []placement.Incarnation
	// total is the number of crashes since the last successful run, with those dropped for room.
	total int
	// suspectedAt is the service of the first of these crashes, firstAt its time, and base the service's tally then.
	suspectedAt string
	firstAt     time.Time
	base        tally
	// succeeded is when one of its requests last succeeded before these crashes, as far as any router remembers.
	succeeded time.Time
	// holders is the number of requests with the part that ran at these crashes.
	holders int
	last    time.Time
	// number is that of the last verdict; verdicts up to lifted are void.
	number, lifted int
	// crashesAtVerdict is the number of crashes at the last verdict: the next one needs
	// another crash.
	crashesAtVerdict int
	until            time.Time
	service          string
	servers          []string
	// trialAt is when a trial run was last admitted, after a quarantine had expired.
	trialAt time.Time
}

// hasVerdict reports whether there is a verdict, in force or expired, that was not lifted.
func (r *record) hasVerdict() bool { return r.number > r.lifted }

func (r *record) quarantined(now time.Time) bool { return r.hasVerdict() && now.Before(r.until) }

// Table holds a router's records of crashes and of the requests that ran at them. It is not
// safe for concurrent use.
type Table struct {
	crashes    map[placement.Incarnation]*crash
	crashOrder []placement.Incarnation // keys of crashes, the oldest first
	requests   map[Fingerprint]*record
	// unsettled are the parts of prompts that were at crashes not all of whose requests may be known.
	unsettled map[Fingerprint]bool
	// partEntries is the number of parts on record, summed over the crashes.
	partEntries int
	// tallies count by service.
	tallies map[string]*tally
	// forgotten counts the crashes whose parts were dropped for room.
	forgotten int64
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{crashes: map[placement.Incarnation]*crash{}, requests: map[Fingerprint]*record{}, unsettled: map[Fingerprint]bool{}, tallies: map[string]*tally{}}
}

// IsEmpty reports whether the table has no record of any request.
func (t *Table) IsEmpty() bool { return len(t.requests) == 0 }

// Suspects returns the number of requests on record.
func (t *Table) Suspects() int { return len(t.requests) }

// Forgotten returns how many crashes had the parts of their prompts dropped for room.
func (t *Table) Forgotten() int64 { return t.forgotten }

// Quarantined returns the verdict that quarantines a request now, if there is one.
func (t *Table) Quarantined(now time.Time, f Fingerprint) (Verdict, bool) {
	r := t.requests[f]
	if r == nil || !r.quarantined(now) {
		return Verdict{}, false
	}
	return r.verdict(now, f), true
}

// Admit returns the verdict that quarantines a newly arrived request, if there is one. trial is set
// if the request is admitted as a trial run after its quarantine expired.
func (t *Table) Admit(now time.Time, f Fingerprint) (v Verdict, refused, trial bool) {
	r := t.requests[f]
	switch {
	case r == nil || !r.hasVerdict():
		return Verdict{}, false, false
	case r.quarantined(now):
		return r.verdict(now, f), true, false
	case now.Sub(r.trialAt) < trialTimeout:
		v = r.verdict(now, f)
		v.Remaining = r.trialAt.Add(trialTimeout).Sub(now)
		return v, true, false
	default:
		r.trialAt = now
		return Verdict{}, false, true
	}
}

// Held returns the verdict for which a request with these parts is not sent to servers now, if there is one: one that
// quarantines it, or an expired one of which a trial run is under way.
func (t *Table) Held(now time.Time, f Fingerprint, parts []Part) (Verdict, bool) {
	for _, f := range append(t.suspectedParts(parts), f) {
		r := t.requests[f]
		if r == nil || !r.hasVerdict() || !containsAll(parts, r) {
			continue
		}
		v := r.verdict(now, f)
		if !r.quarantined(now) {
			v.Remaining = r.trialAt.Add(trialTimeout).Sub(now)
		}
		if v.Remaining > 0 {
			return v, true
		}
	}
	return Verdict{}, false
}

// NextVerdict returns the verdict that follows the last one on a request, as of now.
func (t *Table) NextVerdict(now time.Time, f Fingerprint) Verdict {
	r := t.recordOf(f) // evicted in the meantime: as if it were new
	v := r.verdict(now, f)
	v.Number = max(r.number, r.lifted) + 1
	v.Remaining = quarantineDurationFor(v.Number, r.lifted, r.scope)
	return v
}

func (r *record) verdict(now time.Time, f Fingerprint) Verdict {
	return Verdict{Request: f, Scope: r.scope, Part: r.name, Also: r.also, Number: r.number, Service: r.service, Servers: r.servers, Remaining: r.until.Sub(now)}
}

// Crashes returns the number of crashes during which a request was running.
func (t *Table) Crashes(f Fingerprint) int {
	if r := t.requests[f]; r != nil {
		return len(r.crashes)
	}
	return 0
}

// Verdicts returns the verdicts in force, ordered by fingerprint.
func (t *Table) Verdicts(now time.Time) []Verdict {
	var all []Verdict
	for f, r := range t.requests {
		if r.quarantined(now) {
			all = append(all, r.verdict(now, f))
		}
	}
	slices.SortFunc(all, func(a, b Verdict) int { return slices.Compare(a.Request[:], b.Request[:]) })
	return all
}

// Apply applies a report of this router or of another one. It returns the part of the report
// that is new here, and the verdicts that follow from it.
func (t *Table) Apply(now time.Time, r Report) (added Report, verdicts []Verdict) {
	for _, l := range r.Lifts {
		if t.lift(now, l) {
			added.Lifts = append(added.Lifts, l)
		}
	}
	for _, e := range r.Crashes {
		if part := t.addCrash(now, e); len(part.Requests) > 0 {
			added.Crashes = append(added.Crashes, part)
			for _, p := range part.Parts {
				t.unsettled[p.Own], t.unsettled[p.Shared] = true, true
			}
		}
	}
	for _, p := range r.Priors {
		if t.recordPrior(now, p) {
			added.Priors = append(added.Priors, p)
		}
	}
	for _, run := range r.Runs {
		if t.clear(now, run) {
			added.Runs = append(added.Runs, run)
		}
	}
	for _, v := range r.Verdicts {
		if t.applyVerdict(now, v) {
			added.Verdicts = append(added.Verdicts, v)
		}
	}
	for _, in := range r.Stored {
		if t.markStored(in) {
			added.Stored = append(added.Stored, in)
		}
	}
	for _, f := range r.Trials {
		if t.recordTrial(now, f) {
			added.Trials = append(added.Trials, f)
		}
	}
	if added.IsEmpty() {
		return added, nil
	}
	return added, t.evaluate(now)
}

// recordPrior records that a request with a part succeeded before the crashes of the part.
func (t *Table) recordPrior(now time.Time, p Prior) bool {
	r := t.requests[p.Part]
	if r == nil || r.total == 0 || r.suspectedAt != p.Service {
		return false
	}
	succeeded := now.Add(-p.Age)
	if succeeded.Sub(r.succeeded) < priorStep {
		return false
	}
	r.succeeded = succeeded
	return true
}

// markStored records that the crashes of a process are in the store. It reports whether that was not known of one.
func (t *Table) markStored(in placement.Incarnation) (isNew bool) {
	for _, e := range t.crashes {
		if e.server == in && !e.stored {
			e.stored, isNew = true, true
		}
	}
	return isNew
}

// recordTrial records a trial run admitted by another router.
func (t *Table) recordTrial(now time.Time, f Fingerprint) bool {
	r := t.requests[f]
	if r == nil || now.Sub(r.trialAt) < trialTimeout {
		return false
	}
	r.trialAt = now
	return true
}

// addCrash records the crash of a process and returns the part of it that is new.
func (t *Table) addCrash(now time.Time, e Crash) (fresh Crash) {
	at := now.Add(-e.Age)
	in := t.crashKey(e.Server, at)
	recorded := t.crashes[in]
	if recorded == nil {
		recorded = &crash{server: e.Server, service: e.Service, at: at, suspects: map[Fingerprint]bool{}}
		t.crashes[in] = recorded
		t.crashOrder = append(t.crashOrder, in)
		t.tallyOf(e.Service).crashes++
	}
	fresh = Crash{Server: e.Server, Service: e.Service, Age: now.Sub(recorded.at)}
	isLate := at.Sub(recorded.at) > SettleTime // the request came to a server that had crashed
	for i, f := range e.Requests {
		var parts []Part
		if !isLate {
			parts = e.partsOf(i)
		}
		if _, known := recorded.suspects[f]; known {
			continue
		}
		fresh.AddRequest(f, parts)
		t.suspect(now, in, f)
		recorded.ran++
		t.tallyOf(e.Service).ran++
		before := len(recorded.parts.list)
		recorded.parts.add(f, parts)
		t.partEntries += len(recorded.parts.list) - before
		for _, p := range parts {
			t.suspectPart(now, in, p.Own, ScopePart, p.Name)
			t.suspectPart(now, in, p.Shared, ScopeSharedPart, p.Name)
		}
	}
	t.trimCrashes(now)
	return fresh
}

// suspect records that a request or part was at a crash, unless it is known or was cleared.
func (t *Table) suspect(now time.Time, in placement.Incarnation, f Fingerprint) *record {
	suspects := t.crashes[in].suspects
	if _, known := suspects[f]; known {
		return nil
	}
	r := t.recordOf(f) // may evict others
	suspects[f] = true
	r.crashes = append(r.crashes, in)
	if r.total++; r.total == 1 {
		r.suspectedAt, r.firstAt = t.crashes[in].service, t.crashes[in].at
		r.base = *t.tallyOf(r.suspectedAt)
		r.base.crashes, r.base.ran = r.base.crashes-1, r.base.ran-t.crashes[in].ran // without this one
	}
	r.last = now
	return r
}

// suspectPart records that a request with a part was at a crash.
func (t *Table) suspectPart(now time.Time, in placement.Incarnation, f Fingerprint, scope Scope, name string) {
	if r := t.suspect(now, in, f); r != nil {
		r.scope, r.name = scope, name
	}
	if t.crashes[in].suspects[f] {
		t.requests[f].holders++
	}
}

// crashKey returns the key under which the crash of a process is recorded. Servers that do not
// report their start time have the same incarnation for all their processes: two crashes close
// together are one that several routers observed, and others are distinguished by their time.
func (t *Table) crashKey(in placement.Incarnation, at time.Time) placement.Incarnation {
	if in.Started != 0 {
		return in
	}
	for known, e := range t.crashes {
		if e.server == in && e.at.Sub(at).Abs() < duplicateWindow {
			return known
		}
	}
	return placement.Incarnation{ID: in.ID, Started: -at.UnixNano()}
}

// recordOf returns the record of a request. It creates one for a new request, evicting others
// if the table is full.
func (t *Table) recordOf(f Fingerprint) *record {
	r := t.requests[f]
	if r == nil {
		if len(t.requests) >= maxRequests {
			t.evictRequests()
		}
		r = &record{}
		t.requests[f] = r
	}
	return r
}

// clear applies a successful run: the request caused none of the crashes at that service.
// Crashes at another service remain, since two services may run two versions of a model.
func (t *Table) clear(now time.Time, run Run) bool {
	r := t.requests[run.Request]
	if r == nil {
		return false
	}
	kept := slices.DeleteFunc(slices.Clone(r.crashes), func(in placement.Incarnation) bool {
		return t.crashes[in].service == run.Service
	})
	lifts := r.hasVerdict() && r.service == run.Service
	if len(kept) == len(r.crashes) && !lifts {
		return false
	}
	if lifts {
		r.lifted = r.number
	}
	for _, in := range r.crashes {
		if !slices.Contains(kept, in) {
			t.crashes[in].suspects[run.Request] = false
		}
	}
	r.crashes, r.total, r.crashesAtVerdict, r.last = kept, len(kept), min(r.crashesAtVerdict, len(kept)), now
	r.holders = t.countHolders(run.Request, kept)
	t.dropIfEmpty(run.Request)
	return true
}

// countHolders returns the number of requests with a part that ran at crashes.
func (t *Table) countHolders(f Fingerprint, crashes []placement.Incarnation) (n int) {
	for _, in := range crashes {
		n += t.crashes[in].parts.holdersOf(f).size()
	}
	return n
}

// lift voids verdicts and drops the crashes on which they were based.
func (t *Table) lift(now time.Time, l Lift) bool {
	r := t.recordOf(l.Request) // created if missing: the verdict may arrive after the lift
	if r.lifted >= l.Number {
		return false
	}
	r.lifted, r.last = l.Number, now
	r.number = max(r.number, l.Number)
	for _, in := range r.crashes {
		t.crashes[in].suspects[l.Request] = false
	}
	r.crashes, r.total, r.holders, r.crashesAtVerdict = nil, 0, 0, 0
	return true
}

// applyVerdict applies a verdict of another router.
func (t *Table) applyVerdict(now time.Time, v Verdict) bool {
	r := t.requests[v.Request]
	if r != nil && v.Number <= max(r.number, r.lifted) {
		return false
	}
	if r == nil {
		r = t.recordOf(v.Request)
	}
	r.scope, r.name, r.also = v.Scope, v.Part, slices.Clone(v.Also)
	r.number, r.crashesAtVerdict, r.last = v.Number, len(r.crashes), now
	r.until = now.Add(v.Remaining)
	r.service, r.servers = v.Service, v.Servers
	return true
}

// Snapshot returns what a router needs at its start: the verdicts in force, the lifts, and the
// crashes that say most.
func (t *Table) Snapshot(now time.Time) Report {
	r := Report{Verdicts: t.Verdicts(now)}
	for f, request := range t.requests {
		if request.lifted > 0 {
			r.Lifts = append(r.Lifts, Lift{Request: f, Number: request.lifted})
		}
	}
	for _, in := range t.heaviest(now, maxSnapshotCrashes) {
		r.Crashes = append(r.Crashes, t.suspectsAt(now, in))
	}
	return r
}

// Evidence returns the crashes that say most, at most n, with the requests and parts that are still suspects, and whether
// any is not in the store. Crashes all of whose suspects are quarantined are left out: the verdicts are in the store.
func (t *Table) Evidence(now time.Time, n int) (crashes []Crash, unstored bool) {
	for _, in := range t.heaviest(now, n) {
		e := t.suspectsAt(now, in)
		if len(e.Requests) == 0 || !t.hasOpenSuspect(now, in) {
			continue
		}
		crashes = append(crashes, e)
		unstored = unstored || !t.crashes[in].stored
	}
	return crashes, unstored
}

// hasOpenSuspect reports whether a request or part that ran at a crash is a suspect without a verdict in force.
func (t *Table) hasOpenSuspect(now time.Time, in placement.Incarnation) bool {
	for f, present := range t.crashes[in].suspects {
		if present && t.requests[f] != nil && !t.requests[f].quarantined(now) {
			return true
		}
	}
	return false
}

// suspectsAt returns a crash with those of its requests and their parts that are still suspects.
func (t *Table) suspectsAt(now time.Time, in placement.Incarnation) Crash {
	e := t.crashes[in]
	reported := Crash{Server: e.server, Service: e.service, Age: now.Sub(e.at)}
	for f, present := range e.suspects {
		if present && !t.isPart(f) {
			reported.AddRequest(f, e.suspectedParts(f))
		}
	}
	return reported
}

// heaviest returns the crashes that say most, at most n, in the order in which they were recorded.
func (t *Table) heaviest(now time.Time, n int) []placement.Incarnation {
	if len(t.crashOrder) <= n {
		return t.crashOrder
	}
	kept := map[placement.Incarnation]bool{}
	for _, in := range t.byWeight(now)[len(t.crashOrder)-n:] {
		kept[in] = true
	}
	return slices.DeleteFunc(slices.Clone(t.crashOrder), func(in placement.Incarnation) bool { return !kept[in] })
}

// suspectedParts returns the parts of a request that ran at the crash, without those that were cleared.
func (e *crash) suspectedParts(request Fingerprint) []Part {
	return slices.DeleteFunc(e.parts.of(request), func(p Part) bool { return !e.suspects[p.Own] })
}

// maxSnapshotCrashes bounds the crashes in a snapshot: 64 KB with 64 requests each.
const maxSnapshotCrashes = 64
