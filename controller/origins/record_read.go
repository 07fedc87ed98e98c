package origins

import (
	"context"
	"slices"
	"time"

	"github.com/gaplink/gaplink/origin"
	"github.com/gaplink/gaplink/store"
)

const (
	// readTimeout is how long a stream that is taken up waits for the record, and readPause the minimum time between two
	// reads for streams.
	readTimeout = 300 * time.Millisecond
	readPause   = 20 * time.Millisecond
)

// recordRead is one read of the record.
type recordRead struct {
	done   chan struct{}
	served origin.Served
	err    error
}

// readServed returns the record as the store has it at some time after the call. Calls at the same time share a read.
func (c *Controller) readServed(ctx context.Context) (origin.Served, error) {
	if c.Store == nil {
		return origin.Served{}, store.ErrUnavailable
	}
	c.mu.Lock()
	if c.record.nextRead == nil {
		c.record.nextRead = &recordRead{done: make(chan struct{})}
	}
	read := c.record.nextRead
	if !c.record.reading {
		c.record.reading = true
		go c.readForStreams()
	}
	c.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	select {
	case <-read.done:
		return read.served, read.err
	case <-ctx.Done():
		return origin.Served{}, ctx.Err()
	}
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
