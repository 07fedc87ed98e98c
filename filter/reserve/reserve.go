// Package reserve takes a request's maximum number of tokens from its budget before
// dispatch, and provides the function that settles the tokens actually served. Settling
// follows the billing record, so that a spent token is always reserved or billed.
package reserve

import (
	"context"

	"github.com/gaplink/gaplink/filter"
	"github.com/gaplink/gaplink/table"
)

// Budgets is the router's interface to the prepaid budgets.
type Budgets interface {
	// Reserve reserves tokens, or fails with the reason.
	Reserve(ctx context.Context, budget string, tokens int64) error
	// Settle ends a reservation and charges the tokens actually served.
	Settle(budget string, reserved, actual int64)
}

type handler struct {
	next    filter.Handler
	budgets Budgets
}

// New returns the filter.
func New(next filter.Handler, b Budgets) filter.Handler {
	return &handler{next: next, budgets: b}
}

// Serve implements filter.Handler. Plain services cost no tokens.
func (h *handler) Serve(ctx context.Context, x *filter.Exchange) error {
	if x.Kind != table.Model {
		return h.next.Serve(ctx, x)
	}
	if err := h.budgets.Reserve(ctx, x.Budget, x.MaxTokens); err != nil {
		return err
	}
	reserved := x.MaxTokens
	x.ReserveMore = func(ctx context.Context, tokens int64) error {
		if err := h.budgets.Reserve(ctx, x.Budget, tokens); err != nil {
			return err
		}
		reserved += tokens
		return x.RaiseClaim(ctx, tokens)
	}
	x.Settle = func() { h.budgets.Settle(x.Budget, reserved, x.Tokens) }
	return h.next.Serve(ctx, x)
}
