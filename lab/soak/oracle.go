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
	"github.com/gaplink/gaplink/settings"
)

// Guarantee is a property that gaplink guarantees.
type Guarantee string

// The guarantees that the oracle checks.
const (
	AtMostOnce            Guarantee = "a request that may not repeat runs at most once"
	NotRunHolds           Guarantee = "408, 421, 429 and 503 say that the request has not run and never will"
	AnswerIntact          Guarantee = "an answer that claims to be complete is whole and the request's own"
	NoOverspend           Guarantee = "no account gets more than its budget"
	NoRequestWhileLeaving Guarantee = "a server that leaves gets no new request"
	ConfigInForce         Guarantee = "a configuration is in force within the bound"
	ConfigMonotonic       Guarantee = "a configuration is never older than one before"
	NoPlannedCut          Guarantee = "planned work cuts no request"
	NoUnexpectedExit      Guarantee = "a process ends only when it is told to"
	PoisonHeldBack        Guarantee = "a request that ends servers is held back after the third, one with a part of its prompt that does after the fifth"
	OnlyPoisonHeldBack    Guarantee = "no other request is"
	RateLimitKept         Guarantee = "a server does not get more than the rate limit that it names"
	AnnouncedLeaveKept    Guarantee = "a router sends nothing to a server whose answer announced that it leaves"
	CutOffServed          Guarantee = "callers of routers cut off from servers are served at least two thirds as often as others"
	OneVersion            Guarantee = "a stream holds events of one software version"
	StreamsGoOn           Guarantee = "streams that are taken up go on at least half as often as new ones begin"
	SoleVersionKnown      Guarantee = "no stream is refused as unknown while one version alone has served and the store answers"
	BackoffKept           Guarantee = "a router sends nothing to a server that asked it for a backoff"
	RetriesBounded        Guarantee = "arrivals beyond the first of each request stay within the retry limits of the fleet"
	BrittleStayUp         Guarantee = "servers that say that they are brittle stay up"
)

// Violation is one violated guarantee.
type Violation struct {
	Guarantee Guarantee     `json:"promise"`
	Request   string        `json:"request,omitempty"`
	Detail    string        `json:"detail"`
	After     time.Duration `json:"after_ns"`
}

// Process identifies one incarnation of a router's process.
type Process struct{ Router, Incarnation int }

// Request is a caller's request as sent.
type Request struct {
	ID string
	// Service is the service of the request's route.
	Service string
	Process Process
	Sent    time.Time
	// Once is set if the request may be executed at most once.
	Once bool
	// Events is the number of the stream's last event, and From the number of the last event that
	// the caller already has. 0 events mean a plain answer.
	Events, From int
	// Account pays for TokensIn, and for EventTokens per event.
	Account               string
	TokensIn, EventTokens int64
	// Deadline is how long the caller waits.
	Deadline time.Duration
	// Marker is the configuration version that introduced the request's key or route. The next
	// version still has them, the one after doesn't. 0 means that every version has them.
	Marker int64
	// FirstTry is the request that brought the first event of the stream that this one takes up; empty if it
	// takes up none.
	FirstTry string
	// Version is the software version of the server that runs the request; set for its answer only.
	Version string
	// Poison is the body of a poison request, which crashes each server that runs it; empty for all
	// others.
	Poison string
	// Part is set if not the body, but a part of its prompt crashes servers, which Poison names.
	Part bool
}

// Claim is what an answer claims about its completeness.
type Claim int

// The claims.
const (
	// Cut means that the connection ended before the answer did.
	Cut Claim = iota
	// Unframed means that the answer ended with its connection, as its header announced.
	Unframed
	// Complete means that the announced length was reached or the last chunk arrived.
	Complete
)

// Answer is what a caller received. Status 0 means no answer.
type Answer struct {
	At     time.Time
	Status int
	Claim  Claim
	Signed bool
	// ID is the request id that the answer names.
	ID   string
	Body string
	// Canceled is set if the caller canceled the request.
	Canceled bool
	// HeldBack is set if the router held the request back as a poison request.
	HeldBack bool
	// Unknown is set if the router refused to take up a stream since the version that began it is not known, or has no
	// server in use.
	Unknown bool
}

// notRunStatuses are the statuses which state that a request has not run and never will.
var notRunStatuses = map[int]bool{
	http.StatusRequestTimeout: true, http.StatusMisdirectedRequest: true,
	http.StatusTooManyRequests: true, http.StatusServiceUnavailable: true,
}

