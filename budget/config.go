package budget

import "time"

// Config holds the settings of an agent.
type Config struct {
	// Self is this router.
	Self Peer
	// Pages is the number of budget pages in the fleet.
	Pages int
	// Owner returns the owner of a budget: the instance that currently holds its shared
	// tokens. It should be the same for all budgets of a page, so that they are written
	// together.
	Owner func(now time.Time, budget string) string
	// SharedOwner reports whether the fleet is so large that one router should draw a budget
	// for all others; nil: no. Then a router that is not that one draws only for its own
	// demand and returns what it holds beyond that. FirstInRank reports whether this router is
	// the one, among all registered routers whether they are reachable or not; nil: it is.
	SharedOwner func() bool
	FirstInRank func(now time.Time, budget string) bool
	// ByRank makes requests leave the tokens to more urgent ones while no more can be obtained
	// and in the last share of a budget.
	ByRank bool
	// Running returns the process that is known to run at an instance; its incarnation is
	// empty if none is known. nil: none ever is.
	Running func(id string) Peer
	// Lenders returns the other routers to borrow a budget's tokens from, best first; nil:
	// none.
	Lenders func(now time.Time, budget string) []Peer
	// Holder returns the router process that a holder in a page is, and whether it may still
	// run and be reached; nil: unknown.
	Holder func(holder string) (Peer, bool)
	// StoreLost reports whether the store does not answer; nil: unknown. A router that
	// stops in the meantime hands its tokens to a lender.
	StoreLost func() bool
	// UsableHorizon is how much demand, as a duration, a write of a page leaves usable of a
	// balance; the rest is held in escrow and released by a schedule, see Escrow. 0: no
	// escrow. EscrowRewriteInterval is the minimum time between two writes that renew the
	// escrow because too much is usable.
	UsableHorizon         time.Duration
	Release               Schedule
	EscrowRewriteInterval time.Duration
	// Boot identifies the boot of the machine, Uptime reads its monotonic clock, WallClock
	// its wall clock, Started is when this process began, StartedWallClock the wall clock
	// at that time, and Predecessor reports whether a holder is an earlier process of this
	// instance.
	Boot             string
	Uptime           func(time.Time) time.Duration
	WallClock        func() time.Time
	Started          time.Time
	StartedWallClock time.Time
	Predecessor      func(holder string) bool
	// OwnerHorizon is how much demand, as a duration, an owner draws from the store in
	// advance. It is a trade-off: a longer horizon bridges a longer outage and strands
	// more tokens when an owner dies.
	OwnerHorizon time.Duration
	// ScarceHorizon is how much demand the store must have left for tokens not to count as
	// scarce; 0: OwnerHorizon.
	ScarceHorizon time.Duration
	// EntryHorizon is how much demand an entry router holds, if that is at least
	// EntryMinRequests requests of the mean size. A router with fewer requests for a
	// budget asks its owner for each one and returns what is left over, so that few tokens
	// lie idle in the many routers of a large fleet.
	EntryHorizon     time.Duration
	EntryMinRequests float64
	// DrawTimeout is how long an entry router waits for the owner's answer.
	DrawTimeout time.Duration
	// LenderTimeout is how long another router may take to answer a loan request.
	LenderTimeout time.Duration
	// DrawInterval is the minimum time between two writes of a page by an owner that grants
	// tokens to others: it batches their draws in the meantime.
	DrawInterval time.Duration
	// RecallTimeout is how long an owner waits for recalled tokens.
	RecallTimeout time.Duration
	// LookupInterval is the minimum time between two lookups of an exhausted budget.
	LookupInterval time.Duration
	// PageWriteInterval is the minimum time between two writes of a page that no caller
	// waits for.
	PageWriteInterval time.Duration
	// ReleaseInterval is the minimum time between two writes of a page of which the second releases tokens
	// in escrow that another router drew in advance of its requests.
	ReleaseInterval time.Duration
	// StoreRetry is the pause after the store was unavailable.
	StoreRetry time.Duration
	// RefillBelow is the share of OwnerHorizon below which an owner draws more.
	RefillBelow float64
	// ScarceWithin is how long a budget must last, at the fleet's demand, for the owners
	// together to hold half of what the store has free; they hold more of one that lasts
	// longer. 0: no such bound.
	ScarceWithin time.Duration
	// Routers returns the number of routers that draw; it may be nil if ScarceWithin is 0.
	Routers func() int
	// FinalReserveShare is the last share of a budget, which is released slowly: a
	// fraction 1/e (about a third) of it is left after FinalReserveTime. 0: there is no
	// final reserve.
	FinalReserveShare float64
	FinalReserveTime  time.Duration
	// InitialShare is the share of a budget that all owners together hold before any
	// request has asked for it.
	InitialShare float64
	// RateWindow is the time constant of the demand estimate.
	RateWindow time.Duration
	// Surplus is how far, as a share, an owner's balance may exceed its target before the
	// owner returns the excess with its next write; 0: it never does.
	Surplus float64
	// HeldRequests is the minimum that an owner holds, and LowRequests the minimum threshold
	// at which it draws more, in requests of the mean size.
	HeldRequests, LowRequests float64
	// IdleAfter is when an unused balance is returned to the owner, and OwnerIdleAfter when
	// the owner returns it to the store.
	IdleAfter, OwnerIdleAfter time.Duration
}

// DefaultConfig returns the settings that apply unless an operator sets others.
func DefaultConfig() Config {
	return Config{
		Pages:             16,
		OwnerHorizon:      10 * time.Second,
		EntryHorizon:      time.Second,
		DrawTimeout:       400 * time.Millisecond,
		LenderTimeout:     100 * time.Millisecond,
		RecallTimeout:     150 * time.Millisecond,
		LookupInterval:    100 * time.Millisecond,
		PageWriteInterval: time.Second,
		ReleaseInterval:   500 * time.Millisecond,
		StoreRetry:        200 * time.Millisecond,
		RateWindow:        5 * time.Second,
		RefillBelow:       1.0 / freeDivisor,
		HeldRequests:      24,
		LowRequests:       6,
		IdleAfter:         5 * time.Second,
		OwnerIdleAfter:    2 * time.Minute,
	}
}

func (c *Config) scarceHorizon() time.Duration {
	if c.ScarceHorizon > 0 {
		return c.ScarceHorizon
	}
	return c.OwnerHorizon
}
