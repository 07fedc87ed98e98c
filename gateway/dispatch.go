package gateway

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"time"

	"github.com/gaplink/gaplink/catalog"
	"github.com/gaplink/gaplink/clock"
	"github.com/gaplink/gaplink/placement"
	"github.com/gaplink/gaplink/result"
	"github.com/gaplink/gaplink/retryafter"
	"github.com/gaplink/gaplink/upstream"
)

const (
	// busyRetryAfter is the Retry-After when servers refused the request: a slot of a plain
	// service is free again after about this time.
	busyRetryAfter = 250 * time.Millisecond
	// noServerRetryAfter is the Retry-After when no server is in use.
	noServerRetryAfter = 500 * time.Millisecond
	// extraAfterRefusal is how many servers beyond the route's attempts may be tried after one
	// that certainly did not run the request.
	extraAfterRefusal = 1
	// maxUnreached bounds the servers that are tried without reaching one.
	maxUnreached = 4
)

// disposition is how an attempt ended.
type disposition int

const (
	// served: the response was forwarded to the caller in full.
	served disposition = iota
	// notReached: nothing was sent to the server.
	notReached
	// notRun: the server certainly did not run the request.
	notRun
	// failed: the request may have run, and there is no usable response.
	failed
	// ended: the request is finished and its outcome is set.
	ended
)

// dispatch sends the request to servers. A request that was refused because they are busy is held if
// room is predicted soon.
func (c *call) dispatch() {
	ctx, cancel := context.WithTimeout(c.r.Context(), clock.Until(c.deadline))
	defer cancel()
	c.findOrigin(ctx)
	c.chooseService()
	c.retries = c.g.Retries.Begin(clock.Now(), c.service.Name)
	defer c.retries.End()
	defer c.g.running.add(c, cancel)()
	refusal := c.pinVersion()
	if refusal == nil {
		refusal = c.limitedRefusal()
	}
	if refusal == nil {
		refusal = c.tryServers(ctx)
	}
	if refusal != nil && c.hold(ctx, refusal) {
		if refusal = c.retryHeld(); refusal == nil {
			refusal = c.tryServers(ctx)
		}
	}
	if refusal != nil {
		c.fail(refusal)
	}
}

// tryServers sends the request to servers until one responds. It returns an error if no further
// attempt is allowed before.
func (c *call) tryServers(ctx context.Context) *result.Error {
	tried := map[placement.Incarnation]bool{}
	c.tried = tried
	var unreached []placement.Incarnation
	var counts attemptCounts
	for {
		if refusal := c.admitRun(); refusal != nil {
			return refusal
		}
		if refusal := c.stopRefusal(); refusal != nil {
			return refusal
		}
		if refusal := c.payForRetry(); refusal != nil {
			return refusal
		}
		a, refusal := c.pick(ctx, tried)
		if refusal != nil && c.awaitPath(ctx, tried, unreached) {
			continue
		}
		if refusal != nil {
			return refusal
		}
		tried[a.server.Incarnation()] = true
		a.isLast = counts.sent+1 >= c.route.Attempts || !c.mayRetry()
		d := a.run(ctx)
		c.recordAttempt(a)
		c.recordArrival(a, d)
		if d == served || d == ended {
			return nil
		}
		counts.add(d)
		if d == notReached {
			unreached = append(unreached, a.server.Incarnation())
			if lacksPath(a.err) {
				counts.unreached++ // further servers probably lack one too
			}
			if counts.unreached >= maxUnreached && c.awaitPath(ctx, tried, unreached) {
				counts.unreached, unreached = 0, nil
			}
		}
		c.refusedByServer = c.refusedByServer || d == notRun
		if stop := c.checkRetry(ctx, d, a, counts); stop != nil {
			return stop
		}
	}
}

// lacksPath reports whether a server was not reached because no other router provided a connection.
func lacksPath(err error) bool {
	var failure *upstream.Failure
	return errors.As(err, &failure) && failure.NoPath
}

