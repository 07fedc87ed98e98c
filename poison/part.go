package poison

import (
	"math/bits"
	"slices"
	"time"
)

// A part of prompts may crash every server that begins to answer a request with it, whatever else the
// request holds. Such requests share no fingerprint, so parts are suspects of their own. A part that is
// common is at many crashes, but its other requests run well: it is the part without any successful run
// since its first crash that is the cause.

const (
	// maxParts bounds the parts of a request that are considered, and maxCrashParts the distinct ones
	// at a crash.
	maxParts      = 32
	maxCrashParts = 128
	// maxPartName bounds the length of a part's name in bytes.
	maxPartName = 32
	// suspicionAge is how far back the first crash of a part must lie for its requests not to be sent to another server: all
	// parts are at the crashes of a failure domain that is lost at once.
	suspicionAge = time.Second
)

// Scope is what a verdict concerns.
type Scope int8

// Scopes.
const (
	// ScopeRequest: one request.
	ScopeRequest Scope = iota
	// ScopePart: requests of one account with a part in their prompts.
	ScopePart
	// ScopeSharedPart: such requests of all accounts.
	ScopeSharedPart
)

// Part is a part of prompts that may be shared between requests.
type Part struct {
	// Own identifies the part in prompts of one account, and Shared in those of all. An account alone
	// cannot bring about a verdict on Shared.
	Own, Shared Fingerprint
	// Name is the ID of the part, shortened, as shown to operators.
	Name string
}

// fingerprint returns the fingerprint by which the part is a suspect in a scope.
func (p Part) fingerprint(s Scope) Fingerprint {
	if s == ScopeSharedPart {
		return p.Shared
	}
	return p.Own
}

// PartsOf returns the distinct parts with the given IDs in prompts of an account, at most maxParts.
func PartsOf(account string, ids []string) []Part {
	var parts []Part
	for _, id := range ids {
		p := Part{Own: hashOf([]byte("own"), []byte(account), []byte(id)), Shared: hashOf([]byte("shared"), nil, []byte(id)), Name: id[:min(len(id), maxPartName)]}
		if len(parts) < maxParts && !slices.Contains(parts, p) {
			parts = append(parts, p)
		}
	}
	return parts
}

// crashParts are the parts of the prompts of the requests that ran at a crash.
type crashParts struct {
	list []Part
	// requests are those with parts, held the indices in list of the parts of each, and holders the
	// requests that held each part of list.
	requests []Fingerprint
	held     [][]byte
	holders  []requestSet
}

// requestSet is a set of the first requests of a crash, by their index.
type requestSet [2]uint64

func (s *requestSet) add(n int) {
	if n < 64*len(s) {
		s[n/64] |= 1 << (n % 64)
	}
}

func (s requestSet) union(o requestSet) requestSet { return requestSet{s[0] | o[0], s[1] | o[1]} }

// without returns the requests that are not in another set.
func (s requestSet) without(o requestSet) requestSet { return requestSet{s[0] &^ o[0], s[1] &^ o[1]} }

func (s requestSet) size() int { return bits.OnesCount64(s[0]) + bits.OnesCount64(s[1]) }

func (s requestSet) isEmpty() bool { return s == requestSet{} }

// add adds the parts of a request.
func (c *crashParts) add(request Fingerprint, parts []Part) {
	held := indices(&c.list, parts)
	if held == nil {
		return
	}
	for len(c.holders) < len(c.list) {
		c.holders = append(c.holders, requestSet{})
	}
	for _, at := range held {
		c.holders[at].add(len(c.requests))
	}
	c.requests, c.held = append(c.requests, request), append(c.held, held)
}

// holdersOf returns the requests with the part that a fingerprint identifies.
func (c *crashParts) holdersOf(f Fingerprint) (all requestSet) {
	for n, p := range c.list {
		if p.Own == f || p.Shared == f {
			all = all.union(c.holders[n])
		}
	}
	return all
}

// indices returns the indices of parts in a list, to which it adds those that are missing while there is room.
func indices(list *[]Part, parts []Part) (held []byte) {
	for _, p := range parts {
		at := slices.Index(*list, p)
		if at < 0 && len(*list) < maxCrashParts {
			at = len(*list)
			*list = append(*list, p)
		}
		if at >= 0 {
			held = append(held, byte(at))
		}
	}
	return held
}

