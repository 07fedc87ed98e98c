package server

import (
	"net"
	"net/http"
	"sync/atomic"
)

const (
	// connectionBytes is the memory that a caller's connection takes with its
	// buffers and what has arrived and is not read: measured 45 KB, with 4,100
	// connections in 184 MB.
	connectionBytes = 48 << 10
	// connectionMemory is the part of the process's memory that callers'
	// connections may take.
	connectionMemory = 0.5
	// crowdedAt is the part of the allowed connections from which the router asks
	// for no new ones and closes those that it has answered.
	crowdedAt = 0.7
)

// crowd counts callers' connections. Those that a router cannot serve in time
// pile up until the process is out of memory or descriptors; callers do better
// elsewhere.
type crowd struct {
	most int
	open atomic.Int64
}

func newCrowd(memoryMB int64, descriptors int) *crowd {
	most := int(connectionMemory * float64(memoryMB<<20) / connectionBytes)
	if descriptors > 0 {
		most = min(most, sharedDescriptors(descriptors)/2)
	}
	return &crowd{most: most}
}

const (
	// fileDescriptors are kept for files and listeners, as the platform does.
	fileDescriptors = 200
	// routerDescriptors are kept for connections to and from other routers and to the
	// store: two for each of four hundred routers, which all greet each other when
	// they start.
	routerDescriptors = 800
	// leastDescriptors are left for callers and backend servers in any case.
	leastDescriptors = 128
)

// sharedDescriptors returns how many of a process's descriptors callers and backend
// servers share, a half each: a request takes one on either side.
func sharedDescriptors(limit int) int {
	return max(limit-fileDescriptors-routerDescriptors, leastDescriptors)
}

// maxUpstream bounds the connections to all backend servers; 0: it does not.
func maxUpstream(descriptors int) int {
	if descriptors == 0 {
		return 0
	}
	return sharedDescriptors(descriptors) / 2
}

// listener bounds the open connections; further ones wait to be accepted.
func (c *crowd) listener(l net.Listener) net.Listener { return bounded(l, c.most) }

// changed is told of each connection's state by the HTTP server.
func (c *crowd) changed(_ net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		c.open.Add(1)
	case http.StateHijacked, http.StateClosed:
		c.open.Add(-1)
	}
}

// full tells whether the router should get no new connections.
func (c *crowd) full() bool { return float64(c.open.Load()) >= crowdedAt*float64(c.most) }
