package gateway

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/gaplink/gaplink/catalog"
	"github.com/gaplink/gaplink/clock"
	"github.com/gaplink/gaplink/controller/limits"
	"github.com/gaplink/gaplink/controller/origins"
	"github.com/gaplink/gaplink/controller/slots"
	"github.com/gaplink/gaplink/exchange"
	"github.com/gaplink/gaplink/placement"
	"github.com/gaplink/gaplink/reach"
	"github.com/gaplink/gaplink/upstream"
)

const (
	// sharedConnectionFraction is the fraction of a server's connections that is divided
	// evenly among the routers; the rest absorbs uneven load.
	sharedConnectionFraction = 0.9
	// minConnectionFraction is the lower bound on the share of one router, as a fraction of the
	// connections that sharedConnectionFraction leaves.
	minConnectionFraction = 0.1
	// slotConnectionFraction is the upper bound, as a fraction of a server's connections, on the
	// share that lets one router use all slots of the server.
	slotConnectionFraction = 0.25
)

// attempt is one dispatch of a request to one server.
type attempt struct {
	*call
	server placement.Server
	// permit admits the request to a server with a rate limit.
	permit limits.Permit
	// loan is the slot of a brittle server that was lent for the request; nil if it needs none.
	loan *slots.Loan
	// recording is the record of the server's version as the one that begins the stream; nil if there
	// is none.
	recording *origins.Recording
	// noRoom is set if the server rejected the request for want of room.
	noRoom bool
	// isLast reports that no further server may be tried.
	isLast bool
	// promptRead reports that the server has read the prompt.
	promptRead bool
	// unanswered is set if the attempt ended without a byte of a response.
	unanswered bool
	// sentAt is when the request was handed to the connection pool.
	sentAt time.Time
	// lastEventAt is when the server's last event arrived; zero if none has.
	lastEventAt time.Time
	// serverOutcome is the outcome reported to placement for the server.
	serverOutcome placement.Outcome
	err           error
	outcomeLabel  string
	record        attemptRecord
}

func (a *attempt) outcomeText() string {
	if a.err == nil {
		return a.outcomeLabel
	}
	return a.outcomeLabel + " (" + a.err.Error() + ")"
}

func (a *attempt) finish(d disposition, label string, serverOutcome placement.Outcome, err error) disposition {
	a.outcomeLabel, a.serverOutcome, a.err = label, serverOutcome, err
	return d
}

// errWrongServer marks a response from a different server at the address.
var errWrongServer = errors.New("another server answers at the address")

// errUnsigned marks a response that was not produced by the server itself.
var errUnsigned = errors.New("the response is not signed")

// run sends the request to the server and forwards its response.
func (a *attempt) run(ctx context.Context) disposition {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	wd := a.startWatchdog(cancel)
	defer wd.stop()
	defer a.g.attempts.add(a, wd)()
	a.recordOrigin()
	a.sentAt = clock.Now()
	a.retries.Sent()
	answer, failure := a.g.Pool.Send(ctx, a.request())
	if failure != nil {
		a.recordFailure(failure)
		return a.sendFailed(ctx, failure)
	}
	defer answer.Close()
	a.recordHeard(answer.Router())
	a.record.setAnswer(answer)
	info := a.g.Protocol.Answer(answer.StatusCode, answer.Header)
	a.observe(a.sentAt, answer.StatusCode, answer.Header, info)
	a.record.leaving, a.record.backoff = info.Leaving, info.Backoff
	switch {
	case info.WrongServer:
		a.g.Servers.Replaced(a.server.Incarnation())
		return a.finish(notRun, "replaced", placement.Failed, errWrongServer)
	case info.NotRun:
		return a.finish(notRun, "refused", refusalOutcome(info), fmt.Errorf("status %d", answer.StatusCode))
	}
	a.mayHaveRun = true
	if !info.Signed && answer.StatusCode < http.StatusMultipleChoices {
		a.unobserved++
		return a.finish(failed, "unsigned", placement.Failed, errUnsigned)
	}
	switch {
	case a.reply.hasBegun() && !a.continuesStream(answer):
		// The caller has part of a stream. A response that is not its continuation must
		// neither be appended to the stream nor end it.
		return a.finish(failed, "no stream", outcomeForStatus(answer.StatusCode), fmt.Errorf("status %d", answer.StatusCode))
	case a.route.Kind == catalog.Stream && answer.StatusCode == http.StatusOK:
		return a.relayStream(ctx, answer, wd)
	case statusMeansNotRun(answer.StatusCode):
		// The server did not state that it did not run the request, so it may have run it.
		return a.finish(failed, "false promise", outcomeForStatus(answer.StatusCode), fmt.Errorf("status %d", answer.StatusCode))
	case answer.StatusCode >= http.StatusInternalServerError && a.route.MayRepeat() && !a.isLast:
		return a.finish(failed, "error", placement.Failed, fmt.Errorf("status %d", answer.StatusCode))
	default:
		return a.relayPlain(ctx, answer, wd)
	}
}

// statusMeansNotRun reports whether callers take a status as a promise that their request has
// not run and never will.
func statusMeansNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	default:
		return false
	}
}

// refusalOutcome returns the placement outcome for a refusal. A server that says when it accepts
// requests again has not failed.
func refusalOutcome(info exchange.Answer) placement.Outcome {
	if info.Backoff > 0 {
		return placement.Refused
	}
	return placement.Failed
}

