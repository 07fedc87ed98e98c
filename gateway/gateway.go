// Package gateway is the router on a platform that holds configuration, server registrations
// and budgets: it forwards callers' HTTP requests unchanged to backend servers and charges
// their tokens to prepaid budgets.
//
// A Gateway is an http.Handler. A request passes through admission steps (see step) and is
// then sent to backend servers in one or more attempts. The package knows no header or field
// name of the platform: those are behind exchange.Protocol.
package gateway

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/gaplink/gaplink/catalog"
	"github.com/gaplink/gaplink/clock"
	"github.com/gaplink/gaplink/controller/budgets"
	"github.com/gaplink/gaplink/controller/origins"
	"github.com/gaplink/gaplink/controller/registry"
	"github.com/gaplink/gaplink/controller/verdicts"
	"github.com/gaplink/gaplink/eventstream"
	"github.com/gaplink/gaplink/exchange"
	"github.com/gaplink/gaplink/link"
	"github.com/gaplink/gaplink/logs"
	"github.com/gaplink/gaplink/placement"
	"github.com/gaplink/gaplink/result"
	"github.com/gaplink/gaplink/retry"
	"github.com/gaplink/gaplink/retryafter"
	"github.com/gaplink/gaplink/upstream"
)

// Config provides the configuration in force.
type Config interface {
	// Catalog returns the configuration, or nil before the first one is received.
	Catalog() *catalog.Catalog
	// Age returns the staleness of the configuration: the time since it was last known to be
	// the newest, measured from the store's response. It is below 0 if nothing has been
	// received.
	Age() time.Duration
}

// Options are the dependencies of a gateway.
type Options struct {
	// Domain is the router's failure domain.
	Domain string
	// Regions maps each failure domain to its region.
	Regions map[string]string
	Config  Config
	// ConfigBound is the operator's bound on the propagation of a new configuration. A router
	// whose configuration may be older does not report a route or key as unknown; with 0 it
	// always does.
	ConfigBound time.Duration
	Servers     *registry.Controller
	Budgets     *budgets.Controller
	Protocol    exchange.Protocol
	Pool        *upstream.Pool
	Retries     *retry.Budgets
	Verdicts    *verdicts.Controller
	// Origins finds out which software version began a stream.
	Origins *origins.Controller
	// Limits observes the rate limits that servers announce; nil: none is enforced.
	Limits  Limits
	Logs    logs.Loggers
	Metrics *Metrics
	// Paths decides how servers are reached; nil: directly.
	Paths Paths
	// Routers returns the number of routers that share the servers, or 0 if it is not known yet.
	Routers func() int
	// LinkDelay returns how long requests and responses queue at the router's own network link,
	// both directions together. Stale reports whether, given that and the staleness of the
	// router's data, a request could reach a server too long after that server left. nil:
	// neither is known.
	LinkDelay func() time.Duration
	Stale     func() bool
	// Backlog bounds the responses that callers read slowly; nil: nothing does.
	Backlog *upstream.Backlog
	// Meter counts the bytes of callers by account; nil: they are not counted.
	Meter *link.Meter
	// TokenDelay returns by how much a saturated link extends the wait for tokens; nil: never.
	TokenDelay func() time.Duration
	// RegistrationAge returns the staleness of the server registrations, measured from the store's
	// response; below 0: nothing has been received. nil: unknown.
	RegistrationAge func() time.Duration
	// CloseConnections reports whether callers' connections are closed after their response.
	// LinkSaturated reports whether the router's own network link is saturated, in which case a
	// timeout says nothing about a server.
	CloseConnections, LinkSaturated func() bool
	// Returns: the Retry-After of temporary refusals is computed from the predicted time of room;
	// otherwise it is fixed by the kind of refusal.
	Returns bool
	// StoreLost reports whether the store does not answer this router, and StoreElsewhere whether it
	// answers other routers all the same. nil: unknown.
	StoreLost, StoreElsewhere func() bool
}

// Gateway is the HTTP handler that serves callers.
type Gateway struct {
	Options
	steps    []step
	inFlight atomic.Int64
	// running holds the requests that are dispatched to servers, with the function that cancels each,
	// and attempts the attempts under way, with their watchdogs.
	running  inProgress[*call, context.CancelFunc]
	attempts inProgress[*attempt, *watchdog]
	returns  *returns // nil without Options.Returns
	holding  *holding // likewise
	// reading holds the requests whose body is being read, with the function that ends that.
	reading  inProgress[*call, func()]
	runTimes runTimes
	// stopEnd is when a planned stop ends the requests that are still in progress; nil before one.
	stopEnd     atomic.Pointer[time.Time]
	refusingNew atomic.Bool
	// unreadableLimits rate-limits the log lines about limits that cannot be parsed.
	unreadableLimits logs.RateLimit
	// malformed does so for the lines about other announcements of servers.
	malformed logs.RateLimit
	// limitedLines does so for the lines about accounts whose callers return too early.
	limitedLines logs.RateLimit
	retryLog     retryLog
	// unknown holds the unknown response headers that were logged.
	unknown logs.Names
}

// New returns a gateway with the given options.
func New(o Options) *Gateway {
	g := &Gateway{Options: o}
	if o.Returns {
		g.returns = newReturns(o.StoreLost)
		g.holding = newHolding(func() bool { return g.StoreRemaining() == 0 })
	}
	g.steps = []step{g.admit, g.findRoute, g.authenticate, g.readBody, g.countBytes, g.checkReturn, g.checkPoison, g.readPrompt, g.reserve}
	return g
}

// InFlight returns the number of requests being served.
func (g *Gateway) InFlight() int64 { return g.inFlight.Load() }

