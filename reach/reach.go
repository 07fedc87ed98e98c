// Package reach decides from one router's own observations whether it reaches backend servers itself
// or must connect to them through another router. It does no I/O: callers pass the time.
//
// A partition cuts a router off from all servers, from those of a service or from those of a failure
// domain, so evidence is collected by Group. A failed connection alone does not show a partition: the
// server may be down for everybody. Only another router that reaches the server at the same time shows
// it, so a group with failures is first suspect, and is cut off once that is verified.
package reach

import (
	"slices"
	"time"

	"github.com/gaplink/gaplink/placement"
)

const (
	// silenceLimit is how long requests to a group may wait without a byte from any of its servers
	// before the group is suspect.
	silenceLimit = time.Second
	// minQuiet is the time without a response from a group after which failures make it suspect.
	minQuiet = 500 * time.Millisecond
	// manyServers is the number of servers to which connections fail that makes a group suspect
	// although others of its servers respond.
	manyServers = 2
	// verifyInterval is the minimum time between two verifications of a suspect group. It doubles up
	// to maxVerifyInterval while they show no partition.
	verifyInterval    = 250 * time.Millisecond
	maxVerifyInterval = 2 * time.Second
	// probeInterval is the time between two probes of a group that is cut off, and probesToReturn
	// the number of consecutive ones that must succeed.
	probeInterval  = 500 * time.Millisecond
	probesToReturn = 2
	// flapWindow is the time after a return in which another partition counts as the same one, which
	// then lasts for minHold at least, doubled each time up to maxHold.
	flapWindow = 10 * time.Second
	minHold    = time.Second
	maxHold    = 8 * time.Second
)

// Group is a set of servers that a partition cuts off together: those of a service in a failure domain.
type Group struct{ Service, Domain string }

// Path is how connections to the servers of a group are to be opened.
type Path struct {
	// Indirect: through another router.
	Indirect bool
	// OpenWork reports, for an indirect path, that direct connections that are open still work.
	OpenWork bool
}

// GroupOf returns the group of a server.
func GroupOf(s placement.Server) Group { return Group{s.Service, s.Domain} }

// Evidence is what is known of a group since the first failure that nothing has explained yet.
type Evidence struct {
	// NotConnected is the number of servers to which connections failed, counted up to manyServers,
	// and NotAnswered the number of exchanges on open connections in which no byte of a response came.
	NotConnected, NotAnswered int
	// First is when the first of these failures began; zero if there is none.
	First time.Time
	// Responded is when a server of the group last responded directly; zero if none has.
	Responded time.Time
	// Waiting is the number of requests that have no response yet.
	Waiting int
}

// Any reports whether there is a failure.
func (e *Evidence) Any() bool { return e.NotConnected+e.NotAnswered > 0 }

// state is the state of a group.
type state struct {
	Evidence
	// waitingSince is when the first of the waiting requests was sent, or when bytes last arrived.
	waitingSince time.Time
	// failed are the servers to which connections failed, the last one first.
	failed []placement.Incarnation

	verifying  bool
	verifyAt   time.Time
	verifyWait time.Duration

	cutOff             bool
	cutOffAt, returned time.Time
	hold               time.Duration
	// responseNeeded reports that servers may be reached only if they respond: connections were
	// accepted without a response.
	responseNeeded bool
	probing        bool
	probeAt        time.Time
	probesPassed   int
}

// Tracker holds the observations of one router. It is not safe for concurrent use.
type Tracker struct {
	groups map[Group]*state
}

// New returns a tracker without observations.
func New() *Tracker { return &Tracker{groups: map[Group]*state{}} }

func (t *Tracker) state(g Group) *state {
	s, ok := t.groups[g]
	if !ok {
		s = &state{verifyWait: verifyInterval, hold: minHold}
		t.groups[g] = s
	}
	return s
}

// Sent records that a request is being sent over a direct connection.
func (t *Tracker) Sent(now time.Time, g Group) {
	s := t.state(g)
	if s.Waiting == 0 {
		s.waitingSince = now
	}
	s.Waiting++
}

// Ended records that a request that was sent has a response, or ended without one.
func (t *Tracker) Ended(g Group) {
	s := t.state(g)
	s.Waiting = max(s.Waiting-1, 0)
}

// Responded records that bytes of a response arrived over a direct connection. Failures to connect
// remain: connections that were opened earlier may live on while new ones fail.
func (t *Tracker) Responded(now time.Time, g Group) {
	s := t.state(g)
	s.Evidence.Responded, s.waitingSince = now, now
	if s.cutOff {
		return
	}
	s.NotAnswered = 0
	if !s.Any() {
		s.First = time.Time{}
	}
}

// Connected records that a direct connection was opened.
func (t *Tracker) Connected(g Group) {
	s, ok := t.groups[g]
	if !ok || s.cutOff || s.NotConnected == 0 {
		return
	}
	s.NotConnected, s.failed = 0, nil
	if !s.Any() {
		s.First = time.Time{}
	}
}

// ConnectFailed records that a direct connection to a server could not be opened.
func (t *Tracker) ConnectFailed(began time.Time, g Group, in placement.Incarnation) {
	s := t.state(g)
	s.begin(began)
	if s.NotConnected < manyServers && !slices.Contains(s.failed, in) {
		s.NotConnected++
		s.failed = append(s.failed, in)
	}
}