// of returns the parts of a request.
func (c *crashParts) of(request Fingerprint) (parts []Part) {
	if n := slices.Index(c.requests, request); n >= 0 {
		for _, at := range c.held[n] {
			parts = append(parts, c.list[at])
		}
	}
	return parts
}

// setOf returns the set that holds a request alone; it is empty if the request has no parts.
func (c *crashParts) setOf(request Fingerprint) (one requestSet) {
	if n := slices.Index(c.requests, request); n >= 0 {
		one.add(n)
	}
	return one
}

// with calls visit for each of the first requests with the part that a fingerprint identifies.
func (c *crashParts) with(f Fingerprint, visit func(request Fingerprint)) {
	holders := c.holdersOf(f)
	for n, request := range c.requests {
		var one requestSet
		one.add(n)
		if !one.isEmpty() && one.without(holders).isEmpty() {
			visit(request)
		}
	}
}

// partsOf returns the parts of a request of a reported crash. Reports of older releases name none, and
// malformed indices count as absent.
func (e *Crash) partsOf(request int) (parts []Part) {
	if request >= len(e.Holds) {
		return nil
	}
	for _, at := range e.Holds[request] {
		if int(at) < len(e.Parts) {
			parts = append(parts, e.Parts[at])
		}
	}
	return parts
}

// AddRequest adds a request that ran at a crash, with the parts of its prompt, to its report.
func (e *Crash) AddRequest(request Fingerprint, parts []Part) {
	held := indices(&e.Parts, parts)
	e.Requests = append(e.Requests, request)
	if held == nil {
		return // most reports name no parts, and later requests may be absent from Holds
	}
	for len(e.Holds) < len(e.Requests)-1 {
		e.Holds = append(e.Holds, nil)
	}
	e.Holds = append(e.Holds, held)
}

// QuarantinedPart returns the verdict that quarantines requests with these parts, if there is one.
func (t *Table) QuarantinedPart(now time.Time, parts []Part) (Verdict, bool) {
	for _, f := range t.suspectedParts(parts) {
		if r := t.requests[f]; r.quarantined(now) && containsAll(parts, r) {
			return r.verdict(now, f), true
		}
	}
	return Verdict{}, false
}

// AdmitPart is Admit for the parts of a newly arrived request: each of them on which there is an expired verdict
// needs a trial run. It returns the fingerprint of the part of which this is one.
func (t *Table) AdmitPart(now time.Time, parts []Part) (v Verdict, refused bool, trials []Fingerprint) {
	if v, quarantined := t.QuarantinedPart(now, parts); quarantined {
		return v, true, nil
	}
	for _, f := range t.suspectedParts(parts) {
		if !t.requests[f].hasVerdict() || !containsAll(parts, t.requests[f]) {
			continue
		}
		v, refused, trial := t.Admit(now, f)
		if refused {
			return v, true, trials
		}
		if trial {
			trials = append(trials, f)
		}
	}
	return Verdict{}, false, trials
}

// MayBeFatal reports whether requests with one of these parts are not to be sent to another server after one has crashed: there
// is or was a verdict, or as many crashes as a verdict on a request needs, and no success for suspicionAge.
func (t *Table) MayBeFatal(now time.Time, parts []Part) bool {
	return t.isSuspected(now, parts, minCrashes)
}

// IsSuspected reports whether MayBeFatal may be true as soon as one more crash is known.
func (t *Table) IsSuspected(now time.Time, parts []Part) bool {
	return t.isSuspected(now, parts, minCrashes-1)
}

func (t *Table) isSuspected(now time.Time, parts []Part, crashes int) bool {
	return slices.ContainsFunc(t.suspectedParts(parts), func(f Fingerprint) bool {
		r := t.requests[f]
		return r.hasVerdict() || r.total >= crashes && now.Sub(r.firstAt) >= suspicionAge
	})
}

// suspectedParts returns the fingerprints of the parts that are on record.
func (t *Table) suspectedParts(parts []Part) (list []Fingerprint) {
	for _, p := range parts {
		for _, f := range [...]Fingerprint{p.Own, p.Shared} {
			if t.requests[f] != nil {
				list = append(list, f)
			}
		}
	}
	return list
}

// containsAll reports whether parts include all others that a verdict requires.
func containsAll(parts []Part, r *record) bool {
	for _, f := range r.also {
		if !slices.ContainsFunc(parts, func(p Part) bool { return p.Own == f || p.Shared == f }) {
			return false
		}
	}
	return true
}
