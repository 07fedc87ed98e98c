// Package sockets divides the descriptors of a process among its purposes, so that callers
// cannot use up those by which the process learns what is new.
package sockets

const (
	// fileDescriptors are kept for files, timers and pipes.
	fileDescriptors = 200
	// controlSockets are kept for the store, listeners, readiness checks and metrics.
	controlSockets = 64
	// leastSockets are divided in any case.
	leastSockets = 160
	// peerShare is the part of the sockets that connections between routers may take.
	peerShare = 0.2
)

// Shares are how many sockets each purpose may have open; 0: any number.
type Shares struct {
	// Callers are connections of callers, and Backends those to backend servers. A request
	// takes one of each.
	Callers, Backends int
	// PeersIn are connections from other routers and from operators, PeersOut those to other
	// routers.
	PeersIn, PeersOut int
	// Checks are connections for readiness checks, and as many are for metrics.
	Checks int
}

// Divide returns the shares of a process that may open so many descriptors; 0: it is not known.
func Divide(descriptors int) Shares {
	if descriptors == 0 {
		return Shares{}
	}
	all := max(descriptors-fileDescriptors, leastSockets)
	control := min(controlSockets, all/8)
	peers := int(peerShare * float64(all-control))
	requests := all - control - peers
	return Shares{
		Callers: requests / 2, Backends: requests / 2,
		PeersIn: peers / 2, PeersOut: peers / 2,
		Checks: max(control/8, 2),
	}
}

// Sum is how many sockets all shares hold together.
func (s Shares) Sum() int { return s.Callers + s.Backends + s.PeersIn + s.PeersOut + 2*s.Checks }
