package peer

import (
	"github.com/gaplink/gaplink/budget"
	"github.com/gaplink/gaplink/ledger"
	"github.com/gaplink/gaplink/table"
)

// The methods that routers offer each other and operators.
const (
	MethodBudget  = "budget.Deliver"
	MethodHolding = "budget.Holding"
	MethodLedger  = "ledger.Submit"
	MethodRunning = "attempt.Running"
	MethodPrepare = "table.Prepare"
	MethodDecide  = "table.Decide"
	MethodLeaving = "member.Leaving"
	MethodAdmin   = "admin.Do"
	MethodWho     = "member.Who"
	MethodLeft    = "member.Left"
	MethodBarrier = "reclaim.Barrier"
)

// Empty is an answer without content.
type Empty struct{}

// BudgetMessage carries a budget message.
type BudgetMessage struct {
	Message budget.Message
}

// HoldingRequest asks what a router holds of budgets.
type HoldingRequest struct{ Budgets []string }

// HoldingAnswer gives the holdings by budget.
type HoldingAnswer struct {
	Incarnation string
	Holdings    map[string]budget.Holding
}

// LedgerRequest submits an op to a shard.
type LedgerRequest struct {
	Shard   int
	Op      ledger.Op
	Durable bool
}

// LedgerAnswer is the op's outcome.
type LedgerAnswer struct {
	Outcome ledger.Outcome
}

// RunningRequest asks whether a connection with that claim is being served.
type RunningRequest struct {
	Incarnation string
	Claim       string
}

// RunningAnswer tells so. Running is false also when the incarnation is gone.
type RunningAnswer struct {
	Running bool
}

// PrepareRequest asks for the acknowledgement of a proposal.
type PrepareRequest struct {
	Change table.Change
}

// PrepareAnswer acknowledges, or tells the last decided revision known.
type PrepareAnswer struct {
	OK       bool
	Revision int64
}

// DecideRequest tells a final change.
type DecideRequest struct {
	Change table.Change
}

// DecideAnswer tells the revision now in force.
type DecideAnswer struct {
	Revision int64
}

// LeavingRequest tells that an instance is leaving.
type LeavingRequest struct {
	// Kind is "router" or "backend".
	Kind string
	ID   string
}

// WhoAnswer names the process that answers.
type WhoAnswer struct {
	Incarnation string
}

// LeftAnswer names the backend servers known to be leaving.
type LeftAnswer struct {
	Servers []string
}

// BarrierRequest asks a router to accept nothing more from fenced
// incarnations, and to commit all ledger items that it holds.
type BarrierRequest struct {
	Fenced []string
}

// AdminRequest is an operator's command in JSON: its name and arguments.
type AdminRequest struct {
	Operator string
	Key      string
	Command  string
	Args     []byte
}

// AdminAnswer is the command's result in JSON.
type AdminAnswer struct {
	Result []byte
}