// Bounds are the time bounds of the guarantees, with slack for a busy machine.
type Bounds struct {
	// QuietPeriod is how long the components concerned must be undisrupted before a bound applies.
	QuietPeriod time.Duration
	// Leaving and Config are measured from the store's acknowledgement.
	Leaving, Config time.Duration
	// VersionOverlap is how long a request may still meet the previous configuration version.
	VersionOverlap time.Duration
	// DeadlineFraction is the fraction of a request's deadline within which an answer counts as in
	// time.
	DeadlineFraction float64
}

// DefaultBounds returns the platform's bounds plus 1.5 s of slack for a busy machine.
func DefaultBounds() Bounds {
	const slack = 1500 * time.Millisecond
	return Bounds{
		QuietPeriod:      3 * time.Second,
		Leaving:          2*time.Second + slack,
		Config:           2*time.Second + slack,
		VersionOverlap:   250 * time.Millisecond,
		DeadlineFraction: 0.5,
	}
}

// serverRun is one run of a request at a server.
type serverRun struct {
	slot   int
	ending Ending
	answer standin.Answer
}

// requestRecord is the state that the oracle keeps for a request.
type requestRecord struct {
	Request
	runs     []serverRun
	arrivals int // includes arrivals that did not run
	// misdirected counts the arrivals at servers for which the request was not meant.
	misdirected int
	answer      *Answer
	// leavingServer is the server that the request reached last, if its answer announced that it
	// is leaving.
	leavingServer string
}

// Oracle checks the guarantees during a run. It is safe for concurrent use.
type Oracle struct {
	mu          sync.Mutex
	start       time.Time
	bounds      Bounds
	disruptions Disruptions
	requests    map[string]*requestRecord
	violations  []Violation
	budgets     map[string]int64
	handedOut   map[string]int64
	leaving     map[string]time.Time
	// latest is the last configuration version sent to the store; acked holds when the store
	// acknowledged each version.
	latest    int64
	acked     map[int64]time.Time
	sightings map[Process][]sighting
	// checked counts, for each guarantee, the occasions on which a violation would have been
	// detected.
	checked map[Guarantee]int
	poison  map[string]*poisonRecord // by request body
	// allLives is set if arrivals of poison requests count at disrupted routers too.
	allLives    bool
	rateLimited map[string]*limitedServer // by server id
	// announced holds when a router first passed on an answer that announced the leaving of its
	// server, and backoffs the backoffs that servers have asked a router for.
	announced map[routerServer]time.Time
	backoffs  map[routerServer][]*askedBackoff
	brittle   brittleRecord
	// versions is what the oracle knows of software versions and of the streams at them.
	versions versionRecord
	retries  retryRecord
	// tries are the tries of callers by the start of their window.
	tries   map[time.Time]*windowTries
	routers int
}

// NewOracle returns an oracle for a run that starts at start.
func NewOracle(start time.Time, b Bounds) *Oracle {
	return &Oracle{
		start: start, bounds: b,
		requests: map[string]*requestRecord{}, budgets: map[string]int64{}, handedOut: map[string]int64{},
		leaving: map[string]time.Time{}, acked: map[int64]time.Time{}, sightings: map[Process][]sighting{},
		checked: map[Guarantee]int{}, poison: map[string]*poisonRecord{},
		rateLimited: map[string]*limitedServer{},
		retries:     retryRecord{slack: settings.DefaultGateway().Retries.Slack},
		versions:    newVersionRecord(),
		tries:       map[time.Time]*windowTries{},
		announced:   map[routerServer]time.Time{}, backoffs: map[routerServer][]*askedBackoff{},
	}
}

// Violations returns the violations recorded so far.
func (o *Oracle) Violations() []Violation {
	o.mu.Lock()
	defer o.mu.Unlock()
	return append([]Violation(nil), o.violations...)
}

// Checked returns how often a violation of each guarantee would have been detected.
func (o *Oracle) Checked() map[Guarantee]int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return maps.Clone(o.checked)
}

func (o *Oracle) violate(p Guarantee, request string, at time.Time, format string, args ...any) {
	o.violations = append(o.violations, Violation{Guarantee: p, Request: request, Detail: fmt.Sprintf(format, args...), After: at.Sub(o.start)})
}

// AddDisruption records a disruption whose end is known.
func (o *Oracle) AddDisruption(s Component, from, to time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.disruptions.Add(s, from)(to)
}

