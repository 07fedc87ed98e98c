// Package loopback finds free addresses for processes of tests and measurements.
package loopback

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
)

// The ports that are tried lie below those that the kernel gives to outgoing
// connections (from 32,768 here), one of which might take a port between its choice
// and its use.
const (
	firstPort = 10000
	lastPort  = 30000
	// tries bounds the search. With half of the ports in use, it fails once in 2^50.
	tries = 50
)

var errNoPort = errors.New("loopback: no free port found")

// FreeAddr returns an address of the loopback IP that nothing listens at. Another
// process may still take it: that is rare, since ports are drawn from 20,000.
func FreeAddr(ip string) (string, error) {
	for range tries {
		l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, firstPort+rand.IntN(lastPort-firstPort)))
		if err != nil {
			continue // in use
		}
		addr := l.Addr().String()
		return addr, l.Close()
	}
	return "", errNoPort
}