// attemptCounts counts the ended attempts of a request by disposition.
type attemptCounts struct {
	// sent counts attempts that may have run, refused those that certainly did not, and
	// unreached those that reached no server.
	sent, refused, unreached int
}

func (t *attemptCounts) add(d disposition) {
	switch d {
	case notReached:
		t.unreached++
	case notRun:
		t.refused++
	case failed:
		t.sent++
	}
}

func (c *call) query(tried map[placement.Incarnation]bool) placement.Query {
	affinity := c.affinity
	if isolated := c.poisonStatus().Affinity(); isolated != 0 {
		affinity = isolated
	}
	q := placement.Query{
		Service:  c.service.Name,
		Version:  c.stream.version.Load(),
		Affinity: affinity,
		Tokens:   c.newTokens,
		Prompt:   c.TokensIn,
		Tried:    tried,
		Domain:   c.g.Domain,
		InDomain: c.allowedDomains(),
		Retry:    c.arrivals > 0,
		Rank:     c.rank(),
	}
	q.OnlyHeard = q.Retry && c.g.Retries.Young(clock.Now())
	if c.service.Engine != nil {
		q.Slots = c.service.Engine.Slots
	}
	c.setObjectives(&q)
	return q
}

// linkSaturated reports whether the router's own link is known to be saturated.
func (g *Gateway) linkSaturated() bool { return g.LinkSaturated != nil && g.LinkSaturated() }

// setObjectives adds the objectives of a stream from an engine, by which its server is chosen.
func (c *call) setObjectives(q *placement.Query) {
	if e := c.service.Engine; e != nil && c.route.Kind == catalog.Stream {
		q.FirstObjective, q.EventObjective = c.route.LatencyObjective, c.route.EventObjective
		q.Slots, q.EventTokens = e.Slots, e.EventTokens
		q.LinkSaturated = c.g.linkSaturated()
	}
}

// routePriorityLevels is the number of distinct route priorities; an account's priority takes
// precedence over them.
const routePriorityLevels = 100

// rank returns the urgency of the request among all requests that need the same servers.
func (c *call) rank() int {
	rank := min(max(c.route.Priority, 0), routePriorityLevels-1)
	if c.account != nil {
		rank += routePriorityLevels * max(c.account.Priority, 0)
	}
	return rank
}

// allowedDomains returns a filter for the failure domains in which the request may run: those
// whose region is listed by both the route and the account, where they list any. A nil filter
// allows all.
func (c *call) allowedDomains() func(domain string) bool {
	var allowed [][]string
	if len(c.route.Regions) > 0 {
		allowed = append(allowed, c.route.Regions)
	}
	if c.account != nil && len(c.account.Regions) > 0 {
		allowed = append(allowed, c.account.Regions)
	}
	if allowed == nil {
		return nil
	}
	return func(domain string) bool {
		region := c.g.Regions[domain]
		for _, regions := range allowed {
			if region == "" || !slices.Contains(regions, region) {
				return false
			}
		}
		return true
	}
}

