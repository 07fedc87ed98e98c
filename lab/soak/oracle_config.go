package soak

import (
	"time"
)

// sighting records when a process was observed to have at least the given configuration version in
// force.
type sighting struct {
	at      time.Time
	version int64
}

// ConfigSent records a configuration version before it is sent to the store.
func (o *Oracle) ConfigSent(version int64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.latest = version
}

// ConfigAcked records that the store acknowledged a configuration version.
func (o *Oracle) ConfigAcked(version int64, at time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.acked[version] = at
}

// Latest returns the last configuration version sent.
func (o *Oracle) Latest() int64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.latest
}

// checkAccepted checks a request with a marker that a router forwarded: the version in force at the
// router must be the marker's or the next.
func (o *Oracle) checkAccepted(b *requestRecord, at time.Time) {
	if b.Marker == 0 {
		return
	}
	if seen := o.newestSeenBefore(b.Process, b.Sent.Add(-o.bounds.VersionOverlap)); seen > b.Marker+1 {
		o.violate(ConfigMonotonic, b.ID, at, "router %d had version %d and took what only %d and %d allow", b.Process.Router, seen, b.Marker, b.Marker+1)
	}
	if o.overdue(b, b.Marker+2) {
		acked := o.acked[b.Marker+2]
		o.violate(ConfigInForce, b.ID, at, "router %d took what version %d does not allow, %s after it", b.Process.Router, b.Marker+2, b.Sent.Sub(acked))
	}
	o.checked[ConfigMonotonic]++
	if o.overdue(b, b.Marker) {
		o.checked[ConfigInForce]++
	}
	o.sightings[b.Process] = append(o.sightings[b.Process], sighting{at, b.Marker})
}

// checkRefused checks a request whose key or route a router did not know.
func (o *Oracle) checkRefused(b *requestRecord, at time.Time) {
	if b.Marker == 0 {
		o.violate(ConfigInForce, b.ID, at, "router %d answers %d to what every version allows", b.Process.Router, b.answer.Status)
		return
	}
	if o.latest > b.Marker+1 {
		return // a newer version without the marker may be in force
	}
	if seen := o.newestSeenBefore(b.Process, b.Sent.Add(-o.bounds.VersionOverlap)); seen >= b.Marker {
		o.violate(ConfigMonotonic, b.ID, at, "router %d had version %d and answers %d to what it brought", b.Process.Router, seen, b.answer.Status)
	}
	if o.overdue(b, b.Marker) {
		acked := o.acked[b.Marker]
		o.violate(ConfigInForce, b.ID, at, "router %d answers %d to what version %d brought, %s after it", b.Process.Router, b.answer.Status, b.Marker, b.Sent.Sub(acked))
	}
}

// overdue reports whether a request was sent so long after a version was acknowledged that its
// router must have that version in force.
func (o *Oracle) overdue(b *requestRecord, version int64) bool {
	acked, ok := o.acked[version]
	return ok && b.Sent.After(acked.Add(o.bounds.Config)) && o.routerAndStoreUndisrupted(b.Process.Router, b.Sent)
}

// newestSeenBefore returns the newest version that the process was observed with before the given
// time.
func (o *Oracle) newestSeenBefore(p Process, by time.Time) (version int64) {
	for _, s := range o.sightings[p] {
		if s.at.Before(by) {
			version = max(version, s.version)
		}
	}
	return version
}
