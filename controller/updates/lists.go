package updates

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/vmihailenco/msgpack/v5"
	"go.uber.org/zap"

	"github.com/gaplink/gaplink/changelog"
	"github.com/gaplink/gaplink/clock"
	"github.com/gaplink/gaplink/packed"
	"github.com/gaplink/gaplink/peer"
	"github.com/gaplink/gaplink/store"
)

// A router that knows no objects of a kind, or is so far behind that the changes are no longer
// retained, lists all of them in pages. A page crosses a small link within the timeout of a call,
// however many objects there are, and an interrupted transfer is resumed from another router. As
// with a list of the store, the changes after the lowest revision of the pages are read afterwards.

const (
	// pageSize is the maximum number of objects in a page: about 25 KB compressed.
	pageSize = 512
	// targetPageBytes is the uncompressed size after which a page ends.
	targetPageBytes = 512 << 10
	// maxPageBytes limits the uncompressed size of a page, and of the changes in an answer.
	maxPageBytes = 4 << 20
	// pageTimeout bounds the transfer of a page while the link is not saturated.
	pageTimeout = time.Second
	// snapshotTTL is how long the pages of a snapshot are reused: routers that start together
	// request them within a second or two.
	snapshotTTL = 2 * time.Second
	// resumeTTL is the maximum age of the last page of an interrupted transfer that can be resumed.
	resumeTTL = 10 * time.Second
)

// Replica holds the objects of one kind that routers propagate.
type Replica interface {
	// Revision returns the store revision up to which all changes are known; 0 if none is.
	Revision() int64
	// Since returns approximately at most so many changes after a revision, or false if they
	// are no longer retained.
	Since(revision int64, most int) (changes changelog.Changes[changelog.Received], held bool)
	// All returns all objects in the order of their keys, and the revision up to which they
	// include all changes.
	All() (all []changelog.Received, revision int64)
	// ApplyUpdate applies all changes up to a revision, and ApplyList a list of all objects at a
	// revision.
	ApplyUpdate(changed []changelog.Received, revision int64)
	ApplyList(all []changelog.Received, revision int64)
}

// snapshot holds all objects of a kind at one time, in compressed pages.
type snapshot struct {
	mu sync.Mutex
	// entries is nil before the first request.
	entries   []changelog.Received
	revision  int64
	createdAt time.Time
	// age is the age of the entries when the snapshot was made.
	age   time.Duration
	pages map[int][]byte // by the index of the first entry
}

// refresh rebuilds the snapshot if it has expired.
func (s *snapshot) refresh(r Replica, age time.Duration) {
	if s.entries != nil && clock.Since(s.createdAt) < snapshotTTL && s.revision > 0 {
		return
	}
	s.entries, s.revision = r.All()
	s.createdAt, s.age, s.pages = clock.Now(), age, map[int][]byte{}
}

// page returns the page after a key.
func (s *snapshot) page(after string) (*peer.ListAnswer, error) {
	first, found := slices.BinarySearchFunc(s.entries, after, func(e changelog.Received, key string) int { return cmp.Compare(e.Key, key) })
	if found {
		first++
	}
	end := first + pageLength(s.entries[first:])
	answer := &peer.ListAnswer{Revision: s.revision, SnapshotAge: clock.Since(s.createdAt), Age: s.age + clock.Since(s.createdAt), More: end < len(s.entries)}
	text, cached := s.pages[first]
	if !cached {
		var err error
		if text, err = packPage(s.entries[first:end]); err != nil {
			return nil, err
		}
		s.pages[first] = text
	}
	answer.Packed = text
	return answer, nil
}

// pageLength returns the number of entries on a page that starts with the first of them.
func pageLength(entries []changelog.Received) int {
	bytes := 0
	for i, e := range entries[:min(pageSize, len(entries))] {
		bytes += e.Size()
		if bytes >= targetPageBytes {
			return i + 1
		}
	}
	return min(pageSize, len(entries))
}

var (
	// errNoList means that a router does not know all objects of a kind, or does not propagate
	// the kind.
	errNoList = errors.New("no list of that kind is known")
	// errEmptyPage means that a page announces more objects but holds none.
	errEmptyPage = errors.New("page is empty although more objects are announced")
)

// replica returns the replica of a kind, or false if routers do not propagate the kind.
func (c *Controller) replica(kind peer.Kind) (Replica, bool) {
	switch {
	case kind == peer.KindServers:
		return c.Servers, true
	case kind == peer.KindRouters && c.Routers != nil:
		return c.Routers, true
	default:
		return nil, false
	}
}

// ageOf returns the age of this router's objects of a kind. The age of router registrations is
// not bounded.
func (c *Controller) ageOf(kind peer.Kind) time.Duration {
	if kind == peer.KindServers {
		return c.Ages().Servers
	}
	return 0
}

