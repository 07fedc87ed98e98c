package soak

import (
	"net/http"
	"time"
)

const (
	// cutOffGrace is the time after the start of a partition from which callers must be served.
	cutOffGrace = 3 * time.Second
	// minCutOffShare is the share of the others' rate at which callers of routers that are cut off must
	// be served.
	minCutOffShare = 2.0 / 3
	// cutOffAllowance and cutOffAllowedShare are the tries that may fail there in any case.
	cutOffAllowance    = 10
	cutOffAllowedShare = 1.0 / 50
)

// Tries are numbers of tries of callers.
type Tries struct {
	Sent   int `json:"sent"`
	Served int `json:"served"`
}

// share returns the share of tries that were served.
func (t Tries) share() float64 { return float64(t.Served) / float64(max(t.Sent, 1)) }

// countTry counts a try that was sent during a partition of a router from all servers, if the process of
// its own router was undisrupted.
func (o *Oracle) countTry(b *requestRecord) {
	if b.Poison != "" || b.Marker > 0 || !o.undisrupted(b.answer.At, RouterProcess(b.Process.Router), PlannedStop(b.Process.Router)) {
		return
	}
	list := &o.reaching
	switch {
	case o.disruptions.within(b.Sent, cutOffGrace, ServerLinks(b.Process.Router)):
		if !o.anyReaching(b.answer.At) {
			return
		}
		list = &o.cutOff
		o.checked[CutOffServed]++
	case !o.undisrupted(b.answer.At, ServerLinks(b.Process.Router)) || !o.anyCutOff(b.Sent):
		return
	}
	list.Sent++
	if b.answer.Status == http.StatusOK && b.answer.Claim != Cut || b.answer.Signed {
		list.Served++
	}
}

// SetRouters sets the number of routers, which is needed to check partitions.
func (o *Oracle) SetRouters(n int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.routers = n
}

// anyReaching reports whether some router is undisrupted and reaches the servers.
func (o *Oracle) anyReaching(at time.Time) bool {
	for router := range o.routers {
		if o.undisrupted(at, ServerLinks(router), RouterProcess(router), PlannedStop(router)) {
			return true
		}
	}
	return false
}

// anyCutOff reports whether some router is cut off from servers.
func (o *Oracle) anyCutOff(at time.Time) bool {
	for router := range o.routers {
		if o.disruptions.within(at, cutOffGrace, ServerLinks(router)) {
			return true
		}
	}
	return false
}

// CheckCutOff checks, at the end of a run, how callers of routers were served that were cut off.
func (o *Oracle) CheckCutOff(at time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	failed := o.cutOff.Sent - o.cutOff.Served
	if o.reaching.Sent == 0 || float64(failed) <= cutOffAllowance+cutOffAllowedShare*float64(o.cutOff.Sent) {
		return
	}
	share, others := o.cutOff.share(), o.reaching.share()
	if share < minCutOffShare*others {
		o.violate(CutOffServed, "", at, "served %d of %d, the others %d of %d", o.cutOff.Served, o.cutOff.Sent, o.reaching.Served, o.reaching.Sent)
	}
}

// Partitions returns the tries during partitions, at routers that were cut off from servers and at others.
func (o *Oracle) Partitions() (cutOff, reaching Tries) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.cutOff, o.reaching
}
