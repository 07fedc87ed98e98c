package placement

import (
	"time"
)

// Servers can say that they are brittle: one that has to reject more than a number of requests in a second
// for want of room falls over, and its load then makes the next one fall. While servers of a service are
// brittle, each router has an equal part of every server's slots, and needs a loan of a slot for each request
// beyond it.
//
// Of a server whose number of slots is unknown, a router takes more than it has one request at a time: so
// seldom that the rejections of all routers together stay below the number that the servers name.
const (
	// brittleTTL is how long servers count as brittle after one of their service has said so.
	brittleTTL = 10 * time.Second
	// rejectionShare is the share of the rejections that a server bears that routers may cause by taking
	// more than their part.
	rejectionShare = 0.5
	// settleTime is the time for which routers take no more than their part of servers that have become
	// brittle: these may still let requests wait which they reject later.
	settleTime = 6 * time.Second
	// minGrowInterval is the minimum time after which a router takes more of a server.
	minGrowInterval = time.Second
)

// Parts returns this router's part of the slots of a server, and the number of routers among which slots are
// divided.
type Parts func(slots int) (part, routers int)

// SlotLoan is the need of a request for a slot that belongs to no router.
type SlotLoan struct {
	// Slots is the number of slots of the server, and Rejections that of the rejections in a second that it
	// bears.
	Slots, Rejections int
	// Said is when a server of the service is last known to have said that it is brittle.
	Said time.Time
}

// brittleness is what the servers of a service say of how much they bear.
type brittleness struct {
	// said is when a server is last known to have said so.
	said time.Time
	// rejections is the number of rejections in a second that a server bears, as stated last.
	rejections int
	// period counts the times that the servers became brittle.
	period int
	parts  Parts
	// order is specific to this router.
	order uint64
}

func (b *brittleness) at(now time.Time) bool { return b != nil && now.Sub(b.said) < brittleTTL }

// growInterval returns the time after which this router may take more of a server.
func (b *brittleness) growInterval(routers int) time.Duration {
	perSecond := rejectionShare * float64(max(b.rejections, 1)) / float64(max(routers, 1))
	return max(time.Duration(float64(time.Second)/perSecond), minGrowInterval)
}

// room is how many requests of this router a brittle server may have.
type room struct {
	period int
	// slots is the number of slots of the server; 0: unknown.
	slots int
	// part is this router's part of the slots, and most how many requests the server is taken to accept
	// without a loan.
	part, most int
	// deniedUntil is until when no slot is asked for.
	deniedUntil time.Time
	// growAt is when this router may take one more.
	growAt   time.Time
	interval time.Duration
}

// SetParts sets the function that divides the slots of brittle servers. Without it this router is alone.
func (f *Servers) SetParts(parts Parts) { f.parts = parts }

// Brittle records that a server of a service has said how many rejections in a second it bears. It reports
// whether the servers were not known to be brittle.
func (f *Servers) Brittle(now time.Time, service string, rejections int) (began bool) {
	b := &f.groupOf(service).brittle
	began = !b.at(now)
	if began {
		b.period++
	}
	b.said, b.rejections, b.parts, b.order = now, rejections, f.parts, f.order
	return began
}

// BrittleServices returns the number of services whose servers are brittle.
func (f *Servers) BrittleServices(now time.Time) int {
	n := 0
	for _, g := range f.groups {
		if g.brittle.at(now) {
			n++
		}
	}
	return n
}

// NoRoom records that a process rejected a request for want of room, which is still counted as in flight. A
// rejected request with a loan is the concern of the owner of the slots.
func (f *Servers) NoRoom(now time.Time, in Incarnation, lent bool) {
	s := f.lookup(in)
	if s == nil || lent || !s.dividedAt(now) {
		return
	}
	s.room.most = max(min(s.room.most, s.ownInFlight()-1), 0)
	s.room.growAt = now.Add(s.room.interval)
}

// NeedsLoan reports whether a request that has just been picked for a server, and is counted as in flight,
// needs a slot that belongs to no router.
func (f *Servers) NeedsLoan(now time.Time, in Incarnation) (SlotLoan, bool) {
	s := f.lookup(in)
	if s == nil || !s.dividedAt(now) || s.room.slots == 0 || s.ownInFlight() <= s.room.most {
		return SlotLoan{}, false
	}
	return SlotLoan{Slots: s.room.slots, Rejections: s.brittle.rejections, Said: s.brittle.said}, true
}

// Lent counts a slot that was lent for a request in flight, and Returned its return.
func (f *Servers) Lent(in Incarnation) {
	if s := f.lookup(in); s != nil {
		s.lent++
	}
}

// Returned counts the return of a slot.
func (f *Servers) Returned(in Incarnation) {
	if s := f.lookup(in); s != nil {
		s.lent = max(s.lent-1, 0)
	}
}

// LoanDenied records that no slot of a server is to be asked for until a time, and when a server of its
// service is known to have said that it is brittle.
func (f *Servers) LoanDenied(in Incarnation, until, said time.Time) {
	s := f.lookup(in)
	if s == nil {
		return
	}
	s.room.deniedUntil = until
	if said.After(s.brittle.said) {
		s.brittle.said = said
	}
}

// ownInFlight returns the number of requests in flight without a loan.
func (s *state) ownInFlight() int { return s.inFlight - s.lent }

// dividedAt reports whether a server is brittle and this router's part of it determined.
func (s *state) dividedAt(now time.Time) bool {
	return s.brittle.at(now) && s.room.period == s.brittle.period
}

// full reports whether a brittle server may be sent no further request of this router.
func (s *state) full(q *Query) bool {
	if !s.brittle.at(q.Now) {
		return false
	}
	slots := q.Slots
	if s.Slots > 0 {
		slots = s.Slots
	}
	s.divide(q.Now, slots)
	if s.ownInFlight() < s.room.most || s.mayGrow(q.Now) {
		return false
	}
	return s.room.slots == 0 || q.Unrestricted || q.Now.Before(s.room.deniedUntil)
}

// mayGrow reports whether this router may try one request more than the server is known to accept: within its
// part, or if the number of slots is unknown.
func (s *state) mayGrow(now time.Time) bool {
	return !now.Before(s.room.growAt) && (s.room.slots == 0 || s.room.most < s.room.part)
}

// take records that a request is about to be sent, for which this router may take more of the server.
func (s *state) take(now time.Time) {
	if s.dividedAt(now) && s.ownInFlight() >= s.room.most && s.mayGrow(now) {
		s.room.most = s.ownInFlight() + 1
		s.room.growAt = now.Add(s.room.interval)
	}
}

// divide determines this router's part of a server when it becomes brittle.
func (s *state) divide(now time.Time, slots int) {
	if s.room.period == s.brittle.period {
		return
	}
	part, routers := slots, 1
	if s.brittle.parts != nil {
		part, routers = s.brittle.parts(slots)
	}
	r := room{period: s.brittle.period, interval: s.brittle.growInterval(routers), slots: max(slots, 0), part: part, most: part}
	if r.slots == 0 {
		r.most = max(s.inFlight, 1)
	}
	spread := float64(mix(s.brittle.order^s.hash)%1024) / 1024 // the routers take more of a server at different times
	r.growAt = now.Add(settleTime + time.Duration(spread*float64(r.interval)))
	s.room = r
}
