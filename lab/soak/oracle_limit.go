package soak

import (
	"time"
)

const (
	// A server that names a rate limit may receive at most limitFactor times the limit plus
	// limitAllowance requests within limitWindow.
	limitWindow    = 4 * time.Second
	limitFactor    = 1.5
	limitAllowance = 5
)

// limitedServer is the state that the oracle keeps for a server that names a rate limit.
type limitedServer struct {
	perSecond float64
	since     time.Time
	arrivals  []time.Time
}

// SetRateLimit records the rate limit that a server names from now on; 0 means that it names none
// any more.
func (o *Oracle) SetRateLimit(server string, perSecond float64, at time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if perSecond == 0 {
		delete(o.rateLimited, server)
		return
	}
	o.rateLimited[server] = &limitedServer{perSecond: perSecond, since: at}
}

// checkLimit checks that a server receives no more requests than its rate limit allows. It counts
// requests from all routers whose processes are undisrupted, including routers that the server has
// not told of the limit.
func (o *Oracle) checkLimit(b *requestRecord, server string, slot int, at time.Time) {
	l := o.rateLimited[server]
	if l == nil || !o.routerUndisrupted(b.Process.Router, at) {
		return
	}
	l.arrivals = append(l.arrivals, at)
	for len(l.arrivals) > 0 && at.Sub(l.arrivals[0]) >= limitWindow {
		l.arrivals = l.arrivals[1:]
	}
	from := l.since.Add(o.bounds.QuietPeriod)
	if at.Before(from.Add(limitWindow)) || !o.disruptions.Undisrupted(at.Add(-limitWindow-o.bounds.QuietPeriod), at, ServerAtSlot(slot)) {
		return
	}
	o.checked[RateLimitKept]++
	if n := float64(len(l.arrivals)); n > limitFactor*l.perSecond*limitWindow.Seconds()+limitAllowance {
		o.violate(RateLimitKept, b.ID, at, "server %s got %g requests in %s, and names a limit of %g a second since %s", server, n, limitWindow, l.perSecond, at.Sub(l.since))
	}
}
