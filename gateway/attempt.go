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
	"github.com/gaplink/gaplink/exchange"
	"github.com/gaplink/gaplink/placement"
	"github.com/gaplink/gaplink/upstream"
)

const (
	// connectionShare is the part of a server's connections that the routers
	// share out evenly among them; the rest is for uneven shares.
	connectionShare = 0.9
	// leastShare is the part of a server's connections that any router may use.
	leastShare = 0.1
)

// attempt is the sending of a request to one server.
type attempt struct {
	*call
	server placement.Server
	// permit is what a server with a rate limit gets the request by.
	permit limits.Permit
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
	sent := clock.Now()
	answer, failure := a.g.Pool.Send(ctx, a.request())
	if failure != nil {
		return a.failedSend(ctx, failure)
	}
	defer answer.Close()
	a.note.answered(answer)
	told := a.g.Protocol.Answer(answer.StatusCode, answer.Header)
	a.observeLimit(sent, answer, told)
	switch {
	case told.OtherServer:
		a.g.Servers.Replaced(a.server.Incarnation())
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
		Deadline:  clock.Until(a.deadline),
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
		Owner:          a.server.Incarnation(),
		MaxConnections: a.connections(),
		Method:         a.r.Method,
		Target:         a.r.RequestURI,
		Host:           a.r.Host,
		Header:         h,
		Body:           a.body,
		Holds:          a.holds,
		Belongs:        a.belongs,
	}
}

// holds tells, when a connection to the server is there, whether the request should
// still go there.
func (a *attempt) holds() bool {
	a.noteAge()
	return !a.overdue() && !callerGone(a.r) && a.g.late() == nil && a.g.Servers.Claim(a.server, a.permit)
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
	a.g.Servers.Read(a.server.Incarnation(), a.newTokens)
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
		if f.Full || f.Outdated || a.g.Full() || a.r.Context().Err() != nil {
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
		a.known().Broke(a.server)
		return a.end(failed, "broken", placement.Failed, err)
	}
}
