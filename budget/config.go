package budget

import "time"

// Config are the settings of an agent.
type Config struct {
	// Self is this router.
	Self Peer
	// Pages is the fleet's number of budget pages.
	Pages int
	// Home names the instance that holds a budget's shared tokens now. It
	// should be the same for all budgets of a page, whose writes then go
	// together.
	Home func(now time.Time, budget string) string
	// Running names the process that is known to run at an instance; its
	// incarnation is empty if none is known. nil: none ever is.
	Running func(id string) Peer
	// Lenders names other routers to borrow a budget from, best first; nil: none.
	Lenders func(now time.Time, budget string) []Peer
	// StoreLost tells whether the store does not answer; nil: it is not known.
	// A router that stops meanwhile hands its tokens to a lender.
	StoreLost func() bool
	// OpenHorizon is how much demand a write of a page leaves usable of a
	// balance; the rest is withheld and released by a schedule, see Escrow. 0:
	// nothing is withheld. ResealEvery is the least time between two writes that
	// withhold anew.
	OpenHorizon time.Duration
	Release     Schedule
	ResealEvery time.Duration
	// Boot identifies the boot of the machine, Uptime reads its steady clock,
	// TimeOfDay its time of day, Started is when this process began, StartedOfDay the
	// time of day then, and Predecessor tells whether a holder is an earlier process
	// of this instance.
	Boot         string
	Uptime       func(time.Time) time.Duration
	TimeOfDay    func() time.Time
	Started      time.Time
	StartedOfDay time.Time
	Predecessor  func(holder string) bool
	// HomeHorizon is how much demand a home draws ahead from the store. It is
	// the setting between the users' preferences: longer lasts longer through
	// an outage and strands more when a home dies.
	HomeHorizon time.Duration
	// ScarceHorizon is how much demand the store must have left for tokens not to
	// be scarce; 0: HomeHorizon.
	ScarceHorizon time.Duration
	// EntryHorizon is how much demand an entry router holds, if that is at least
	// EntryLeast requests of the mean size. One that has fewer requests for a
	// budget asks its home for each, and returns what that leaves, so that little
	// lies idle in the many routers of a large fleet.
	EntryHorizon time.Duration
	EntryLeast   float64
	// DrawTimeout is how long an entry router waits for the home's answer.
	DrawTimeout time.Duration
	// LenderTimeout is how long another router may take to lend.
	LenderTimeout time.Duration
	// DrawSpacing is the least time between two writes of a page by a home that
	// grants to others: their draws are gathered meanwhile.
	DrawSpacing time.Duration
	// RecallTimeout is how long a home waits for recalled tokens.
	RecallTimeout time.Duration
	// CheckEvery bounds how often an exhausted budget is looked up again.
	CheckEvery time.Duration
	// PageSpacing is the least time between two writes of a page that nobody
	// waits for.
	PageSpacing time.Duration
	// StoreRetry is the pause after the store was unavailable.
	StoreRetry time.Duration
	// RefillBelow is the share of HomeHorizon below which a home draws more.
	RefillBelow float64
	// ScarceWithin is how long a budget must last, at the fleet's demand, for half
	// of what the store has free to be held by the homes together; more is held of
	// one that lasts longer. 0: no such bound.
	ScarceWithin time.Duration
	// Routers is the number of routers that draw; it may be nil without
	// ScarceWithin.
	Routers func() int
	// TailShare is the last share of a budget, which is spent slowly: a third of it is
	// left after TailTime. 0: there is no tail.
	TailShare float64
	TailTime  time.Duration
	// StarterShare is the part of a budget that all homes together hold of it
	// before any request has asked for it.
	StarterShare float64
	// RateWindow is the time constant of the demand estimate.
	RateWindow time.Duration
	// Surplus is by how much more than it would hold a home may have before it
	// returns the excess with its next write, as a share; 0: it never does.
	Surplus float64
	// HeldRequests and LowRequests are the least that a home holds, and at
	// which it draws more, in requests of the mean size.
	HeldRequests, LowRequests float64
	// IdleAfter is when an unused balance is given back to the home, and
	// HomeIdleAfter when the home returns it to the store.
	IdleAfter, HomeIdleAfter time.Duration
}

// DefaultConfig returns the settings used when an operator names none.
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
		RefillBelow:   1.0 / shareOfFree,
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
