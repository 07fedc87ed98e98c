package budget

import "time"

// Cause says why a reservation was refused.
type Cause string

// The causes of a refusal.
const (
	// Exhausted: the store and the known holders have too few tokens left.
	Exhausted Cause = "exhausted"
	// Unreachable: tokens may be left, but the store or the owner did not answer.
	Unreachable Cause = "unreachable"
	// Unknown: the store has no such budget.
	Unknown Cause = "unknown"
	// Moved: the router asked is closing, or the store does not answer it and it is no longer
	// the owner; ask the successor.
	Moved Cause = "moved"
)

// Peer identifies a router process.
type Peer struct {
	// ID is the instance.
	ID string
	// Incarnation is unique to one run of the process.
	Incarnation string
}

// Kind is the kind of a message between routers.
type Kind string

// The message kinds.
const (
	// Draw asks the owner for tokens.
	Draw Kind = "draw"
	// Grant moves tokens from the owner, or refuses a draw.
	Grant Kind = "grant"
	// Recall asks a holder for its unused tokens.
	Recall Kind = "recall"
	// Back returns unused tokens to the owner.
	Back Kind = "back"
	// Borrow asks any router for tokens, when the store has too few or does not answer.
	Borrow Kind = "borrow"
	// Loan answers a Borrow, with tokens or a refusal.
	Loan Kind = "loan"
)

// Message is a message between routers about one budget. Tokens move by cumulative totals
// per pair of incarnations, so that a lost, duplicated or late message can strand tokens
// for a while but never double them; the next message makes up for a lost one.
type Message struct {
	Kind   Kind
	Budget string
	From   Peer
	// To is the receiver; an empty incarnation stands for any.
	To Peer
	// Need is the minimum number of tokens that the drawing router can use.
	Need int64
	// Want is the number of tokens that the drawing router's demand calls for. In a Grant it is
	// the most that the drawing router should hold; 0: no limit.
	Want int64
	// Total is the sum of all tokens ever moved from From to To.
	Total int64
	// Delta is the part of Total that this message adds.
	Delta int64
	// Scarce asks the receiver to return unused tokens immediately.
	Scarce bool
	// Refused is set on a Grant that moves nothing.
	Refused Cause
	// Token identifies the drawing router's reservation; a Grant repeats it. 0 marks a
	// draw ahead of demand. The top bits are the rank of the request, see rankedToken.
	Token uint64
}

// Effect is an action that the caller of an Agent must carry out.
type Effect interface{ effect() }

// Send delivers a message, once, without waiting. The caller reports a failure by
// Undelivered.
type Send struct{ Message Message }

// ReadPage reads a page and calls PageRead.
type ReadPage struct{ Page int }

// WritePage updates a page (a create for version 0) and calls PageWritten.
type WritePage struct {
	Page    int
	Version int64
	Value   *Page
}

// Resolve answers a reservation that had to wait.
type Resolve struct {
	Token uint64
	// OK is set if the tokens are reserved; otherwise Cause is the reason.
	OK    bool
	Cause Cause
}

// Suspect reports that an instance did not answer in time, or that it is not the owner.
type Suspect struct{ ID string }

// AskSuccessor requests a call of Agent.AskSuccessor after the preceding effects have been
// carried out: only then is another router the owner.
type AskSuccessor struct{ Budget string }

// HolderFenced reports that this holder was fenced: its tokens are void, and the process
// must end.
type HolderFenced struct{}

// EscrowReclaimed reports that the tokens which an earlier process of this instance held in
// escrow count as free in the copy of a page; the next write makes that permanent.
type EscrowReclaimed struct {
	// Holder is the earlier process.
	Holder string
	// Age is the time from its last write to the start of this process.
	Age time.Duration
	// Tokens are the tokens that were still in escrow, by budget.
	Tokens map[string]int64
}

// EscrowForfeited reports that an earlier process of this instance held tokens in escrow
// that cannot be proven unused: they count as spent from the next write on.
type EscrowForfeited struct {
	// Holder is the earlier process.
	Holder string
	// Monotonic and WallClock are the time from its last write to the start of this
	// process, by the monotonic clock and by the wall clock.
	Monotonic, WallClock time.Duration
	// Tokens are the tokens in escrow at that write, by budget.
	Tokens map[string]int64
}

// DrawnForItself reports that this router draws a budget only for its own demand, since
// another router may draw for the fleet.
type DrawnForItself struct {
	Budget string
	// Target is what the router should hold, Starting whether the reason is its recent start.
	Target   int64
	Starting bool
}

// SurplusReturned reports that this router returned what it holds beyond its target.
type SurplusReturned struct {
	Budget string
	// Tokens went to Owner, or to the store if Owner is empty; Kept is the rest of the balance.
	Tokens, Kept int64
	Owner        string
}

// HolderAsked reports that this router, short of Need tokens, asks a router for a loan because the
// page records that it holds many.
type HolderAsked struct {
	Budget, Holder string
	Need           int64
}

// RefusedByRank reports that a request was refused because the tokens are kept for more urgent ranks.
type RefusedByRank struct {
	Budget       string
	Need, Usable int64
	Rank         int
	Cause        Cause
}

// DrawnAhead reports that this router, which is not the owner, draws tokens to hold Target, more of
// them for its most urgent rank, whose share of the demand is Urgent.
type DrawnAhead struct {
	Budget string
	Target int64
	Urgent float64
}

// NearEnd reports that a budget is nearly used up, so that little of it is held, or no longer.
type NearEnd struct {
	Budget      string
	Near        bool
	Free, Limit int64
}

// MoveBeyondUsable reports a message that was to carry more tokens than its sender may use: the rest is in escrow,
// and the sender's next process may reclaim it.
type MoveBeyondUsable struct {
	Budget string
	Kind   Kind
	To     Peer
	// Asked and Sent are the tokens that the message was to carry and those that it carries.
	Asked, Sent int64
	// Escrow is what is in escrow, EscrowAge the time since the write of that escrow.
	Escrow    int64
	EscrowAge time.Duration
}

// GrantDeferred reports that a draw was granted in part, since the rest is in escrow; that follows after the next write.
type GrantDeferred struct {
	Budget string
	To     Peer
	// Wanted, Granted and Usable are tokens: of the whole grant, of its first part, and usable before it.
	Wanted, Granted, Usable int64
	// Escrow is what is in escrow, EscrowAge the time since the write of that escrow.
	Escrow    int64
	EscrowAge time.Duration
}

func (Send) effect()             {}
func (ReadPage) effect()         {}
func (WritePage) effect()        {}
func (Resolve) effect()          {}
func (Suspect) effect()          {}
func (AskSuccessor) effect()     {}
func (HolderFenced) effect()     {}
func (EscrowReclaimed) effect()  {}
func (EscrowForfeited) effect()  {}
func (DrawnForItself) effect()   {}
func (SurplusReturned) effect()  {}
func (HolderAsked) effect()      {}
func (RefusedByRank) effect()    {}
func (DrawnAhead) effect()       {}
func (NearEnd) effect()          {}
func (MoveBeyondUsable) effect() {}
func (GrantDeferred) effect()    {}
