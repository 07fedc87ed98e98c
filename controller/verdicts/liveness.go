package verdicts

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/gaplink/gaplink/placement"
	"github.com/gaplink/gaplink/poison"
	"github.com/gaplink/gaplink/upstream"
	"github.com/gaplink/gaplink/wait"
)

const (
	// settleDelay is the time between the first broken response and the liveness check: when a
	// process exits, all its connections break within a round trip, and its machine refuses
	// new ones from then on.
	settleDelay = 20 * time.Millisecond
	// checkTimeout bounds the liveness check.
	checkTimeout = 400 * time.Millisecond
)

// livenessCheck is a check of a process that is under way, and the requests whose responses
// broke off there.
type livenessCheck struct {
	server placement.Server
	// planned is set if the process was already draining when the first response broke off.
	planned  bool
	requests map[poison.Fingerprint][]poison.Part
	// broken is set if a response broke off, rather than ending with its connection.
	broken bool
	// found is the result, valid once done is closed.
	found upstream.Liveness
	done  chan struct{}
}

// crashed reports, once the check is done, whether the process has crashed.
func (c *livenessCheck) crashed() bool { return c.found == upstream.Gone && !c.planned }

// RecordBroken records that the response of a server to a request broke off, or never came because
// the connection closed. The cause may be the process, one connection, a link or a single
// response: one liveness check of the process covers all requests that broke off there. The
// returned channel is closed when its result is known, within some tens of milliseconds. parts are those of
// the request's prompt that may be shared with other requests.
func (c *Controller) RecordBroken(s placement.Server, request poison.Fingerprint, parts ...poison.Part) <-chan struct{} {
	return c.check(s, request, parts, true).done
}

// CheckEnded finds out whether a process has crashed whose response to a request ended with its connection, which
// looks the same if the process ended. It waits for the result, for some tens of milliseconds.
func (c *Controller) CheckEnded(ctx context.Context, s placement.Server, request poison.Fingerprint, parts ...poison.Part) (found upstream.Liveness, crashed bool) {
	check := c.check(s, request, parts, false)
	select {
	case <-check.done:
		return check.found, check.crashed()
	case <-ctx.Done():
		return upstream.Unknown, false
	}
}

// check adds a request to the liveness check of a process, and starts one if none is under way.
func (c *Controller) check(s placement.Server, request poison.Fingerprint, parts []poison.Part, broken bool) *livenessCheck {
	c.mu.Lock()
	defer c.mu.Unlock()
	check := c.checks[s.Incarnation()]
	if check == nil {
		check = &livenessCheck{server: s, planned: !c.Servers.AcceptsRequests(s.Incarnation()), requests: map[poison.Fingerprint][]poison.Part{}, done: make(chan struct{})}
		c.checks[s.Incarnation()] = check
		go c.checkLiveness(check)
	}
	check.requests[request] = parts
	check.broken = check.broken || broken
	return check
}

// checkLiveness finds out whether a process has crashed, and if so applies a crash report. The
// planned exit of a draining process does not count as a crash, and a process that may only be
// unreachable counts as alive: reporting either would put requests under suspicion that merely
// ran there.
func (c *Controller) checkLiveness(check *livenessCheck) {
	defer close(check.done)
	ctx, cancel := context.WithTimeout(context.Background(), settleDelay+checkTimeout)
	defer cancel()
	_ = wait.For(ctx, settleDelay)
	in := check.server.Incarnation()
	check.found = c.Checker.Check(ctx, check.server)
	crash := poison.Crash{Server: in, Service: check.server.Service}
	if check.found == upstream.Gone {
		c.Servers.Crashed(in)
	}
	c.finishCheck(check)
	for request, parts := range check.requests {
		crash.AddRequest(request, parts)
	}
	if !check.broken && !check.crashed() {
		return
	}
	c.Log.Info("answers broke off", zap.String("server", in.ID), zap.Int64("started", in.Started), zap.String("service", check.server.Service),
		zap.Stringer("process", check.found), zap.Bool("planned", check.planned), zap.Stringers("fingerprints", crash.Requests))
	if !check.crashed() {
		return
	}
	c.apply(poison.Report{Crashes: []poison.Crash{crash}}, origin{name: "this router", local: true})
}

// finishCheck ends a check: no further requests are added to it.
func (c *Controller) finishCheck(check *livenessCheck) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.checks, check.server.Incarnation())
	c.counts.LivenessChecks++
}
