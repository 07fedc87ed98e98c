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
	// compareWindow is the length of the windows in which tries are compared. All routers serve little while
	// servers are down or name low limits, so a partition at such a time must not be compared with others.
	compareWindow = time.Second
)

// Tries are numbers of tries of callers.
type Tries struct {
	Sent   int `json:"sent"`
	Served int `json:"served"`
}

func (t *Tries) add(other Tries) {
	t.Sent += other.Sent
	t.Served += other.Served
}

// windowTries are the tries that were sent in a window during partitions, at routers that are cut off from
// servers and at others.
type windowTries struct{ cutOff, reaching Tries }

// share returns the share of tries that were served.
func (t Tries) share() float64 { return float64(t.Served) / float64(max(t.Sent, 1)) }

// countTry counts a try that was sent during a partition of a router from all servers, if the process of
// its own router was undisrupted.
func (o *Oracle) countTry(b *requestRecord) {
	if b.Poison != "" || b.Marker > 0 || !o.undisrupted(b.answer.At, RouterProcess(b.Process.Router), PlannedStop(b.Process.Router)) {
		return
	}
	w := o.triesAt(b.Sent)
	list := &w.reaching
	switch {
	case o.disruptions.within(b.Sent, cutOffGrace, ServerLinks(b.Process.Router)):
		if !o.anyReaching(b.answer.At) {
			return
		}
		list = &w.cutOff
		o.checked[CutOffServed]++
	case !o.undisrupted(b.answer.At, ServerLinks(b.Process.Router)) || !o.anyCutOff(b.Sent):
		return
	}
	list.Sent++
	if b.answer.Status == http.StatusOK && b.answer.Claim != Cut || b.answer.Signed {
		list.Served++
	}
}

// triesAt returns the tries of the window of a time.
func (o *Oracle) triesAt(at time.Time) *windowTries {
	start := at.Truncate(compareWindow)
	w, ok := o.tries[start]
	if !ok {
		w = &windowTries{}
		o.tries[start] = w
	}
	return w
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

// CheckCutOff checks, at the end of a run, how callers of routers were served that were cut off: as often, in
// each window, as those of the others.
func (o *Oracle) CheckCutOff(at time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	var compared Tries
	asElsewhere := 0.0
	for _, w := range o.tries {
		if w.reaching.Sent > 0 {
			compared.add(w.cutOff)
			asElsewhere += w.reaching.share() * float64(w.cutOff.Sent)
		}
	}
	if float64(compared.Sent-compared.Served) <= cutOffAllowance+cutOffAllowedShare*float64(compared.Sent) {
		return
	}
	if float64(compared.Served) < minCutOffShare*asElsewhere {
		o.violate(CutOffServed, "", at, "served %d of %d, at the same time %.1f of as many at the others", compared.Served, compared.Sent, asElsewhere)
	}
}

// Partitions returns the tries during partitions, at routers that were cut off from servers and at others.
func (o *Oracle) Partitions() (cutOff, reaching Tries) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, w := range o.tries {
		cutOff.add(w.cutOff)
		reaching.add(w.reaching)
	}
	return cutOff, reaching
}
