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

// newCrowd bounds callers' connections by the process's memory, and by their share of its
// descriptors; 0: that is not known.
func newCrowd(memoryMB int64, share int) *crowd {
	most := int(connectionMemory * float64(memoryMB<<20) / connectionBytes)
	if share > 0 {
		most = min(most, share)
	}
	return &crowd{most: most}
}

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
