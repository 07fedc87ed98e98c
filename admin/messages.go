package admin

import (
	"encoding/json"
	"time"

	"github.com/gaplink/gaplink/membership"
	"github.com/gaplink/gaplink/table"
)

// Names of the operator commands.
const (
	AccountCreate = "account.create"
	AccountKey    = "account.key"
	AccountList   = "account.list"
	BudgetCreate  = "budget.create"
	BudgetTopUp   = "budget.topup"
	BudgetShow    = "budget.show"
	BudgetClose   = "budget.close-holder"
	PoolSet       = "pool.set"
	PoolList      = "pool.list"
	PoolDelete    = "pool.delete"
	TableGet      = "table.get"
	TableSet      = "table.set"
	TableApply    = "table.apply"
	Audit         = "audit"
	Bills         = "bills"
	Status        = "status"
)

// AccountArgs names a client account.
type AccountArgs struct {
	ID string `json:"id"`
}

// KeyAnswer holds a new API key. It is returned once; only its hash is stored.
type KeyAnswer struct {
	Account  string `json:"account"`
	Key      string `json:"key"`
	Revision int64  `json:"revision"`
}

// BudgetArgs names a budget; Tokens is the limit or the top-up.
type BudgetArgs struct {
	ID      string `json:"id"`
	Account string `json:"account,omitempty"`
	Tokens  int64  `json:"tokens,omitempty"`
}

// BudgetAnswer shows a budget, in tokens.
type BudgetAnswer struct {
	ID      string `json:"id"`
	Account string `json:"account,omitempty"`
	// Limit is the number of prepaid tokens.
	Limit int64 `json:"limit"`
	// Issued is the number of tokens handed to routers, net of returns.
	Issued int64 `json:"issued"`
	// Free is the number of tokens that can still be issued.
	Free int64 `json:"free"`
	// Held is the number of tokens held by routers that answered: unused or reserved for running
	// requests.
	Held int64 `json:"held"`
	// SpentOrStranded is Issued minus Held: spent, or held by a router that is gone or did not
	// answer.
	SpentOrStranded int64 `json:"spent_or_stranded"`
	// WrittenOff is the number of tokens counted as spent after several routers failed together.
	WrittenOff int64 `json:"written_off,omitempty"`
	// Holders maps each open holder to the tokens issued to it, net of returns.
	Holders map[string]int64 `json:"holders,omitempty"`
	// Silent lists the member routers that did not answer.
	Silent []string `json:"silent,omitempty"`
}

// HolderArgs names a holder incarnation.
type HolderArgs struct {
	Holder string `json:"holder"`
}

// PoolArgs contains a pool, or only its name. Skip is as in TableSetArgs.
type PoolArgs struct {
	Pool table.Pool `json:"pool"`
	Skip []string   `json:"skip,omitempty"`
}

// TableSetArgs edits one row.
type TableSetArgs struct {
	// Row is the row's name, ACCOUNT/TARGET/SITE.
	Row string `json:"row"`
	// Assignments are of the form COLUMN=VALUE.
	Assignments []string `json:"assignments"`
	// Expect is the revision on which the edit is based; if absent, the current one.
	Expect *int64 `json:"expect,omitempty"`
	// Skip lists instances that the operator attests to be terminated.
	Skip []string `json:"skip,omitempty"`
}

// TableApplyArgs contains several edits that form one change.
type TableApplyArgs struct {
	Edits []table.Edit `json:"edits"`
	Skip  []string     `json:"skip,omitempty"`
}

// AuditEntry is one entry of the audit trail.
type AuditEntry struct {
	At       time.Time       `json:"at"`
	Operator string          `json:"operator"`
	What     string          `json:"what"`
	Before   json.RawMessage `json:"before,omitempty"`
	After    json.RawMessage `json:"after,omitempty"`
	Revision int64           `json:"revision,omitempty"`
	Outcome  string          `json:"outcome"`
	Skipped  []string        `json:"skipped,omitempty"`
}

// BillSum is a budget's total in the ledger.
type BillSum struct {
	Account string `json:"account"`
	Budget  string `json:"budget"`
	// Attempts is the number of billed attempts, Tokens the number of tokens that they served.
	Attempts int   `json:"attempts"`
	Tokens   int64 `json:"tokens"`
}

// StatusAnswer is one router's view of the fleet.
type StatusAnswer struct {
	Instance string              `json:"instance"`
	Ready    bool                `json:"ready"`
	Revision int64               `json:"revision"`
	Members  []membership.Member `json:"members"`
}
