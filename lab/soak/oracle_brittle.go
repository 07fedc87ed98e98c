package soak

import "time"

// While the servers of a service say that they are brittle they may fall over at most maxFalls times plus
// fallsPerServer times their number.
const (
	maxFalls       = 2
	fallsPerServer = 0.1
)

// brittleRecord is what the oracle knows of the current period in which servers say that they are brittle.
type brittleRecord struct {
	said           bool
	servers, falls int
}

// SetBrittle records that the servers say that they are brittle from now on, or no longer do.
func (o *Oracle) SetBrittle(brittle bool, servers int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.brittle = brittleRecord{said: brittle, servers: servers}
	if brittle {
		o.checked[BrittleStayUp]++
	}
}

// Fell records that a brittle server fell over after it had rejected requests for want of room. It counts if most of
// them came from routers that were undisrupted.
func (o *Oracle) Fell(server string, rejected []string, at time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	undisrupted := 0
	for _, id := range rejected {
		if b := o.requests[id]; b != nil && o.routerAndStoreUndisrupted(b.Process.Router, at) {
			undisrupted++
		}
	}
	if !o.brittle.said || 2*undisrupted <= len(rejected) {
		return
	}
	o.brittle.falls++
	if allowed := maxFalls + fallsPerServer*float64(o.brittle.servers); float64(o.brittle.falls) > allowed {
		o.violate(BrittleStayUp, "", at, "server %s is the one that falls over as number %d of %d servers in one time, %d of its %d rejected requests from undisrupted routers", server, o.brittle.falls, o.brittle.servers, undisrupted, len(rejected))
	}
}
