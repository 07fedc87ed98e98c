package placement

import (
	"time"
)

// Servers can say that they are brittle: one that has to reject more than a number of requests in a second
// for want of room falls over, and its load then makes the next one fall. While servers of a service are
// brittle, each router keeps to its own part of every server's slots, which all routers compute alike, and
// takes more only one request at a time: so seldom that the rejections of all routers together stay below
// the number that the servers name.
const (
	// brittleTTL is how long servers count as brittle after one of their service has said so.
	brittleTTL = 3 * time.Second
	// rejectionShare is the share of the rejections that a server bears that routers may cause by taking
	// more than their part.
	rejectionShare = 0.5
	// settleTime is the time for which routers take no more than their part of servers that have become
	// brittle: these may still let requests wait which they reject later.
	settleTime = 6 * time.Second
	// minGrowInterval is the minimum time after which a router takes more of a server.
	minGrowInterval = time.Second
)

// Share returns which part of a server's slots belongs to this router: the rank of this router, from 0,
// among all routers in an order specific to the server, and their number.
type Share func(server string) (rank, routers int)

// brittleness is what the servers of a service say of how much they bear.
type brittleness struct {
	until time.Time
	// rejections is the number of rejections in a second that a server bears, as stated last.
	rejections int
	// period counts the times that the servers became brittle.
	period int
	share  Share
}

func (b *brittleness) at(now time.Time) bool { return b != nil && now.Before(b.until) }

// growInterval returns the time after which this router may take more of a server.
func (b *brittleness) growInterval(routers int) time.Duration {
	perSecond := rejectionShare * float64(max(b.rejections, 1)) / float64(max(routers, 1))
	return max(time.Duration(float64(time.Second)/perSecond), minGrowInterval)
}

// room is how many requests of this router a brittle server may have.
type room struct {
	period int
	most   int
	// growAt is when this router may take one more.
	growAt   time.Time
	interval time.Duration
}

// SetShare sets the function that divides the slots of brittle servers among the routers.
func (f *Servers) SetShare(share Share) { f.share = share }

// Brittle records that a server of a service has said how many rejections in a second it bears. It reports
// whether the servers were not known to be brittle.
func (f *Servers) Brittle(now time.Time, service string, rejections int) (began bool) {
	b := &f.groupOf(service).brittle
	began = !b.at(now)
	if began {
		b.period++
	}
	b.until, b.rejections, b.share = now.Add(brittleTTL), rejections, f.share
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

// NoRoom records that a process rejected a request for want of room, which is still counted as in flight.
func (f *Servers) NoRoom(now time.Time, in Incarnation) {
	s := f.lookup(in)
	if s == nil || !s.brittle.at(now) || s.room.period != s.brittle.period {
		return
	}
	s.room.most = max(min(s.room.most, s.inFlight-1), 0)
	s.room.growAt = now.Add(s.room.interval)
}

// full reports whether a brittle server may be sent no further request of this router.
func (s *state) full(now time.Time, slots int) bool {
	if !s.brittle.at(now) {
		return false
	}
	if s.Slots > 0 {
		slots = s.Slots
	}
	s.divide(now, slots)
	return s.inFlight >= s.room.most && now.Before(s.room.growAt)
}

// take records that a request is about to be sent, for which this router may take more of the server.
func (s *state) take(now time.Time) {
	if s.brittle.at(now) && s.room.period == s.brittle.period && s.inFlight >= s.room.most {
		s.room.most = s.inFlight + 1
		s.room.growAt = now.Add(s.room.interval)
	}
}

// divide determines this router's part of a server when it becomes brittle.
func (s *state) divide(now time.Time, slots int) {
	if s.room.period == s.brittle.period {
		return
	}
	rank, routers := 0, 1
	if s.brittle.share != nil {
		rank, routers = s.brittle.share(s.ID)
	}
	r := room{period: s.brittle.period, interval: s.brittle.growInterval(routers), most: max(s.inFlight, 1)}
	if slots > 0 && routers > 0 {
		r.most = slots / routers
		if rank < slots%routers {
			r.most++
		}
	}
	spread := float64(s.hash%1024) / 1024 // the routers take more of a server at different times
	if routers > 1 {
		spread = (float64(rank) + spread) / float64(routers)
	}
	r.growAt = now.Add(settleTime + time.Duration(spread*float64(r.interval)))
	s.room = r
}
