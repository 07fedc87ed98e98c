package gateway

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/gaplink/gaplink/catalog"
	"github.com/gaplink/gaplink/exchange"
	"github.com/gaplink/gaplink/placement"
	"github.com/gaplink/gaplink/result"
	"github.com/gaplink/gaplink/upstream"
)

const (
	// busyRetry is when to come back after servers refused: a slot of a plain
	// service is free again after about this time.
	busyRetry = 250 * time.Millisecond
	// noServerRetry is when to come back when no server is in use.
	noServerRetry = 500 * time.Millisecond
	// refusedElsewhere is how many servers beyond the route's attempts may be
	// asked after one that certainly did not run the request.
	refusedElsewhere = 1
	// dialsAtMost bounds the servers that are tried without reaching one.
	dialsAtMost = 4
	// connectionShare is the part of a server's connections that the routers
	// share out evenly among them; the rest is for uneven shares.
	connectionShare = 0.9
	// leastShare is the part of a server's connections that any router may use.
	leastShare = 0.1
	// patience is the share of the latency objective after which a request that
	// may be repeated is taken from a server that has sent nothing.
	patience = 0.66
	// streamPatience is the same for a stream. A prompt is read anew elsewhere,
	// which costs another server's time and comes late anyway, so only a server that
	// seems to be gone is left: most late first events wait for large prompts.
	streamPatience = 2.0
)

// verdict is how an attempt ended.
type verdict int

const (
	// served: the answer went to the caller whole.
	served verdict = iota
	// notReached: no byte was handed to the server.
	notReached
	// notRun: the server certainly did not run the request.
	notRun
	// failed: the request may have run, and there is no usable answer.
	failed
	// ended: the request is over, with its outcome set.
	ended
)

// dispatch sends the request to servers until one answers, or it must end.
func (c *call) dispatch() {
	c.chooseService()
	c.g.Retries.Request(c.service.Name)
	ctx, cancel := context.WithDeadline(c.r.Context(), c.deadline)
	defer cancel()
	tried := map[string]bool{}
	var so tally
	for {
		server, ok := c.g.Servers.Pick(c.query(tried))
		if !ok {
			c.giveUp(result.New(result.NoBackend, "no server of %s is in use", c.service.Name).After(noServerRetry))
			return
		}
		tried[server.ID] = true
		last := so.sent+1 >= c.route.Attempts || !c.g.Retries.Left(c.service.Name)
		a := &attempt{call: c, server: server, last: last, note: attemptNote{server: server.ID}}
		v := a.run(ctx)
		c.noteEnd(a)
		if v == served || v == ended {
			return
		}
		so.add(v)
		if stop := c.mayGoOn(ctx, v, a.err, so); stop != nil {
			c.giveUp(stop)
			return
		}
	}
}

// tally counts how the attempts of a request ended so far.
type tally struct {
	// sent may have run, refused certainly did not, and unreached were handed to
	// no server.
	sent, refused, unreached int
}

func (t *tally) add(v verdict) {
	switch v {
	case notReached:
		t.unreached++
	case notRun:
		t.refused++
	case failed:
		t.sent++
	}
}

func (c *call) query(tried map[string]bool) placement.Query {
	return placement.Query{Service: c.service.Name, Affinity: c.affinity, Tokens: c.newTokens, Prompt: c.TokensIn, Tried: tried, Domain: c.g.Domain}
}

// mayGoOn returns nil if the request may be sent to another server, or else
// how it ends.
func (c *call) mayGoOn(ctx context.Context, v verdict, cause error, so tally) *result.Error {
	if err := ctx.Err(); err != nil {
		return c.timeEnded(err)
	}
	switch v {
	case notReached:
		if so.unreached >= dialsAtMost {
			return result.New(result.NoBackend, "no server of %s could be reached", c.service.Name).After(noServerRetry).Wrap(cause)
		}
		return nil // no server was burdened
	case notRun:
		if so.sent+so.refused >= c.route.Attempts+refusedElsewhere {
			return result.New(result.NotAccepted, "the servers are full").After(busyRetry).Wrap(cause)
		}
	case failed:
		if !c.mayRepeat() || so.sent >= c.route.Attempts {
			return result.New(result.BackendCut, "the server did not answer whole").Wrap(cause)
		}
	}
	if c.retryTaken {
		c.retryTaken = false // with the tokens for the next attempt
		return nil
	}
	if v == failed {
		if refusal := c.reserveAgain(); refusal != nil {
			return refusal.Wrap(cause)
		}
	}
	if !c.g.Retries.Spend(c.service.Name) {
		code := result.BackendCut
		if v == notRun {
			code = result.NotAccepted
		}
		return result.New(code, "the retry budget is spent").After(busyRetry).Wrap(cause)
	}
	return nil
}

