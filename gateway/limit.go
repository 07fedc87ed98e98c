package gateway

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/gaplink/gaplink/clock"
	"github.com/gaplink/gaplink/exchange"
	"github.com/gaplink/gaplink/limiter"
	"github.com/gaplink/gaplink/placement"
	"github.com/gaplink/gaplink/result"
	"github.com/gaplink/gaplink/upstream"
)

const (
	// deniedAtMost is how many servers may deny a request a permit before it is sent only
	// to servers without a rate limit: each may cost a question to another router.
	deniedAtMost = 3
	// limitedSpread spreads the return of callers that were refused for the rates of all
	// servers: their next permits are due at about the same time.
	limitedSpread = 500 * time.Millisecond
	// unreadableEvery is the least time between two log lines about limits that cannot be
	// read.
	unreadableEvery = time.Second
)

// Limits learns the rate limits that servers name.
type Limits interface {
	Observe(limiter.Observation)
}

// pick chooses a server for the next attempt and gets a permit for it; a refusal says why
// there is none.
func (c *call) pick(ctx context.Context, tried map[placement.Incarnation]bool) (*attempt, *result.Error) {
	q := c.query(tried)
	for denied := 0; ; denied++ {
		q.Unrestricted = denied >= deniedAtMost
		server, ok := c.g.Servers.Pick(q)
		if !ok {
			return nil, c.noServer(q)
		}
		permit, ok := c.g.Servers.Admit(ctx, server, q.Rank)
		if ok {
			return &attempt{call: c, server: server, permit: permit, note: attemptNote{server: server.ID, known: unknownAge}}, nil
		}
		c.g.Servers.Released(server.Incarnation(), q.Tokens)
		if err := ctx.Err(); err != nil {
			return nil, c.timeEnded(err)
		}
	}
}

// noServer refuses a request for which no server can be chosen.
func (c *call) noServer(q placement.Query) *result.Error {
	q.Unrestricted = false
	wait, limited := c.g.Servers.NextPermit(q)
	if !limited {
		return result.New(result.NoBackend, "no server of %s is in use", c.service.Name).After(noServerRetry)
	}
	wait += rand.N(limitedSpread)
	return result.New(result.ServersLimited, "the servers of %s take no further request now", c.service.Name).After(wait)
}

// observeLimit takes what an answer told of the rate limit of its server. Only the server
// itself can end a limit, so an answer without its signature ends none.
func (a *attempt) observeLimit(sent time.Time, answer *upstream.Answer, told exchange.Answer) {
	own := told.Signed || told.NotRun || answer.StatusCode >= http.StatusMultipleChoices
	switch {
	case a.g.Limits == nil || told.OtherServer || !own:
		return
	case told.Limit.Err != nil:
		a.g.noteUnreadable(a.server.ID, told.Limit.Err)
		return
	case !told.Limit.Named && !told.Signed:
		return
	}
	a.g.Limits.Observe(limiter.Observation{
		Server: a.server.Incarnation(), Named: told.Limit.Named, Rate: limiter.Rate(told.Limit.PerSecond),
		Sent: sent, Received: clock.Now(),
	})
}

// noteUnreadable logs a limit that could not be read, unless a line was written just now.
func (g *Gateway) noteUnreadable(server string, cause error) {
	if leftOut, due := g.unreadable.Due(clock.Now(), unreadableEvery); due {
		g.Logs.All.Warn("server rate limit is not readable; it changes nothing", zap.String("server", server),
			zap.Int64("lines_left_out", leftOut), zap.Error(cause))
	}
}
