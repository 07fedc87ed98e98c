// Package deduplicate claims a request in the ledger before dispatch and writes its
// billing record before the end of the response is sent.
package deduplicate

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/gaplink/gaplink/filter"
	"github.com/gaplink/gaplink/ledger"
	"github.com/gaplink/gaplink/result"
)

const (
	// runningRetryAfter is the Retry-After value while an attempt with the same key runs.
	runningRetryAfter = time.Second
	// unavailableRetryAfter is the Retry-After value while the store or the ledger is
	// unreachable.
	unavailableRetryAfter = 2 * time.Second
	// maxStoredResponseBytes is the size limit of responses that are stored for retries.
	maxStoredResponseBytes = 4 << 10
)

// Ledger is the router's interface to the ledger.
type Ledger interface {
	// Claim requests permission to run a request.
	Claim(ctx context.Context, op ledger.Op) (ledger.Outcome, error)
	// Record writes a billing record. It returns once the record is committed, or held
	// by a router while the store is down.
	Record(ctx context.Context, op ledger.Op)
	// Withdraw cancels the claim of a request that did not run. It does not wait.
	Withdraw(op ledger.Op)
	// Running reports whether the holder of the claim still serves it.
	Running(ctx context.Context, outcome ledger.Outcome, request string) bool
	// MarkServing and UnmarkServing mark the start and end of this router's work on a
	// claim.
	MarkServing(claim string)
	UnmarkServing(claim string)
	// StopFenced is called when this router learns that it was fenced.
	StopFenced()
	// Self returns this router's incarnation and instance.
	Self() (incarnation, instance string)
}

type handler struct {
	next   filter.Handler
	ledger Ledger
}

// New returns the filter.
func New(next filter.Handler, l Ledger) filter.Handler {
	return &handler{next: next, ledger: l}
}

// Serve implements filter.Handler.
func (h *handler) Serve(ctx context.Context, x *filter.Exchange) error {
	op := h.newClaim(x)
	h.ledger.MarkServing(op.Claim)
	defer h.ledger.UnmarkServing(op.Claim)
	done, err := h.claim(ctx, x, op)
	if done || err != nil {
		return err
	}
	x.RaiseClaim = func(ctx context.Context, tokens int64) error { return h.raiseClaim(ctx, &op, tokens) }
	op.Attempt = x.Attempt
	x.Log = x.Log.With(zap.Int("attempt", x.Attempt))
	err = h.next.Serve(ctx, x)
	return h.finish(ctx, x, op, err)
}

// newClaim builds the ledger operation that claims the request.
func (h *handler) newClaim(x *filter.Exchange) ledger.Op {
	x.LedgerRequest = "c/" + x.ID
	if x.IdempotencyKey != "" {
		x.LedgerRequest = "k/" + x.Account.ID + "/" + x.IdempotencyKey
	}
	incarnation, instance := h.ledger.Self()
	return ledger.Op{
		Kind:          ledger.Claim,
		Request:       x.LedgerRequest,
		Claim:         x.ID,
		Holder:        incarnation,
		Instance:      instance,
		Account:       x.Account.ID,
		Budget:        x.Budget,
		Target:        x.Target,
		Digest:        x.Digest,
		NotRepeatable: x.NotRepeatable,
		Durable:       x.NotRepeatable,
		MaxTokens:     x.MaxTokens,
		PerTry:        x.MaxTokens,
	}
}

// claim claims the request in the ledger. If the holder of an existing claim no longer
// serves it, claim supersedes that claim. done means that the response was already sent.
func (h *handler) claim(ctx context.Context, x *filter.Exchange, op ledger.Op) (done bool, err error) {
	outcome, err := h.ledger.Claim(ctx, op)
	if err == nil && outcome.Decision == ledger.Busy {
		if h.ledger.Running(ctx, outcome, x.LedgerRequest) {
			return false, result.New(result.AlreadyRunning, "an attempt with this key is running").After(runningRetryAfter)
		}
		op.SupersededHolder = outcome.Holder
		outcome, err = h.ledger.Claim(ctx, op)
	}
	if err != nil {
		return false, h.claimFailed(op, err)
	}
	return h.applyOutcome(x, outcome)
}