// BeginDisruption records a disruption and returns the function that sets its end.
func (o *Oracle) BeginDisruption(s Component, from time.Time) (end func(at time.Time)) {
	o.mu.Lock()
	defer o.mu.Unlock()
	endLocked := o.disruptions.Add(s, from)
	return func(at time.Time) {
		o.mu.Lock()
		defer o.mu.Unlock()
		endLocked(at)
	}
}

// Ended records a process that exited without being told to.
func (o *Oracle) Ended(p Process, at time.Time, how string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.violate(NoUnexpectedExit, "", at, "router %d, life %d: %s", p.Router, p.Incarnation, how)
}

// Sent records a request before it is sent.
func (o *Oracle) Sent(r Request) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.requests[r.ID] = &requestRecord{Request: r}
	sent := o.retries.of(r.Service)
	sent.requests = append(sent.requests, r.Sent)
}

// Arrived records that a request reached the server with the given id at the given slot. It returns
// the request and the number of earlier arrivals; ok is false if no caller sent the request.
func (o *Oracle) Arrived(id, server string, slot int, at time.Time) (r Request, before int, ok bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	b := o.requests[id]
	if b == nil {
		o.violate(AnswerIntact, id, at, "server %s got a request that no caller sent", server)
		return Request{}, 0, false
	}
	o.checkLeaving(b, server, slot, at)
	o.checkLimit(b, server, slot, at)
	o.checkAnnounced(b, server, at)
	o.checkBackoff(b, server, at)
	o.checkPoison(b, at)
	o.checkRetries(b, at)
	b.arrivals++
	b.leavingServer = ""
	return b.Request, b.arrivals - 1, true
}

// checkLeaving checks that a leaving server receives no new requests.
func (o *Oracle) checkLeaving(b *requestRecord, server string, slot int, at time.Time) {
	if !o.anyLeavingOverdue(at) || !o.routerAndStoreUndisrupted(b.Process.Router, at) {
		return
	}
	o.checked[NoRequestWhileLeaving]++
	since, leaves := o.leaving[server]
	if leaves && at.After(since.Add(o.bounds.Leaving)) && o.undisrupted(at, ServerAtSlot(slot)) {
		o.violate(NoRequestWhileLeaving, b.ID, at, "router %d sent it to %s, %s after it was registered as leaving", b.Process.Router, server, at.Sub(since))
	}
}

// anyLeavingOverdue reports whether some server that is still registered as leaving must no longer
// receive new requests.
func (o *Oracle) anyLeavingOverdue(at time.Time) bool {
	for _, since := range o.leaving {
		if at.After(since.Add(o.bounds.Leaving)) {
			return true
		}
	}
	return false
}

// Left records that a leaving server is gone.
func (o *Oracle) Left(server string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.leaving, server)
}

// routerAndStoreUndisrupted reports whether a router's process, the store and the link between them
// were undisrupted for the quiet period.
func (o *Oracle) routerAndStoreUndisrupted(router int, at time.Time) bool {
	return o.undisrupted(at, RouterProcess(router), PlannedStop(router), StoreLink(router), StoreComponent)
}

// routerUndisrupted reports whether a router's process was undisrupted for the quiet period. The
// store may be down, as routers propagate urgent changes to each other directly.
func (o *Oracle) routerUndisrupted(router int, at time.Time) bool {
	return o.undisrupted(at, RouterProcess(router), PlannedStop(router))
}

func (o *Oracle) undisrupted(at time.Time, components ...Component) bool {
	return o.disruptions.Undisrupted(at.Add(-o.bounds.QuietPeriod), at, components...)
}

// Ran records a run of a request and the answer that the server sends.
func (o *Oracle) Ran(id string, slot int, e Ending, a standin.Answer, at time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	b := o.requests[id]
	b.runs = append(b.runs, serverRun{slot, e, a})
	if b.Once {
		o.checked[AtMostOnce]++
	}
	if b.Once && len(b.runs) > 1 {
		o.violate(AtMostOnce, id, at, "run %d", len(b.runs))
	}
	if b.answer != nil && notRunStatuses[b.answer.Status] {
		o.violate(NotRunHolds, id, at, "runs after its caller got %d", b.answer.Status)
	}
	o.charge(b, a, at)
	o.checkAccepted(b, at)
}

// Leaving records that the store accepted a server's registration as leaving.
func (o *Oracle) Leaving(server string, at time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.leaving[server] = at
}

