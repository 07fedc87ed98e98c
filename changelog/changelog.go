// Package changelog keeps the recent changes of a replicated set of objects, so that a replica
// that is behind is sent the difference and not the whole set.
//
// Replicas name what they have by a revision of the store. It means the same at every router, so
// that a router that turns to another source of updates goes on from where it is.
package changelog

import (
	"cmp"
	"slices"
	"sort"
	"time"

	"github.com/gaplink/gaplink/store"
)

// Received is an object, or its deletion, and how long ago the store sent it, to whichever router.
type Received struct {
	store.Object
	Age time.Duration
}

// Fresh returns objects that the store has sent just now.
func Fresh(objects []store.Object) []Received {
	list := make([]Received, 0, len(objects))
	for _, o := range objects {
		list = append(list, Received{Object: o})
	}
	return list
}

// SortByKey sorts objects by their keys.
func SortByKey(all []Received) {
	slices.SortFunc(all, func(a, b Received) int { return cmp.Compare(a.Key, b.Key) })
}

// leastHeld is how many changes are held at least.
const leastHeld = 1024

// Log holds changes in the order of the revisions at which they were complete. The zero value
// knows nothing. It is not safe for concurrent use.
type Log[T any] struct {
	held []change[T]
	// pending is how many of the last changes belong to no revision yet.
	pending int
	// complete is the revision up to which all changes are known, and floor the one after which
	// all of them are held; 0: the set was not read yet.
	complete, floor int64
}

// change is one change of an object.
type change[T any] struct {
	key      string
	value    T
	revision int64
}

// Add adds a change of the object key. It counts for the revision of the next Advance.
func (l *Log[T]) Add(key string, value T) {
	l.held = append(l.held, change[T]{key: key, value: value})
	l.pending++
}

// Advance notes that all changes up to a revision were added. An older revision than the known
// one takes nothing back.
func (l *Log[T]) Advance(revision int64) {
	l.complete = max(l.complete, revision)
	for n := range l.pending {
		l.held[len(l.held)-1-n].revision = l.complete
	}
	l.pending = 0
}

// Reset drops all changes: the whole set was read as it was at a revision.
func (l *Log[T]) Reset(revision int64) {
	l.held, l.pending = nil, 0
	l.complete, l.floor = revision, revision
}

// Trim drops the oldest changes where more are held than a replica would read in a set of so many
// objects.
func (l *Log[T]) Trim(objects int) {
	most := max(objects, leastHeld)
	if len(l.held)-l.pending <= most {
		return
	}
	drop := len(l.held) - l.pending - most/2
	l.floor = l.held[drop-1].revision
	l.held = slices.Clone(l.held[drop:])
}

// Revision returns the revision up to which all changes are known; 0: none is.
func (l *Log[T]) Revision() int64 { return l.complete }

// Changes are the changes of a set after a revision.
type Changes[T any] struct {
	// Values are the changes in their order, of each object the last one.
	Values []T
	// UpTo is the revision up to which these are all.
	UpTo int64
	// More tells that there are further changes after UpTo.
	More bool
}

// Since returns the changes after a revision, at most so many and those that belong to the same
// revision as the last of them; false: they are not held any more. A replica that is ahead lacks
// nothing. As long as there are more, the same changes are returned after the same revision.
func (l *Log[T]) Since(revision int64, most int) (Changes[T], bool) {
	if l.floor == 0 || revision < l.floor {
		return Changes[T]{UpTo: l.complete}, false
	}
	done := l.held[:len(l.held)-l.pending]
	first := sort.Search(len(done), func(n int) bool { return done[n].revision > revision })
	end := min(first+most, len(done))
	for end > first && end < len(done) && done[end].revision == done[end-1].revision {
		end++
	}
	changes := Changes[T]{Values: latest(done[first:end]), UpTo: l.complete, More: end < len(done)}
	if changes.More {
		changes.UpTo = done[end-1].revision
	}
	return changes, true
}

// latest returns the last change of each object, in the order of the changes.
func latest[T any](changes []change[T]) []T {
	seen := make(map[string]bool, len(changes))
	var values []T
	for _, c := range slices.Backward(changes) {
		if !seen[c.key] {
			seen[c.key] = true
			values = append(values, c.value)
		}
	}
	slices.Reverse(values)
	return values
}
