package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/gaplink/gaplink/bound"
	"github.com/gaplink/gaplink/catalog"
	"github.com/gaplink/gaplink/clock"
	"github.com/gaplink/gaplink/placement"
	"github.com/gaplink/gaplink/result"
	"github.com/gaplink/gaplink/wait"
)

const (
	// startingRetry is when to come back to a router that knows no
	// configuration yet; it usually does within this time.
	startingRetry = 300 * time.Millisecond
	// leavingRetry is when to come back after a router that stops refused: at
	// once, since another one takes the connection.
	leavingRetry = 10 * time.Millisecond
	// defaultDeadline is used when neither caller nor route names one.
	defaultDeadline = 30 * time.Second
	// timeoutMargin is how much before the end of its time a request is given
	// up, so that the answer is still sent in time.
	timeoutMargin = 20 * time.Millisecond
	// objectivePart is the share of the latency objective that a request may
	// wait for tokens.
	objectivePart = 5
	// behindPart is the part of a request's time that a wait at the link may take of it.
	behindPart = 2
	// elsewhereRetry is when to come back after a router that is behind: soon, since its
	// connection is closed and the next one is handed to another router.
	elsewhereRetry = 50 * time.Millisecond
	// updateWait is how long a request may wait for a router that is behind: the time between two
	// requests for updates. updatePoll is how often it looks.
	updateWait = bound.AskEvery
	updatePoll = 10 * time.Millisecond
	// minimumWait is the least time that a request may wait for tokens: a read
	// and a write at the store and some.
	minimumWait = 40 * time.Millisecond
)

// admit refuses while the router cannot serve at all.
func (g *Gateway) admit(c *call) *result.Error {
	if g.refusing.Load() {
		return result.New(result.Leaving, "the router is stopping").After(leavingRetry)
	}
	c.catalog = g.Config.Catalog()
	if c.catalog == nil || !g.Servers.Ready() {
		return result.New(result.Starting, "the router has no configuration yet").After(startingRetry)
	}
	return c.waitUntilCurrent()
}

// waitUntilCurrent waits for a router that is behind to be up to date, and refuses if it is not
// soon: a request that waits costs less than one that comes back.
func (c *call) waitUntilCurrent() *result.Error {
	refusal := c.g.late()
	for begun := clock.Now(); refusal != nil && clock.Since(begun) < updateWait; refusal = c.g.late() {
		if err := wait.For(c.r.Context(), updatePoll); err != nil {
			return c.timeEnded(err)
		}
	}
	return refusal
}

// late refuses while a request could reach a server too long after that has left.
func (g *Gateway) late() *result.Error {
	if g.Stale == nil || !g.Stale() {
		return nil
	}
	return result.New(result.NotAccepted, "the router is behind").After(elsewhereRetry)
}

func (g *Gateway) findRoute(c *call) *result.Error {
	path, _, _ := strings.Cut(c.r.RequestURI, "?")
	c.route = c.catalog.Route(c.r.Host, path)
	if c.route == nil {
		return g.unknown(result.New(result.UnknownService, "no route for %s%s", c.r.Host, path))
	}
	limit := defaultDeadline
	if c.Deadline > 0 {
		limit = c.Deadline
	}
	if c.route.Timeout > 0 {
		limit = min(limit, c.route.Timeout)
	}
	c.deadline = c.arrived.Add(limit - timeoutMargin - g.behind(limit))
	return nil
}

// behind is what of a request's time is gone on the router's own link: its caller counts
// from before its bytes waited there, and the answer waits there again. At a full link
// that is up to a second, and an answer at the end of the time would come late by it.
func (g *Gateway) behind(limit time.Duration) time.Duration {
	if g.LinkWait == nil {
		return 0
	}
	return min(g.LinkWait(), limit/behindPart)
}

// unknown refuses what the configuration does not hold. A router that may have
// missed a change does not claim so.
func (g *Gateway) unknown(refusal *result.Error) *result.Error {
	if age := g.Config.Age(); g.ConfigBound > 0 && (age < 0 || age > g.ConfigBound) {
		return result.New(result.Starting, "the configuration here may be out of date").After(startingRetry).Wrap(refusal)
	}
	return refusal
}

func (g *Gateway) authenticate(c *call) *result.Error {
	c.account = c.catalog.Account(c.Key)
	if c.account != nil || c.route.Public {
		return nil
	}
	return g.unknown(result.New(result.Unauthenticated, "the key is not known"))
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
	var err error
	switch length := c.r.ContentLength; {
	case limit > 0 && length > limit: // before it takes any memory
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
	default:
		return result.New(result.CallerGone, "the body did not arrive").Wrap(err)
	}
}

func bodyTooLarge(limit int64) *result.Error {
	return result.New(result.BodyTooLarge, "the body is over %d bytes", limit)
}

// readPrompt derives what decides the choice of an engine: the hash of the
// parts that the prompt shares with others, and the size of what it does not.
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

// reserve takes the most that the request can cost from its account's budget.
func (g *Gateway) reserve(c *call) *result.Error {
	if c.account == nil || !c.account.Metered || c.Worst() == 0 {
		return nil
	}
	wait := max(c.route.Objective/objectivePart, minimumWait)
	ctx, cancel := context.WithTimeout(c.r.Context(), wait)
	defer cancel()
	if err := g.Budgets.Reserve(ctx, c.account.Name, c.Worst()); err != nil {
		return result.From(err)
	}
	c.reserved = c.Worst()
	return nil
}

// reserveAgain takes what another attempt may generate, after one that may have
// generated its most without this router seeing it.
func (c *call) reserveAgain() *result.Error {
	if c.reserved == 0 || c.MaxTokensOut == 0 || c.unseen == 0 {
		return nil
	}
	ctx, cancel := context.WithTimeout(c.r.Context(), minimumWait)
	defer cancel()
	if err := c.g.Budgets.Reserve(ctx, c.account.Name, c.MaxTokensOut); err != nil {
		return result.New(result.BackendCut, "the budget does not cover another attempt").Wrap(err)
	}
	c.reserved += c.MaxTokensOut
	return nil
}

// chooseService draws one of the route's services by weight.
func (c *call) chooseService() {
	c.service = c.catalog.Services[c.drawShare(c.route.Split).Service]
}

func (c *call) drawShare(split []catalog.Share) catalog.Share {
	total := 0
	for _, s := range split {
		total += max(s.Weight, 0)
	}
	if len(split) == 1 || total == 0 {
		return split[0]
	}
	n := c.g.Servers.Draw(total)
	for _, s := range split {
		n -= max(s.Weight, 0)
		if n < 0 {
			return s
		}
	}
	return split[0]
}
