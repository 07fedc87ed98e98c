package peer

import (
	"time"

	"github.com/gaplink/gaplink/budget"
	"github.com/gaplink/gaplink/ledger"
	"github.com/gaplink/gaplink/limiter"
	"github.com/gaplink/gaplink/origin"
	"github.com/gaplink/gaplink/placement"
	"github.com/gaplink/gaplink/poison"
	"github.com/gaplink/gaplink/table"
)

// RPC methods that routers serve to each other and to operators.
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
	MethodLend     = "slots.Lend"
	MethodReturn   = "slots.Return"
	MethodLoad     = "load.Exchange"
	MethodReach    = "servers.Reach"

	MethodOriginRecord = "origins.Record"
	MethodOriginFind   = "origins.Find"
)

// Empty is an empty request or response.
type Empty struct{}

// BudgetMessage carries a budget message.
type BudgetMessage struct {
	Message budget.Message
}

// HoldingRequest requests the holdings of a router for the given budgets.
type HoldingRequest struct{ Budgets []string }

// HoldingAnswer returns the holdings by budget.
type HoldingAnswer struct {
	Incarnation string
	Holdings    map[string]budget.Holding
}

// LedgerRequest submits an operation to a ledger shard.
type LedgerRequest struct {
	Shard   int
	Op      ledger.Op
	Durable bool
}

// LedgerAnswer returns the outcome of the operation.
type LedgerAnswer struct {
	Outcome ledger.Outcome
}

// RunningRequest asks whether a connection with the given claim is being served.
type RunningRequest struct {
	Incarnation string
	Claim       string
}

// RunningAnswer answers a RunningRequest. Running is also false if the incarnation no longer exists.
type RunningAnswer struct {
	Running bool
}

// PrepareRequest requests the acknowledgement of a proposed table change.
type PrepareRequest struct {
	Change table.Change
}

// PrepareAnswer acknowledges the proposal or returns the last decided revision that is known.
type PrepareAnswer struct {
	OK       bool
	Revision int64
}

// DecideRequest announces a decided table change.
type DecideRequest struct {
	Change table.Change
}

// DecideAnswer returns the current revision.
type DecideAnswer struct {
	Revision int64
}

// LeavingRequest announces that an instance is leaving.
type LeavingRequest struct {
	// Kind is "router" or "backend".
	Kind string
	ID   string
}

// WhoAnswer identifies the responding process.
type WhoAnswer struct {
	Incarnation string
}

// Router describes a router process.
type Router struct {
	ID, Addr, Domain, Incarnation string
	// LinkMbps is the capacity of its network link in Mbit/s; 0 if unknown.
	LinkMbps float64
}

// HelloRequest announces a router to another one.
type HelloRequest struct{ Self Router }

// HelloAnswer describes the fleet to the router that sent a HelloRequest.
type HelloAnswer struct {
	// Self is the responding router.
	Self Router
	// Known is set if the responding router has read the list of all routers.
	Known bool
	// Fleet is the number of routers if Known is set. Contacts are the routers from which the
	// requesting router gets updates; in a small fleet all routers.
	Fleet    int
	Contacts []Router
}

// UpdatesRequest requests the changes that the requesting router does not have yet.
type UpdatesRequest struct {
	// Servers and Routers are the store revisions up to which the requesting router has all
	// changes of the registrations of backend servers and of routers; 0 if it has none.
	Servers, Routers int64
	// ReportSource is the process from which the requesting router last received reports.
	// VerdictSeq is the sequence number of the last report on requests that crash servers, and
	// LimitSeq that of the last report on rate limits.
	ReportSource string
	VerdictSeq   int64
	LimitSeq     int64
	// StoreAnswered is set if the store has just answered any call of the requesting router while
	// that router's state is stale, as it is before its first query for updates.
	StoreAnswered bool
}

// Kind is the kind of the objects in a list that routers exchange.
type Kind string

// Object kinds.
const (
	// KindServers are the registrations of backend servers, and KindRouters those of routers.
	KindServers Kind = "servers"
	KindRouters Kind = "routers"
)

// ListRequest requests a page of the list of all objects of a kind.
type ListRequest struct {
	Kind Kind
	// After is the last key of the previous page; empty for the first page.
	After string
}

