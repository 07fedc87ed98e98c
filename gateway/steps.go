package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/gaplink/gaplink/bound"
	"github.com/gaplink/gaplink/catalog"
	"github.com/gaplink/gaplink/clock"
	"github.com/gaplink/gaplink/placement"
	"github.com/gaplink/gaplink/result"
	"github.com/gaplink/gaplink/retryafter"
	"github.com/gaplink/gaplink/wait"
)

const (
	// startingRetryAfter is the Retry-After of a router without a configuration; it usually
	// has one within this time.
	startingRetryAfter = 300 * time.Millisecond
	// leavingRetryAfter is the Retry-After of a stopping router: almost immediate, since
	// another router accepts the connection.
	leavingRetryAfter = 10 * time.Millisecond
	// defaultDeadline applies when neither caller nor route sets one.
	defaultDeadline = 30 * time.Second
	// timeoutMargin is how long before its deadline a request is abandoned, so that the
	// response is still sent in time.
	timeoutMargin = 20 * time.Millisecond
	// reserveWaitDivisor divides the latency objective to give the time that a request may
	// wait for tokens.
	reserveWaitDivisor = 5
	// linkDelayDivisor divides a request's time to give the most that queueing at the link may
	// take of it.
	linkDelayDivisor = 2
	// staleRetryAfter is the Retry-After of a router whose data is stale: short, since its
	// connection is closed and the next one goes to another router.
	staleRetryAfter = 50 * time.Millisecond
	// staleWait is how long a request may wait for a stale router to catch up: the interval
	// between two requests for updates. stalePoll is the polling interval during that wait.
	staleWait = bound.RequestInterval
	stalePoll = 10 * time.Millisecond
	// minReserveWait is the minimum time that a request may wait for tokens: a read and a
	// write at the store plus a margin.
	minReserveWait = 40 * time.Millisecond
)

// admit refuses requests while the router cannot serve any.
func (g *Gateway) admit(c *call) *result.Error {
	if g.refusingNew.Load() {
		return c.temporary(result.New(result.Leaving, "the router is stopping").After(leavingRetryAfter), retryafter.Stopping, 0)
	}
	c.catalog = g.Config.Catalog()
	if c.catalog == nil || !g.Servers.Ready() {
		return c.temporary(result.New(result.Starting, "the router has no configuration yet").After(startingRetryAfter), retryafter.Starting, 0)
	}
	return c.waitUntilCurrent()
}

// waitUntilCurrent waits for a stale router to catch up and refuses the request if it does not
// soon: waiting costs less than a retry by the caller.
func (c *call) waitUntilCurrent() *result.Error {
	refusal := c.g.staleRefusal()
	for begun := clock.Now(); refusal != nil && clock.Since(begun) < staleWait; refusal = c.g.staleRefusal() {
		if err := wait.For(c.r.Context(), stalePoll); err != nil {
			return c.timeoutRefusal(err)
		}
	}
	if refusal == nil {
		return nil
	}
	return c.temporary(refusal, retryafter.Isolated, 0)
}

// staleRefusal returns an error while the router's data is so stale that a request could reach
// a server too long after that server left.
func (g *Gateway) staleRefusal() *result.Error {
	if g.Stale == nil || !g.Stale() {
		return nil
	}
	return result.New(result.NotAccepted, "the router is behind").After(staleRetryAfter)
}

func (g *Gateway) findRoute(c *call) *result.Error {
	path, _, _ := strings.Cut(c.r.RequestURI, "?")
	c.route = c.catalog.Route(c.r.Host, path)
	if c.route == nil {
		return c.outdated(g.unknownRefusal(result.New(result.UnknownService, "no route for %s%s", c.r.Host, path)))
	}
	limit := defaultDeadline
	if c.Deadline > 0 {
		limit = c.Deadline
	}
	if c.route.Timeout > 0 {
		limit = min(limit, c.route.Timeout)
	}
	c.deadline = c.arrived.Add(limit - timeoutMargin - g.linkDelay(limit))
	return nil
}

// linkDelay returns the part of a request's time that is spent on the router's own link: the
// caller's time starts before the request queues there, and the response queues there again.
// On a saturated link that is up to a second, by which a response at the deadline would be late.
func (g *Gateway) linkDelay(timeout time.Duration) time.Duration {
	if g.LinkDelay == nil {
		return 0
	}
	return min(g.LinkDelay(), timeout/linkDelayDivisor)
}

// unknownRefusal refuses a request for something that the configuration does not contain. A
// router that may have missed a change does not report it as unknown.
func (g *Gateway) unknownRefusal(refusal *result.Error) *result.Error {
	if age := g.Config.Age(); g.ConfigBound > 0 && (age < 0 || age > g.ConfigBound) {
		return result.New(result.Starting, "the configuration here may be out of date").After(startingRetryAfter).Wrap(refusal)
	}
	return refusal
}

func (g *Gateway) authenticate(c *call) *result.Error {
	c.account = c.catalog.Account(c.Key)
	if c.account != nil || c.route.Public {
		return nil
	}
	return c.outdated(g.unknownRefusal(result.New(result.Unauthenticated, "the key is not known")))
}

// outdated marks the refusal of a router whose configuration may be out of date as temporary.
func (c *call) outdated(refusal *result.Error) *result.Error {
	if refusal.Code != result.Starting {
		return refusal
	}
	return c.temporary(refusal, retryafter.Starting, 0)
}

