// Package origin keeps which software version began each stream.
//
// Servers of several software versions may serve side by side, and what two versions write does not fit
// together: a stream may go on only at the version that began it. The package is pure: callers pass the
// time.
package origin

import (
	"crypto/sha256"
	"encoding/binary"
	"time"
)

const (
	// Retention is how long the origin of a stream is kept after it was last recorded, and how long a
	// version counts as serving after its last server was registered: the longest time after which a
	// caller is expected to take up a stream.
	Retention = 3 * time.Minute
	// maxEntries bounds the streams on record: with some 60 bytes each, 2 MB. The oldest go first.
	maxEntries = 32768
	// maxVersions bounds the distinct origins. Streams beyond it are not recorded.
	maxVersions = 1024
)

// Key identifies a stream by the account of its caller and the ID of the try that brought its first
// event. It is a truncated SHA-256: nobody can find an ID with the key of another account's stream.
type Key [16]byte

// KeyOf returns the key of a stream; the account is empty on a public route.
func KeyOf(account, request string) Key {
	h := sha256.New()
	var length [8]byte
	binary.BigEndian.PutUint64(length[:], uint64(len(account)))
	_, _ = h.Write(length[:]) // hash.Hash never returns an error
	_, _ = h.Write([]byte(account))
	_, _ = h.Write([]byte(request))
	return Key(h.Sum(nil))
}

// Version is a software version of a service. Two services may have versions of the same name.
type Version struct{ Service, Name string }

// Record is the origin of a stream.
type Record struct {
	Key    Key
	Origin Version
	// Attempt is the number of the attempt, within the try, that the version belongs to. A later
	// attempt begins the stream anew after an earlier one brought no event.
	Attempt int
}

// Knowledge is what one or more routers know of the origin of a stream.
type Knowledge struct {
	// Known is set if Origin began the stream, by the record of an attempt, and Ambiguous if records contradict
	// each other.
	Known, Ambiguous bool
	Origin           Version
	Attempt          int
}

// Merge returns what two routers know together. The record of a later attempt prevails: an earlier one brought no
// event.
func (k Knowledge) Merge(other Knowledge) Knowledge {
	switch {
	case k.Ambiguous || other.Ambiguous:
		return Knowledge{Ambiguous: true}
	case !other.Known || k.Known && k.Attempt > other.Attempt:
		return k
	case !k.Known || other.Attempt > k.Attempt || other.Origin == k.Origin:
		return other
	default:
		return Knowledge{Ambiguous: true}
	}
}

// entry is the compact form of a record.
type entry struct {
	// version is the index of the version, or ambiguous.
	version int32
	attempt uint8
	at      time.Duration // since the start of the table
}

// ambiguous marks a stream that two versions have begun, by the records.
const ambiguous = -1

// Table holds the origins of streams. It is not safe for concurrent use.
type Table struct {
	start   time.Time
	entries map[Key]entry
	// order holds each stream once, as of a time at which it was recorded, oldest first.
	order    []queued
	versions []Version
	index    map[Version]int32
}

// queued is a stream that expires unless it was recorded again after a time.
type queued struct {
	key Key
	at  time.Duration
}

// NewTable returns an empty table.
func NewTable(now time.Time) *Table {
	return &Table{start: now, entries: map[Key]entry{}, index: map[Version]int32{}}
}

// Record records the origin of a stream. A later attempt replaces an earlier one. It returns false if the
// record contradicts another one, in which case the origin is ambiguous from then on.
func (t *Table) Record(now time.Time, r Record) bool {
	t.expire(now)
	version, ok := t.indexOf(r.Origin)
	if !ok {
		return true
	}
	attempt := uint8(min(max(r.Attempt, 0), 255))
	known, had := t.entries[r.Key]
	switch {
	case !had:
		t.order = append(t.order, queued{r.Key, now.Sub(t.start)})
		known = entry{version: version, attempt: attempt}
	case known.version != ambiguous && t.versions[known.version].Service != r.Origin.Service:
		known.version, known.attempt = version, attempt // the route leads to another service now
	case known.version == version:
		known.attempt = max(known.attempt, attempt)
	case attempt > known.attempt:
		known.version, known.attempt = version, attempt
	case attempt == known.attempt:
		known.version = ambiguous
	}
	known.at = now.Sub(t.start)
	t.entries[r.Key] = known
	return known.version != ambiguous
}

func (t *Table) indexOf(v Version) (int32, bool) {
	at, ok := t.index[v]
	if !ok {
		if len(t.versions) >= maxVersions {
			return 0, false
		}
		at = int32(len(t.versions))
		t.versions = append(t.versions, v)
		t.index[v] = at
	}
	return at, true
}

// Known returns what is on record of the origin of a stream.
func (t *Table) Known(now time.Time, key Key) Knowledge {
	e, ok := t.entries[key]
	switch {
	case !ok || t.expired(now, e):
		return Knowledge{}
	case e.version == ambiguous:
		return Knowledge{Ambiguous: true}
	default:
		return Knowledge{Known: true, Origin: t.versions[e.version], Attempt: int(e.attempt)}
	}
}

// Len returns the number of streams on record.
func (t *Table) Len() int { return len(t.entries) }

func (t *Table) expired(now time.Time, e entry) bool { return now.Sub(t.start)-e.at > Retention }

// expire drops expired streams and the oldest ones beyond maxEntries.
func (t *Table) expire(now time.Time) {
	for len(t.order) > 0 {
		oldest := t.order[0]
		e, ok := t.entries[oldest.key]
		switch {
		case ok && e.at > oldest.at:
			t.order = append(t.order, queued{oldest.key, e.at}) // recorded again since
		case ok && !t.expired(now, e) && len(t.entries) < maxEntries:
			return
		default:
			delete(t.entries, oldest.key)
		}
		t.order = t.order[1:]
	}
}
