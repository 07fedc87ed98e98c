package soak

import (
	"maps"
	"time"

	"github.com/gaplink/gaplink/platform/standin"
)

// charge adds the tokens that a server hands out for a run.
func (o *Oracle) charge(b *requestRecord, a standin.Answer, at time.Time) {
	if b.EventTokens == 0 {
		return
	}
	tokens := b.EventTokens * countEvents(a)
	if len(b.runs) == 1 {
		tokens += b.TokensIn
	}
	o.handedOut[b.Account] += tokens
	o.checked[NoOverspend]++
	if limit := o.budgets[b.Account]; o.handedOut[b.Account] > limit {
		o.violate(NoOverspend, b.ID, at, "%s got %d tokens of %d", b.Account, o.handedOut[b.Account], limit)
	}
}

// SetBudget records an account's budget before it is configured.
func (o *Oracle) SetBudget(account string, tokens int64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.budgets[account] = max(o.budgets[account], tokens)
}

// HandedOut returns the tokens that servers handed out to each account.
func (o *Oracle) HandedOut() map[string]int64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	return maps.Clone(o.handedOut)
}

// CheckIssued checks an account's record in the store: the issued tokens must cover the tokens that
// servers had handed out before the record was read, and must not exceed the budget.
func (o *Oracle) CheckIssued(account string, issued, handedOutBefore int64, at time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if issued < handedOutBefore {
		o.violate(NoOverspend, "", at, "%s: servers handed out %d tokens, and the store says that %d were issued", account, handedOutBefore, issued)
	}
	if issued > o.budgets[account] {
		o.violate(NoOverspend, "", at, "%s: %d tokens issued of %d", account, issued, o.budgets[account])
	}
}