// raiseClaim raises the claim's maximum number of tokens before another attempt.
func (h *handler) raiseClaim(ctx context.Context, op *ledger.Op, tokens int64) error {
	op.MaxTokens += tokens
	raised := *op
	raised.Attempt = 0
	outcome, err := h.ledger.Claim(ctx, raised)
	if err == nil && outcome.Decision == ledger.Run {
		return nil
	}
	return result.New(result.LedgerUnreachable, "another try could not be claimed").Wrap(err).After(unavailableRetryAfter)
}

// claimFailed returns the error for a request whose claim has no decision, and withdraws
// the claim in case it was recorded. Repeatable requests need a claim too: if this router
// died, the tokens of an unrecorded request could not be distinguished from unspent ones.
func (h *handler) claimFailed(op ledger.Op, err error) error {
	h.withdraw(op)
	return result.New(result.LedgerUnreachable, "no ledger shard owner answers").Wrap(err).After(unavailableRetryAfter)
}

func (h *handler) applyOutcome(x *filter.Exchange, outcome ledger.Outcome) (done bool, err error) {
	switch outcome.Decision {
	case ledger.Run:
		x.Attempt = outcome.Attempt
		return false, nil
	case ledger.Mismatch:
		return false, result.New(result.KeyReused, "the key was used with another body")
	case ledger.Finished:
		return h.replay(x, outcome)
	case ledger.Busy:
		return false, result.New(result.AlreadyRunning, "an attempt with this key is running").After(runningRetryAfter)
	case ledger.Fenced:
		h.ledger.StopFenced()
		return false, result.New(result.Leaving, "this router was taken to be dead and is stopping").After(runningRetryAfter)
	case ledger.OutcomeUnknown:
		return false, result.New(result.OutcomeUnknown, "the request was dispatched by a router that is gone; its outcome is unknown")
	default:
		return false, result.New(result.StoreUnavailable, "the request cannot be claimed while the store is down").After(unavailableRetryAfter)
	}
}

// replay sends the stored response of a finished not-repeatable request.
func (h *handler) replay(x *filter.Exchange, outcome ledger.Outcome) (done bool, err error) {
	if outcome.Code != int(result.OK) {
		x.Dispatched = true
		return false, result.New(result.Code(outcome.Code), "the request ended so at its only run")
	}
	if outcome.Answer == nil {
		return false, result.New(result.AlreadyAnswered, "the answer was too large to keep")
	}
	x.W.Header().Set("Content-Type", outcome.AnswerType)
	x.W.Header().Set(filter.HeaderRequestID, x.ID)
	_, err = x.W.Write(outcome.Answer)
	return true, err
}

// finish writes the billing record of a dispatched request, or withdraws the claim of
// one that was not dispatched, and then sends the end of the response.
func (h *handler) finish(ctx context.Context, x *filter.Exchange, op ledger.Op, err error) error {
	if x.Settle != nil {
		defer x.Settle()
	}
	if !x.Dispatched {
		h.withdraw(op)
		return err
	}
	op.Kind = ledger.Bill
	op.Tokens = x.Tokens
	if err != nil {
		op.Code = int(result.From(err).Code)
	}
	if x.NotRepeatable && len(x.ServiceResponse) <= maxStoredResponseBytes {
		op.Answer, op.AnswerType = x.ServiceResponse, x.ServiceContentType
	}
	h.ledger.Record(context.WithoutCancel(ctx), op)
	if err == nil && x.Finish != nil {
		return x.Finish()
	}
	return err
}

func (h *handler) withdraw(op ledger.Op) {
	op.Kind = ledger.Withdraw
	h.ledger.Withdraw(op)
}
