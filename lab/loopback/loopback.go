// Package loopback allocates free loopback addresses for processes of tests and benchmarks.
package loopback

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
)

// Ports are allocated below the kernel's ephemeral port range (from 32,768 here), so that
// no outgoing connection takes a port between its allocation and its use. They are
// allocated in blocks: a process listens on the first port of each of its blocks until it
// exits, so that no other process allocates the rest. When ports were drawn one by one,
// one of 50 runs of a test in parallel with four others found its port in use.
const (
	firstPort = 10000
	lastPort  = 30000
	blockSize = 50
	// maxTries is the maximum number of attempts to find a block. With half of the blocks
	// held, the probability of failure is 2^-50.
	maxTries = 50
)

var errNoPort = errors.New("loopback: no free port found")

// blocks are the port blocks of this process; next and end are the rest of the current one.
var blocks struct {
	sync.Mutex
	held []net.Listener
	next int
	end  int
}

// FreeAddr returns an address of the given loopback IP with a port that nothing listens
// on. It returns each address at most once.
func FreeAddr(ip string) (string, error) {
	blocks.Lock()
	defer blocks.Unlock()
	for range maxTries * blockSize {
		if blocks.next == blocks.end {
			if err := takeBlock(); err != nil {
				return "", err
			}
		}
		addr := fmt.Sprintf("%s:%d", ip, blocks.next)
		blocks.next++
		if l, err := net.Listen("tcp", addr); err == nil {
			return addr, l.Close()
		}
	}
	return "", errNoPort
}

// takeBlock acquires another block.
func takeBlock() error {
	const count = (lastPort - firstPort) / blockSize
	for range maxTries {
		first := firstPort + rand.IntN(count)*blockSize
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", first))
		if err != nil {
			continue // held by another process or by this one
		}
		blocks.held = append(blocks.held, l)
		blocks.next, blocks.end = first+1, first+blockSize
		return nil
	}
	return errNoPort
}
