package soak

import (
	"fmt"
	"maps"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/gaplink/gaplink/platform/standin"
)

// Promise is what gaplink promises.
type Promise string

// The promises that the oracle checks.
const (
	AtMostOnce   Promise = "a request that may not repeat runs at most once"
	NotRunIsTrue Promise = "408, 421, 429 and 503 say that the request has not run and never will"
	Whole        Promise = "an answer that claims to be complete is whole and the request's own"
	NoOverspend  Promise = "no account gets more than its budget"
	LeavingIdle  Promise = "a server that leaves gets no new request"
	ConfigFresh  Promise = "a configuration is in force within the bound"
	ConfigRises  Promise = "a configuration is never older than one before"
	NotCut       Promise = "planned work cuts no request"
	KeepsRunning Promise = "a process ends only when it is told to"
	PoisonKnown  Promise = "a request that ends servers is held back after the third"
	OnlyPoison   Promise = "no other request is"
	LimitKept    Promise = "a server does not get more than the rate limit that it names"
)

// Broken is one broken promise.
type Broken struct {
	Promise Promise       `json:"promise"`
	Request string        `json:"request,omitempty"`
	Detail  string        `json:"detail"`
	After   time.Duration `json:"after_ns"`
}

// Process is one life of a router's process.
type Process struct{ Router, Life int }

// Request is a caller's request, as it was sent.
type Request struct {
	ID      string
	Process Process
	Sent    time.Time
	// Once tells that it may run only once.
	Once bool
	// Events is the number of the last event of its stream, and From that of the
	// last one that the caller has; 0 events: the answer is plain.
	Events, From int
	// Account pays for TokensIn and EventTokens for each event.
	Account               string
	TokensIn, EventTokens int64
	// Deadline is how long the caller waits.
	Deadline time.Duration
	// Marker is the version that brought the request's key or route; the next
	// version still has it, the one after has not. 0: all versions have them.
	Marker int64
	// Poison is the body of a request that ends each server which runs it; empty: it does not.
	Poison string
}

// Claim is what an answer claims about its end.
type Claim int

// The claims.
const (
	// Cut: the connection ended before the answer did.
	Cut Claim = iota
	// Unframed: the answer ended with its connection, as its head says.
	Unframed
	// Complete: the length was reached, or the last chunk came.
	Complete
)

// Answer is what a caller got. A status of 0 is no answer at all.
type Answer struct {
	At     time.Time
	Status int
	Claim  Claim
	Signed bool
	// ID is the request's id that the answer names.
	ID   string
	Body string
	// Left tells that the caller gave up.
	Left bool
	// HeldBack tells that the router refused the request as one that ends servers.
	HeldBack bool
}

// promised are the statuses that say that a request has not run and never will.
var promised = map[int]bool{
	http.StatusRequestTimeout: true, http.StatusMisdirectedRequest: true,
	http.StatusTooManyRequests: true, http.StatusServiceUnavailable: true,
}

// Bounds are the bounds in time, each with the slack for a busy machine.
type Bounds struct {
	// InTouch is how long nothing must have disturbed what a bound applies to.
	InTouch time.Duration
	// Leaving and Config run from the store's acknowledgement.
	Leaving, Config time.Duration
	// Rollback is how long a request may still meet the version before.
	Rollback time.Duration
	// OfDeadline is the part of its deadline within which a server answers in time.
	OfDeadline float64
}

// DefaultBounds are the platform's bounds and 1.5 s of slack for a busy machine.
func DefaultBounds() Bounds {
	const slack = 1500 * time.Millisecond
	return Bounds{
		InTouch:    3 * time.Second,
		Leaving:    2*time.Second + slack,
		Config:     2*time.Second + slack,
		Rollback:   250 * time.Millisecond,
		OfDeadline: 0.5,
	}
}

// run is one run of a request at a server.
type run struct {
	place  int
	ending Ending
	answer standin.Answer
}

// book is what is known of a request.
type book struct {
	Request
	runs   []run
	arrive int // arrivals, also those that did not run
	answer *Answer
}

// Oracle checks the promises while a run goes on. It is safe for concurrent use.
type Oracle struct {
	mu      sync.Mutex
	start   time.Time
	bounds  Bounds
	dis     Disruptions
	books   map[string]*book
	broken  []Broken
	limits  map[string]int64
	handed  map[string]int64
	leaving map[string]time.Time
	// latest is the version that the operator sent last; acked is when the store
	// acknowledged each.
	latest int64
	acked  map[int64]time.Time
	sights map[Process][]sight
	// checked counts, for each promise, the times when it could have been seen to
	// be broken.
	checked map[Promise]int
	poison  map[string]*poisonBook // by body
	limited map[string]*limited    // by the id of the server
}

