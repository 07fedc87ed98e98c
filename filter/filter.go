// Package filter defines the chain that a caller's request passes through:
// authenticate, decode, deduplicate, limit, reserve, forward.
//
// Each filter is a package of its own with a constructor New(next, ...). A
// filter does its part on the way in, calls the next one, and finishes its
// part on the way out: the billing record is written and the reservation
// settled after the answer, in the reverse order.
package filter

import (
	"context"
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"go.uber.org/zap"

	"github.com/gaplink/gaplink/result"
	"github.com/gaplink/gaplink/table"
)

// The headers of gaplink's own.
const (
	// HeaderKey makes a request's retries recognisable.
	HeaderKey = "Idempotency-Key"
	// HeaderNotRepeatable marks a request that runs at most once ("true").
	HeaderNotRepeatable = "Gaplink-Not-Repeatable"
	// HeaderBudget names the budget to use.
	HeaderBudget = "Gaplink-Budget"
	// HeaderDeadline is the caller's patience in milliseconds.
	HeaderDeadline = "Gaplink-Deadline-Ms"
	// HeaderRequestID carries the request's number in answers.
	HeaderRequestID = "Gaplink-Request-Id"
	// HeaderCode carries the result code in refusals.
	HeaderCode = "Gaplink-Code"
	// HeaderNotRun is "true" when the request certainly did not run.
	HeaderNotRun = "Gaplink-Not-Run"
)

// Exchange is one caller's request on its way through the chain.
type Exchange struct {
	// ID is the request's number, unique to this connection.
	ID string
	// W and R are the caller's side.
	W http.ResponseWriter
	R *http.Request
	// Received is when the request came in.
	Received time.Time

	// Account is set by authenticate.
	Account table.Account

	// The fields below are set by decode.

	// Kind tells a model request from a plain service's, Target names it.
	Kind   table.PoolKind
	Target string
	// Path is what follows the service's name.
	Path string
	// Body is the caller's body.
	Body []byte
	// Budget is who pays.
	Budget string
	// Key is the caller's idempotency key; empty if none was sent.
	Key string
	// Digest is a hash of what was asked.
	Digest uint64
	// NotRepeatable is set for a request that runs at most once.
	NotRepeatable bool
	// Stream asks for server-sent events.
	Stream bool
	// MaxTokens caps the answer; 0 for a plain service.
	MaxTokens int64
	// Prefix is a hash of the start of the prompt.
	Prefix uint64

	// Request is the ledger's name of the request, and Attempt the number of
	// the first attempt here. Set by deduplicate.
	Request string
	Attempt int

	// ClaimMore raises the claim by the worst case of another try. Set by
	// deduplicate.
	ClaimMore func(ctx context.Context, tokens int64) error

	// Extend reserves further tokens for a repeated attempt, and Settle ends
	// the reservation once the bill is recorded. Set by reserve.
	Extend func(ctx context.Context, tokens int64) error
	Settle func()

	// The fields below are set by forward.

	// Dispatched tells that an attempt may have run.
	Dispatched bool
	// Answered tells that a part of the answer was sent to the caller.
	Answered bool
	// Tokens are those served by all attempts, as far as is known; for an
	// attempt whose end was not seen, its worst case.
	Tokens int64
	// Reply is a small whole answer, kept for a not-repeatable request.
	Reply     []byte
	ReplyType string
	// End sends the held-back end of the answer. It is called when the
	// billing record is safe.
	End func() error

	// Log carries the request's id.
	Log *zap.Logger
}

// Handler is one filter, or the end of the chain. An error is the refusal or
// failure that the caller is told.
type Handler interface {
	Serve(ctx context.Context, x *Exchange) error
}

// HandlerFunc makes a function a Handler.
type HandlerFunc func(ctx context.Context, x *Exchange) error

// Serve implements Handler.
func (f HandlerFunc) Serve(ctx context.Context, x *Exchange) error { return f(ctx, x) }

// refusal is the JSON shape of a refusal or failure.
type refusal struct {
	Error refusalBody `json:"error"`
}

type refusalBody struct {
	Code         int    `json:"code"`
	Name         string `json:"name"`
	Message      string `json:"message"`
	NotRun       bool   `json:"not_run"`
	RetryAfterMs int64  `json:"retry_after_ms,omitempty"`
	RequestID    string `json:"request_id"`
}

// WriteError tells the caller of a refusal or failure. Once a part of a
// streamed answer is out, it goes into the stream as an error event, and the
// end marker is not sent; the connection must then be broken off.
func WriteError(x *Exchange, e *result.Error) {
	info := e.Code.Info()
	body, _ := json.Marshal(refusal{refusalBody{
		Code:         int(e.Code),
		Name:         info.Name,
		Message:      message(e, info),
		NotRun:       info.NotRun && !x.Dispatched,
		RetryAfterMs: e.RetryAfter.Milliseconds(),
		RequestID:    x.ID,
	}})
	if x.Answered {
		_, _ = x.W.Write([]byte("event: error\ndata: " + string(body) + "\n\n"))
		_ = http.NewResponseController(x.W).Flush() // it must be out when the connection is broken off
		return
	}
	h := x.W.Header()
	h.Set("Content-Type", "application/json")
	h.Set(HeaderRequestID, x.ID)
	h.Set(HeaderCode, strconv.Itoa(int(e.Code)))
	h.Set(HeaderNotRun, strconv.FormatBool(info.NotRun && !x.Dispatched))
	if e.RetryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(int(math.Ceil(e.RetryAfter.Seconds()))))
	}
	x.W.WriteHeader(info.HTTPStatus)
	_, _ = x.W.Write(body)
}

func message(e *result.Error, info result.Info) string {
	if e.Detail != "" {
		return e.Detail
	}
	return info.Meaning
}