// noteListed records that all objects of a kind were received in their state at a time.
func (c *Controller) noteListed(kind peer.Kind, asOf time.Time) {
	if kind != peer.KindServers {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.known = c.known.latest(Timestamps{Servers: asOf})
}

// List returns a page of all objects of a kind to another router.
func (c *Controller) List(_ context.Context, req *peer.ListRequest) (*peer.ListAnswer, error) {
	replica, ok := c.replica(req.Kind)
	if !ok || replica.Revision() == 0 {
		return nil, errNoList
	}
	s := c.snapshots[req.Kind]
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refresh(replica, c.ageOf(req.Kind))
	return s.page(req.After)
}

// transfer is the state of a list that is being read from other routers.
type transfer struct {
	startedAt, pageAt time.Time // start of the transfer, and arrival of its last page
	received          []changelog.Received
	// revision and asOf are the lowest revision and the earliest time of the pages: after an interruption a page
	// of another router may be older than the first one.
	revision int64
	asOf     time.Time
	done     bool
}

// notePage records the revision and time of a page that was requested at a time.
func (t *transfer) notePage(page *peer.ListAnswer, requestedAt time.Time) {
	asOf := timestampOf(page.Age, requestedAt)
	if t.revision == 0 {
		t.revision, t.asOf = page.Revision, asOf
		return
	}
	t.revision = min(t.revision, page.Revision)
	if asOf.Before(t.asOf) {
		t.asOf = asOf
	}
}

// listReader holds the state of reading lists from other routers, one at a time.
type listReader struct {
	reading atomic.Bool

	mu        sync.Mutex
	transfers map[peer.Kind]*transfer // unfinished
}

// isReadingList reports whether pages of a list are arriving.
func (c *Controller) isReadingList() bool {
	if !c.lists.reading.Load() {
		return false
	}
	c.lists.mu.Lock()
	defer c.lists.mu.Unlock()
	for _, t := range c.lists.transfers {
		if clock.Since(t.pageAt) <= 2*pageTimeout {
			return true
		}
	}
	return false
}

// readLists starts to read the lists of the given kinds from another router, unless lists are
// already being read.
func (c *Controller) readLists(ctx context.Context, id string, kinds []peer.Kind) {
	if len(kinds) == 0 || !c.lists.reading.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer c.lists.reading.Store(false)
		for _, kind := range kinds {
			if err := c.readList(ctx, id, kind); err != nil {
				c.Log.Info("failed to read list", zap.String("kind", string(kind)), zap.String("router", id), zap.Error(err))
				c.tryNext()
				return
			}
		}
	}()
}

// readList reads all objects of a kind from another router.
func (c *Controller) readList(ctx context.Context, id string, kind peer.Kind) error {
	replica, ok := c.replica(kind)
	if !ok {
		return errNoList
	}
	t := c.resume(kind)
	for !t.done {
		if err := c.readPage(ctx, id, kind, t); err != nil {
			return err
		}
	}
	c.lists.mu.Lock()
	delete(c.lists.transfers, kind)
	c.lists.mu.Unlock()
	replica.ApplyList(t.received, t.revision)
	c.noteListed(kind, t.asOf)
	c.Log.Info("list read", zap.String("kind", string(kind)), zap.String("router", id), zap.Int("objects", len(t.received)),
		zap.Int64("revision", t.revision), zap.Duration("took_ms", clock.Since(t.startedAt)))
	return nil
}

// resume returns the recently interrupted transfer of a kind, or a new one.
func (c *Controller) resume(kind peer.Kind) *transfer {
	c.lists.mu.Lock()
	defer c.lists.mu.Unlock()
	t := c.lists.transfers[kind]
	if t == nil || clock.Since(t.pageAt) > resumeTTL {
		t = &transfer{startedAt: clock.Now(), pageAt: clock.Now()}
		c.lists.transfers[kind] = t
	}
	return t
}

// readPage reads the next page of a transfer.
func (c *Controller) readPage(ctx context.Context, id string, kind peer.Kind, t *transfer) error {
	addr, ok := c.Members.Addr(id)
	if !ok {
		return peer.ErrNotSent
	}
	ctx, cancel := context.WithTimeout(ctx, c.timeout(pageTimeout))
	defer cancel()
	after := ""
	if len(t.received) > 0 {
		after = t.received[len(t.received)-1].Key
	}
	begun := clock.Now()
	answer, err := c.Calls.List(ctx, addr, &peer.ListRequest{Kind: kind, After: after})
	if err != nil {
		return err
	}
	entries, err := unpackPage(answer.Packed)
	if err != nil {
		return err
	}
	if answer.More && len(entries) == 0 {
		return errEmptyPage
	}
	t.notePage(answer, begun)
	t.received = append(t.received, receivedFrom(entries, max(answer.SnapshotAge, 0))...)
	t.pageAt, t.done = clock.Now(), !answer.More
	return nil
}

func packPage(entries []changelog.Received) ([]byte, error) {
	text, err := msgpack.Marshal(registrations(entries))
	if err != nil {
		return nil, err
	}
	return packed.Pack(text)
}

func unpackPage(text []byte) ([]peer.Registration, error) {
	text, err := packed.Unpack(text, maxPageBytes)
	if err != nil {
		return nil, err
	}
	var list []peer.Registration
	err = msgpack.Unmarshal(text, &list)
	return list, err
}

func registrations(entries []changelog.Received) []peer.Registration {
	list := make([]peer.Registration, 0, len(entries))
	for _, e := range entries {
		list = append(list, peer.Registration{Key: e.Key, Version: e.Version, Value: e.Value, Deleted: e.Deleted, Age: e.Age})
	}
	return list
}

// receivedFrom converts registrations that another router sent some time after it read them.
func receivedFrom(list []peer.Registration, since time.Duration) []changelog.Received {
	entries := make([]changelog.Received, 0, len(list))
	for _, r := range list {
		o := store.Object{Key: r.Key, Version: r.Version, Value: r.Value, Deleted: r.Deleted}
		entries = append(entries, changelog.Received{Object: o, Age: max(r.Age, 0) + since})
	}
	return entries
}
