package updates

import (
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/gaplink/gaplink/changelog"
	"github.com/gaplink/gaplink/clock"
	"github.com/gaplink/gaplink/peer"
)

const (
	// maxChanges is the approximate maximum of changes in an answer, so that it crosses a small
	// link within the timeout of a request. A router that needs more sends the next request at
	// once.
	maxChanges = 512
	// compressMin is the number of changes from which an answer is compressed.
	compressMin = 32
	// maxAnswerBytes is the maximum uncompressed size of the changes in an answer. A list, which is read in
	// pages, replaces larger ones.
	maxAnswerBytes = maxPageBytes / 2
)

// changesCache holds recently compressed changes of a kind, by the revision that they follow. Most
// routers that a relay updates are at one of a few revisions.
type changesCache struct {
	mu sync.Mutex
	// known is the revision up to which this router knew all changes at the last lookup.
	known      int64
	byRevision map[int64]cachedAnswer
}

type cachedAnswer struct {
	data       []byte
	createdAt  time.Time
	upTo       int64
	moreToCome bool
}

// changesSince returns the changes of a kind after a revision.
func (c *Controller) changesSince(kind peer.Kind, revision int64) peer.Changes {
	replica, ok := c.replica(kind)
	if !ok || replica.Revision() == 0 {
		return peer.Changes{}
	}
	cache := c.cachedChanges[kind]
	cache.mu.Lock()
	defer cache.mu.Unlock()
	if p, ok := cache.get(revision, replica.Revision()); ok {
		return p.answer()
	}
	changes, held := replica.Since(revision, maxChanges)
	held = held && sizeOf(changes.Values) <= maxAnswerBytes
	if !held {
		return peer.Changes{UpTo: changes.UpTo, List: true}
	}
	if len(changes.Values) < compressMin {
		return peer.Changes{UpTo: changes.UpTo, More: changes.More, Changed: registrations(changes.Values)}
	}
	p, err := cache.put(revision, changes)
	if err != nil {
		c.Log.Error("failed to compress changes", zap.String("kind", string(kind)), zap.Error(err))
		return peer.Changes{UpTo: changes.UpTo, More: changes.More, Changed: registrations(changes.Values)}
	}
	return p.answer()
}

func sizeOf(entries []changelog.Received) (bytes int) {
	for _, e := range entries {
		bytes += e.Size()
	}
	return bytes
}

// get returns the cached changes after a revision. When newer changes are known, it first drops
// the entries that these make incomplete, and the partial ones older than snapshotTTL.
func (p *changesCache) get(from, known int64) (cachedAnswer, bool) {
	if known != p.known {
		for from, entry := range p.byRevision {
			if !entry.moreToCome || clock.Since(entry.createdAt) > snapshotTTL {
				delete(p.byRevision, from)
			}
		}
		p.known = known
	}
	entry, ok := p.byRevision[from]
	return entry, ok
}

func (p *changesCache) put(from int64, changes changelog.Changes[changelog.Received]) (cachedAnswer, error) {
	text, err := packPage(changes.Values)
	entry := cachedAnswer{data: text, createdAt: clock.Now(), upTo: changes.UpTo, moreToCome: changes.More}
	if err == nil {
		p.byRevision[from] = entry
	}
	return entry, err
}

func (p cachedAnswer) answer() peer.Changes {
	return peer.Changes{UpTo: p.upTo, More: p.moreToCome, Packed: p.data, PackedAge: clock.Since(p.createdAt)}
}

// applyResult is the result of applying the changes in an answer.
type applyResult int

const (
	// appliedAll means that all changes are now known.
	appliedAll applyResult = iota
	// appliedPart means that more changes must be requested.
	appliedPart
	// listRequired means that the answer holds no changes and all objects must be listed.
	listRequired
)

// applyChanges applies the changes of a kind that another router sent.
func (c *Controller) applyChanges(kind peer.Kind, changes peer.Changes) (applyResult, error) {
	replica, ok := c.replica(kind)
	switch {
	case !ok || changes.UpTo == 0:
		return appliedAll, nil
	case changes.List:
		return listRequired, nil
	}
	changed := changes.Changed
	if changes.Packed != nil {
		var err error
		if changed, err = unpackPage(changes.Packed); err != nil {
			return appliedPart, err
		}
	}
	replica.ApplyUpdate(receivedFrom(changed, max(changes.PackedAge, 0)), changes.UpTo)
	if changes.More {
		return appliedPart, nil
	}
	return appliedAll, nil
}
