package registry

import (
	"time"

	"github.com/gaplink/gaplink/changelog"
	"github.com/gaplink/gaplink/clock"
	"github.com/gaplink/gaplink/placement"
	"github.com/gaplink/gaplink/store"
)

// entry is a registration as it lies in the store.
type entry struct {
	store.Object
	// heard is when the store told it, to whichever router.
	heard time.Time
	// server is what it says; readable tells that it says anything.
	server   placement.Server
	readable bool
}

// alike tells whether two versions of a registration say the same of the server, but for
// how long it stays cold. A server renews its registration each second or so: told to
// every router, the renewals of 3,000 servers would fill more than the link of a small
// one.
func (e entry) alike(other entry) bool {
	a, b := e.server, other.server
	a.Cold, b.Cold = 0, 0
	a.Renewals, b.Renewals = 0, 0
	return e.readable && other.readable && a == b
}

// told is the entry for another router.
func (e entry) told(now time.Time) changelog.Received {
	return changelog.Received{Object: e.Object, Age: max(now.Sub(e.heard), 0)}
}

// Revision returns the store's revision up to which all changes are known; 0: none is.
func (c *Controller) Revision() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.changes.Revision()
}

// Since returns the changes of registrations after a revision of the store, some at a time;
// false: they are not held any more.
func (c *Controller) Since(revision int64, most int) (changelog.Changes[changelog.Received], bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	entries, held := c.changes.Since(revision, most)
	changes := changelog.Changes[changelog.Received]{UpTo: entries.UpTo, More: entries.More}
	now := clock.Now()
	for _, e := range entries.Values {
		changes.Values = append(changes.Values, e.told(now))
	}
	return changes, held
}

// All returns all registrations in the order of their keys, and the revision up to which all
// changes are in them.
func (c *Controller) All() (all []changelog.Received, revision int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := clock.Now()
	all = make([]changelog.Received, 0, len(c.entries))
	for _, e := range c.entries {
		all = append(all, e.told(now))
	}
	changelog.SortByKey(all)
	return all, c.changes.Revision()
}

// Advanced implements follow.Handler.
func (c *Controller) Advanced(revision int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.advance(revision)
}

// advance notes that all changes up to a revision were taken. It is called under the lock.
func (c *Controller) advance(revision int64) {
	if !c.listed {
		return // only a list shows what there was before
	}
	c.changes.Advance(revision)
	c.changes.Trim(len(c.entries))
}