// NewOracle returns an oracle for a run that starts now.
func NewOracle(start time.Time, b Bounds) *Oracle {
	return &Oracle{
		start: start, bounds: b,
		books: map[string]*book{}, limits: map[string]int64{}, handed: map[string]int64{},
		leaving: map[string]time.Time{}, acked: map[int64]time.Time{}, sights: map[Process][]sight{},
		checked: map[Promise]int{}, poison: map[string]*poisonBook{},
		limited: map[string]*limited{},
	}
}

// Broken returns the broken promises so far.
func (o *Oracle) Broken() []Broken {
	o.mu.Lock()
	defer o.mu.Unlock()
	return append([]Broken(nil), o.broken...)
}

// Checked returns how often each promise could have been seen to be broken.
func (o *Oracle) Checked() map[Promise]int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return maps.Clone(o.checked)
}

func (o *Oracle) breaks(p Promise, request string, at time.Time, format string, args ...any) {
	o.broken = append(o.broken, Broken{Promise: p, Request: request, Detail: fmt.Sprintf(format, args...), After: at.Sub(o.start)})
}

// Disturbed notes a disturbance that is over or ends at a known time.
func (o *Oracle) Disturbed(s Subject, from, to time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.dis.Add(s, from)(to)
}

// Disturb notes a disturbance that begins, and returns the function that ends it.
func (o *Oracle) Disturb(s Subject, from time.Time) (end func(at time.Time)) {
	o.mu.Lock()
	defer o.mu.Unlock()
	endLocked := o.dis.Add(s, from)
	return func(at time.Time) {
		o.mu.Lock()
		defer o.mu.Unlock()
		endLocked(at)
	}
}

// Ended notes a process that ended without being told to.
func (o *Oracle) Ended(p Process, at time.Time, how string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.breaks(KeepsRunning, "", at, "router %d, life %d: %s", p.Router, p.Life, how)
}

// Sent notes a request before it is sent.
func (o *Oracle) Sent(r Request) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.books[r.ID] = &book{Request: r}
}

// Arrived notes that a request reached the server with that id, at that place. It
// returns the request and the number of arrivals before; ok is false if no caller
// sent it.
func (o *Oracle) Arrived(id, server string, place int, at time.Time) (r Request, before int, ok bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	b := o.books[id]
	if b == nil {
		o.breaks(Whole, id, at, "server %s got a request that no caller sent", server)
		return Request{}, 0, false
	}
	o.checkLeaving(b, server, place, at)
	o.checkLimit(b, server, place, at)
	o.checkPoison(b, at)
	b.arrive++
	return b.Request, b.arrive - 1, true
}

// checkLeaving checks that a server that leaves gets nothing new.
func (o *Oracle) checkLeaving(b *book, server string, place int, at time.Time) {
	if !o.anyLeft(at) || !o.inTouch(b.Process.Router, at) {
		return
	}
	o.checked[LeavingIdle]++
	since, leaves := o.leaving[server]
	if leaves && at.After(since.Add(o.bounds.Leaving)) && o.calm(at, ServerAt(place)) {
		o.breaks(LeavingIdle, b.ID, at, "router %d sent it to %s, %s after it was registered as leaving", b.Process.Router, server, at.Sub(since))
	}
}

// anyLeft tells whether a server that was registered as leaving must get nothing
// new by now, and is still there.
func (o *Oracle) anyLeft(at time.Time) bool {
	for _, since := range o.leaving {
		if at.After(since.Add(o.bounds.Leaving)) {
			return true
		}
	}
	return false
}

// Left notes that a server that was leaving is gone.
func (o *Oracle) Left(server string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.leaving, server)
}

// inTouch tells whether a router and its way to the store were left alone.
func (o *Oracle) inTouch(router int, at time.Time) bool {
	return o.calm(at, ProcessOf(router), StopOf(router), StoreLinkOf(router), StoreItself)
}

// undisturbed tells whether a router's process was left alone. Routers tell each other
// what they must know at once, so that the store may be away.
func (o *Oracle) undisturbed(router int, at time.Time) bool {
	return o.calm(at, ProcessOf(router), StopOf(router))
}

func (o *Oracle) calm(at time.Time, subjects ...Subject) bool {
	return o.dis.Calm(at.Add(-o.bounds.InTouch), at, subjects...)
}

// Ran notes a run and the answer that the server gives.
func (o *Oracle) Ran(id string, place int, e Ending, a standin.Answer, at time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	b := o.books[id]
	b.runs = append(b.runs, run{place, e, a})
	if b.Once {
		o.checked[AtMostOnce]++
	}
	if b.Once && len(b.runs) > 1 {
		o.breaks(AtMostOnce, id, at, "run %d", len(b.runs))
	}
	if b.answer != nil && promised[b.answer.Status] {
		o.breaks(NotRunIsTrue, id, at, "runs after its caller got %d", b.answer.Status)
	}
	o.charge(b, a, at)
	o.accepted(b, at)
}

