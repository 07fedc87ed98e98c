package origins

import (
	"slices"
	"time"

	"github.com/gaplink/gaplink/clock"
	"github.com/gaplink/gaplink/origin"
)

const (
	// Kind is the kind of the store object that holds which versions have served.
	Kind = "softwareversions"
	// recordKey is that object. One object holds all services, so that a service that is missing in it is one of which no
	// version has served.
	recordKey = Kind + "/served"
)

// record is what a router knows of the store's record of the versions that have served. c.mu protects it.
type record struct {
	// known is the record as last read or written, at a version of its object; read is set if it was and still counts.
	known   origin.Served
	version int64
	read    bool
	// changed is closed when known or read changes.
	changed chan struct{}
	// listedByOthers are versions that are on record according to other routers, while the store does not answer.
	listedByOthers map[origin.Version]bool
	// toRecord are the versions that have to be on record, by service: those of the servers that are registered, and those that
	// were and have not been on record yet.
	toRecord map[string][]string
	// returned are the services of which a version on record was seen again after a long absence, until the record says so.
	returned map[string]bool
	// syncing is set while the record is brought up to date; again asks for another time after that.
	syncing, again bool
	// notBefore is when that may be tried again after so many failures in a row.
	notBefore time.Time
	failures  int
	// syncAt is when the record is brought up to date if no stream waits for that, and dropAt when versions that have
	// gone are removed; zero: not needed.
	syncAt, dropAt time.Time
	// reading is set while the record is read for streams, and nextRead the read that those wait for which came since
	// the last one began.
	reading  bool
	nextRead *recordRead
}

func newRecord() record {
	return record{changed: make(chan struct{}), toRecord: map[string][]string{}, listedByOthers: map[origin.Version]bool{}, returned: map[string]bool{}}
}

// observe records the versions of the registered servers of a service. Those that have returned after a long absence may
// have been removed from the store meanwhile, or their removal may be under way.
func (r *record) observe(service string, versions, returned []string) {
	unrecorded := slices.DeleteFunc(r.toRecord[service], func(v string) bool { return r.known.Covers(service, v) })
	r.toRecord[service] = union(unrecorded, versions)
	for _, version := range returned {
		if r.known.Remove(service, version) {
			r.returned[service] = true
		}
		delete(r.listedByOthers, origin.Version{Service: service, Name: version})
	}
}

// forget has the record read anew: after a long time without current registrations, versions may have been removed that
// serve again.
func (r *record) forget() {
	r.known, r.read = origin.Served{}, false
	clear(r.listedByOthers)
}

// has reports whether a version is on record in the store.
func (r *record) has(v origin.Version) bool {
	return r.read && r.known.Covers(v.Service, v.Name) && !r.returned[v.Service] || r.listedByOthers[v]
}

// mayMiss reports whether versions may have served that this router does not know.
func (r *record) mayMiss() bool { return !r.read || r.known.Incomplete }

// lacksAny reports whether a version that has to be on record is not, or its return is not.
func (r *record) lacksAny() bool {
	if len(r.returned) > 0 {
		return true
	}
	for service, versions := range r.toRecord {
		for _, version := range versions {
			if !r.known.Covers(service, version) {
				return true
			}
		}
	}
	return false
}

// notify wakes those that wait for a change.
func (r *record) notify() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// gone returns the versions on record that this router has watched to be absent for origin.Retention. The caller holds
// c.mu.
func (c *Controller) gone(r origin.Served) (list []origin.Version) {
	for service, versions := range r.Versions {
		for _, version := range versions {
			if c.record.known.Has(service, version) && !c.history.Has(service, version) {
				list = append(list, origin.Version{Service: service, Name: version})
			}
		}
	}
	return list
}

// completes reports whether this router has watched for so long that an incomplete record is complete. The caller holds
// c.mu.
func (c *Controller) completes() bool {
	since := c.history.Watched()
	return !since.IsZero() && clock.Since(since) > origin.Retention
}

// learn takes in the record as it is in the store, at a version of its object.
func (c *Controller) learn(served origin.Served, version int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.record.read && version < c.record.version {
		return // an answer that was overtaken
	}
	now := clock.Now()
	for service, versions := range served.Versions {
		hasReturns := c.record.read && served.Returns[service] != c.record.known.Returns[service]
		for _, version := range versions {
			if hasReturns || !c.record.known.Has(service, version) {
				c.history.Learn(now, service, version)
			}
		}
	}
	c.record.known, c.record.version, c.record.read = served.Clone(), version, true
	c.record.notify()
}
