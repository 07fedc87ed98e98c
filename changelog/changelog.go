// Package changelog keeps the recent changes of a replicated set of objects, so that a replica that
// lags behind is sent the changes and not the whole set.
//
// Replicas identify their state by a revision of the store. A revision means the same at every
// router, so a router that switches to another source of updates continues from its revision.
package changelog

import (
	"cmp"
	"slices"
	"sort"
	"time"

	"github.com/gaplink/gaplink/store"
)

// Received is an object or its deletion. Age is the time since the store sent this copy, to this
// router or to the one from which it was relayed.
type Received struct {
	store.Object
	Age time.Duration
}

// MaxValueBytes is the maximum size of a value. Routers keep the recent changes of an object and send
// each other many objects at once.
const MaxValueBytes = 32 << 10

// JustReceived returns objects that the store has just sent, with an age of 0. It leaves out values of
// more than MaxValueBytes, so that these cannot be decoded.
func JustReceived(objects []store.Object) []Received {
	list := make([]Received, 0, len(objects))
	for _, o := range objects {
		if len(o.Value) > MaxValueBytes {
			o.Value = nil
		}
		list = append(list, Received{Object: o})
	}
	return list
}

// Size returns approximately how many bytes an object takes up in a message.
func (r Received) Size() int { return len(r.Key) + len(r.Value) + messageOverhead }

// messageOverhead is the approximate size of the other fields of an object in a message.
const messageOverhead = 64

// SortByKey sorts objects by their keys.
func SortByKey(all []Received) {
	slices.SortFunc(all, func(a, b Received) int { return cmp.Compare(a.Key, b.Key) })
}

// minRetained is the number of changes up to which none are dropped, regardless of the size of the
// set. Beyond the limit, Trim drops changes down to half of it.
const minRetained = 1024

// Log holds changes in the order of the revisions at which they became complete. The zero value
// holds none and has no revision. It is not safe for concurrent use.
type Log[T any] struct {
	retained []change[T]
	// pending is the number of newest changes that have no revision yet.
	pending int
	// complete is the revision up to which all changes are known, and floor the one after which
	// all of them are retained; 0 if the set was not read yet.
	complete, floor int64
}

// change is one change of an object.
type change[T any] struct {
	key      string
	value    T
	revision int64
}

// Add appends a change of the object key. It gets the revision of the next Advance.
func (l *Log[T]) Add(key string, value T) {
	l.retained = append(l.retained, change[T]{key: key, value: value})
	l.pending++
}

// Advance records that all changes up to a revision were added. A revision older than the current
// one does not lower it.
func (l *Log[T]) Advance(revision int64) {
	l.complete = max(l.complete, revision)
	for n := range l.pending {
		l.retained[len(l.retained)-1-n].revision = l.complete
	}
	l.pending = 0
}

// Reset drops all changes after the whole set was read at the given revision.
func (l *Log[T]) Reset(revision int64) {
	l.retained, l.pending = nil, 0
	l.complete, l.floor = revision, revision
}

// Trim drops the oldest changes if more are retained than the set has objects, and more than
// minRetained: a replica that far behind reads less by reading the whole set.
func (l *Log[T]) Trim(objects int) {
	most := max(objects, minRetained)
	if len(l.retained)-l.pending <= most {
		return
	}
	drop := len(l.retained) - l.pending - most/2
	l.floor = l.retained[drop-1].revision
	l.retained = slices.Clone(l.retained[drop:])
}

// Revision returns the revision up to which all changes are known; 0 if none is.
func (l *Log[T]) Revision() int64 { return l.complete }

// Changes are the changes of a set after a revision.
type Changes[T any] struct {
	// Values are the changes in order, with only the last one of each object.
	Values []T
	// UpTo is the revision up to which Values is complete.
	UpTo int64
	// More is set if there are further changes after UpTo.
	More bool
}

// Since returns the changes after a revision: at most the given number, plus those with the same
// revision as the last of them. It returns false if they are no longer retained. For a replica that
// is ahead it returns no changes. While More is set, calls with the same arguments return the same
// changes.
func (l *Log[T]) Since(revision int64, limit int) (Changes[T], bool) {
	if l.floor == 0 || revision < l.floor {
		return Changes[T]{UpTo: l.complete}, false
	}
	done := l.retained[:len(l.retained)-l.pending]
	first := sort.Search(len(done), func(n int) bool { return done[n].revision > revision })
	end := min(first+limit, len(done))
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
