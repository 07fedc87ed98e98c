package budgets

import (
	"context"
	"errors"

	"github.com/google/uuid"

	"github.com/gaplink/gaplink/budget"
	"github.com/gaplink/gaplink/result"
	"github.com/gaplink/gaplink/store"
)

// maxEditTries is the number of conditional updates after which an edit fails.
const maxEditTries = 20

// editPage changes a page by a conditional update and retries on conflict. A
// unique mark that the edit stores in the page shows whether a write whose answer
// was lost took effect.
func editPage(ctx context.Context, s store.Store, n int, change func(*budget.Page) error) error {
	mark := "operator/" + uuid.NewString()
	for range maxEditTries {
		page, version, err := readPage(ctx, s, n)
		if err != nil {
			return unavailable(err)
		}
		if _, done := page.Ops[mark]; done {
			return removeMark(ctx, s, n, page, version, mark)
		}
		if err := change(page); err != nil {
			return err
		}
		page.Ops[mark] = 1
		o, err := store.Put(ctx, s, budget.PageKey(n), version, page.Encode())
		switch {
		case err == nil:
			return removeMark(ctx, s, n, page, o.Version, mark)
		case errors.Is(err, store.ErrConflict):
		case errors.Is(err, store.ErrUnavailable):
			return unavailable(err)
		default:
			// The answer was lost: the mark shows at the next read whether the
			// write took effect.
		}
	}
	return result.New(result.ChangeOutcomeLost, "the store did not confirm the change")
}

// removeMark removes the mark of an edit. A mark that remains is harmless.
func removeMark(ctx context.Context, s store.Store, n int, page *budget.Page, version int64, mark string) error {
	delete(page.Ops, mark)
	_, _ = s.Update(ctx, budget.PageKey(n), version, page.Encode())
	return nil
}

func unavailable(err error) error {
	return result.New(result.StoreUnavailable, "the store does not answer").Wrap(err)
}

func readPage(ctx context.Context, s store.Store, n int) (*budget.Page, int64, error) {
	o, err := s.Get(ctx, budget.PageKey(n))
	if errors.Is(err, store.ErrNotFound) {
		return budget.NewPage(), 0, nil
	}
	if err != nil {
		return nil, 0, err
	}
	page, err := budget.DecodePage(o.Value)
	return page, o.Version, err
}

// Create creates a budget with a limit in tokens.
func Create(ctx context.Context, s store.Store, pages int, id, account string, limit int64) error {
	if id == "" || limit < 0 {
		return result.New(result.BadRow, "a budget needs a name and a limit of 0 or more")
	}
	return editPage(ctx, s, budget.PageOf(id, pages), func(p *budget.Page) error {
		if _, exists := p.Budgets[id]; exists {
			return result.New(result.ObjectExists, "budget %s exists", id)
		}
		p.Budgets[id] = &budget.Record{Account: account, Limit: limit, Holders: map[string]int64{}}
		return nil
	})
}

// TopUp raises the limit of a budget by the given tokens and returns the new limit.
func TopUp(ctx context.Context, s store.Store, pages int, id string, tokens int64) (int64, error) {
	if tokens <= 0 {
		return 0, result.New(result.BadRow, "a top-up must be above 0 tokens; a limit never falls")
	}
	var limit int64
	err := editPage(ctx, s, budget.PageOf(id, pages), func(p *budget.Page) error {
		r, ok := p.Budgets[id]
		if !ok {
			return result.New(result.UnknownObject, "budget %s does not exist", id)
		}
		r.Limit += tokens
		limit = r.Limit
		return nil
	})
	return limit, err
}

// Show returns the record of a budget.
func Show(ctx context.Context, s store.Store, pages int, id string) (*budget.Record, error) {
	page, _, err := readPage(ctx, s, budget.PageOf(id, pages))
	if err != nil {
		return nil, unavailable(err)
	}
	r, ok := page.Budgets[id]
	if !ok {
		return nil, result.New(result.UnknownObject, "budget %s does not exist", id)
	}
	return r, nil
}

// CloseHolder closes, in page n, a holder that will never write again.
func CloseHolder(ctx context.Context, s store.Store, n int, holder string) error {
	return editPage(ctx, s, n, func(p *budget.Page) error {
		p.Close(holder)
		return nil
	})
}

// ReadPage returns page n and its version.
func ReadPage(ctx context.Context, s store.Store, n int) (*budget.Page, int64, error) {
	return readPage(ctx, s, n)
}