func (g *Gateway) readBody(c *call) *result.Error {
	if c.r.Body == nil || c.r.Body == http.NoBody {
		return nil
	}
	limit := c.catalog.Limits.MaxBodyBytes
	body := c.r.Body
	if limit > 0 {
		body = http.MaxBytesReader(c.reply.w, body, limit)
	}
	defer g.reading.add(c, c.stopReading)()
	var err error
	switch length := c.r.ContentLength; {
	case limit > 0 && length > limit: // checked before any memory is allocated
		return bodyTooLarge(limit)
	case limit > 0 && length > 0:
		c.body = make([]byte, length)
		_, err = io.ReadFull(body, c.body)
	default:
		c.body, err = io.ReadAll(body)
	}
	var tooLarge *http.MaxBytesError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &tooLarge):
		return bodyTooLarge(tooLarge.Limit)
	case errors.Is(err, os.ErrDeadlineExceeded) && g.drained():
		return c.stopped(err)
	default:
		return result.New(result.CallerGone, "the body did not arrive").Wrap(err)
	}
}

// countBytes counts the bytes of the request and of its response for the caller's account. Requests
// of routes that need no key count for the empty name.
func (g *Gateway) countBytes(c *call) *result.Error {
	account := ""
	if c.account != nil {
		account = c.account.Name
	}
	g.Meter.Account(account, headSize(c.r)+len(c.body))
	c.reply.count = func(n int) { g.Meter.Account(account, n) }
	return nil
}

// headSize returns the approximate size of a request's head on the wire.
func headSize(r *http.Request) int {
	const separators = 4 // ": " and the end of the line
	n := len(r.Method) + len(r.RequestURI) + len(r.Proto) + separators
	for name, values := range r.Header {
		for _, v := range values {
			n += len(name) + len(v) + separators
		}
	}
	return n
}

func bodyTooLarge(limit int64) *result.Error {
	return result.New(result.BodyTooLarge, "the body is over %d bytes", limit)
}

// readPrompt derives the inputs of server selection: the hash of the prompt parts shared with
// other requests and the size of the rest.
func (g *Gateway) readPrompt(c *call) *result.Error {
	n := len(c.Prefix)
	if n == 0 {
		return nil
	}
	c.newTokens = c.Prefix[n-1].Tokens
	shared := c.Prefix[:max(n-1, 1)]
	ids := make([]string, 0, len(shared))
	for _, p := range shared {
		ids = append(ids, p.ID)
	}
	c.affinity = placement.Affinity(ids)
	return nil
}

// reserve reserves the maximum cost of the request from its account's budget. A request that is
// refused because of an outage is held if the outage is predicted to end soon.
func (g *Gateway) reserve(c *call) *result.Error {
	refusal := g.reserveNow(c)
	if refusal != nil && c.hold(c.r.Context(), refusal) {
		return g.reserveNow(c)
	}
	return refusal
}

// reserveNow reserves the tokens, waiting for an answer.
func (g *Gateway) reserveNow(c *call) *result.Error {
	if c.account == nil || !c.account.HasBudget {
		return nil
	}
	if c.BadTokens != nil {
		return result.New(result.BadHeader, "the size of the request cannot be read").Wrap(c.BadTokens)
	}
	if c.MaxTokens() == 0 {
		return nil
	}
	g.returns.observeStore()
	wait := max(c.route.LatencyObjective/reserveWaitDivisor, minReserveWait)
	ctx, cancel := context.WithTimeout(c.r.Context(), c.tokenWait(wait))
	defer cancel()
	if err := g.Budgets.ReserveRanked(ctx, c.account.Name, c.MaxTokens(), c.route.Priority); err != nil {
		return c.budgetRefusal(result.From(err))
	}
	c.reserved = c.MaxTokens()
	return nil
}

// tokenWait returns how long a request may wait for tokens: normal, and at a saturated link also
// the queueing delay there, up to half of the request's remaining time. The question for tokens
// and its answer queue at the same link, and a request that has crossed it would only cross it
// again if it were refused.
func (c *call) tokenWait(normal time.Duration) time.Duration {
	if c.g.TokenDelay == nil {
		return normal
	}
	most := c.deadline.Sub(clock.Now()) / linkDelayDivisor
	return max(normal, min(normal+c.g.TokenDelay(), most))
}

// budgetRefusal returns the error for a request whose tokens were not reserved.
func (c *call) budgetRefusal(refusal *result.Error) *result.Error {
	if refusal.Code != result.BudgetUnreachable {
		return refusal
	}
	return c.temporary(refusal, c.g.tokenCause(), refusal.RetryAfter)
}

// reserveAgain reserves the tokens that another attempt may generate, after an attempt that
// may have generated its maximum without this router observing it.
func (c *call) reserveAgain() *result.Error {
	if c.reserved == 0 || c.MaxTokensOut == 0 || c.unobserved == 0 {
		return nil
	}
	ctx, cancel := context.WithTimeout(c.r.Context(), c.tokenWait(minReserveWait))
	defer cancel()
	if err := c.g.Budgets.ReserveRanked(ctx, c.account.Name, c.MaxTokensOut, c.route.Priority); err != nil {
		return result.New(result.BackendCut, "the budget does not cover another attempt").Wrap(err)
	}
	c.reserved += c.MaxTokensOut
	return nil
}

// chooseService picks the service that began the stream, or one of the route's services at random by
// weight.
func (c *call) chooseService() {
	name, ok := c.originService()
	if !ok {
		name = c.pickWeighted(c.route.Split).Service
	}
	c.service = c.catalog.Services[name]
}

func (c *call) pickWeighted(split []catalog.WeightedService) catalog.WeightedService {
	total := 0
	for _, s := range split {
		total += max(s.Weight, 0)
	}
	if len(split) == 1 || total == 0 {
		return split[0]
	}
	n := c.g.Servers.RandomInt(total)
	for _, s := range split {
		n -= max(s.Weight, 0)
		if n < 0 {
			return s
		}
	}
	return split[0]
}
