package peer

import (
	"time"

	"github.com/gaplink/gaplink/budget"
	"github.com/gaplink/gaplink/ledger"
	"github.com/gaplink/gaplink/limiter"
	"github.com/gaplink/gaplink/placement"
	"github.com/gaplink/gaplink/poison"
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
	MethodHello   = "member.Hello"
	MethodUpdates = "member.News"
	MethodConfig  = "config.Fetch"
	MethodList    = "updates.List"

	MethodVerdicts = "verdicts.Report"
	MethodLimits   = "limits.Report"
	MethodPermit   = "limits.Permit"
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

// Router names a router process.
type Router struct {
	ID, Addr, Domain, Incarnation string
	// LinkMbps is the capacity of its network link, 0 if it is not known.
	LinkMbps float64
}

// HelloRequest introduces a router to another one.
type HelloRequest struct{ Self Router }

// HelloAnswer tells an introduced router of the fleet.
type HelloAnswer struct {
	// Self is the asked router.
	Self Router
	// Known tells that the asked router has read the list of all routers.
	Known bool
	// Fleet is then the number of routers, and Contacts are those from which the asking one
	// gets updates; in a small fleet all.
	Fleet    int
	Contacts []Router
}

// UpdatesRequest asks for the changes after those that the asking router has.
type UpdatesRequest struct {
	// Servers and Routers are the store's revisions up to which it knows all changes of the
	// registrations of backend servers and of routers; 0: it knows none.
	Servers, Routers int64
	// ReportSource is the process that it received reports from last, VerdictSeq the sequence
	// number of the last one on requests that crash servers, and LimitSeq that of the last one
	// on rate limits.
	ReportSource string
	VerdictSeq   int64
	LimitSeq     int64
	// StoreAnswered tells that the store has just answered the asking router, which has not
	// called it for updates yet.
	StoreAnswered bool
}

// Kind is a kind of objects of which routers send each other lists.
type Kind string

// The kinds.
const (
	// KindServers are the registrations of backend servers, and KindRouters those of routers.
	KindServers Kind = "servers"
	KindRouters Kind = "routers"
)

// ListRequest asks for a page of all objects of a kind.
type ListRequest struct {
	Kind Kind
	// After is the last key of the page before; empty: the first page is asked for.
	After string
}

// ListAnswer is a page of all objects of a kind in the order of their keys. Pages may be of
// different revisions: the changes after that of the first one are to be read after the last one.
type ListAnswer struct {
	// Revision is the store's revision up to which all changes are in the page.
	Revision int64
	// Age is how long ago that was the newest state, by the store's answer.
	Age time.Duration
	// Packed is a compressed list of Registration, of which each was as old as it says
	// SnapshotAge ago.
	Packed      []byte
	SnapshotAge time.Duration
	// More tells that another page follows.
	More bool
}

// Registration is the registration of a backend server or a router as it lies in the store, or its
// deletion.
type Registration struct {
	Key     string
	Version int64
	Value   []byte
	Deleted bool
	// Age is how long ago the store told it, to whichever router.
	Age time.Duration
}

// Ages are the times since a router knew all changes in the store, by kind of object; Unheard:
// it has received none.
type Ages struct{ Config, Servers, Evacuated time.Duration }

// Unheard is the age of what was never heard of.
const Unheard time.Duration = -1

// Changes are the changes of one kind of registrations.
type Changes struct {
	// UpTo is the store's revision up to which these are all changes; 0: the answering router
	// knows none.
	UpTo int64
	// List tells that the changes are not held any more: all objects are to be read.
	List bool
	// More tells that there are changes after UpTo, which another request brings.
	More bool
	// Changed are the changes. Where they are many, Packed is a compressed list of them instead,
	// of which each was as old as it says PackedAge ago.
	Changed   []Registration
	Packed    []byte
	PackedAge time.Duration
}

// UpdatesAnswer holds the changes since.
type UpdatesAnswer struct {
	// Current tells that the answering router's state is current: it watches the store, or
	// has just received updates from a watcher.
	Current bool
	// Lost tells that the store does not answer it.
	Lost bool
	// Direct tells that Current or Lost comes from the store itself. Relays accept updates
	// only from such a router, so that none circulates without end.
	Direct bool
	// Origin is the router that has Current from the store itself.
	Origin string
	// Ages are the ages of its state, counted from the store's answers.
	Ages Ages
	// Config is the version of the answering router's configuration.
	Config int64
	// Source is the answering process.
	Source string
	// Servers are the changes of backend servers' registrations, and Routers those of routers.
	Servers, Routers Changes
	// Evacuated are the failure domains that the operator has evacuated, as they were at
	// the store's revision EvacuatedAt; 0: none is known.
	Evacuated   []string
	EvacuatedAt int64
	// Verdicts is what the answering process has learnt of requests that end servers
	// after the asked number, and VerdictSeq the number of the last of that.
	Verdicts   poison.Report
	VerdictSeq int64
	// Limits and LimitSeq are the same for the rate limits of servers.
	Limits   limiter.Report
	LimitSeq int64
}

// LimitsRequest reports rate limits that servers named, and asks for all that are known if
// All is set.
type LimitsRequest struct {
	Report limiter.Report
	All    bool
}

// LimitsAnswer is what was asked for.
type LimitsAnswer struct{ Report limiter.Report }

// PermitRequest asks for a permit for one request to a server.
type PermitRequest struct {
	Server placement.Incarnation
	// Rate is what the server takes from all routers, as far as the asking one knows.
	Rate limiter.Rate
	// Rank is the urgency of the request.
	Rank limiter.Rank
	// Fallback tells that the owner of the rate did not answer, and Again that another owner
	// was asked for the request before.
	Fallback, Again bool
}

// PermitAnswer grants a permit, or tells how long from now the next one can be granted.
type PermitAnswer struct {
	Granted bool
	Wait    time.Duration
}

// VerdictsRequest reports requests that crash servers, and asks for all that is
// known of them if All is set.
type VerdictsRequest struct {
	Report poison.Report
	All    bool
}

// VerdictsAnswer is what was asked for.
type VerdictsAnswer struct{ Report poison.Report }

// ConfigAnswer is a router's configuration.
type ConfigAnswer struct {
	// Packed is its stored form, compressed; nil if the router has none.
	Packed []byte
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
