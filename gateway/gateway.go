// Package gateway is the router on a platform that holds configuration, server
// registrations and budgets: it passes callers' HTTP requests to backend
// servers as they are, and charges their tokens to prepaid budgets.
//
// A Gateway is an http.Handler. A request goes through steps (see steps), and
// then to backend servers in one or more attempts. It knows no header or field
// name of the platform: those are behind exchange.Protocol.
package gateway

import (
	"net/http"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/gaplink/gaplink/catalog"
	"github.com/gaplink/gaplink/clock"
	"github.com/gaplink/gaplink/controller/budgets"
	"github.com/gaplink/gaplink/controller/registry"
	"github.com/gaplink/gaplink/controller/verdicts"
	"github.com/gaplink/gaplink/eventstream"
	"github.com/gaplink/gaplink/exchange"
	"github.com/gaplink/gaplink/logs"
	"github.com/gaplink/gaplink/result"
	"github.com/gaplink/gaplink/retry"
	"github.com/gaplink/gaplink/upstream"
)

// Config gives the configuration in force.
type Config interface {
	// Catalog returns the configuration, or nil before the first is known.
	Catalog() *catalog.Catalog
	// Age is how long ago the configuration was the newest for certain, counted from the
	// store's answer; below 0: nothing was heard.
	Age() time.Duration
}

// Parts are what a gateway works with.
type Parts struct {
	// Domain is the router's failure domain.
	Domain string
	// Regions names the region of each failure domain.
	Regions map[string]string
	Config  Config
	// ConfigBound is the operator's bound on a new configuration. A router whose
	// configuration may be older does not claim that a route or key is unknown; 0: it does.
	ConfigBound time.Duration
	Servers     *registry.Controller
	Budgets     *budgets.Controller
	Protocol    exchange.Protocol
	Pool        *upstream.Pool
	Retries     *retry.Budgets
	Verdicts    *verdicts.Controller
	// Limits learns the rate limits that servers name; nil: none is enforced.
	Limits  Limits
	Logs    logs.Loggers
	Metrics *Metrics
	// Routers returns the number of routers that share the servers.
	Routers func() int
	// LinkWait is how long requests and answers wait at the router's own link, in both
	// directions together, and Stale tells whether, by that and the age of what the router
	// knows, a request could reach a server too long after that has left. nil: neither is
	// known.
	LinkWait func() time.Duration
	Stale    func() bool
	// ServersAge is how old what is known of the servers is, counted from the store's
	// answer; below 0: nothing was heard. nil: it is not known.
	ServersAge func() time.Duration
	// Away tells whether callers should go to other routers for a while, and Full
	// whether the router's own network link is full, so that silence says nothing
	// about a server.
	Away, Full func() bool
}

// Gateway serves callers.
type Gateway struct {
	Parts
	steps    []step
	inFlight atomic.Int64
	running  running
	leaving  atomic.Bool
	refusing atomic.Bool
	// unreadable bounds the log lines about limits that cannot be read.
	unreadable logs.Sparse
}

// New returns a gateway.
func New(p Parts) *Gateway {
	g := &Gateway{Parts: p}
	g.steps = []step{g.admit, g.findRoute, g.authenticate, g.readBody, g.holdBack, g.readPrompt, g.reserve}
	return g
}

// Leave starts a planned stop: answers ask callers to close their connections.
func (g *Gateway) Leave() { g.leaving.Store(true) }

// Refuse ends the taking of new requests.
func (g *Gateway) Refuse() { g.refusing.Store(true) }

// InFlight returns the number of requests being served.
func (g *Gateway) InFlight() int64 { return g.inFlight.Load() }

// step checks one thing of a request and adds what it finds to the call; an
// error refuses the request, which has not run. Every request goes through all
// steps before it is sent to a server.
type step func(*call) *result.Error

// ServeHTTP implements http.Handler.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.inFlight.Add(1)
	defer g.inFlight.Add(-1)
	c := g.newCall(w, r)
	defer c.close()
	if g.leaving.Load() || g.Away() || g.late() != nil {
		w.Header().Set("Connection", "close")
	}
	c.serve()
	c.reply.close()
}

// serve takes the request through all steps and to the servers.
func (c *call) serve() {
	for _, s := range c.g.steps {
		if refusal := s(c); refusal != nil {
			c.refuse(refusal)
			return
		}
	}
	c.dispatch()
}