// step validates one aspect of a request and adds its findings to the call. An error refuses
// the request, which has not run. Every request passes all steps before it is sent to a
// server.
type step func(*call) *result.Error

// ServeHTTP implements http.Handler.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.inFlight.Add(1)
	defer g.inFlight.Add(-1)
	c := g.newCall(w, r)
	defer c.close()
	if g.draining() || g.CloseConnections() || g.staleRefusal() != nil {
		w.Header().Set("Connection", "close")
	}
	c.serve()
	c.reply.close()
}

// serve runs all steps and dispatches the request.
func (c *call) serve() {
	for _, s := range c.g.steps {
		if refusal := s(c); refusal != nil {
			c.refuse(refusal)
			return
		}
	}
	c.dispatch()
}

// call is one request in progress.
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
	// cachedPoisonStatus is the result of poisonStatus; nil before its first call.
	cachedPoisonStatus *verdicts.Request
	// newTokens are the prompt tokens that are not part of a shared prefix.
	newTokens int64
	deadline  time.Time

	// tokensReserved reports that the tokens for the next attempt are already reserved.
	tokensReserved bool

	// retries are the retries taken from the service's budget.
	retries *retry.Request
	// arrivals is the number of ended attempts that a server may have received. lastArrival is how the last of the attempts ended, and lastArrivalErr why.
	arrivals       int
	lastArrival    disposition
	lastArrivalErr error

	reserved int64
	// unobserved counts the attempts that a server may have completed without this router
	// seeing the end.
	unobserved int
	attempts   []attemptRecord
	stream     streamState
	// origin is what is known of the software version that began the stream, if the caller takes one up.
	origin origins.Finding
	// tried holds the servers that the request was sent to since it was last held.
	tried map[placement.Incarnation]bool
	// mayHaveRun reports that a server may have run the request.
	mayHaveRun bool
	// refusedByServer reports that a server refused the request before running it.
	refusedByServer bool
	// slotDenied reports that a brittle server had no slot for the request when a server was last picked.
	slotDenied bool
	// awaitedPath reports that the request has waited for a path to its servers.
	awaitedPath bool

	outcome result.Code
	cause   error
	// temporaryRefusal is the last refusal with a temporary cause, and reason that cause.
	temporaryRefusal *result.Error
	reason           retryafter.Refusal
	// planned is what the Retry-After was computed from; nil if it was not computed.
	planned *retryafter.Input
	// held reports that the request was held until there was room, and heldFor how long it was held.
	held    bool
	heldFor time.Duration
	// returned is what is known of the request as one that comes back. refusedAsLimited reports that it
	// was refused for its account's early returns alone.
	returned         retryafter.Return
	refusedAsLimited bool
}

func (g *Gateway) newCall(w http.ResponseWriter, r *http.Request) *call {
	c := &call{
		g:       g,
		r:       r,
		reply:   reply{w: w, r: r, backlog: g.Backlog},
		arrived: clock.Now(),
		Request: g.Protocol.Request(r.Header),
		outcome: result.Internal, // replaced by the actual outcome
	}
	c.stream.position = eventstream.PositionAfter(c.LastEvent)
	return c
}

// close settles the budget, updates the metrics and logs the request.
func (c *call) close() {
	if c.reserved > 0 {
		c.g.Budgets.Settle(c.account.Name, c.reserved, c.spent())
	}
	c.endOrigin()
	c.g.Metrics.ended(c)
	c.log()
}

// spent returns the tokens to charge: none if no server ran the request, otherwise the prompt
// once plus the generated tokens. An attempt whose end was not observed is charged the
// maximum, since its server may have generated all of it.
func (c *call) spent() int64 {
	if !c.mayHaveRun {
		return 0
	}
	generated := c.stream.tokens
	if c.unobserved > 0 && c.outcome != result.OK {
		generated = 0 // included in the attempts that are charged the maximum
	}
	generated += int64(c.unobserved) * c.MaxTokensOut
	return min(c.TokensIn+generated, c.reserved)
}

// log writes the log line of an ended request: a sample of the successful ones and all others. A try that
// takes up a stream is never left out, since it shows where the stream went on.
func (c *call) log() {
	logger := c.g.Logs.Sampled
	if c.outcome != result.OK || c.LastEvent != "" {
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
		zap.Array("attempts", attemptRecords(c.attempts)),
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
	if !c.stream.firstAt.IsZero() {
		fields = append(fields, zap.Int64("tokens_in", c.TokensIn), zap.Duration("first_ms", c.stream.firstAt.Sub(c.arrived)),
			zap.Duration("pause_ms", c.stream.longestPause))
	}
	if c.LastEvent != "" {
		fields = append(fields, zap.String("first_try", c.FirstTry), zap.String("after_event", c.LastEvent))
		fields = append(fields, c.originFields()...)
	}
	if f := c.poisonStatus().Fingerprint(); f != nil {
		fields = append(fields, zap.Stringer("fingerprint", f), zap.Strings("parts", c.partsForLog()))
	}
	fields = append(fields, c.returnFields()...)
	if c.cause != nil {
		fields = append(fields, zap.String("cause", c.cause.Error()))
	}
	entry.Write(fields...)
}

// budgetFields returns the budget state behind a refused reservation as log fields.
func (c *call) budgetFields() []zap.Field {
	input := c.g.Budgets.DecisionInput(c.account.Name)
	return []zap.Field{
		zap.Int64("wanted", c.MaxTokens()),
		zap.Int64("usable", input.Usable),
		zap.Int64("in_use", input.Reserved),
		zap.Int64("store_free", input.Free),
		zap.Int64("limit", input.Limit),
		zap.Int64("page_version", input.Version),
		zap.Duration("page_age_ms", input.Age),
	}
}