// timeEnded tells a caller that left from a time that is over.
func (c *call) timeEnded(err error) *result.Error {
	if c.r.Context().Err() != nil {
		return result.New(result.CallerGone, "the caller closed the connection").Wrap(err)
	}
	if c.ran {
		return result.New(result.AttemptTimeout, "no answer in time").Wrap(err)
	}
	return result.New(result.NotAccepted, "no server took the request in time").After(busyRetry).Wrap(err)
}

// giveUp ends the request without an answer from a server.
func (c *call) giveUp(end *result.Error) {
	if !c.reply.hasBegun() {
		c.refuse(end)
		return
	}
	c.outcome = end.Code
	c.cause = end
	c.reply.breakOff()
}

// mayRepeat tells whether another server may be asked after this one: the request
// may run again, and what the caller has of an answer can be gone on with.
func (c *call) mayRepeat() bool {
	if !c.route.MayRepeat() {
		return false
	}
	if c.route.Kind == catalog.Stream {
		return !c.stream.stuck.Load()
	}
	return !c.reply.hasBegun()
}

// noteEnd keeps an attempt that has ended for the log and the counters.
func (c *call) noteEnd(a *attempt) {
	a.note.verdict = a.verdictName()
	a.note.after = time.Since(c.arrived)
	c.attempts = append(c.attempts, a.note)
	a.promptRead()
	c.g.Servers.Ended(a.server.ID, a.judged)
	c.g.Metrics.attempt(c.service.Name, a.name)
}

// attempt is the sending of a request to one server.
type attempt struct {
	*call
	server placement.Server
	// last tells that no further server may be asked.
	last bool
	// read tells that the server has read the prompt.
	read bool
	// eventAt is when the server's last event came; zero: none has.
	eventAt time.Time
	// judged is what the attempt says about the server.
	judged placement.Outcome
	err    error
	name   string
	note   attemptNote
}

func (a *attempt) verdictName() string {
	if a.err == nil {
		return a.name
	}
	return a.name + " (" + a.err.Error() + ")"
}

func (a *attempt) end(v verdict, name string, judged placement.Outcome, err error) verdict {
	a.name, a.judged, a.err = name, judged, err
	return v
}

// errOther marks an answer of another server at the address.
var errOther = errors.New("another server answers at the address")

// errUnsigned marks an answer that the server did not make.
var errUnsigned = errors.New("the answer carries no signature")

// run makes the attempt.
func (a *attempt) run(ctx context.Context) verdict {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	patience := a.impatient(cancel)
	defer patience.stop()
	answer, failure := a.g.Pool.Send(ctx, a.request())
	if failure != nil {
		return a.failedSend(ctx, failure)
	}
	defer answer.Close()
	a.note.answered(answer)
	told := a.g.Protocol.Answer(answer.StatusCode, answer.Header)
	switch {
	case told.OtherServer:
		a.g.Servers.Replaced(a.server.ID)
		return a.end(notRun, "replaced", placement.Failed, errOther)
	case told.NotRun:
		return a.end(notRun, "refused", placement.Failed, fmt.Errorf("status %d", answer.StatusCode))
	}
	a.ran = true
	if !told.Signed && answer.StatusCode < http.StatusMultipleChoices {
		a.unseen++
		return a.end(failed, "unsigned", placement.Failed, errUnsigned)
	}
	switch {
	case a.reply.hasBegun() && !a.goesOn(answer):
		// The caller has a part of a stream: no other answer may follow it, and none
		// is its end.
		return a.end(failed, "no stream", judgedByStatus(answer.StatusCode), fmt.Errorf("status %d", answer.StatusCode))
	case a.route.Kind == catalog.Stream && answer.StatusCode == http.StatusOK:
		return a.relayStream(ctx, answer, patience)
	case promisesNotRun(answer.StatusCode):
		// The server did not say that it did not run the request, so it may have.
		return a.end(failed, "false promise", judgedByStatus(answer.StatusCode), fmt.Errorf("status %d", answer.StatusCode))
	case answer.StatusCode >= http.StatusInternalServerError && a.route.MayRepeat() && !a.last:
		return a.end(failed, "error", placement.Failed, fmt.Errorf("status %d", answer.StatusCode))
	default:
		return a.relayPlain(ctx, answer, patience)
	}
}

