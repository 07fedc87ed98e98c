package limiter

import (
	"time"

	"github.com/gaplink/gaplink/placement"
)

// Ledger records the permits that a router granted. It is not safe for concurrent use.
type Ledger struct {
	// granted are the times of the permits of each server, the oldest first.
	granted map[placement.Incarnation][]time.Time
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger { return &Ledger{granted: map[placement.Incarnation][]time.Time{}} }

// Wait returns how long from now the next permit for a server can be granted; 0: at once.
func (l *Ledger) Wait(now time.Time, server placement.Incarnation, rate Rate) (wait time.Duration) {
	granted := l.granted[server]
	for _, w := range rate.Windows() {
		if len(granted) < w.Requests {
			continue
		}
		oldest := granted[len(granted)-w.Requests]
		wait = max(wait, oldest.Add(w.Length+margin).Sub(now))
	}
	return wait
}

// Grant grants a permit for a request to a server, or returns how long from now the next
// one can be granted.
func (l *Ledger) Grant(now time.Time, server placement.Incarnation, rate Rate) (granted bool, wait time.Duration) {
	if wait = l.Wait(now, server, rate); wait > 0 {
		return false, wait
	}
	l.granted[server] = trim(append(l.granted[server], now), rate)
	return true, 0
}

// trim drops permits that neither the windows of a rate hold nor those of a lower one.
func trim(times []time.Time, rate Rate) []time.Time {
	needed, _ := rate.remembers()
	needed = max(needed, 2*enoughRequests)
	if len(times) <= 2*needed {
		return times
	}
	return append([]time.Time(nil), times[len(times)-needed:]...)
}

// Expire drops the servers whose permits no window holds any more.
func (l *Ledger) Expire(now time.Time) {
	_, longest := Rate(leastRate).remembers()
	for server, times := range l.granted {
		if now.Sub(times[len(times)-1]) > longest {
			delete(l.granted, server)
		}
	}
}
