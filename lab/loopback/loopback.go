// Package loopback finds free addresses for processes of tests and measurements.
package loopback

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
)

// The ports handed out lie below those that the kernel gives to outgoing connections
// (from 32,768 here), one of which might take a port between its choice and its use.
// They are taken in blocks: a process holds the first port of each of its blocks as
// long as it lives, so that no other process hands out the rest. With ports drawn one
// by one, one of 50 runs of a test beside four others met a port in use.
const (
	firstPort = 10000
	lastPort  = 30000
	blockSize = 50
	// tries bounds the search for a block. With half of them held, it fails once in
	// 2^50.
	tries = 50
)

var errNoPort = errors.New("loopback: no free port found")

// blocks are the ports of this process.
var blocks struct {
	sync.Mutex
	held []net.Listener
	next int
	end  int
}

// FreeAddr returns an address of the loopback IP that nothing listens at. It is
// handed out once.
func FreeAddr(ip string) (string, error) {
	blocks.Lock()
	defer blocks.Unlock()
	for range tries * blockSize {
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

// takeBlock holds another block.
func takeBlock() error {
	const count = (lastPort - firstPort) / blockSize
	for range tries {
		first := firstPort + rand.IntN(count)*blockSize
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", first))
		if err != nil {
			continue // another process's, or this one's
		}
		blocks.held = append(blocks.held, l)
		blocks.next, blocks.end = first+1, first+blockSize
		return nil
	}
	return errNoPort
}