// checkRetry returns nil if the request may be sent to another server, should the retry budget allow it, and
// otherwise the error that ends it.
func (c *call) checkRetry(ctx context.Context, d disposition, a *attempt, counts attemptCounts) *result.Error {
	cause := a.err
	if err := ctx.Err(); err != nil {
		return c.timeoutRefusal(err)
	}
	if c.deadlinePassed() {
		return c.timeoutRefusal(context.DeadlineExceeded)
	}
	switch d {
	case notReached:
		if refusal := c.g.staleRefusal(); refusal != nil {
			return c.temporary(refusal.Wrap(cause), retryafter.Isolated, 0)
		}
		if counts.unreached >= maxUnreached {
			return c.unreachedRefusal(cause)
		}
		return nil // no server spent work on the request
	case notRun:
		if refusal := c.overloadRefusal(); refusal != nil {
			return refusal.Wrap(cause)
		}
		if counts.sent+counts.refused >= c.route.Attempts+extraAfterRefusal {
			return c.temporary(result.New(result.NotAccepted, "the servers are full").After(busyRetryAfter).Wrap(cause), retryafter.Busy, 0)
		}
	case failed:
		if !c.mayRepeat() || counts.sent >= c.route.Attempts {
			return result.New(result.BackendCut, "the server did not answer whole").Wrap(cause)
		}
		if c.poisonStatus().MayCrashServers(ctx) {
			return result.New(result.BackendCut, "more than one server ended under the request").Wrap(cause)
		}
	}
	if c.tokensReserved {
		c.tokensReserved = false
		return nil
	}
	if d == failed {
		if refusal := c.reserveAgain(); refusal != nil {
			return refusal.Wrap(cause)
		}
	}
	return nil
}

// timeoutRefusal returns CallerGone if the caller disconnected, and otherwise the error for a
// timeout.
func (c *call) timeoutRefusal(err error) *result.Error {
	if c.r.Context().Err() != nil {
		return result.New(result.CallerGone, "the caller closed the connection").Wrap(err)
	}
	if c.g.drained() {
		return c.stopped(err)
	}
	if c.mayHaveRun {
		return result.New(result.AttemptTimeout, "no answer in time").Wrap(err)
	}
	refusal := result.New(result.NotAccepted, "no server took the request in time").After(busyRetryAfter).Wrap(err)
	return c.temporary(refusal, c.g.timeoutCause(), 0)
}

// unreachedRefusal returns the error for a request that reached none of several servers. Where
// connections to them were used up, the servers are busy; otherwise nothing predicts when they can be
// reached.
func (c *call) unreachedRefusal(cause error) *result.Error {
	refusal := result.New(result.NoBackend, "no server of %s could be reached", c.service.Name).After(noServerRetryAfter).Wrap(cause)
	var failure *upstream.Failure
	if errors.As(cause, &failure) && failure.Full {
		return c.temporary(refusal, retryafter.Busy, 0)
	}
	return refusal
}

// fail ends the request with an error; a response that has begun is aborted.
func (c *call) fail(end *result.Error) {
	if !c.reply.hasBegun() {
		c.refuse(end)
		return
	}
	c.outcome = end.Code
	c.cause = end
	c.reply.abort()
}

// mayRepeat reports whether another server may be tried: the request is repeatable, and the
// part of the response that the caller has can be continued.
func (c *call) mayRepeat() bool {
	if !c.route.MayRepeat() {
		return false
	}
	if c.route.Kind == catalog.Stream {
		return !c.stream.notResumable.Load()
	}
	return !c.reply.hasBegun()
}

// recordAttempt records an ended attempt in the log entry, placement and metrics.
func (c *call) recordAttempt(a *attempt) {
	a.record.outcome = a.outcomeText()
	a.record.after = clock.Since(c.arrived)
	c.attempts = append(c.attempts, a.record)
	a.recordPromptRead()
	c.g.Servers.ReturnSlot(a.server, a.loan, a.noRoom)
	c.g.Servers.RecordOutcome(a.server.Incarnation(), a.serverOutcome)
	if a.serverOutcome == placement.Answered {
		c.recordRunTime(a)
		c.g.returns.ended(c.service.Name)
		c.g.holding.release(retryafter.Room{Cause: retryafter.Busy, Key: c.service.Name}, 1)
	}
	c.g.Metrics.attempt(c.service.Name, a.outcomeLabel)
}

// recordRunTime records how long the run of an attempt took whose response was relayed.
func (c *call) recordRunTime(a *attempt) {
	if c.outcome == result.OK && a.record.status < http.StatusMultipleChoices {
		c.g.runTimes.add(c.route.Name, clock.Since(a.sentAt))
	}
}
