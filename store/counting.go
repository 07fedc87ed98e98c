package store

import (
	"context"
	"sync/atomic"
	"time"
)

// Counts tells how many calls were made since the start.
type Counts struct {
	// Reads are gets and lists.
	Reads int64 `json:"reads"`
	// Writes are creates, updates and deletes.
	Writes int64 `json:"writes"`
	// Watches are waiting watches.
	Watches int64 `json:"watches"`
	// BytesOut and BytesIn are the value bytes written and read.
	BytesOut int64 `json:"bytes_out"`
	BytesIn  int64 `json:"bytes_in"`
}

// Counting wraps a store and counts its calls.
type Counting struct {
	next                                   Store
	reads, writes, watches, bytesO, bytesI atomic.Int64
}

// NewCounting returns a counting store over next.
func NewCounting(next Store) *Counting {
	return &Counting{next: next}
}

// Counts returns the calls so far.
func (c *Counting) Counts() Counts {
	return Counts{
		Reads:    c.reads.Load(),
		Writes:   c.writes.Load(),
		Watches:  c.watches.Load(),
		BytesOut: c.bytesO.Load(),
		BytesIn:  c.bytesI.Load(),
	}
}

// Get implements Store.
func (c *Counting) Get(ctx context.Context, key string) (Object, error) {
	c.reads.Add(1)
	o, err := c.next.Get(ctx, key)
	c.bytesI.Add(int64(len(o.Value)))
	return o, err
}

// Create implements Store.
func (c *Counting) Create(ctx context.Context, key string, value []byte) (Object, error) {
	c.writes.Add(1)
	c.bytesO.Add(int64(len(value)))
	return c.next.Create(ctx, key, value)
}

// Update implements Store.
func (c *Counting) Update(ctx context.Context, key string, version int64, value []byte) (Object, error) {
	c.writes.Add(1)
	c.bytesO.Add(int64(len(value)))
	return c.next.Update(ctx, key, version, value)
}

// Delete implements Store.
func (c *Counting) Delete(ctx context.Context, key string, version int64) error {
	c.writes.Add(1)
	return c.next.Delete(ctx, key, version)
}

// List implements Store.
func (c *Counting) List(ctx context.Context, prefix string) ([]Object, int64, error) {
	c.reads.Add(1)
	objects, rev, err := c.next.List(ctx, prefix)
	for _, o := range objects {
		c.bytesI.Add(int64(len(o.Value)))
	}
	return objects, rev, err
}

// Watch implements Store.
func (c *Counting) Watch(ctx context.Context, prefix string, since int64, wait time.Duration) (Events, error) {
	c.watches.Add(1)
	ev, err := c.next.Watch(ctx, prefix, since, wait)
	for _, o := range ev.Objects {
		c.bytesI.Add(int64(len(o.Value)))
	}
	return ev, err
}
