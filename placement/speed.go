package placement

import (
	"math"
	"time"

	"github.com/gaplink/gaplink/estimate"
)

const (
	// speedInterval is the interval between updates of the speeds of a service's servers, and
	// largeSpeedInterval that with more than maxUncachedIntervals servers with observations, for which
	// an update takes milliseconds.
	speedInterval      = 50 * time.Millisecond
	largeSpeedInterval = 250 * time.Millisecond
	// minReference is the number of servers whose own samples give a median worth comparing with.
	minReference = 3
	// minDelayMemory is the time after which a short delay of first events has fallen by a factor of e.
	// A longer one takes as much longer as it is, since the queue that caused it has to drain.
	minDelayMemory = 500 * time.Millisecond
	// delayWeight is the weight of the newest first event in the delay of a server.
	delayWeight = 0.5
	// maxSpeedChanges bounds the changes of class that are kept for the log.
	maxSpeedChanges = 64
)

// speeds aggregates the observations of a group's servers.
type speeds struct {
	// timed holds the servers with event intervals, own or reported by other routers.
	timed     []*state
	updatedAt time.Time
	reference estimate.Reference
	// interval is the median event interval in seconds at an empty batch; 0 if unknown.
	interval    float64
	reading     estimate.Reading
	own, shared []float64 // scratch buffers, reused between calls
}

// SpeedChange is a change of the speed class of a server.
type SpeedChange struct {
	Server Server
	Slow   bool
	// Factor is how much longer the events of its streams take than at the median server.
	Factor float64
}

// addTimed records that event intervals of a server are known.
func (g *group) addTimed(s *state) {
	if !s.timed {
		s.timed = true
		g.speeds.timed = append(g.speeds.timed, s)
	}
}

// freshLoad returns the load that other routers cause at a server; false if it is unknown.
func (s *state) freshLoad(now time.Time) (*ServerLoad, bool) {
	return &s.others, !s.others.At.IsZero() && now.Sub(s.others.At) <= MaxLoadAge
}

// requests returns the number of requests of all routers at a server, as far as known.
func (s *state) requests(now time.Time) int {
	if l, ok := s.freshLoad(now); ok {
		return s.inFlight + l.InFlight
	}
	return s.inFlight
}

// running returns how many of these requests its batch holds.
func (s *state) running(now time.Time) int {
	if n := s.requests(now); s.Slots == 0 || n < s.Slots {
		return n
	}
	return s.Slots
}

// sharedSample returns the sample that other routers reported.
func (s *state) sharedSample(now time.Time) estimate.Sample {
	l, ok := s.freshLoad(now)
	if !ok {
		return estimate.Sample{}
	}
	return estimate.Reported(l.EventInterval, l.Events, s.running(now), now.Sub(l.At))
}

// updateSpeeds updates the speeds of a group's servers if that is due.
func (f *Servers) updateSpeeds(g *group, now time.Time) {
	v := &g.speeds
	due := speedInterval
	if len(v.timed) > maxUncachedIntervals {
		due = largeSpeedInterval
	}
	if !v.updatedAt.IsZero() && now.Sub(v.updatedAt) < due {
		return
	}
	v.updatedAt = now
	v.own, v.shared = v.own[:0], v.shared[:0]
	for _, s := range v.timed {
		s.own, s.shared = s.recent.Sample(now), s.sharedSample(now)
		if s.own.Known() {
			v.own = append(v.own, s.own.Seconds)
		}
		if s.shared.Known() {
			v.shared = append(v.shared, s.shared.Seconds)
		}
	}
	v.setReference()
	for _, s := range v.timed {
		if s.speed.Update(now, s.own, s.shared, v.reference) {
			f.noteSpeedChange(s)
		}
	}
}

// setReference computes the medians of the collected samples.
func (v *speeds) setReference() {
	own, shared := estimate.Median(v.own), estimate.Median(v.shared)
	v.interval = own
	v.reference = estimate.Reference{Own: own, Shared: shared}
	if len(v.own) >= minReference {
		return
	}
	v.reference.Own = shared
	if shared > 0 {
		v.interval = shared
	}
}

// known reports whether there are recent figures of any server.
func (v *speeds) known() bool { return v.interval > 0 }

// eventTime returns the time between two events, in seconds, at a server with this many running requests.
func (v *speeds) eventTime(s *state, running int) float64 {
	return v.interval * s.speed.Factor() * estimate.BatchFactor(running)
}

// readingTime returns the time in seconds in which a server reads prompt tokens.
func (v *speeds) readingTime(s *state, tokens float64) float64 {
	return tokens * v.reading.PerToken() * s.speed.Factor()
}

// RecordFirstEvent records how long a server took to the first event of a request whose prompt has this
// many tokens that no server had read; 0: unknown.
func (f *Servers) RecordFirstEvent(now time.Time, in Incarnation, tokens int64, wait time.Duration) {
	s := f.lookup(in)
	if s == nil {
		return
	}
	s.waitingSince = now
	if wait <= 0 {
		return
	}
	v := &f.groupOf(s.Service).speeds
	usual := v.eventTime(s, s.running(now))
	delay := max(wait.Seconds()-usual-v.readingTime(s, float64(tokens)), 0)
	s.firstDelay = (1-delayWeight)*s.delay(now) + delayWeight*delay
	s.firstDelayAt = now
	if v.known() {
		v.reading.Add(wait, tokens, usual, s.speed.Factor())
	}
}

// delay returns the time in seconds by which first events of a server were recently later than its own
// speed explains.
func (s *state) delay(now time.Time) float64 {
	if s.firstDelay == 0 {
		return 0
	}
	memory := minDelayMemory.Seconds() + s.firstDelay
	return s.firstDelay * math.Exp(-now.Sub(s.firstDelayAt).Seconds()/memory)
}

// waiting returns for how long, in seconds, own requests have waited at a server without any first event.
func (s *state) waiting(now time.Time) float64 {
	if s.pending == 0 || s.waitingSince.IsZero() {
		return 0
	}
	return now.Sub(s.waitingSince).Seconds()
}

// noteSpeedChange keeps a change of class for SpeedChanges.
func (f *Servers) noteSpeedChange(s *state) {
	if len(f.speedChanges) < maxSpeedChanges {
		f.speedChanges = append(f.speedChanges, SpeedChange{Server: s.Server, Slow: s.speed.Slow(), Factor: s.speed.Factor()})
		return
	}
	f.speedChangesDropped++
}

// SpeedChanges updates the speeds of all servers and returns the changes of class since the last call,
// and the number of those beyond maxSpeedChanges.
func (f *Servers) SpeedChanges(now time.Time) (changes []SpeedChange, dropped int) {
	for _, g := range f.groups {
		f.updateSpeeds(g, now)
	}
	if len(f.speedChanges) == 0 {
		return nil, 0
	}
	changes, dropped = f.speedChanges, f.speedChangesDropped
	f.speedChanges, f.speedChangesDropped = make([]SpeedChange, 0, maxSpeedChanges), 0
	return changes, dropped
}
