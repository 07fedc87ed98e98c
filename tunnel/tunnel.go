// Package tunnel connects a router to a backend server through another router that reaches it.
//
// A tunnel carries the bytes of one connection unchanged, so the first router keeps everything that it
// decides about a request: key, budget, retries, deadline, and what may have run. The other router
// admits the connection and does not parse requests. It connects to servers directly, so a tunnel has
// one router in between at most.
//
// The request is an HTTP CONNECT at the address for other routers. It names the server by its id, since
// an address may be reassigned. The ends of a tunnel are those of the connection to the server: an
// orderly close is passed on as such, and everything else, also the death of the router in between, is a
// reset. A response that only the close of its connection delimits is never completed by accident.
package tunnel

import (
	"errors"
	"fmt"
	"net/http"
	"strconv"

	"github.com/gaplink/gaplink/placement"
)

const (
	// serverHeader and startedHeader name the server process, and reasonHeader says why there is no
	// tunnel.
	serverHeader  = "Gaplink-Server"
	startedHeader = "Gaplink-Started"
	reasonHeader  = "Gaplink-Reason"
	// openHeader is the number of tunnels that are open through the router.
	openHeader = "Gaplink-Tunnels"
)

// RouterError is why another router provides no tunnel. It says nothing about the server.
type RouterError struct {
	Router string
	Err    error
}

// Error implements error.
func (e *RouterError) Error() string { return fmt.Sprintf("no tunnel through %s: %v", e.Router, e.Err) }

// Unwrap returns the cause.
func (e *RouterError) Unwrap() error { return e.Err }

// ServerError is why another router did not connect to the server.
type ServerError struct {
	Router string
	// Refused reports that the server's machine refused or reset the connection, and NotInUse that the
	// server is not registered at the router, or leaving.
	Refused, NotInUse bool
	Reason            string
}

// Error implements error.
func (e *ServerError) Error() string {
	return fmt.Sprintf("not reached through %s: %s", e.Router, e.Reason)
}

// ErrNotReaching is the error of Options.Admit for a server that the router does not reach itself.
var ErrNotReaching = errors.New("the router does not reach the server itself")

// ErrNotInUse is the error of Options.Admit for a server that is not registered or leaving.
var ErrNotInUse = errors.New("the server is not registered here, or leaving")

// errProtocol is returned if the other router does not speak this protocol, as one of an older release.
var errProtocol = errors.New("the router does not provide tunnels")

func encodeOwner(h http.Header, in placement.Incarnation) {
	h.Set(serverHeader, in.ID)
	h.Set(startedHeader, strconv.FormatInt(in.Started, 10))
}

func decodeOwner(h http.Header) (placement.Incarnation, error) {
	started, err := strconv.ParseInt(h.Get(startedHeader), 10, 64)
	if err != nil || h.Get(serverHeader) == "" {
		return placement.Incarnation{}, errors.New("the request names no server process")
	}
	return placement.Incarnation{ID: h.Get(serverHeader), Started: started}, nil
}
