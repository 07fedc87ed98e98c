// Package filter defines the filter chain for callers' requests: authenticate, decode,
// deduplicate, limit, reserve, forward.
//
// Each filter is a separate package with a constructor New(next, ...). A filter processes
// the request, calls the next filter, and completes its work when that returns, so the
// filters complete in reverse order. Settling is the exception: deduplicate calls the
// Settle function that reserve has set, after the billing record is written.
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

// The HTTP headers that gaplink reads from requests or sets on responses.
const (
	// HeaderKey carries the idempotency key, which identifies retries of a request.
	HeaderKey = "Idempotency-Key"
	// HeaderNotRepeatable marks a request that runs at most once ("true").
	HeaderNotRepeatable = "Gaplink-Not-Repeatable"
	// HeaderBudget names the budget that the request is charged to.
	HeaderBudget = "Gaplink-Budget"
	// HeaderDeadline is the caller's timeout in milliseconds.
	HeaderDeadline = "Gaplink-Deadline-Ms"
	// HeaderRequestID carries the request's ID in responses.
	HeaderRequestID = "Gaplink-Request-Id"
	// HeaderCode carries the result code in error responses.
	HeaderCode = "Gaplink-Code"
	// HeaderNotRun is "true" when the request certainly did not run.
	HeaderNotRun = "Gaplink-Not-Run"
)

// Exchange is the state of one caller's request in the filter chain.
type Exchange struct {
	// ID identifies this HTTP request; a retry by the caller has another one.
	ID string
	// W and R are the caller's HTTP response and request.
	W http.ResponseWriter
	R *http.Request
	// Received is the time at which the request was received.
	Received time.Time

	// Account is set by authenticate.
	Account table.Account

	// The fields below are set by decode.

	// Kind distinguishes model requests from plain service requests; Target is the
	// name of the model or service.
	Kind   table.PoolKind
	Target string
	// Path is the rest of the URL path after the service's name.
	Path string
	// Body is the request body.
	Body []byte
	// Budget is the budget that the request is charged to.
	Budget string
	// IdempotencyKey is the caller's idempotency key; empty if none was sent.
	IdempotencyKey string
	// Digest is a hash of the kind, target, path and body.
	Digest uint64
	// NotRepeatable is set for a request that runs at most once.
	NotRepeatable bool
	// Stream is set if the caller requested server-sent events.
	Stream bool
	// MaxTokens is the maximum number of tokens of the response; 0 for a plain service.
	MaxTokens int64
	// PrefixHash is a hash of the start of the prompt.
	PrefixHash uint64

	// LedgerRequest identifies the request in the ledger, and Attempt is the number of
	// the first attempt by this router. Set by deduplicate.
	LedgerRequest string
	Attempt       int

	// RaiseClaim raises the claim by the maximum number of tokens of another attempt.
	// Set by deduplicate.
	RaiseClaim func(ctx context.Context, tokens int64) error

	// ReserveMore reserves tokens for another attempt, and Settle ends the reservation
	// once the billing record is written. Set by reserve.
	ReserveMore func(ctx context.Context, tokens int64) error
	Settle      func()

	// The fields below are set by forward.

	// Dispatched is set if an attempt may have run.
	Dispatched bool
	// ResponseStarted is set once part of the response was sent to the caller.
	ResponseStarted bool
	// Tokens is the number of tokens served by all attempts. An attempt whose outcome is
	// unknown counts with its maximum.
	Tokens int64
	// ServiceResponse is the complete response body of a plain service. It is stored for
	// retries of a not-repeatable request if it is small.
	ServiceResponse    []byte
	ServiceContentType string
	// Finish sends the buffered end of the response. It is called once the billing record
	// is written.
	Finish func() error

	// Log adds the request ID to each entry.
	Log *zap.Logger
}

// Handler is one filter, or the end of the chain. The error returned is reported to the
// caller.
type Handler interface {
	Serve(ctx context.Context, x *Exchange) error
}

// HandlerFunc adapts a function to Handler.
type HandlerFunc func(ctx context.Context, x *Exchange) error

// Serve implements Handler.
func (f HandlerFunc) Serve(ctx context.Context, x *Exchange) error { return f(ctx, x) }

// errorResponse is the JSON body of an error response.
type errorResponse struct {
	Error errorBody `json:"error"`
}

type errorBody struct {
	Code         int    `json:"code"`
	Name         string `json:"name"`
	Message      string `json:"message"`
	NotRun       bool   `json:"not_run"`
	RetryAfterMs int64  `json:"retry_after_ms,omitempty"`
	RequestID    string `json:"request_id"`
}

// WriteError sends an error to the caller. If part of a streamed response was already
// sent, the error is written as an error event without an end marker, and the connection
// must then be aborted.
func WriteError(x *Exchange, e *result.Error) {
	info := e.Code.Info()
	body, _ := json.Marshal(errorResponse{errorBody{
		Code:         int(e.Code),
		Name:         info.Name,
		Message:      message(e, info),
		NotRun:       info.NotRun && !x.Dispatched,
		RetryAfterMs: e.RetryAfter.Milliseconds(),
		RequestID:    x.ID,
	}})
	if x.ResponseStarted {
		_, _ = x.W.Write([]byte("event: error\ndata: " + string(body) + "\n\n"))
		_ = http.NewResponseController(x.W).Flush() // aborting the connection would discard a buffered event
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