// Answered records the final outcome that a caller saw.
func (o *Oracle) Answered(id string, a Answer) {
	o.mu.Lock()
	defer o.mu.Unlock()
	b := o.requests[id]
	b.answer = &a
	if a.Status != 0 && a.ID != "" && a.ID != id {
		o.violate(AnswerIntact, id, a.At, "the answer names %s", a.ID)
	}
	if a.HeldBack {
		o.checkHeldBack(b)
	} else if b.Poison == "" {
		o.checked[OnlyPoisonHeldBack]++
	}
	switch {
	case a.Canceled:
	case notRunStatuses[a.Status]:
		o.checkNotRun(b)
	case a.Status == http.StatusUnauthorized || a.Status == http.StatusNotFound:
		o.checkRefused(b, a.At)
	}
	o.recordAnnounced(b)
	o.checkVersions(b)
	if a.Claim == Complete && (a.Signed || a.Status < http.StatusMultipleChoices) {
		o.checkIntact(b)
	}
	if !a.Canceled {
		o.checkCut(b)
		o.countTry(b)
	}
}

func (o *Oracle) checkNotRun(b *requestRecord) {
	o.checked[NotRunHolds]++
	if len(b.runs) > 0 {
		o.violate(NotRunHolds, b.ID, b.answer.At, "answered %d after %d runs, the first %q", b.answer.Status, len(b.runs), b.runs[0].ending)
	}
}

// checkIntact checks a server's answer that claims to be complete.
func (o *Oracle) checkIntact(b *requestRecord) {
	a := b.answer
	o.checked[AnswerIntact]++
	anyComplete := false
	for _, r := range b.runs {
		if r.answer.Proof(http.MethodPost) != standin.EndComplete {
			continue
		}
		anyComplete = true
		if r.answer.StatusCode() == a.Status && r.answer.SentBody() == a.Body && a.Signed && !r.answer.Unsigned && idsAscend(a.Body, b.From) {
			return // the answer of a single run; a gap in its events is the server's fault
		}
	}
	switch {
	case !a.Signed:
		o.violate(AnswerIntact, b.ID, a.At, "status %d without a signature", a.Status)
	case !anyComplete:
		o.violate(AnswerIntact, b.ID, a.At, "claims to be complete, as no server's answer did: %s", b.describeRuns())
	case b.Events == 0 || a.Status != http.StatusOK:
		o.violate(AnswerIntact, b.ID, a.At, "status %d with a body that no server sent with it: %q; %s", a.Status, abbreviate(a.Body), b.describeRuns())
	case withoutVersions(a.Body) != strings.Join(pieces(b.ID, b.From, b.Events), ""):
		o.violate(AnswerIntact, b.ID, a.At, "a stream that is not events %d to %d, each once: %q; %s", b.From+1, b.Events, abbreviate(a.Body), b.describeRuns())
	}
}

// idsAscend reports whether the ids of the events ascend strictly and start above from. It is true
// for an answer without events.
func idsAscend(body string, from int) bool {
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

// checkCut checks that a request was not cut if it ran on one server only, was answered completely
// and in time, and no disruption explains a cut.
func (o *Oracle) checkCut(b *requestRecord) {
	if len(b.runs) != 1 || !b.runs[0].ending.SimplyComplete() {
		return
	}
	took := b.answer.At.Sub(b.Sent)
	if took > time.Duration(float64(b.Deadline)*o.bounds.DeadlineFraction) {
		return
	}
	from := b.Sent.Add(-o.bounds.QuietPeriod)
	if !o.disruptions.Undisrupted(from, b.answer.At, RouterProcess(b.Process.Router), ServerLinks(b.Process.Router), ServerAtSlot(b.runs[0].slot)) {
		return
	}
	if !o.disruptions.Undisrupted(b.Sent, b.answer.At, PlannedStop(b.Process.Router)) {
		o.checked[NoPlannedCut]++
	}
	if b.answer.Claim == Cut {
		o.violate(NoPlannedCut, b.ID, b.answer.At, "router %d cut it after %s, with status %d and %q", b.Process.Router, took, b.answer.Status, b.runs[0].ending)
	}
}

// describeRuns lists how the runs of a request ended.
func (b *requestRecord) describeRuns() string {
	list := make([]string, 0, len(b.runs))
	for _, r := range b.runs {
		list = append(list, string(r.ending))
	}
	return "its runs ended " + strings.Join(list, "; ")
}

// abbreviate keeps the beginning and the end of a long text.
func abbreviate(s string) string {
	const maxLength = 400
	if len(s) <= maxLength {
		return s
	}
	return s[:maxLength/2] + " … " + s[len(s)-maxLength/2:]
}
