// Package forward sends a request to a backend server and the response to the caller,
// and retries where that is safe.
package forward

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/gaplink/gaplink/clock"
	"github.com/gaplink/gaplink/controller/verdicts"
	"github.com/gaplink/gaplink/engine"
	"github.com/gaplink/gaplink/filter"
	"github.com/gaplink/gaplink/metrics"
	"github.com/gaplink/gaplink/placement"
	"github.com/gaplink/gaplink/result"
	"github.com/gaplink/gaplink/retry"
	"github.com/gaplink/gaplink/route"
	"github.com/gaplink/gaplink/table"
	"github.com/gaplink/gaplink/wait"
)

const (
	// cancelTimeout limits the call that cancels a failed attempt and returns the number
	// of tokens it served.
	cancelTimeout = 500 * time.Millisecond
	// backendRetryAfter is the Retry-After value when no backend server could run the request.
	backendRetryAfter = 2 * time.Second
	chatPath          = "/v1/chat/completions"
	servicePath       = "/v1/services/"
)

// Routes picks backend servers and tracks their state.
type Routes interface {
	Pick(req route.Request) (route.Choice, bool)
	Started(id string)
	Finished(id string, failed bool)
	Load(id string, load float64)
	// ReportLeaving records that a server announced that it is draining.
	ReportLeaving(id string)
	// BackOff records that a server asked for no requests for the given time.
	BackOff(id string, asked time.Duration)
}

// Config provides the configuration in force.
type Config interface {
	State() *table.State
}

// Options are the settings of the filter.
type Options struct {
	// Attempts limits the attempts per request.
	Attempts int
	// Retries are the retry budgets of the process.
	Retries *retry.Budgets
}

// Handler is the end of the chain.
type Handler struct {
	config  Config
	routes  Routes
	engines *engine.Client
	metrics *metrics.Metrics
	opts    Options

	verdicts *verdicts.Controller

	mu  sync.Mutex
	rng *rand.Rand
}

var _ filter.Handler = (*Handler)(nil)

// New returns the filter.
func New(config Config, routes Routes, engines *engine.Client, v *verdicts.Controller, m *metrics.Metrics, rng *rand.Rand, opts Options) *Handler {
	return &Handler{
		config:  config,
		routes:  routes,
		engines: engines,
		metrics: m,
		opts:    opts,

		verdicts: v,

		rng: rng,
	}
}

// Serve implements filter.Handler.
func (h *Handler) Serve(ctx context.Context, x *filter.Exchange) error {
	body, err := engineBody(x)
	if err != nil {
		return err
	}
	record := h.crashRecord(x)
	if refusal := record.Admit(); refusal != nil {
		return refusal
	}
	retries := h.opts.Retries.Begin(clock.Now(), x.Target)
	defer retries.End()
	tried := map[string]bool{}
	var last *engine.Failure
	for try := 1; ; try++ {
		failure := h.tryServer(ctx, x, record, retries, body, try, tried)
		if failure == nil {
			return nil
		}
		failure = reportedFailure(last, failure)
		last = failure
		if err := h.prepareRetry(ctx, x, record, retries, failure, try); err != nil {
			return err
		}
	}
}

// reportedFailure returns the failure to report. If no further server is left, it returns
// the previous attempt's failure, which says more, without a server so that retries stop.
func reportedFailure(last, failure *engine.Failure) *engine.Failure {
	if last == nil || failure.Server != "" {
		return failure
	}
	reported := *last
	reported.Server = ""
	return &reported
}

// prepareRetry waits for the retry delay and reserves tokens for another attempt if the
// failed one may have run, or returns the error that ends the request.
func (h *Handler) prepareRetry(ctx context.Context, x *filter.Exchange, record *verdicts.Request, retries *retry.Request, f *engine.Failure, try int) error {
	final := result.New(f.Code, "%s", f.Code.Info().Meaning).Wrap(f.Cause)
	retryState := retry.Failure{Dispatched: f.Dispatched, Refused: f.Refused, Answered: x.ResponseStarted}
	switch {
	case f.Code == result.CallerGone || f.Code == result.TokenCapPassed:
		return final
	case !retry.Allowed(retryState, x.NotRepeatable):
		return notRetryable(x, final)
	case try >= h.opts.Attempts || f.Server == "", record.MayCrashServers(ctx):
		return final.After(backendRetryAfter)
	}
	if !retries.Pay(clock.Now(), try) {
		return final.After(backendRetryAfter)
	}
	if err := wait.For(ctx, h.retryDelay(try+1)); err != nil {
		return final.After(backendRetryAfter)
	}
	if x.ReserveMore != nil && !retryState.NotRun() {
		return x.ReserveMore(ctx, x.MaxTokens)
	}
	return nil
}