// call is one request on its way.
type call struct {
	g       *Gateway
	r       *http.Request
	reply   reply
	arrived time.Time

	exchange.Request
	catalog  *catalog.Catalog
	route    *catalog.Route
	service  *catalog.Service
	account  *catalog.Account
	body     []byte
	affinity uint64
	// suspicion is what known returns; nil: it was not asked for.
	suspicion *verdicts.Request
	// newTokens are the prompt tokens that the request shares with no other.
	newTokens int64
	deadline  time.Time

	// retryTaken tells that the retry and the tokens for the next attempt are taken
	// already.
	retryTaken bool

	reserved int64
	// unseen is how many attempts a server may have run to an end that this router
	// did not see.
	unseen   int
	attempts []attemptNote
	stream   streamState
	// ran tells that a server may have run the request.
	ran     bool
	outcome result.Code
	cause   error
}

func (g *Gateway) newCall(w http.ResponseWriter, r *http.Request) *call {
	c := &call{
		g:       g,
		r:       r,
		reply:   reply{w: w, r: r},
		arrived: clock.Now(),
		Request: g.Protocol.Request(r.Header),
		outcome: result.Internal, // until something else is known
	}
	c.stream.at = eventstream.After(c.LastEvent)
	return c
}

// close settles the budget and writes the request's line.
func (c *call) close() {
	if c.reserved > 0 {
		c.g.Budgets.Settle(c.account.Name, c.reserved, c.spent())
	}
	c.g.Metrics.ended(c)
	c.log()
}

// spent returns the tokens to be charged: none if no server ran the request, else
// the prompt once and what was generated. An attempt whose end was not seen is
// charged at its most, since its server may have generated all of it.
func (c *call) spent() int64 {
	if !c.ran {
		return 0
	}
	generated := c.stream.tokens
	if c.unseen > 0 && c.outcome != result.OK {
		generated = 0 // it belongs to the attempts that are charged at their most
	}
	generated += int64(c.unseen) * c.MaxTokensOut
	return min(c.TokensIn+generated, c.reserved)
}

// log writes the line of an ended request: a part of those that were served,
// all others.
func (c *call) log() {
	logger := c.g.Logs.Sampled
	if c.outcome != result.OK {
		logger = c.g.Logs.All
	}
	entry := logger.Check(zap.InfoLevel, "request "+c.outcome.String())
	if entry == nil {
		return
	}
	fields := []zap.Field{
		zap.String("request", c.ID),
		zap.String("caller", c.r.RemoteAddr),
		zap.Int("code", int(c.outcome)),
		zap.Int("status", c.reply.status),
		zap.String("claim", c.reply.claim()),
		zap.Duration("after_ms", clock.Since(c.arrived)),
		zap.Array("attempts", attemptNotes(c.attempts)),
	}
	if c.catalog != nil {
		fields = append(fields, zap.Int64("config", c.catalog.Version), zap.Duration("config_age_ms", c.g.Config.Age()))
	}
	if c.route != nil {
		fields = append(fields, zap.String("route", c.route.Name))
	}
	if c.account != nil {
		fields = append(fields, zap.String("account", c.account.Name))
	}
	if c.reserved > 0 {
		fields = append(fields, zap.Int64("reserved", c.reserved), zap.Int64("spent", c.spent()))
	}
	if c.outcome == result.BudgetExhausted || c.outcome == result.BudgetUnreachable {
		fields = append(fields, c.budgetFields()...)
	}
	if !c.stream.first.IsZero() {
		fields = append(fields, zap.Int64("tokens_in", c.TokensIn), zap.Duration("first_ms", c.stream.first.Sub(c.arrived)),
			zap.Duration("pause_ms", c.stream.pause))
	}
	if f := c.known().Fingerprint(); f != nil {
		fields = append(fields, zap.Stringer("fingerprint", f))
	}
	if c.cause != nil {
		fields = append(fields, zap.String("cause", c.cause.Error()))
	}
	entry.Write(fields...)
}

// budgetFields are what the refusal of a reservation went by.
func (c *call) budgetFields() []zap.Field {
	seen := c.g.Budgets.Seen(c.account.Name)
	return []zap.Field{
		zap.Int64("wanted", c.Worst()),
		zap.Int64("usable", seen.Usable),
		zap.Int64("in_use", seen.Reserved),
		zap.Int64("store_free", seen.Free),
		zap.Int64("limit", seen.Limit),
		zap.Int64("page_version", seen.Version),
		zap.Duration("page_age_ms", seen.Age),
	}
}