// ListAnswer is a page of the list of all objects of a kind, ordered by key. Pages may be of
// different revisions: after the last page, the reader must read the changes since the revision of
// the first page.
type ListAnswer struct {
	// Revision is the store revision up to which the page includes all changes.
	Revision int64
	// Age is the time since Revision was the newest state, by the store's response.
	Age time.Duration
	// Packed is a compressed list of Registration. The ages in it are relative to the time
	// SnapshotAge ago.
	Packed      []byte
	SnapshotAge time.Duration
	// More is set if another page follows.
	More bool
}

// Registration is the stored registration of a backend server or a router, or its deletion.
type Registration struct {
	Key     string
	Version int64
	Value   []byte
	Deleted bool
	// Age is the time since the store sent this copy of the registration, to the responding
	// router or to the one from which it was relayed.
	Age time.Duration
}

// Ages holds the staleness of a router's state by kind of object: the time since the router had all
// changes in the store. It is UnknownAge if the router has received no state.
type Ages struct{ Config, Servers, Evacuated time.Duration }

// UnknownAge is the age of state that was never received.
const UnknownAge time.Duration = -1

// Changes holds changes of one kind of registrations.
type Changes struct {
	// UpTo is the store revision up to which the changes are complete; 0 if the responding
	// router has none.
	UpTo int64
	// List is set if the responding router no longer has the changes: the requesting router must
	// read the list of all objects.
	List bool
	// More is set if there are changes after UpTo, to be read by another request.
	More bool
	// Changed are the changes. Many changes are sent instead as Packed, a compressed list whose
	// ages are relative to the time PackedAge ago.
	Changed   []Registration
	Packed    []byte
	PackedAge time.Duration
}

// UpdatesAnswer returns the changes since those named in the UpdatesRequest.
type UpdatesAnswer struct {
	// Current is set if the state of the responding router is current: it watches the store, or
	// has just received updates from a watcher.
	Current bool
	// Lost is set if the store does not answer the responding router.
	Lost bool
	// Direct is set if Current or Lost was observed at the store itself. Relays accept updates
	// only from such a router, so that updates do not circulate between relays forever.
	Direct bool
	// Origin is the router that observed Current at the store itself.
	Origin string
	// Ages are the ages of the responding router's state, counted from the store's responses.
	Ages Ages
	// Config is the version of the responding router's configuration.
	Config int64
	// Source is the responding process.
	Source string
	// Servers and Routers are the changes of the registrations of backend servers and of routers.
	Servers, Routers Changes
	// Evacuated are the failure domains that the operator has evacuated, as of the store
	// revision EvacuatedAt; 0 if unknown.
	Evacuated   []string
	EvacuatedAt int64
	// Verdicts are the reports of the responding process on requests that crash servers, after
	// the requested sequence number. VerdictSeq is the sequence number of the last one.
	Verdicts   poison.Report
	VerdictSeq int64
	// Limits and LimitSeq are the equivalent for the rate limits of servers.
	Limits   limiter.Report
	LimitSeq int64
}

// LimitsRequest reports rate limits that servers declared. If All is set, it also requests all
// known rate limits.
type LimitsRequest struct {
	Report limiter.Report
	All    bool
}

// LimitsAnswer returns the requested rate limits.
type LimitsAnswer struct {
	Report limiter.Report
	// Incomplete is set if the answering router may not know the limits that others have heard of.
	Incomplete bool
}

// PermitRequest asks for a permit for one request to a server.
type PermitRequest struct {
	Server placement.Incarnation
	// Rate is the rate that the server accepts from all routers together, as known to the
	// requesting router.
	Rate limiter.Rate
	// Rank is the priority of the request.
	Rank limiter.Rank
	// Fallback is set if the owner of the rate did not answer, and Again if another owner was
	// asked for a permit for the same request before.
	Fallback, Again bool
}

// PermitAnswer grants a permit or returns the time until the next one can be granted.
type PermitAnswer struct {
	Granted bool
	Wait    time.Duration
}

// LendRequest asks for a slot of a brittle server for one request.
type LendRequest struct {
	Server placement.Incarnation
	// Borrower is the asking process.
	Borrower limiter.Borrower
	// Slots is the number of slots of the server.
	Slots int
	// SaidAgo is the time since a server of its service is last known to have said that it is brittle.
	SaidAgo time.Duration
}

