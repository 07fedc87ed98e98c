package limiter

import (
	"time"

	"github.com/gaplink/gaplink/placement"
)

const (
	// demandWindow is the time over which the demand of urgent requests is counted.
	demandWindow = 2 * time.Second
	// demandMost bounds the requests that are counted for each server.
	demandMost = 256
	// urgentShare bounds the part of a rate that is kept for more urgent requests, so that
	// the others are not starved.
	urgentShare = 0.75
	// urgentReserve is the number of permits in each window that are left for more urgent
	// requests while such ask.
	urgentReserve = 1
)

// Rank orders requests by urgency; 0 is the most urgent.
type Rank int

// event is a request that asked for a permit or got one.
type event struct {
	at   time.Time
	rank Rank
}

// account is what is recorded of a server.
type account struct {
	// granted are the permits and asked all requests for one, the oldest first.
	granted, asked []event
}

// Ledger records the permits that a router granted, and who asked for them. It is not safe
// for concurrent use.
type Ledger struct {
	accounts map[placement.Incarnation]*account
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger { return &Ledger{accounts: map[placement.Incarnation]*account{}} }

// Wait returns how long from now the next permit for a server can be granted to a request
// of a rank; 0: at once. More urgent requests have the rate that they asked for lately, up
// to a share, and less urgent ones what they asked for of the rest.
func (l *Ledger) Wait(now time.Time, server placement.Incarnation, rate Rate, rank Rank) time.Duration {
	a := l.accounts[server]
	if a == nil {
		return 0
	}
	moreUrgent := func(other Rank) bool { return other < rank }
	lessUrgent := func(other Rank) bool { return other > rank }
	urgent, most := a.demand(now, moreUrgent), urgentShare*rate
	rest := min(a.demand(now, lessUrgent), rate-most)
	reserve := 0
	if 0 < urgent && urgent < most {
		reserve = urgentReserve
	}
	wait := waitFor(now, a.granted, rate, reserve)
	if urgent > 0 {
		wait = max(wait, waitFor(now, without(a.granted, moreUrgent), rate-min(urgent, most), 0))
	}
	if rest > 0 {
		wait = max(wait, waitFor(now, without(a.granted, lessUrgent), rate-rest, 0))
	}
	return wait
}

// waitFor returns how long from now the windows of a rate hold no further permit beyond a
// reserve. Windows of one request have none.
func waitFor(now time.Time, granted []event, rate Rate, reserve int) (wait time.Duration) {
	for _, w := range rate.Windows() {
		allowed := max(w.Requests-reserve, 1)
		if len(granted) < allowed {
			continue
		}
		oldest := granted[len(granted)-allowed].at
		wait = max(wait, oldest.Add(w.Length+margin).Sub(now))
	}
	return wait
}

// without returns the events but those of some ranks.
func without(events []event, ranks func(Rank) bool) (list []event) {
	for _, e := range events {
		if !ranks(e.rank) {
			list = append(list, e)
		}
	}
	return list
}

// demand returns how many requests a second of some ranks asked lately.
func (a *account) demand(now time.Time, ranks func(Rank) bool) Rate {
	n := 0
	for _, e := range a.asked {
		if ranks(e.rank) && now.Sub(e.at) < demandWindow {
			n++
		}
	}
	return Rate(float64(n) / demandWindow.Seconds())
}

// Ask counts a request in the demand for a server. One that asks several owners counts at
// the first.
func (l *Ledger) Ask(now time.Time, server placement.Incarnation, rank Rank) {
	a := l.of(server)
	a.asked = lastOf(append(a.asked, event{now, rank}), demandMost)
}

func (l *Ledger) of(server placement.Incarnation) *account {
	a := l.accounts[server]
	if a == nil {
		a = &account{}
		l.accounts[server] = a
	}
	return a
}

// Grant grants a permit for a request to a server, or returns how long from now the next
// one can be granted to a request of its rank.
func (l *Ledger) Grant(now time.Time, server placement.Incarnation, rate Rate, rank Rank) (granted bool, wait time.Duration) {
	a := l.of(server)
	if wait = l.Wait(now, server, rate, rank); wait > 0 {
		return false, wait
	}
	needed, _ := rate.remembers()
	a.granted = lastOf(append(a.granted, event{now, rank}), max(needed, 2*enoughRequests))
	return true, 0
}

// lastOf drops old events when there are more than twice as many as needed.
func lastOf(events []event, needed int) []event {
	if len(events) <= 2*needed {
		return events
	}
	return append([]event(nil), events[len(events)-needed:]...)
}

// Expire drops the servers that no window holds any more.
func (l *Ledger) Expire(now time.Time) {
	_, longest := Rate(leastRate).remembers()
	for server, a := range l.accounts {
		if isOver(now, a.granted, longest) && isOver(now, a.asked, demandWindow) {
			delete(l.accounts, server)
		}
	}
}

// isOver tells whether all events are longer ago than a time.
func isOver(now time.Time, events []event, lasts time.Duration) bool {
	return len(events) == 0 || now.Sub(events[len(events)-1].at) > lasts
}
