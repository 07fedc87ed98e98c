package store

import (
	"context"
	"errors"
	"maps"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gaplink/gaplink/clock"
)

// Counts holds the calls and value bytes since the start of the process.
type Counts struct {
	// Reads are gets and lists.
	Reads int64 `json:"reads"`
	// Writes are creates, updates and deletes.
	Writes int64 `json:"writes"`
	// Watches are watch calls, which wait for changes.
	Watches int64 `json:"watches"`
	// BytesOut and BytesIn are the value bytes written and read.
	BytesOut int64 `json:"bytes_out"`
	BytesIn  int64 `json:"bytes_in"`
}

// Call is a kind of store call. The platform counts every call, including failed ones.
type Call string

// Kinds of store calls. A list that is read in several pages counts as one call here.
const (
	CallGet       Call = "get"
	CallStaleGet  Call = "stale_get"
	CallList      Call = "list"
	CallStaleList Call = "stale_list"
	CallWatch     Call = "watch"
	CallCreate    Call = "create"
	CallUpdate    Call = "update"
	CallDelete    Call = "delete"
)

// Purpose classifies a call by the kind of the objects, which is the first part of
// their keys, and the kind of call.
type Purpose struct {
	Kind string
	Call Call
}

// Counting is a Store that forwards to another store and counts the calls and the
// value bytes.
type Counting struct {
	inner             Store
	bytesOut, bytesIn atomic.Int64

	lastResponse atomic.Pointer[time.Time]

	mu        sync.Mutex
	byPurpose map[Purpose]int64
}

var _ StaleReader = (*Counting)(nil)

// NewCounting returns a store that counts the calls to next.
func NewCounting(next Store) *Counting {
	return &Counting{inner: next, byPurpose: map[Purpose]int64{}}
}

// ByPurpose returns the number of calls since the start, by purpose.
func (c *Counting) ByPurpose() map[Purpose]int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Clone(c.byPurpose)
}

func (c *Counting) count(key string, call Call) {
	kind, _, _ := strings.Cut(key, "/")
	c.mu.Lock()
	defer c.mu.Unlock()
	c.byPurpose[Purpose{Kind: kind, Call: call}]++
}

// LastResponse returns the time of the last response to any call, or the zero time if
// there was none.
func (c *Counting) LastResponse() time.Time {
	if t := c.lastResponse.Load(); t != nil {
		return *t
	}
	return time.Time{}
}

// recordResponse records the time of a response. ErrNotFound and ErrConflict are responses of
// the store too; any other error is not.
func (c *Counting) recordResponse(err error) {
	if err != nil && !errors.Is(err, ErrNotFound) && !errors.Is(err, ErrConflict) {
		return
	}
	now := clock.Now()
	c.lastResponse.Store(&now)
}

// Counts returns the calls and value bytes since the start.
func (c *Counting) Counts() Counts {
	counts := Counts{BytesOut: c.bytesOut.Load(), BytesIn: c.bytesIn.Load()}
	for p, n := range c.ByPurpose() {
		switch p.Call {
		case CallWatch:
			counts.Watches += n
		case CallCreate, CallUpdate, CallDelete:
			counts.Writes += n
		default:
			counts.Reads += n
		}
	}
	return counts
}

// Get implements Store.
func (c *Counting) Get(ctx context.Context, key string) (Object, error) {
	c.count(key, CallGet)
	o, err := c.inner.Get(ctx, key)
	c.recordResponse(err)
	c.bytesIn.Add(int64(len(o.Value)))
	return o, err
}

// Create implements Store.
func (c *Counting) Create(ctx context.Context, key string, value []byte) (Object, error) {
	c.count(key, CallCreate)
	c.bytesOut.Add(int64(len(value)))
	o, err := c.inner.Create(ctx, key, value)
	c.recordResponse(err)
	return o, err
}

// Update implements Store.
func (c *Counting) Update(ctx context.Context, key string, version int64, value []byte) (Object, error) {
	c.count(key, CallUpdate)
	c.bytesOut.Add(int64(len(value)))
	o, err := c.inner.Update(ctx, key, version, value)
	c.recordResponse(err)
	return o, err
}

// Delete implements Store.
func (c *Counting) Delete(ctx context.Context, key string, version int64) error {
	c.count(key, CallDelete)
	err := c.inner.Delete(ctx, key, version)
	c.recordResponse(err)
	return err
}

// List implements Store.
func (c *Counting) List(ctx context.Context, prefix string) ([]Object, int64, error) {
	c.count(prefix, CallList)
	objects, rev, err := c.inner.List(ctx, prefix)
	c.recordResponse(err)
	c.addBytesIn(objects)
	return objects, rev, err
}

// ListStale implements StaleReader.
func (c *Counting) ListStale(ctx context.Context, prefix string) ([]Object, int64, error) {
	c.count(prefix, CallStaleList)
	objects, rev, err := ListStale(ctx, c.inner, prefix)
	c.recordResponse(err)
	c.addBytesIn(objects)
	return objects, rev, err
}

// GetStale implements StaleReader.
func (c *Counting) GetStale(ctx context.Context, key string) (Object, error) {
	c.count(key, CallStaleGet)
	o, err := GetStale(ctx, c.inner, key)
	c.recordResponse(err)
	c.bytesIn.Add(int64(len(o.Value)))
	return o, err
}

func (c *Counting) addBytesIn(objects []Object) {
	for _, o := range objects {
		c.bytesIn.Add(int64(len(o.Value)))
	}
}

// Watch implements Store.
func (c *Counting) Watch(ctx context.Context, prefix string, since int64, wait time.Duration) (Events, error) {
	c.count(prefix, CallWatch)
	ev, err := c.inner.Watch(ctx, prefix, since, wait)
	c.recordResponse(err)
	for _, o := range ev.Objects {
		c.bytesIn.Add(int64(len(o.Value)))
	}
	return ev, err
}
