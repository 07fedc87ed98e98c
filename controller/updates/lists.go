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

// A router that knows nothing of a kind of objects, or is so far behind that the changes are not
// held any more, reads all of them in pages. A page crosses a small link within a call's time,
// however many objects there are, and a transfer that breaks off goes on at another router. As
// with a list of the store, the changes after the first page's revision are read afterwards.

const (
	// pageMost is how many objects a page holds: some 25 KB compressed.
	pageMost = 512
	// maxPage bounds a page, in bytes.
	maxPage = 4 << 20
	// pageTimeout bounds the transfer of a page while the link is not full.
	pageTimeout = time.Second
	// snapshotServes is how long the pages of a snapshot are reused: routers that start together
	// ask within a second or two.
	snapshotServes = 2 * time.Second
	// resumeWithin is how old the last page of a transfer that broke off may be for it to go on.
	resumeWithin = 10 * time.Second
)

// Replica is a kind of objects that routers propagate.
type Replica interface {
	// Revision returns the store's revision up to which all changes are known; 0: none is.
	Revision() int64
	// Since returns the changes after a revision, at most about so many; false: they are not
	// held any more.
	Since(revision int64, most int) (changes changelog.Changes[changelog.Received], held bool)
	// All returns all objects in the order of their keys, and the revision up to which all
	// changes are in them.
	All() (all []changelog.Received, revision int64)
	// TakeUpdate takes all changes up to a revision, and TakeListed all objects at one.
	TakeUpdate(changed []changelog.Received, revision int64)
	TakeListed(all []changelog.Received, revision int64)
}

// snapshot holds all objects of a kind as they were at a time, in compressed pages.
type snapshot struct {
	mu sync.Mutex
	// entries are nil before the first request.
	entries  []changelog.Received
	revision int64
	made     time.Time
	// age is how old the entries were when the snapshot was made.
	age   time.Duration
	pages map[int][]byte // by the index of the first entry
}

// refresh makes the snapshot anew if it has served its time.
func (s *snapshot) refresh(r Replica, age time.Duration) {
	if s.entries != nil && clock.Since(s.made) < snapshotServes && s.revision > 0 {
		return
	}
	s.entries, s.revision = r.All()
	s.made, s.age, s.pages = clock.Now(), age, map[int][]byte{}
}

// page returns the page after a key.
func (s *snapshot) page(after string) (*peer.ListAnswer, error) {
	first, found := slices.BinarySearchFunc(s.entries, after, func(e changelog.Received, key string) int { return cmp.Compare(e.Key, key) })
	if found {
		first++
	}
	end := min(first+pageMost, len(s.entries))
	answer := &peer.ListAnswer{Revision: s.revision, SnapshotAge: clock.Since(s.made), Age: s.age + clock.Since(s.made), More: end < len(s.entries)}
	text, packedBefore := s.pages[first]
	if !packedBefore {
		var err error
		if text, err = packPage(s.entries[first:end]); err != nil {
			return nil, err
		}
		s.pages[first] = text
	}
	answer.Packed = text
	return answer, nil
}

var (
	// errNoList means that a router does not know all objects of a kind, or not the kind.
	errNoList = errors.New("no list of that kind is known")
	// errListStuck is a list that promises more and goes no further.
	errListStuck = errors.New("a list that does not come to its end")
)

// replica returns the objects of a kind, if routers propagate them.
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

// ageOf returns the age of what this router knows of a kind. That of routers is not bounded.
func (c *Controller) ageOf(kind peer.Kind) time.Duration {
	if kind == peer.KindServers {
		return c.Ages().Servers
	}
	return 0
}

// noteListed notes that all objects of a kind were received as they were at a time.
func (c *Controller) noteListed(kind peer.Kind, asOf time.Time) {
	if kind != peer.KindServers {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.known = c.known.or(Timestamps{Servers: asOf})
}

// List answers another router that reads all objects of a kind.
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

// transfer is a list that is being read.
type transfer struct {
	begun, pageAt time.Time // of the transfer and of its last page
	received      []changelog.Received
	// revision is that of the first page, and asOf the time of its objects.
	revision int64
	asOf     time.Time
	done     bool
}

// lists reads lists of other routers, one at a time.
type lists struct {
	reading atomic.Bool

	mu        sync.Mutex
	transfers map[peer.Kind]*transfer // that broke off
}

// readsList tells whether pages of a list are arriving.
func (c *Controller) readsList() bool {
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

// readLists begins to read the lists that are due from another router, unless that is under way.
func (c *Controller) readLists(ctx context.Context, id string, due []peer.Kind) {
	if len(due) == 0 || !c.lists.reading.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer c.lists.reading.Store(false)
		for _, kind := range due {
			if err := c.readList(ctx, id, kind); err != nil {
				c.Log.Info("list not read", zap.String("kind", string(kind)), zap.String("router", id), zap.Error(err))
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
	replica.TakeListed(t.received, t.revision)
	c.noteListed(kind, t.asOf)
	c.Log.Info("list read", zap.String("kind", string(kind)), zap.String("router", id), zap.Int("objects", len(t.received)),
		zap.Int64("revision", t.revision), zap.Duration("took_ms", clock.Since(t.begun)))
	return nil
}

// resume returns the transfer of a kind that broke off lately, or a new one.
func (c *Controller) resume(kind peer.Kind) *transfer {
	c.lists.mu.Lock()
	defer c.lists.mu.Unlock()
	t := c.lists.transfers[kind]
	if t == nil || clock.Since(t.pageAt) > resumeWithin {
		t = &transfer{begun: clock.Now(), pageAt: clock.Now()}
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
		return errListStuck
	}
	if t.revision == 0 {
		t.revision = answer.Revision
		t.asOf = timestampOf(answer.Age, begun)
	}
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
	text, err := packed.Unpack(text, maxPage)
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