// Leaving notes that the store took a server's registration as leaving.
func (o *Oracle) Leaving(server string, at time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.leaving[server] = at
}

// Answered notes what a caller got in the end.
func (o *Oracle) Answered(id string, a Answer) {
	o.mu.Lock()
	defer o.mu.Unlock()
	b := o.books[id]
	b.answer = &a
	if a.Status != 0 && a.ID != "" && a.ID != id {
		o.breaks(Whole, id, a.At, "the answer names %s", a.ID)
	}
	if a.HeldBack {
		o.checkHeldBack(b)
	} else if b.Poison == "" {
		o.checked[OnlyPoison]++
	}
	switch {
	case a.Left:
	case promised[a.Status]:
		o.checkPromise(b)
	case a.Status == http.StatusUnauthorized || a.Status == http.StatusNotFound:
		o.refused(b, a.At)
	}
	if a.Claim == Complete && (a.Signed || a.Status < http.StatusMultipleChoices) {
		o.checkWhole(b)
	}
	if !a.Left {
		o.checkCut(b)
	}
}

func (o *Oracle) checkPromise(b *book) {
	o.checked[NotRunIsTrue]++
	if len(b.runs) > 0 {
		o.breaks(NotRunIsTrue, b.ID, b.answer.At, "answered %d after %d runs, the first %q", b.answer.Status, len(b.runs), b.runs[0].ending)
	}
}

// checkWhole checks an answer of a server that claims to be complete.
func (o *Oracle) checkWhole(b *book) {
	a := b.answer
	o.checked[Whole]++
	proved := false
	for _, r := range b.runs {
		if r.answer.Proof(http.MethodPost) != standin.EndComplete {
			continue
		}
		proved = true
		if r.answer.StatusCode() == a.Status && r.answer.SentBody() == a.Body && a.Signed && !r.answer.Unsigned && idsRise(a.Body, b.From) {
			return // one run's own answer; a gap in it is the server's
		}
	}
	switch {
	case !a.Signed:
		o.breaks(Whole, b.ID, a.At, "status %d without a signature", a.Status)
	case !proved:
		o.breaks(Whole, b.ID, a.At, "claims to be complete, as no server's answer did: %s", b.endings())
	case b.Events == 0 || a.Status != http.StatusOK:
		o.breaks(Whole, b.ID, a.At, "status %d with a body that no server sent with it: %q; %s", a.Status, shorten(a.Body), b.endings())
	case a.Body != strings.Join(pieces(b.ID, b.From, b.Events), ""):
		o.breaks(Whole, b.ID, a.At, "a stream that is not events %d to %d, each once: %q; %s", b.From+1, b.Events, shorten(a.Body), b.endings())
	}
}

// idsRise tells whether the ids of all events are larger than the one before, the
// first than from. An answer without events has none.
func idsRise(body string, from int) bool {
	for _, line := range strings.Split(body, "\n") {
		text, named := strings.CutPrefix(line, "id: ")
		if !named {
			continue
		}
		id, err := strconv.Atoi(text)
		if err != nil || id <= from {
			return false
		}
		from = id
	}
	return true
}

// checkCut checks that a request whose one server answered it whole and in time,
// with nothing disturbed, was not cut.
func (o *Oracle) checkCut(b *book) {
	if len(b.runs) != 1 || !b.runs[0].ending.Sound() {
		return
	}
	took := b.answer.At.Sub(b.Sent)
	if took > time.Duration(float64(b.Deadline)*o.bounds.OfDeadline) {
		return
	}
	from := b.Sent.Add(-o.bounds.InTouch)
	if !o.dis.Calm(from, b.answer.At, ProcessOf(b.Process.Router), ServerAt(b.runs[0].place)) {
		return
	}
	if !o.dis.Calm(b.Sent, b.answer.At, StopOf(b.Process.Router)) {
		o.checked[NotCut]++
	}
	if b.answer.Claim == Cut {
		o.breaks(NotCut, b.ID, b.answer.At, "router %d cut it after %s, with status %d and %q", b.Process.Router, took, b.answer.Status, b.runs[0].ending)
	}
}

// endings describes the runs of a request.
func (b *book) endings() string {
	list := make([]string, 0, len(b.runs))
	for _, r := range b.runs {
		list = append(list, string(r.ending))
	}
	return "its runs ended " + strings.Join(list, "; ")
}

// shorten keeps the two ends of a long text.
func shorten(s string) string {
	const most = 400
	if len(s) <= most {
		return s
	}
	return s[:most/2] + " … " + s[len(s)-most/2:]
}
