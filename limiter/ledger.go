package limiter

import (
	"time"

	"github.com/gaplink/gaplink/placement"
)

const (
	// demandWindow is the time over which the demand of each rank is counted.
	demandWindow = 2 * time.Second
	// maxDemandEvents bounds the requests that are counted for each server.
	maxDemandEvents = 256
	// maxUrgentShare bounds the part of a rate that is reserved for more urgent requests, so
	// that the others are not starved.
	maxUrgentShare = 0.75
	// urgentReserve is the number of permits in each window that stay free for more urgent
	// requests while there is demand from them.
	urgentReserve = 1
)

// Rank orders requests by urgency; 0 is the most urgent.
type Rank int

// event is a request that asked for a permit or got one.
type event struct {
	at   time.Time
	rank Rank
}

// serverEvents holds the recent events of a server.
type serverEvents struct {
	// granted are the permits and asked all requests for one, the oldest first.
	granted, asked []event
}

// Ledger records the permits that a router granted, and the requests for them. It is not safe
// for concurrent use.
type Ledger struct {
	servers map[placement.Incarnation]*serverEvents
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger { return &Ledger{servers: map[placement.Incarnation]*serverEvents{}} }

// Wait returns how long from now the next permit for a server can be granted to a request of a
// rank; 0: at once. More urgent requests are guaranteed the rate of their recent demand, up to
// maxUrgentShare, and less urgent ones their demand up to the rest.
func (l *Ledger) Wait(now time.Time, server placement.Incarnation, rate Rate, rank Rank) time.Duration {
	s := l.servers[server]
	if s == nil {
		return 0
	}
	moreUrgent := func(other Rank) bool { return other < rank }
	lessUrgent := func(other Rank) bool { return other > rank }
	urgent, most := s.demand(now, moreUrgent), maxUrgentShare*rate
	rest := min(s.demand(now, lessUrgent), rate-most)
	reserve := 0
	if 0 < urgent && urgent < most {
		reserve = urgentReserve
	}
	wait := waitFor(now, s.granted, rate, reserve)
	if urgent > 0 {
		wait = max(wait, waitFor(now, excluding(s.granted, moreUrgent), rate-min(urgent, most), 0))
	}
	if rest > 0 {
		wait = max(wait, waitFor(now, excluding(s.granted, lessUrgent), rate-rest, 0))
	}
	return wait
}

// waitFor returns how long from now the windows of a rate have no permit left beyond a
// reserve. Windows of one request have no reserve.
func waitFor(now time.Time, granted []event, rate Rate, reserve int) (wait time.Duration) {
	for _, w := range rate.Windows() {
		allowed := max(w.Requests-reserve, 1)
		if len(granted) < allowed {
			continue
		}
		oldest := granted[len(granted)-allowed].at
		wait = max(wait, oldest.Add(w.Length+deliveryMargin).Sub(now))
	}
	return wait
}

// excluding returns the events except those of some ranks.
func excluding(events []event, ranks func(Rank) bool) (list []event) {
	for _, e := range events {
		if !ranks(e.rank) {
			list = append(list, e)
		}
	}
	return list
}

// demand returns the recent demand of some ranks, in requests a second.
func (s *serverEvents) demand(now time.Time, ranks func(Rank) bool) Rate {
	n := 0
	for _, e := range s.asked {
		if ranks(e.rank) && now.Sub(e.at) < demandWindow {
			n++
		}
	}
	return Rate(float64(n) / demandWindow.Seconds())
}

// Ask counts a request in the demand for a server. A request that asks several owners is
// counted by the first.
func (l *Ledger) Ask(now time.Time, server placement.Incarnation, rank Rank) {
	s := l.eventsOf(server)
	s.asked = trimEvents(append(s.asked, event{now, rank}), maxDemandEvents)
}

// eventsOf returns the events of a server, and adds an empty record if there is none.
func (l *Ledger) eventsOf(server placement.Incarnation) *serverEvents {
	s := l.servers[server]
	if s == nil {
		s = &serverEvents{}
		l.servers[server] = s
	}
	return s
}

// Grant grants a permit for a request to a server, or returns how long from now the next
// one can be granted to a request of its rank.
func (l *Ledger) Grant(now time.Time, server placement.Incarnation, rate Rate, rank Rank) (granted bool, wait time.Duration) {
	s := l.eventsOf(server)
	if wait = l.Wait(now, server, rate, rank); wait > 0 {
		return false, wait
	}
	needed, _ := rate.retention()
	s.granted = trimEvents(append(s.granted, event{now, rank}), max(needed, 2*minWindowRequests))
	return true, 0
}

// trimEvents keeps the newest events if there are more than twice as many as needed.
func trimEvents(events []event, needed int) []event {
	if len(events) <= 2*needed {
		return events
	}
	return append([]event(nil), events[len(events)-needed:]...)
}

// Expire drops the servers without an event in any window.
func (l *Ledger) Expire(now time.Time) {
	_, longest := Rate(minRate).retention()
	for server, s := range l.servers {
		if areExpired(now, s.granted, longest) && areExpired(now, s.asked, demandWindow) {
			delete(l.servers, server)
		}
	}
}

// areExpired reports whether all events are older than a time.
func areExpired(now time.Time, events []event, lasts time.Duration) bool {
	return len(events) == 0 || now.Sub(events[len(events)-1].at) > lasts
}
