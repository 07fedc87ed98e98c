package origins

import (
	"context"
	"slices"
	"time"

	"github.com/gaplink/gaplink/origin"
)

const (
	// readTimeout is how long a stream that is taken up waits for the record, and readPause the minimum time between two
	// reads for streams.
	readTimeout = 300 * time.Millisecond
	readPause   = 20 * time.Millisecond
)

// recordRead is one read of the record, which is served unless err is set once done is closed.
type recordRead struct {
	done   chan struct{}
	served origin.Served
	err    error
}

// nextRead returns the next read of the record, which begins after the call; nil without a store. Calls at the same time share
// it.
func (c *Controller) nextRead() *recordRead {
	if c.Store == nil {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.record.nextRead == nil {
		c.record.nextRead = &recordRead{done: make(chan struct{})}
	}
	if !c.record.reading {
		c.record.reading = true
		go c.readForStreams()
	}
	return c.record.nextRead
}

// readForStreams reads the record until no stream waits for it.
func (c *Controller) readForStreams() {
	for {
		c.mu.Lock()
		read := c.record.nextRead
		c.record.nextRead = nil
		c.record.reading = read != nil
		c.mu.Unlock()
		if read == nil {
			return
		}
		ctx, cancel := context.WithTimeout(context.Background(), readTimeout)
		current, err := c.readStore(ctx)
		cancel()
		read.served, read.err = current.served, err
		if err == nil && !current.usable {
			read.served.Incomplete = true
			c.requestSync()
		}
		close(read.done)
		time.Sleep(readPause)
	}
}

// unionServed returns the versions of services that have served by a record and by what was found otherwise.
func unionServed(record origin.Served, services []string, served [][]string) [][]string {
	all := slices.Clone(served)
	for i, service := range services {
		all[i] = union(all[i], record.Versions[service])
	}
	return all
}