func (h *Handler) retryDelay(attempt int) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return retry.Delay(h.rng, attempt)
}

// notRetryable returns the error for a dispatched attempt that must not be retried.
func notRetryable(x *filter.Exchange, final *result.Error) error {
	if x.NotRepeatable {
		return result.New(result.OutcomeUnknown, "%s", result.OutcomeUnknown.Info().Meaning).Wrap(final)
	}
	return final
}

// tryServer picks a server and makes one attempt there.
func (h *Handler) tryServer(ctx context.Context, x *filter.Exchange, record *verdicts.Request, retries *retry.Request, body []byte, try int, tried map[string]bool) *engine.Failure {
	prefix := x.PrefixHash
	if isolated := record.Affinity(); isolated != 0 {
		prefix = isolated
	}
	choice, ok := h.routes.Pick(route.Request{
		Target: x.Target,
		Rows:   h.config.State().RowsFor(x.Account.ID, x.Target),
		Prefix: prefix,
		Tried:  tried,
	})
	if !ok {
		return &engine.Failure{Code: result.NoBackend, Cause: fmt.Errorf("no usable server for %s", x.Target)}
	}
	server := choice.Server
	tried[server.ID] = true
	a := &attempt{h: h, x: x, record: record, server: server, id: x.ID + "." + strconv.Itoa(try)}
	h.routes.Started(server.ID)
	retries.Sent()
	sentAt := clock.Now()
	failure := a.run(ctx, body)
	a.recordArrival(retries, sentAt, failure)
	h.routes.Finished(server.ID, failure != nil && failure.Code != result.CallerGone && !failure.Leaving && failure.Backoff == 0)
	a.logOutcome(failure)
	a.reportOutcome(failure)
	return failure
}

// recordArrival records whether an attempt that has ended may still arrive at its server. A failure without an answer does not
// tell whether a part of its head came.
func (a *attempt) recordArrival(retries *retry.Request, sentAt time.Time, f *engine.Failure) {
	path := retry.Path{Server: placement.Incarnation{ID: a.server.ID}}
	switch {
	case a.answered, f == nil, f.Answered:
		retries.Answered(clock.Now(), path, sentAt)
	case !f.Dispatched:
		retries.NotSent()
	default:
		retries.Unanswered(clock.Now(), path, sentAt)
	}
}

// attempt is one attempt to run a request on a backend server.
type attempt struct {
	h      *Handler
	x      *filter.Exchange
	record *verdicts.Request
	server table.Server
	id     string
	served int64
	// answered is set once the head of a response has come.
	answered bool
}

func (a *attempt) run(ctx context.Context, body []byte) *engine.Failure {
	path := chatPath
	if a.x.Kind == table.Service {
		path = servicePath + a.x.Target + "/" + a.x.Path
	}
	resp, f := a.h.engines.Post(ctx, a.server.Addr, path, a.id, body)
	if f != nil {
		return a.chargeFailure(f)
	}
	defer resp.Close()
	a.answered = true
	a.x.Dispatched = true
	a.recordServerState(resp)
	if a.x.Kind == table.Service {
		f = a.readServiceResponse(ctx, resp)
	} else {
		f = a.relayStream(ctx, resp)
	}
	if f != nil {
		return a.chargeFailure(f)
	}
	a.x.Tokens += a.served
	return nil
}

// recordServerState records the load and drain state that the server reported.
func (a *attempt) recordServerState(resp *engine.Response) {
	if resp.Load >= 0 {
		a.h.routes.Load(a.server.ID, resp.Load)
	}
	if resp.Leaving {
		a.h.routes.ReportLeaving(a.server.ID)
	}
}

// chargeFailure charges the tokens that the attempt may have served: the engine's own
// count if the engine answers a cancel request, else the maximum.
func (a *attempt) chargeFailure(f *engine.Failure) *engine.Failure {
	f.Server = a.server.ID
	if f.Leaving {
		a.h.routes.ReportLeaving(a.server.ID)
	}
	if f.Backoff > 0 {
		a.h.routes.BackOff(a.server.ID, f.Backoff)
	}
	if f.Code == result.ForeignAnswer {
		a.h.metrics.Dropped.Inc()
	}
	if !f.Dispatched || f.Refused {
		return f
	}
	a.x.Dispatched = true
	if a.x.Kind == table.Model {
		a.x.Tokens += a.cancelAndCount()
	}
	return f
}

