package limiter

import (
	"math"
	"slices"
	"time"

	"github.com/gaplink/gaplink/placement"
)

const (
	// partShare is the share of a brittle server's slots that is divided among the routers. The owner of
	// the slots lends the rest, and all where a router's part would be less than one.
	partShare = 0.5
	// rampTime is the time after which an owner lends all its slots: it does not know the requests that
	// the server has when it begins.
	rampTime = 2 * time.Second
	// loanLife bounds a loan that is not returned.
	loanLife = time.Minute
	// rejectionShare is the share of the rejections that a server bears that an owner may cause by lending
	// more slots after one was rejected.
	rejectionShare = 0.5
	// asksPerSecond is the number of requests for a slot of a server that routers which were denied one
	// cause together.
	asksPerSecond = 500
	// minSlotWait is the minimum time after which a router asks for a slot again.
	minSlotWait = 5 * time.Millisecond
)

// SlotParts divides the slots of a brittle server into an equal part for each router and those that the
// owner lends.
func SlotParts(slots, routers int) (part, lent int) {
	part = int(partShare * float64(slots) / float64(max(routers, 1)))
	return part, slots - part*routers
}

// SlotWait returns how long a router that was denied a slot should wait on average before it asks again.
func SlotWait(routers int) time.Duration {
	return max(time.Duration(routers)*time.Second/asksPerSecond, minSlotWait)
}

// SlotLedger is an owner's record of the slots of brittle servers that it has lent. It is not safe for
// concurrent use.
type SlotLedger struct {
	servers map[placement.Incarnation]*lentSlots
}

// lentSlots are the loans of a server's slots.
type lentSlots struct {
	loans []loan // the oldest first
	// limit is how many may be lent as of limitAt, and perSecond how many more each second.
	limit, perSecond float64
	limitAt          time.Time
	// said is when the server is last known to have said that it is brittle.
	said time.Time
}

// Borrower is a process of a router.
type Borrower struct{ Router, Process string }

// loan is a slot that a router has.
type loan struct {
	to  Borrower
	end time.Time
}

// NewSlotLedger returns an empty ledger.
func NewSlotLedger() *SlotLedger {
	return &SlotLedger{servers: map[placement.Incarnation]*lentSlots{}}
}

// Lend lends a slot of a server, of which it lends slots at most. said is when the borrower last knew the server
// to announce that it is brittle. It returns false if all are lent, and the latest such time that is known.
func (l *SlotLedger) Lend(now time.Time, server placement.Incarnation, to Borrower, slots int, said time.Time) (lent bool, last time.Time) {
	s := l.servers[server]
	if s == nil {
		s = &lentSlots{limit: 1, limitAt: now, perSecond: float64(slots) / rampTime.Seconds()}
		l.servers[server] = s
	}
	if said.After(s.said) {
		s.said = said
	}
	s.expire(now)
	s.raise(now, slots)
	if len(s.loans) >= int(s.limit) {
		return false, s.said
	}
	s.loans = append(s.loans, loan{to, now.Add(loanLife)})
	return true, s.said
}

// raise raises the limit for the time that has passed.
func (s *lentSlots) raise(now time.Time, slots int) {
	s.limit = math.Min(s.limit+s.perSecond*now.Sub(s.limitAt).Seconds(), float64(slots))
	s.limitAt = now
}

// Return ends a loan of a router. If its request was rejected for want of room, no more slots are lent than
// the other loans, and from there only so many more that the server bears it if they are rejected too: it
// bears a number of rejections in a second.
func (l *SlotLedger) Return(now time.Time, server placement.Incarnation, to Borrower, rejected bool, rejections int) {
	s := l.servers[server]
	if s == nil {
		return
	}
	i := slices.IndexFunc(s.loans, func(n loan) bool { return n.to == to })
	if i < 0 {
		return
	}
	s.loans = slices.Delete(s.loans, i, i+1)
	if !rejected {
		return
	}
	s.limit, s.limitAt = math.Min(s.limit, float64(len(s.loans))), now
	s.perSecond = rejectionShare * float64(max(rejections, 1))
}

// expire ends the loans that were not returned in time.
func (s *lentSlots) expire(now time.Time) {
	for len(s.loans) > 0 && now.After(s.loans[0].end) {
		s.loans = s.loans[1:]
	}
}

// EndLoans ends the loans of routers that are not kept, and drops servers without a loan or a request for
// one in the time of a loan.
func (l *SlotLedger) EndLoans(now time.Time, keep func(Borrower) bool) {
	for in, s := range l.servers {
		s.expire(now)
		s.loans = slices.DeleteFunc(s.loans, func(n loan) bool { return !keep(n.to) })
		if len(s.loans) == 0 && now.Sub(s.limitAt) > loanLife {
			delete(l.servers, in)
		}
	}
}
