package placement

import (
	"time"
)

const (
	// MaxLoadAge is the age above which the load reported by other routers counts as unknown: the
	// requests that it describes have largely ended by then.
	MaxLoadAge = 2 * time.Second
	// loadWindow is the time over which event intervals are averaged for other routers.
	loadWindow = time.Second
)

// ServerLoad is the load that one or several routers cause at a backend server, as they observed it.
type ServerLoad struct {
	Server Incarnation
	// InFlight is the number of requests in flight, and PendingTokens the number of their prompt
	// tokens that the server has yet to process.
	InFlight      int
	PendingTokens int64
	// EventInterval is the mean time between two events of a stream over the last second, and
	// Events the number of intervals that it averages; 0 if there were none.
	EventInterval time.Duration
	Events        int
	// At is when the oldest of the observations was made.
	At time.Time
}

// intervalWindow sums the event intervals of a server over the current and the previous window.
type intervalWindow struct {
	begun         time.Time
	sum, lastSum  time.Duration
	count, before int
}

// add counts an interval that ended now.
func (w *intervalWindow) add(now time.Time, gap time.Duration) {
	w.advance(now)
	w.sum += gap
	w.count++
}

// advance starts a new window if the current one is over.
func (w *intervalWindow) advance(now time.Time) {
	age := now.Sub(w.begun)
	if age < loadWindow {
		return
	}
	w.lastSum, w.before = w.sum, w.count
	if age >= 2*loadWindow {
		w.lastSum, w.before = 0, 0
	}
	w.sum, w.count, w.begun = 0, 0, now
}

// mean returns the mean interval and the number of intervals it averages.
func (w *intervalWindow) mean(now time.Time) (time.Duration, int) {
	w.advance(now)
	n := w.count + w.before
	if n == 0 {
		return 0, 0
	}
	return (w.sum + w.lastSum) / time.Duration(n), n
}

// OwnLoad returns the load that this router causes at servers, for servers at which it has requests
// in flight or recent event intervals. The order is undefined.
func (f *Servers) OwnLoad(now time.Time) []ServerLoad {
	var loads []ServerLoad
	for _, s := range f.byID {
		interval, events := s.intervals.mean(now)
		if s.inFlight == 0 && s.pending == 0 && events == 0 {
			continue
		}
		loads = append(loads, ServerLoad{
			Server: s.Incarnation(), InFlight: s.inFlight, PendingTokens: s.pending,
			EventInterval: interval, Events: events, At: now,
		})
	}
	return loads
}

// SetFleetLoad replaces the load that other routers cause at servers. Servers that are not listed
// have an unknown load.
func (f *Servers) SetFleetLoad(loads []ServerLoad) {
	for _, in := range f.loaded {
		if s := f.lookup(in); s != nil {
			s.others = ServerLoad{}
		}
	}
	f.loaded = f.loaded[:0]
	for _, l := range loads {
		if s := f.lookup(l.Server); s != nil {
			s.others = l
			f.groupOf(s.Service).addTimed(s)
			f.loaded = append(f.loaded, l.Server)
		}
	}
}

// OthersLoad returns the load that other routers cause at a server; false if it is unknown or older
// than MaxLoadAge.
func (f *Servers) OthersLoad(now time.Time, in Incarnation) (ServerLoad, bool) {
	s := f.lookup(in)
	if s == nil || s.others.At.IsZero() || now.Sub(s.others.At) > MaxLoadAge {
		return ServerLoad{}, false
	}
	return s.others, true
}
