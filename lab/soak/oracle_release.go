package soak

import (
	"net/http"
	"slices"
	"strings"
	"time"
)

// StreamTries counts tries of callers: those that brought events, and those that were refused since the version that
// began their stream is not known or has no server in use.
type StreamTries struct {
	Tries   int `json:"tries"`
	WentOn  int `json:"went_on"`
	Unknown int `json:"unknown"`
}

// ReleaseCounts are the tries of a run with releases. Those that take up a stream are in the first class that fits.
type ReleaseCounts struct {
	// New are tries for new streams.
	New StreamTries `json:"new"`
	// Down are tries at routers that were down, stopping or stood still meanwhile.
	Down StreamTries `json:"down"`
	// Gone are tries of streams whose version had no server in use.
	Gone StreamTries `json:"gone"`
	// Sole are tries while one version alone had served since the first start of the fleet and the store answered.
	Sole StreamTries `json:"sole"`
	// Known are tries of streams whose origin must be known: no router was disrupted since they began, or the router's
	// process has passed on events of them.
	Known StreamTries `json:"known"`
	// Forgotten are all others: those who knew the origin may be gone.
	Forgotten StreamTries `json:"forgotten"`
}

const (
	// registrationTime is how long a server of a version must have served before a router must know it.
	registrationTime = time.Second
	// storeRecoveryTime is how long the store must have answered before a router must have got its answer.
	storeRecoveryTime = 2 * time.Second
)

// streamRecord is what the oracle knows of a stream.
type streamRecord struct {
	// versions are the versions of its events.
	versions []string
	// sent is when the request for it was sent, and through holds the processes that passed on events of it.
	sent    time.Time
	through []Process
}

// servingVersion is the software version of the server at a slot, and since when it serves.
type servingVersion struct {
	version string
	since   time.Time
}

// SetReleases sets whether the run has releases.
func (o *Oracle) SetReleases(releases bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.versions.releases = releases
}

// Retires records that the server at a slot is about to leave.
func (o *Oracle) Retires(slot int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.versions.serving, slot)
}

// Releases returns the counts of a run with releases.
func (o *Oracle) Releases() ReleaseCounts {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.versions.tries
}

// countTryOfRelease counts a try in a run with releases, and checks that it was not refused as unknown without a reason.
func (o *Oracle) countTryOfRelease(b *requestRecord, s *streamRecord) {
	if !o.versions.releases {
		return
	}
	class := o.classOf(b, s)
	class.Tries++
	class.WentOn += toInt(wentOn(b.answer))
	class.Unknown += toInt(b.answer.Unknown)
	if class != &o.versions.tries.Sole {
		return
	}
	o.checked[SoleVersionKnown]++
	if b.answer.Unknown {
		o.violate(SoleVersionKnown, b.ID, b.answer.At, "router %d, life %d, refused the stream as unknown, %s after it was sent", b.Process.Router, b.Process.Incarnation, b.answer.At.Sub(b.Sent))
	}
}

// classOf returns the counts that a try belongs to.
func (o *Oracle) classOf(b *requestRecord, s *streamRecord) *StreamTries {
	c := &o.versions.tries
	switch {
	case !o.disruptions.Undisrupted(b.Sent, b.answer.At, RouterProcess(b.Process.Router), PlannedStop(b.Process.Router)):
		return &c.Down
	case b.FirstTry == "":
		return &c.New
	case !o.isInUse(s.versions[0], b.Sent.Add(-registrationTime)):
		return &c.Gone
	case len(o.versions.served) == 1 && o.disruptions.Undisrupted(b.Sent.Add(-storeRecoveryTime), b.answer.At, StoreComponent):
		return &c.Sole
	case slices.Contains(s.through, b.Process), o.fleetUndisrupted(s.sent, b.answer.At):
		return &c.Known
	}
	return &c.Forgotten
}

// isInUse reports whether a server of a version has served since a time.
func (o *Oracle) isInUse(version string, since time.Time) bool {
	for _, s := range o.versions.serving {
		if s.version == version && !s.since.After(since) {
			return true
		}
	}
	return false
}

// fleetUndisrupted reports whether no router's process was disrupted in a time.
func (o *Oracle) fleetUndisrupted(from, to time.Time) bool {
	for router := range o.routers {
		if !o.disruptions.Undisrupted(from, to, RouterProcess(router), PlannedStop(router)) {
			return false
		}
	}
	return true
}

// wentOn reports whether an answer brought an event, or the end of a stream.
func wentOn(a *Answer) bool {
	return strings.Contains(a.Body, "\n\n") || a.Claim == Complete && a.Status == http.StatusOK
}

// checkReleases checks, at the end of a run with releases, that streams whose version is known and has servers in use
// went on.
func (o *Oracle) checkReleases(at time.Time) {
	c := o.versions.tries
	taken, went := c.Sole.Tries+c.Known.Tries, c.Sole.WentOn+c.Known.WentOn
	if taken < minTakenUp || c.New.Tries == 0 {
		return
	}
	o.checked[StreamsGoOn] += taken
	if float64(went)/float64(taken) < minGoOn*float64(c.New.WentOn)/float64(c.New.Tries) {
		o.violate(StreamsGoOn, "", at, "%d of %d streams taken up went on, %d of %d new ones began", went, taken, c.New.WentOn, c.New.Tries)
	}
}
