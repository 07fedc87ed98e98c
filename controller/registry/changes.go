package registry

import (
	"time"

	"github.com/gaplink/gaplink/changelog"
	"github.com/gaplink/gaplink/clock"
	"github.com/gaplink/gaplink/placement"
	"github.com/gaplink/gaplink/store"
)

// entry is a registration as stored.
type entry struct {
	store.Object
	// receivedAt is when the store sent this version to the router from which this copy
	// originates, which may be another one than this router.
	receivedAt time.Time
	// server is the decoded registration. It is valid only if readable is set.
	server   placement.Server
	readable bool
}

// sameState reports whether two versions of a registration describe the same server state,
// ignoring the remaining warm-up time and the renewal count. Servers renew their
// registrations about once a second: propagating the renewals of 3,000 servers to every
// router would need more than the link of a small router.
func (e entry) sameState(other entry) bool {
	a, b := e.server, other.server
	a.Cold, b.Cold = 0, 0
	a.Renewals, b.Renewals = 0, 0
	return e.readable && other.readable && a == b
}

// received returns the entry in the form that is sent to other routers.
func (e entry) received(now time.Time) changelog.Received {
	return changelog.Received{Object: e.Object, Age: max(now.Sub(e.receivedAt), 0)}
}

// Revision returns the store revision up to which all changes are known, or 0 before the
// first list.
func (c *Controller) Revision() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.changes.Revision()
}

// Since returns the changes of registrations after a store revision: at most the given number,
// plus those with the same revision as the last of them. It returns false if the change log no
// longer reaches back to that revision.
func (c *Controller) Since(revision int64, most int) (changelog.Changes[changelog.Received], bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	entries, held := c.changes.Since(revision, most)
	changes := changelog.Changes[changelog.Received]{UpTo: entries.UpTo, More: entries.More}
	now := clock.Now()
	for _, e := range entries.Values {
		changes.Values = append(changes.Values, e.received(now))
	}
	return changes, held
}

// All returns all registrations sorted by key, and the store revision up to which they include
// all changes.
func (c *Controller) All() (all []changelog.Received, revision int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := clock.Now()
	all = make([]changelog.Received, 0, len(c.entries))
	for _, e := range c.entries {
		all = append(all, e.received(now))
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

// advance records that all changes up to a revision have been applied. The caller holds the
// lock.
func (c *Controller) advance(revision int64) {
	if !c.listed {
		return // changes alone don't show the registrations that existed before
	}
	c.changes.Advance(revision)
	c.changes.Trim(len(c.entries))
}
