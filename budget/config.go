package budget

import "time"

// Config holds the settings of an agent.
type Config struct {
	// Self is this router.
	Self Peer
	// Pages is the number of budget pages in the fleet.
	Pages int
	// Home returns the instance that currently holds a budget's shared tokens. It should
	// be the same for all budgets of a page, so that they are written together.
	Home func(now time.Time, budget string) string
	// Running returns the process that is known to run at an instance; its incarnation is
	// empty if none is known. nil: none ever is.
	Running func(id string) Peer
	// Lenders returns the other routers to borrow a budget's tokens from, best first; nil:
	// none.
	Lenders func(now time.Time, budget string) []Peer
	// StoreLost reports whether the store does not answer; nil: unknown. A router that
	// stops in the meantime hands its tokens to a lender.
	StoreLost func() bool
	// OpenHorizon is how much demand, as a duration, a write of a page leaves usable of a
	// balance; the rest is held in escrow and released by a schedule, see Escrow. 0: no
	// escrow. ResealEvery is the minimum time between two writes that renew the escrow
	// because too much is usable.
	OpenHorizon time.Duration
	Release     Schedule
	ResealEvery time.Duration
	// Boot identifies the boot of the machine, Uptime reads its monotonic clock, TimeOfDay
	// its wall clock, Started is when this process began, StartedOfDay the wall clock at
	// that time, and Predecessor reports whether a holder is an earlier process of this
	// instance.
	Boot         string
	Uptime       func(time.Time) time.Duration
	TimeOfDay    func() time.Time
	Started      time.Time
	StartedOfDay time.Time
	Predecessor  func(holder string) bool
	// HomeHorizon is how much demand, as a duration, a home draws from the store in
	// advance. It is a trade-off: a longer horizon bridges a longer outage and strands
	// more tokens when a home dies.
	HomeHorizon time.Duration
	// ScarceHorizon is how much demand the store must have left for tokens not to count as
	// scarce; 0: HomeHorizon.
	ScarceHorizon time.Duration
	// EntryHorizon is how much demand an entry router holds, if that is at least
	// EntryLeast requests of the mean size. A router with fewer requests for a budget asks
	// its home for each one and returns what is left over, so that few tokens lie idle in
	// the many routers of a large fleet.
	EntryHorizon time.Duration
	EntryLeast   float64
	// DrawTimeout is how long an entry router waits for the home's answer.
	DrawTimeout time.Duration
	// LenderTimeout is how long another router may take to answer a loan request.
	LenderTimeout time.Duration
	// DrawSpacing is the minimum time between two writes of a page by a home that grants
	// tokens to others: it batches their draws in the meantime.
	DrawSpacing time.Duration
	// RecallTimeout is how long a home waits for recalled tokens.
	RecallTimeout time.Duration
	// CheckEvery is the minimum time between two lookups of an exhausted budget.
	CheckEvery time.Duration
	// PageSpacing is the minimum time between two writes of a page that no caller waits
	// for.
	PageSpacing time.Duration
	// StoreRetry is the pause after the store was unavailable.
	StoreRetry time.Duration
	// RefillBelow is the share of HomeHorizon below which a home draws more.
	RefillBelow float64
	// ScarceWithin is how long a budget must last, at the fleet's demand, for the homes
	// together to hold half of what the store has free; they hold more of one that lasts
	// longer. 0: no such bound.
	ScarceWithin time.Duration
	// Routers returns the number of routers that draw; it may be nil if ScarceWithin is 0.
	Routers func() int
	// TailShare is the last share of a budget, which is released slowly: a fraction 1/e
	// (about a third) of it is left after TailTime. 0: there is no tail.
	TailShare float64
	TailTime  time.Duration
	// StarterShare is the share of a budget that all homes together hold before any
	// request has asked for it.
	StarterShare float64
	// RateWindow is the time constant of the demand estimate.
	RateWindow time.Duration
	// Surplus is how far, as a share, a home's balance may exceed its target before the
	// home returns the excess with its next write; 0: it never does.
	Surplus float64
	// HeldRequests is the minimum that a home holds, and LowRequests the minimum threshold
	// at which it draws more, in requests of the mean size.
	HeldRequests, LowRequests float64
	// IdleAfter is when an unused balance is returned to the home, and HomeIdleAfter when
	// the home returns it to the store.
	IdleAfter, HomeIdleAfter time.Duration
}

// DefaultConfig returns the settings that apply unless an operator sets others.
func DefaultConfig() Config {
	return Config{
		Pages:         16,
		HomeHorizon:   10 * time.Second,
		EntryHorizon:  time.Second,
		DrawTimeout:   400 * time.Millisecond,
		LenderTimeout: 100 * time.Millisecond,
		RecallTimeout: 150 * time.Millisecond,
		CheckEvery:    100 * time.Millisecond,
		PageSpacing:   time.Second,
		StoreRetry:    200 * time.Millisecond,
		RateWindow:    5 * time.Second,
		RefillBelow:   1.0 / freeDivisor,
		HeldRequests:  24,
		LowRequests:   6,
		IdleAfter:     5 * time.Second,
		HomeIdleAfter: 2 * time.Minute,
	}
}

func (c *Config) scarceHorizon() time.Duration {
	if c.ScarceHorizon > 0 {
		return c.ScarceHorizon
	}
	return c.HomeHorizon
}
