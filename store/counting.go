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

// Call names one kind of call. Each counts at the platform, also one that fails.
type Call string

// The calls. A list of several pages counts as one here.
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

// Purpose is what a call was made for: the kind of the objects, which is the first
// part of their keys, and the call.
type Purpose struct {
	Kind string
	Call Call
}

// Counting wraps a store and counts its calls.
type Counting struct {
	next           Store
	bytesO, bytesI atomic.Int64

	answered atomic.Pointer[time.Time]

	mu        sync.Mutex
	byPurpose map[Purpose]int64
}

var _ StaleReader = (*Counting)(nil)

// NewCounting returns a counting store over next.
func NewCounting(next Store) *Counting {
	return &Counting{next: next, byPurpose: map[Purpose]int64{}}
}

// ByPurpose returns the calls so far by what they were made for.
func (c *Counting) ByPurpose() map[Purpose]int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Clone(c.byPurpose)
}

func (c *Counting) note(key string, call Call) {
	kind, _, _ := strings.Cut(key, "/")
	c.mu.Lock()
	defer c.mu.Unlock()
	c.byPurpose[Purpose{Kind: kind, Call: call}]++
}

// Answered tells when the store answered last, whatever call; zero: it has not.
func (c *Counting) Answered() time.Time {
	if t := c.answered.Load(); t != nil {
		return *t
	}
	return time.Time{}
}

// ended notes how a call ended. That there is no such object, or that it has changed, is
// an answer too.
func (c *Counting) ended(err error) {
	if err != nil && !errors.Is(err, ErrNotFound) && !errors.Is(err, ErrConflict) {
		return
	}
	now := clock.Now()
	c.answered.Store(&now)
}

// Counts returns the calls so far.
func (c *Counting) Counts() Counts {
	counts := Counts{BytesOut: c.bytesO.Load(), BytesIn: c.bytesI.Load()}
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
	c.note(key, CallGet)
	o, err := c.next.Get(ctx, key)
	c.ended(err)
	c.bytesI.Add(int64(len(o.Value)))
	return o, err
}

// Create implements Store.
func (c *Counting) Create(ctx context.Context, key string, value []byte) (Object, error) {
	c.note(key, CallCreate)
	c.bytesO.Add(int64(len(value)))
	o, err := c.next.Create(ctx, key, value)
	c.ended(err)
	return o, err
}

// Update implements Store.
func (c *Counting) Update(ctx context.Context, key string, version int64, value []byte) (Object, error) {
	c.note(key, CallUpdate)
	c.bytesO.Add(int64(len(value)))
	o, err := c.next.Update(ctx, key, version, value)
	c.ended(err)
	return o, err
}

// Delete implements Store.
func (c *Counting) Delete(ctx context.Context, key string, version int64) error {
	c.note(key, CallDelete)
	err := c.next.Delete(ctx, key, version)
	c.ended(err)
	return err
}

// List implements Store.
func (c *Counting) List(ctx context.Context, prefix string) ([]Object, int64, error) {
	c.note(prefix, CallList)
	objects, rev, err := c.next.List(ctx, prefix)
	c.ended(err)
	c.listed(objects)
	return objects, rev, err
}

// ListStale implements StaleReader.
func (c *Counting) ListStale(ctx context.Context, prefix string) ([]Object, int64, error) {
	c.note(prefix, CallStaleList)
	objects, rev, err := ListStale(ctx, c.next, prefix)
	c.ended(err)
	c.listed(objects)
	return objects, rev, err
}

// GetStale implements StaleReader.
func (c *Counting) GetStale(ctx context.Context, key string) (Object, error) {
	c.note(key, CallStaleGet)
	o, err := GetStale(ctx, c.next, key)
	c.ended(err)
	c.bytesI.Add(int64(len(o.Value)))
	return o, err
}

func (c *Counting) listed(objects []Object) {
	for _, o := range objects {
		c.bytesI.Add(int64(len(o.Value)))
	}
}

// Watch implements Store.
func (c *Counting) Watch(ctx context.Context, prefix string, since int64, wait time.Duration) (Events, error) {
	c.note(prefix, CallWatch)
	ev, err := c.next.Watch(ctx, prefix, since, wait)
	c.ended(err)
	for _, o := range ev.Objects {
		c.bytesI.Add(int64(len(o.Value)))
	}
	return ev, err
}
