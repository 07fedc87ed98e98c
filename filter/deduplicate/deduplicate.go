// Package deduplicate claims a request in the ledger before it is dispatched
// and writes its billing record before the answer ends.
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
	// busyRetry is when to come back for a running request's outcome.
	busyRetry = time.Second
	// downRetry is when to come back while the store is down.
	downRetry = 2 * time.Second
	// keptAnswer is the largest answer that is kept for a retry.
	keptAnswer = 4 << 10
)

// Ledger is the ledger as a router sees it.
type Ledger interface {
	// Claim asks to run a request.
	Claim(ctx context.Context, op ledger.Op) (ledger.Outcome, error)
	// Record writes a bill. It returns when the bill is committed, or held
	// by a router while the store is down.
	Record(ctx context.Context, op ledger.Op)
	// Withdraw takes back a claim that did not run. It does not wait.
	Withdraw(op ledger.Op)
	// Running tells whether a holder still serves the claim.
	Running(ctx context.Context, outcome ledger.Outcome, request string) bool
	// Begin and Done mark a claim as served by this router.
	Begin(claim string)
	Done(claim string)
	// Stop is called when this router finds itself fenced.
	Stop()
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
	op := h.op(x)
	h.ledger.Begin(op.Claim)
	defer h.ledger.Done(op.Claim)
	done, err := h.claim(ctx, x, op)
	if done || err != nil {
		return err
	}
	x.ClaimMore = func(ctx context.Context, tokens int64) error { return h.claimMore(ctx, &op, tokens) }
	op.Attempt = x.Attempt
	x.Log = x.Log.With(zap.Int("attempt", x.Attempt))
	err = h.next.Serve(ctx, x)
	return h.finish(ctx, x, op, err)
}

// op builds the ledger's view of the request.
func (h *handler) op(x *filter.Exchange) ledger.Op {
	x.Request = "c/" + x.ID
	if x.Key != "" {
		x.Request = "k/" + x.Account.ID + "/" + x.Key
	}
	incarnation, instance := h.ledger.Self()
	return ledger.Op{
		Kind:          ledger.Claim,
		Request:       x.Request,
		Claim:         x.ID,
		Holder:        incarnation,
		Instance:      instance,
		Account:       x.Account.ID,
		Budget:        x.Budget,
		Target:        x.Target,
		Digest:        x.Digest,
		NotRepeatable: x.NotRepeatable,
		Durable:       x.NotRepeatable,
		Worst:         x.MaxTokens,
	}
}

// claim asks the ledger until it decides. done means that the caller has its
// answer already.
func (h *handler) claim(ctx context.Context, x *filter.Exchange, op ledger.Op) (done bool, err error) {
	outcome, err := h.ledger.Claim(ctx, op)
	if err == nil && outcome.Verdict == ledger.Busy {
		if h.ledger.Running(ctx, outcome, x.Request) {
			return false, result.New(result.AlreadyRunning, "an attempt with this key is running").After(busyRetry)
		}
		op.Supersede = outcome.Holder
		outcome, err = h.ledger.Claim(ctx, op)
	}
	if err != nil {
		return false, h.unclaimed(op, err)
	}
	return h.decided(x, outcome)
}

// claimMore raises the claim's worst case before another try.
func (h *handler) claimMore(ctx context.Context, op *ledger.Op, tokens int64) error {
	op.Worst += tokens
	again := *op
	again.Attempt = 0
	outcome, err := h.ledger.Claim(ctx, again)
	if err == nil && outcome.Verdict == ledger.Run {
		return nil
	}
	return result.New(result.LedgerUnreachable, "another try could not be claimed").Wrap(err).After(downRetry)
}

// unclaimed refuses a request whose claim nobody decided, and withdraws the
// claim in case it stands. It holds for repeatable requests too: what nobody
// else knows of could not be told from unspent tokens if this router died.
func (h *handler) unclaimed(op ledger.Op, err error) error {
	h.withdraw(op)
	return result.New(result.LedgerUnreachable, "no ledger shard owner answers").Wrap(err).After(downRetry)
}

func (h *handler) decided(x *filter.Exchange, outcome ledger.Outcome) (done bool, err error) {
	switch outcome.Verdict {
	case ledger.Run:
		x.Attempt = outcome.Attempt
		return false, nil
	case ledger.Mismatch:
		return false, result.New(result.KeyReused, "the key was used with another body")
	case ledger.Finished:
		return h.replay(x, outcome)
	case ledger.Busy:
		return false, result.New(result.AlreadyRunning, "an attempt with this key is running").After(busyRetry)
	case ledger.Fenced:
		h.ledger.Stop()
		return false, result.New(result.Leaving, "this router was taken to be dead and is stopping").After(busyRetry)
	case ledger.Unresolved:
		return false, result.New(result.OutcomeUnknown, "the request was dispatched by a router that is gone; its outcome is unknown")
	default:
		return false, result.New(result.StoreUnavailable, "the request cannot be claimed while the store is down").After(downRetry)
	}
}

// replay answers a finished not-repeatable request from its record.
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

// finish bills what was dispatched, withdraws what was not, and then lets the
// answer end.
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
	if x.NotRepeatable && len(x.Reply) <= keptAnswer {
		op.Answer, op.AnswerType = x.Reply, x.ReplyType
	}
	h.ledger.Record(context.WithoutCancel(ctx), op)
	if err == nil && x.End != nil {
		return x.End()
	}
	return err
}

func (h *handler) withdraw(op ledger.Op) {
	op.Kind = ledger.Withdraw
	h.ledger.Withdraw(op)
}
