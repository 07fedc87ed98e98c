// Package sockets divides the file descriptors of a process among purposes, so that callers cannot
// use up those needed for updates from the store and other routers.
package sockets

const (
	// fileDescriptors is the number of descriptors reserved for files, timers and pipes.
	fileDescriptors = 200
	// controlSockets is the number of sockets reserved for the store, listeners, readiness checks
	// and metrics.
	controlSockets = 64
	// minSockets is the number of sockets divided even if the process may open fewer.
	minSockets = 160
	// peerShare is the fraction of the remaining sockets for connections between routers.
	peerShare = 0.2
)

// Shares holds the maximum number of open sockets per purpose; 0 means no limit.
type Shares struct {
	// Callers limits connections of callers, Backends those to backend servers. A request uses one
	// of each.
	Callers, Backends int
	// PeersIn limits connections from other routers and from operators, PeersOut those to other
	// routers.
	PeersIn, PeersOut int
	// Checks limits connections for readiness checks, and separately those for metrics.
	Checks int
}

// Divide returns the shares of a process that may open the given number of file descriptors. If that
// is 0, which means unknown, there are no limits.
func Divide(descriptors int) Shares {
	if descriptors == 0 {
		return Shares{}
	}
	all := max(descriptors-fileDescriptors, minSockets)
	control := min(controlSockets, all/8)
	peers := int(peerShare * float64(all-control))
	requests := all - control - peers
	return Shares{
		Callers: requests / 2, Backends: requests / 2,
		PeersIn: peers / 2, PeersOut: peers / 2,
		Checks: max(control/8, 2),
	}
}

// Sum returns the total number of sockets of all shares.
func (s Shares) Sum() int { return s.Callers + s.Backends + s.PeersIn + s.PeersOut + 2*s.Checks }