// LendAnswer lends a slot, or returns the time after which to ask again. SaidAgo is as in LendRequest.
type LendAnswer struct {
	Lent          bool
	Wait, SaidAgo time.Duration
}

// ReturnRequest returns a slot.
type ReturnRequest struct {
	Server   placement.Incarnation
	Borrower limiter.Borrower
	// Rejected is set if the server rejected the request for want of room, and Rejections is the number of
	// rejections in a second that it bears.
	Rejected   bool
	Rejections int
}

// LoadRequest reports the load that a router causes at backend servers and its link load, or, if Relay
// is set, the sums of those of all routers that a relay serves.
type LoadRequest struct {
	// From is the reporting router, Process identifies its process, and Seq orders the reports of a
	// process.
	From         string
	Process, Seq uint32
	Relay        bool
	// Servers holds the servers in the form of load.Pack: names would take four times the space.
	// Truncated is set if a relay leaves out servers.
	Servers   []byte
	Truncated bool
	// Links are link loads by failure domain. A router sends exactly one element, for its own domain.
	Links []DomainLinks
}

// ReachRequest asks whether a router reaches the servers of a service in a failure domain.
type ReachRequest struct{ Service, Domain string }

// ReachAnswer answers a ReachRequest.
type ReachAnswer struct {
	// Direct is set if nothing speaks against the responding router reaching the servers itself, and it
	// connects other routers to them.
	Direct bool
	// Through are routers through which the responding router reaches the servers.
	Through []string
}

// DomainLinks are the link loads of routers of a failure domain, in the form of load.PackLinks.
type DomainLinks struct {
	Domain string
	Packed []byte
}

// LoadAnswer returns to a router the load that the others cause. It is empty for a relay's sums.
type LoadAnswer struct {
	// Off is set if the responding router does not share loads, and NotRelay if it does not relay those
	// of others, or not yet. The report is then ignored.
	Off, NotRelay bool
	// Known is set if the responding router has reports of other routers. Age is the time since the
	// oldest observation, in milliseconds.
	Known bool
	Age   uint16
	// Servers are the most loaded servers, in the form of load.Pack. Complete is set if the other
	// servers have no load.
	Servers  []byte
	Complete bool
	// Links are the most loaded links of the requesting router's failure domain.
	Links []byte
}

// OriginsRecord records which software versions began streams.
type OriginsRecord struct{ Records []origin.Record }

// OriginRequest asks which software version began a stream, and which versions of services have served.
type OriginRequest struct {
	Key      origin.Key
	Services []string
}

// OriginAnswer answers an OriginRequest.
type OriginAnswer struct {
	// Known is set if Origin began the stream, by the record of an attempt, and Ambiguous if records contradict
	// each other.
	Known, Ambiguous bool
	Origin           origin.Version
	Attempt          int
	// Served are the versions that have served in the last origin.Retention, as far as the responding
	// router has seen them, for each requested service.
	Served [][]string
	// Listed are those that are on record in the store, as far as the responding router knows; none from an older release.
	Listed [][]string
	// Current reports whether the responding router's registrations of servers are current.
	Current bool
}

// VerdictsRequest reports requests that crash servers. If All is set, it also
// requests all known reports.
type VerdictsRequest struct {
	Report poison.Report
	All    bool
}

// VerdictsAnswer returns the requested reports.
type VerdictsAnswer struct {
	Report poison.Report
	// Incomplete is set if the answering router may not know what others have reported.
	Incomplete bool
}

// ConfigAnswer returns a router's configuration.
type ConfigAnswer struct {
	// Packed is the compressed stored form of the configuration; nil if the router has none.
	Packed []byte
}

// LeftAnswer returns the ids of the backend servers that are known to be leaving.
type LeftAnswer struct {
	Servers []string
}

// BarrierRequest requests that a router accept no further messages from fenced
// incarnations and commit all ledger items that it holds.
type BarrierRequest struct {
	Fenced []string
}

// AdminRequest is an operator's command: its name and its arguments in JSON.
type AdminRequest struct {
	Operator string
	Key      string
	Command  string
	Args     []byte
}

// AdminAnswer returns the command's result in JSON.
type AdminAnswer struct {
	Result []byte
}