// NotAnswered records that an exchange on a direct connection ended without a byte of a response. If a
// server of the group has responded since it began, the server is at fault rather than the path.
func (t *Tracker) NotAnswered(began time.Time, g Group) {
	s := t.state(g)
	if began.Before(s.Evidence.Responded) {
		return
	}
	s.begin(began)
	s.Evidence.NotAnswered++
}

// begin records when the first failure began. It makes the first verification of a series due soon.
func (s *state) begin(at time.Time) {
	if s.Any() {
		return
	}
	s.First = at
	if next := at.Add(verifyInterval); s.verifyAt.After(next) {
		s.verifyAt = next
	}
}

// Evidence returns what is known of a group.
func (t *Tracker) Evidence(g Group) Evidence {
	if s, ok := t.groups[g]; ok {
		return s.Evidence
	}
	return Evidence{}
}

// Path returns how connections to a group are to be opened. Direct connections that are open may live on
// while new ones fail: a server has responded on one since, and none has failed.
func (t *Tracker) Path(now time.Time, g Group) Path {
	s, ok := t.groups[g]
	if !ok || !s.cutOff {
		return Path{}
	}
	answered := s.Evidence.Responded
	return Path{Indirect: true, OpenWork: s.Evidence.NotAnswered == 0 && answered.After(s.First) && now.Sub(answered) < silenceLimit}
}

// Suspect reports whether a group may be cut off, which is to be verified.
func (t *Tracker) Suspect(now time.Time, g Group) bool {
	s, ok := t.groups[g]
	return ok && !s.cutOff && s.suspect(now)
}

func (s *state) suspect(now time.Time) bool {
	return s.NotConnected >= manyServers || s.Any() && s.quiet(now) || s.silent(now)
}

func (s *state) quiet(now time.Time) bool { return now.Sub(s.Evidence.Responded) >= minQuiet }

// Quiet reports whether no server of a group has responded directly for some time.
func (t *Tracker) Quiet(now time.Time, g Group) bool {
	s, ok := t.groups[g]
	return !ok || s.quiet(now)
}

// silent reports whether requests wait and no server has sent a byte for silenceLimit.
func (s *state) silent(now time.Time) bool {
	return s.Waiting > 0 && now.Sub(s.waitingSince) >= silenceLimit
}

// Check is a check whether servers of a group are reached directly.
type Check struct {
	Group Group
	// Server is the server to which a connection failed first; its zero value means any of the group.
	Server placement.Incarnation
	// ResponseNeeded reports that an open connection does not show that a server is reached.
	ResponseNeeded bool
}

// DueVerifications returns the checks of suspect groups that are due. Each must be followed by a call
// of Verified.
func (t *Tracker) DueVerifications(now time.Time) []Check {
	var due []Check
	for g, s := range t.groups {
		if s.cutOff || s.verifying || now.Before(s.verifyAt) || !s.suspect(now) {
			continue
		}
		s.verifying = true
		c := Check{Group: g, ResponseNeeded: s.Evidence.NotAnswered > 0 || s.silent(now)}
		if len(s.failed) > 0 {
			c.Server = s.failed[0]
		}
		due = append(due, c)
	}
	return due
}

// Verified records the result of a verification: whether this router reached a server, and whether
// another router did. It reports whether the group is cut off from now on.
func (t *Tracker) Verified(now time.Time, c Check, direct, elsewhere bool) bool {
	s := t.state(c.Group)
	s.verifying = false
	if direct {
		s.NotConnected, s.failed = 0, nil
		t.Responded(now, c.Group)
	}
	if direct || !elsewhere {
		s.verifyAt = now.Add(s.verifyWait)
		s.verifyWait = min(2*s.verifyWait, maxVerifyInterval)
		return false
	}
	if s.cutOff {
		return false
	}
	s.verifyWait, s.hold = verifyInterval, s.nextHold(now)
	if !s.Any() {
		s.First = s.waitingSince
	}
	s.cutOff, s.cutOffAt, s.responseNeeded = true, now, c.ResponseNeeded
	s.probeAt, s.probesPassed = now.Add(probeInterval), 0
	return true
}

// nextHold returns the least duration of a partition that begins now.
func (s *state) nextHold(now time.Time) time.Duration {
	if s.returned.IsZero() || now.Sub(s.returned) >= flapWindow {
		return minHold
	}
	return min(2*s.hold, maxHold)
}

// DueProbes returns the checks of groups that are cut off that are due. Each must be followed by a call
// of Probed.
func (t *Tracker) DueProbes(now time.Time) []Check {
	var due []Check
	for g, s := range t.groups {
		if s.cutOff && !s.probing && !now.Before(s.probeAt) {
			s.probing = true
			due = append(due, Check{Group: g, ResponseNeeded: s.responseNeeded})
		}
	}
	return due
}

// Probed records the result of a probe and reports whether the group is reached directly from now on.
func (t *Tracker) Probed(now time.Time, g Group, passed bool) bool {
	s := t.state(g)
	s.probing, s.probeAt = false, now.Add(probeInterval)
	if !passed {
		s.probesPassed = 0
		return false
	}
	s.probesPassed++
	if !s.cutOff || s.probesPassed < probesToReturn || now.Sub(s.cutOffAt) < s.hold {
		return false
	}
	s.cutOff, s.returned, s.failed = false, now, nil
	s.Evidence = Evidence{Responded: now, Waiting: s.Waiting}
	s.waitingSince = now
	return true
}

// Groups returns the groups that are cut off.
func (t *Tracker) Groups() []Group {
	var list []Group
	for g, s := range t.groups {
		if s.cutOff {
			list = append(list, g)
		}
	}
	return list
}