func (a *attempt) cancelAndCount() int64 {
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	n, err := a.h.engines.Cancel(ctx, a.server.Addr, a.id)
	if err != nil {
		return max(a.served, a.x.MaxTokens)
	}
	return max(a.served, n)
}

// readServiceResponse reads a plain service's response, which is sent once the billing
// record is written.
func (a *attempt) readServiceResponse(ctx context.Context, resp *engine.Response) *engine.Failure {
	reply, f := resp.ReadBody(ctx)
	if f != nil {
		return f
	}
	x := a.x
	x.ServiceResponse, x.ServiceContentType = reply, resp.ContentType()
	x.Finish = func() error { return writeResponse(x, x.ServiceContentType, reply) }
	return nil
}

func writeResponse(x *filter.Exchange, contentType string, body []byte) error {
	h := x.W.Header()
	h.Set("Content-Type", contentType)
	h.Set(filter.HeaderRequestID, x.ID)
	h.Set("Content-Length", strconv.Itoa(len(body)))
	if _, err := x.W.Write(body); err != nil {
		return result.New(result.CallerGone, "").Wrap(err)
	}
	return nil
}

// relayStream reads a model's response and forwards each event, or accumulates the text
// for a non-streamed response. The final events are buffered until the billing record is
// written.
func (a *attempt) relayStream(ctx context.Context, resp *engine.Response) *engine.Failure {
	out := newRelay(a.x)
	for {
		chunk, f := resp.Next(ctx)
		if f != nil {
			return f
		}
		if chunk.Done {
			return a.finishStream(out)
		}
		if f := a.countTokens(chunk); f != nil {
			return f
		}
		if err := out.handleEvent(chunk); err != nil {
			return &engine.Failure{Code: result.CallerGone, Dispatched: true, Cause: err}
		}
	}
}

// countTokens adds an event's tokens. It fails if the token cap is exceeded, or if a
// non-streamed response would have to contain tool calls.
func (a *attempt) countTokens(chunk engine.Chunk) *engine.Failure {
	for _, p := range chunk.Deltas {
		if p.Content != "" {
			a.served++
		}
		if p.ToolCalls && !a.x.Stream {
			return &engine.Failure{Code: result.BackendGarbage, Dispatched: true, Cause: errToolCalls}
		}
	}
	a.served = max(a.served, chunk.Usage)
	if a.served > a.x.MaxTokens {
		return &engine.Failure{Code: result.TokenCapPassed, Dispatched: true, Cause: fmt.Errorf("%d tokens", a.served)}
	}
	return nil
}

// errToolCalls is returned for tool calls in a non-streamed response: only text is
// accumulated, and a response without its tool calls would be incomplete.
var errToolCalls = errors.New("tool calls are supported only in streamed responses")

// finishStream accepts the end marker only if each choice has a finish reason; otherwise
// the response was truncated.
func (a *attempt) finishStream(out *relay) *engine.Failure {
	if !out.finished() {
		return &engine.Failure{Code: result.BackendCut, Dispatched: true, Cause: fmt.Errorf("end marker received before each choice had a finish reason")}
	}
	a.x.Finish = func() error { return out.finish(a.served) }
	return nil
}

// logOutcome logs the outcome of the attempt and counts it.
func (a *attempt) logOutcome(f *engine.Failure) {
	code := result.OK
	if f != nil {
		code = f.Code
	}
	a.h.metrics.Attempts.WithLabelValues(a.server.ID, strconv.Itoa(int(code))).Inc()
	log := a.x.Log.With(zap.String("server", a.server.ID), zap.String("try", a.id), zap.Int("code", int(code)))
	if f != nil {
		log.Warn("attempt failed", zap.Error(f.Cause), zap.Bool("dispatched", f.Dispatched), zap.Duration("backoff_ms", f.Backoff))
		return
	}
	log.Debug("attempt succeeded", zap.Int64("tokens", a.served))
}

// engineBody returns the request body for the engine. It always requests a stream, so
// that the token cap can be enforced, and the engine's own token count.
func engineBody(x *filter.Exchange) ([]byte, error) {
	if x.Kind == table.Service {
		return x.Body, nil
	}
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(x.Body, &fields); err != nil {
		return nil, result.New(result.BadJSON, "the body is not a JSON object").Wrap(err)
	}
	fields["stream"] = json.RawMessage("true")
	fields["stream_options"] = json.RawMessage(`{"include_usage":true}`)
	return json.Marshal(fields)
}

// flush sends buffered data to the caller.
func flush(w http.ResponseWriter) {
	if f, ok := w.(http.Flusher); ok {
		f.Flush()
	}
}
