package soak

import (
	"time"
)

const (
	// limitWindow is the window in which requests to a server that names a rate limit are
	// counted, and limitTimes and limitMore what it may get in it: so many times what the
	// limit allows, and so many requests more.
	limitWindow = 4 * time.Second
	limitTimes  = 1.5
	limitMore   = 5
)

// limited is what is known of a server that names a rate limit.
type limited struct {
	perSecond float64
	since     time.Time
	arrivals  []time.Time
}

// Limits notes that a server names a rate limit from now on; 0: that it names none any more.
func (o *Oracle) Limits(server string, perSecond float64, at time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if perSecond == 0 {
		delete(o.limited, server)
		return
	}
	o.limited[server] = &limited{perSecond: perSecond, since: at}
}

// checkLimit checks that a server does not get more than the rate limit that it names. All
// routers count whose processes were left alone, also those that it has not told.
func (o *Oracle) checkLimit(b *book, server string, place int, at time.Time) {
	l := o.limited[server]
	if l == nil || !o.undisturbed(b.Process.Router, at) {
		return
	}
	l.arrivals = append(l.arrivals, at)
	for len(l.arrivals) > 0 && at.Sub(l.arrivals[0]) >= limitWindow {
		l.arrivals = l.arrivals[1:]
	}
	from := l.since.Add(o.bounds.InTouch)
	if at.Before(from.Add(limitWindow)) || !o.dis.Calm(at.Add(-limitWindow-o.bounds.InTouch), at, ServerAt(place)) {
		return
	}
	o.checked[LimitKept]++
	if n := float64(len(l.arrivals)); n > limitTimes*l.perSecond*limitWindow.Seconds()+limitMore {
		o.breaks(LimitKept, b.ID, at, "server %s got %g requests in %s, and names a limit of %g a second since %s", server, n, limitWindow, l.perSecond, at.Sub(l.since))
	}
}