// promisesNotRun tells whether callers take a status for the promise that their
// request has not run and never will.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	default:
		return false
	}
}

// judgedByStatus is what the status of an answer says about its server.
func judgedByStatus(status int) placement.Outcome {
	if status >= http.StatusInternalServerError {
		return placement.Failed
	}
	return placement.Answered
}

// request builds what is sent to the server.
func (a *attempt) request() *upstream.Request {
	h := passed(a.r.Header)
	d := exchange.Dispatch{
		Server:    a.server.ID,
		Deadline:  time.Until(a.deadline),
		LastEvent: a.stream.at.LastID(),
		Ranked:    a.service.Engine != nil,
		Priority:  a.priority(),
	}
	if a.account != nil {
		d.Account = a.account.Name
	}
	a.g.Protocol.Dispatch(h, d)
	return &upstream.Request{
		Address:        a.server.Address,
		Owner:          a.server.ID,
		MaxConnections: a.connections(),
		Method:         a.r.Method,
		Target:         a.r.RequestURI,
		Host:           a.r.Host,
		Header:         h,
		Body:           a.body,
		Belongs:        a.belongs,
	}
}

// rankSizes are the prompt sizes, in new tokens, from which a request gives way
// to smaller ones: an engine reads one prompt after the other, and a small one
// behind a large one would miss its objective.
var rankSizes = []int64{1500, 4000, 10000, 20000}

// firstRank is the priority of the smallest prompts.
const firstRank = 3

// priority ranks a prompt by its size.
func (a *attempt) priority() int {
	rank := firstRank
	for _, size := range rankSizes {
		if a.newTokens >= size {
			rank++
		}
	}
	return rank
}

// promptRead notes, once, that the server has read the prompt or will not.
func (a *attempt) promptRead() {
	if a.read {
		return
	}
	a.read = true
	a.g.Servers.Read(a.server.ID, a.newTokens)
}

// connections is this router's share of the server's connections. In a large
// fleet the shares that callers make are so uneven that a few routers may need
// many times an even one.
func (a *attempt) connections() int {
	limit := connectionShare * float64(a.service.MaxConnections)
	if limit == 0 {
		return 0
	}
	share := limit / float64(max(a.g.Routers(), 1))
	return max(int(max(share, limit*leastShare)), 1)
}

// belongs tells whose answer one is. One that says that the request did not run may
// lack the id.
func (a *attempt) belongs(resp *http.Response) upstream.Belonging {
	told := a.g.Protocol.Answer(resp.StatusCode, resp.Header)
	switch {
	case told.RequestID == a.ID:
		return upstream.Mine
	case told.RequestID == "" && told.NotRun:
		return upstream.Unnamed
	default:
		return upstream.Foreign
	}
}

// failedSend judges a request without the head of an answer.
func (a *attempt) failedSend(ctx context.Context, f *upstream.Failure) verdict {
	if f.Stage == upstream.NotSent {
		judged := placement.Silent
		if f.Full || a.g.Full() || a.r.Context().Err() != nil {
			judged = placement.Neutral
		}
		return a.end(notReached, "not reached", judged, f)
	}
	a.ran = true
	return a.broken(ctx, f)
}

// broken ends an attempt whose answer did not come or broke off.
func (a *attempt) broken(ctx context.Context, err error) verdict {
	a.unseen++
	switch {
	case a.r.Context().Err() != nil:
		return a.end(failed, "caller gone", placement.Neutral, nil)
	case errors.Is(context.Cause(ctx), errTooSlow):
		return a.end(failed, "too slow", placement.Failed, errTooSlow)
	case ctx.Err() != nil:
		return a.end(failed, "timeout", placement.Failed, err)
	default:
		return a.end(failed, "broken", placement.Failed, err)
	}
}
