package budget

import "time"

// Cause says why a reservation was refused.
type Cause string

// The causes of a refusal.
const (
	// Exhausted: the store and the known holders have too little left.
	Exhausted Cause = "exhausted"
	// Unreachable: tokens may be left, but store or home did not answer.
	Unreachable Cause = "unreachable"
	// Unknown: the store has no such budget.
	Unknown Cause = "unknown"
	// Moved: the asked router is closing; ask the next home.
	Moved Cause = "moved"
)

// Peer names a router process.
type Peer struct {
	// ID is the instance.
	ID string
	// Incarnation is unique to one process life.
	Incarnation string
}

// Kind is the kind of a message between routers.
type Kind string

// The message kinds.
const (
	// Draw asks the home for tokens.
	Draw Kind = "draw"
	// Grant moves tokens from the home, or refuses a draw.
	Grant Kind = "grant"
	// Recall asks a holder for its unused tokens.
	Recall Kind = "recall"
	// Back moves unused tokens to the home.
	Back Kind = "back"
	// Borrow asks any router for tokens, when the store has too few or does
	// not answer.
	Borrow Kind = "borrow"
	// Loan answers a Borrow, with tokens or a refusal.
	Loan Kind = "loan"
)

// Message is what routers tell each other about one budget. Tokens move by
// cumulative totals per pair of incarnations, so that a lost, doubled or late
// message can strand tokens for a while but never double them; the next
// message heals a loss.
type Message struct {
	Kind   Kind
	Budget string
	From   Peer
	// To is the receiver; an empty incarnation stands for any.
	To Peer
	// Need is the least number of tokens that helps the drawer.
	Need int64
	// Want is what the drawer would like, by its demand.
	Want int64
	// Total is the sum of all tokens ever moved from From to To.
	Total int64
	// Delta is the part of Total that this message adds.
	Delta int64
	// Scarce tells the receiver to give unused tokens back at once.
	Scarce bool
	// Refused is set on a Grant that moves nothing.
	Refused Cause
	// Token is the drawer's reservation; a Grant repeats it. 0 is a draw
	// ahead of demand.
	Token uint64
}

// Effect is something the caller of an Agent must do.
type Effect interface{ effect() }

// Send delivers a message, once, without waiting. A failure is told by
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
	// OK tells that the tokens are reserved; otherwise Cause says why not.
	OK    bool
	Cause Cause
}

// Suspect tells that an instance did not answer in time, or that it is no home.
type Suspect struct{ ID string }

// AskAgain wants a call of Agent.AskAgain, after the effects before it were carried out:
// only then another router is the home.
type AskAgain struct{ Budget string }

// Stop tells that this holder was fenced: its tokens are void, and the
// process must end.
type Stop struct{}

// TakenBack tells that the copy of a page counts the tokens that an earlier
// process of this instance withheld as free; the next write makes it so.
type TakenBack struct {
	// Holder is the earlier process.
	Holder string
	// Age is the time from its last write to the start of this process.
	Age time.Duration
	// Tokens are what it still withheld, by budget.
	Tokens map[string]int64
}

// GivenUp tells that an earlier process of this instance has withheld tokens which
// nothing proves to be unused: they count as spent from the next write on.
type GivenUp struct {
	// Holder is the earlier process.
	Holder string
	// Steady and OfDay are the time from its last write to the start of this
	// process, by the steady clock and by the time of day.
	Steady, OfDay time.Duration
	// Tokens are what it withheld when it wrote, by budget.
	Tokens map[string]int64
}

func (Send) effect()      {}
func (ReadPage) effect()  {}
func (WritePage) effect() {}
func (Resolve) effect()   {}
func (Suspect) effect()   {}
func (AskAgain) effect()  {}
func (Stop) effect()      {}
func (TakenBack) effect() {}
func (GivenUp) effect()   {}
