package soak

import "time"

const (
	// A server that asks a router for a backoff may receive at most backoffAllowance requests from
	// it between backoffEffect later and the end of the backoff.
	backoffEffect    = 500 * time.Millisecond
	backoffAllowance = 2
)

// routerServer is a router's process together with a server process, by its id.
type routerServer struct {
	router Process
	server string
}

// askedBackoff is a backoff that a server asked a router for in its answer to a request.
type askedBackoff struct {
	request  *requestRecord
	slot     int
	at       time.Time
	lasts    time.Duration
	arrivals int
}

// AnnouncedLeaving records that a server announced in its answer to a request that it is leaving.
func (o *Oracle) AnnouncedLeaving(request, server string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.requests[request].leavingServer = server
}

// recordAnnounced records that a router passed on the answer of a server that is leaving.
func (o *Oracle) recordAnnounced(b *requestRecord) {
	if b.leavingServer == "" || b.answer.Canceled || !b.answer.Signed || len(b.runs) != 1 {
		return
	}
	key := routerServer{b.Process, b.leavingServer}
	if _, known := o.announced[key]; !known {
		o.announced[key] = b.answer.At
	}
}

// checkAnnounced checks that a router sends no request to a server that announced its leaving in an
// answer which that router passed on. The store does not matter, nor do the links.
func (o *Oracle) checkAnnounced(b *requestRecord, server string, at time.Time) {
	if !o.routerUndisrupted(b.Process.Router, at) {
		return
	}
	for key, passedOn := range o.announced {
		if key.router == b.Process && b.Sent.Sub(passedOn) > o.bounds.Leaving {
			o.checked[AnnouncedLeaveKept]++
		}
	}
	passedOn, announced := o.announced[routerServer{b.Process, server}]
	if since := b.Sent.Sub(passedOn); announced && since > o.bounds.Leaving {
		o.violate(AnnouncedLeaveKept, b.ID, at, "router %d sent it to %s, its caller had sent it %s after such an answer", b.Process.Router, server, since)
	}
}

// AskedBackoff records that a server refuses a request and asks its router for no further requests
// for the given time. A router that has answered the request already has given up on the server and closed
// the connection, so it does not get the refusal.
func (o *Oracle) AskedBackoff(request, server string, slot int, lasts time.Duration, at time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	b := o.requests[request]
	if b.answer != nil {
		return
	}
	key := routerServer{b.Process, server}
	o.backoffs[key] = append(o.backoffs[key], &askedBackoff{request: b, slot: slot, at: at, lasts: lasts})
}

// checkBackoff checks that a router sends no request to a server during a backoff. A backoff whose
// answer may not have reached the router does not count.
func (o *Oracle) checkBackoff(b *requestRecord, server string, at time.Time) {
	for key, list := range o.backoffs {
		if key.router != b.Process {
			continue
		}
		for _, asked := range list {
			if !o.backoffInForce(asked, b.Process.Router, at) {
				continue
			}
			o.checked[BackoffKept]++
			if key.server == server {
				o.countInBackoff(asked, b, at)
			}
		}
	}
}

// backoffInForce reports whether a server's backoff must keep a router from sending it requests.
func (o *Oracle) backoffInForce(asked *askedBackoff, router int, at time.Time) bool {
	since := at.Sub(asked.at)
	return since > backoffEffect && since < asked.lasts && !asked.request.wasCanceled() &&
		o.disruptions.Undisrupted(asked.at.Add(-o.bounds.QuietPeriod), at, RouterProcess(router), ServerAtSlot(asked.slot))
}

// countInBackoff counts a request that arrived at the server that asked for the backoff.
func (o *Oracle) countInBackoff(asked *askedBackoff, b *requestRecord, at time.Time) {
	asked.arrivals++
	if asked.arrivals > backoffAllowance {
		o.violate(BackoffKept, b.ID, at, "router %d sent it to a server, %s after that had asked for %s without requests", b.Process.Router, at.Sub(asked.at), asked.lasts)
	}
}

// wasCanceled reports whether the caller canceled the request, so that the router may not have read
// its answer.
func (b *requestRecord) wasCanceled() bool { return b.answer != nil && b.answer.Canceled }
