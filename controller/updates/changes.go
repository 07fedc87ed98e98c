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
	// changesMost is about how many changes an answer holds: it crosses a small link within a
	// request's time, and whoever lacks more asks again at once.
	changesMost = 512
	// packFrom is the number of changes from which they are compressed.
	packFrom = 32
)

// packedChanges are the changes of a kind that were compressed lately, by the revision after which
// they are. The routers that a relay updates mostly have one of a few revisions.
type packedChanges struct {
	mu sync.Mutex
	// known is the revision up to which the answering router knew all changes.
	known  int64
	byFrom map[int64]packedChange
}

type packedChange struct {
	text []byte
	made time.Time
	upTo int64
	more bool
}

// changesSince returns the changes of a kind after a revision.
func (c *Controller) changesSince(kind peer.Kind, revision int64) peer.Changes {
	replica, ok := c.replica(kind)
	if !ok || replica.Revision() == 0 {
		return peer.Changes{}
	}
	cache := c.packed[kind]
	cache.mu.Lock()
	defer cache.mu.Unlock()
	if p, ok := cache.get(revision, replica.Revision()); ok {
		return p.answer()
	}
	changes, held := replica.Since(revision, changesMost)
	if !held || len(changes.Values) < packFrom {
		return peer.Changes{UpTo: changes.UpTo, List: !held, More: changes.More, Changed: registrations(changes.Values)}
	}
	p, err := cache.put(revision, changes)
	if err != nil {
		c.Log.Error("changes not compressed", zap.String("kind", string(kind)), zap.Error(err))
		return peer.Changes{UpTo: changes.UpTo, More: changes.More, Changed: registrations(changes.Values)}
	}
	return p.answer()
}

// get returns the changes after a revision if nothing is to be added to them, and drops those to
// which something is.
func (p *packedChanges) get(from, known int64) (packedChange, bool) {
	if known != p.known {
		for from, one := range p.byFrom {
			if !one.more || clock.Since(one.made) > snapshotServes {
				delete(p.byFrom, from)
			}
		}
		p.known = known
	}
	one, ok := p.byFrom[from]
	return one, ok
}

func (p *packedChanges) put(from int64, changes changelog.Changes[changelog.Received]) (packedChange, error) {
	text, err := packPage(changes.Values)
	one := packedChange{text: text, made: clock.Now(), upTo: changes.UpTo, more: changes.More}
	if err == nil {
		p.byFrom[from] = one
	}
	return one, err
}

func (p packedChange) answer() peer.Changes {
	return peer.Changes{UpTo: p.upTo, More: p.more, Packed: p.text, PackedAge: clock.Since(p.made)}
}

// taken is what came of the changes in an answer.
type taken int

const (
	// takenAll: all changes are known now.
	takenAll taken = iota
	// takenSome: more changes are to be asked for.
	takenSome
	// takenNone: the answer holds none; all objects are to be read.
	takenNone
)

// take takes the changes of a kind that another router sent.
func (c *Controller) take(kind peer.Kind, changes peer.Changes) (taken, error) {
	replica, ok := c.replica(kind)
	switch {
	case !ok || changes.UpTo == 0:
		return takenAll, nil
	case changes.List:
		return takenNone, nil
	}
	changed := changes.Changed
	if changes.Packed != nil {
		var err error
		if changed, err = unpackPage(changes.Packed); err != nil {
			return takenSome, err
		}
	}
	replica.TakeUpdate(receivedFrom(changed, max(changes.PackedAge, 0)), changes.UpTo)
	if changes.More {
		return takenSome, nil
	}
	return takenAll, nil
}