// outcomeForStatus returns the placement outcome for a response status.
func outcomeForStatus(status int) placement.Outcome {
	if status >= http.StatusInternalServerError {
		return placement.Failed
	}
	return placement.Answered
}

// request builds the upstream request.
func (a *attempt) request() *upstream.Request {
	h := endToEndHeaders(a.r.Header)
	d := exchange.Dispatch{
		Server:       a.server.ID,
		Deadline:     clock.Until(a.deadline),
		LastEvent:    a.stream.position.LastID(),
		SendPriority: a.service.Engine != nil,
		Priority:     a.priority(),
	}
	if a.account != nil {
		d.Account = a.account.Name
	}
	a.g.Protocol.Dispatch(h, d)
	return &upstream.Request{
		Address:        a.server.Address,
		Owner:          a.server.Incarnation(),
		Group:          reach.GroupOf(a.server),
		MaxConnections: a.connectionLimit(),
		Method:         a.r.Method,
		Target:         a.r.RequestURI,
		Host:           a.r.Host,
		Header:         h,
		Body:           a.body,
		StillValid:     a.maySend,
		Match:          a.matchAnswer,
	}
}

// maySend reports, once a connection to the server is available, whether the request should
// still be sent on it.
func (a *attempt) maySend() bool {
	a.recordRegistrationAge()
	if a.deadlinePassed() || callerGone(a.r) || a.g.staleRefusal() != nil || a.poisonStatus().Refusal() != nil || !a.g.Servers.MaySend(a.server, a.permit) {
		return false
	}
	a.g.Servers.Sending(a.server.Incarnation())
	return true
}

// priorityThresholds are the prompt sizes, in new tokens, at which a request yields to smaller
// ones. An engine reads prompts one after another, so a small prompt behind a large one would
// miss its latency objective.
var priorityThresholds = []int64{1500, 4000, 10000, 20000}

// smallPromptPriority is the priority of the smallest prompts.
const smallPromptPriority = 3

// priority returns the priority of a prompt by its size.
func (a *attempt) priority() int {
	rank := smallPromptPriority
	for _, size := range priorityThresholds {
		if a.newTokens >= size {
			rank++
		}
	}
	return rank
}

// recordPromptRead records, once, that the server has read the prompt or will not read it.
func (a *attempt) recordPromptRead() {
	if a.promptRead {
		return
	}
	a.promptRead = true
	a.g.Servers.RecordPromptRead(a.server.Incarnation(), a.newTokens)
}

// connectionLimit returns how many of the server's connections this router may use; 0 is no
// limit. Callers are distributed so unevenly that a few routers may need many times an even share: for
// a while one may get all new callers of a region, and must be able to use all slots.
func (a *attempt) connectionLimit() int {
	limit := sharedConnectionFraction * float64(a.service.MaxConnections)
	if limit == 0 {
		return 0
	}
	share := 0.0
	if routers := a.g.Routers(); routers > 0 {
		share = limit / float64(routers)
	}
	slots := min(float64(a.slots()), slotConnectionFraction*float64(a.service.MaxConnections))
	return max(int(max(share, limit*minConnectionFraction, slots)), 1)
}

// slots returns the number of requests that the server runs concurrently; 0: unknown.
func (a *attempt) slots() int {
	if a.server.Slots == 0 && a.service.Engine != nil {
		return a.service.Engine.Slots
	}
	return a.server.Slots
}

// matchAnswer reports which request a response belongs to. A response stating that the request
// did not run may lack the request id.
func (a *attempt) matchAnswer(resp *http.Response) upstream.MatchResult {
	info := a.g.Protocol.Answer(resp.StatusCode, resp.Header)
	switch {
	case info.RequestID == a.ID:
		return upstream.Matched
	case info.RequestID == "" && info.NotRun:
		return upstream.MatchUnknown
	default:
		return upstream.MatchedOther
	}
}

// sendFailed ends an attempt that received no response head.
func (a *attempt) sendFailed(ctx context.Context, f *upstream.Failure) disposition {
	if f.Stage == upstream.NotSent {
		serverOutcome := placement.Unreachable
		if f.Full || f.Outdated || f.NoPath || a.g.LinkSaturated() || a.r.Context().Err() != nil {
			serverOutcome = placement.Neutral
		}
		return a.finish(notReached, "not reached", serverOutcome, f)
	}
	a.mayHaveRun = true
	a.record.router = f.Router
	return a.endBroken(ctx, f)
}

// endBroken ends an attempt whose response was missing or truncated.
func (a *attempt) endBroken(ctx context.Context, err error) disposition {
	a.unobserved++
	switch {
	case a.r.Context().Err() != nil:
		return a.finish(failed, "caller gone", placement.Neutral, nil)
	case errors.Is(context.Cause(ctx), errCutOff):
		return a.finish(failed, "cut off", placement.Neutral, errCutOff)
	case errors.Is(context.Cause(ctx), errTooSlow):
		return a.finish(failed, "too slow", placement.Failed, errTooSlow)
	case ctx.Err() != nil && a.g.drained():
		return a.finish(failed, "stopped", placement.Neutral, err)
	case ctx.Err() != nil:
		return a.finish(failed, "timeout", placement.Failed, err)
	default:
		a.poisonStatus().RecordBroken(a.server)
		return a.finish(failed, "broken", placement.Failed, err)
	}
}
