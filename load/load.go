// Package load sums the load of backend servers over the routers that cause it, and holds the load
// of the routers' own links. Relays keep it in a Table; Pack and PackLinks make the messages between
// routers small enough to be sent twice a second.
//
// The package is pure: callers pass the time. The same input gives the same output, in whatever order
// the reports of different routers arrive.
package load

import (
	"cmp"
	"math"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/gaplink/gaplink/link"
	"github.com/gaplink/gaplink/placement"
)

const (
	// MaxOwnServers is the maximum number of servers in the report of a router, and MaxServers that
	// of the sums that a relay sends to another relay or to a router.
	MaxOwnServers = 64
	MaxServers    = 512
	// MaxLinks is the maximum number of routers whose link load a relay sends to a router.
	MaxLinks = 24
	// MaxAge is the age above which a relay leaves a figure out of its sums. It is below
	// placement.MaxLoadAge, since the receiver uses a sum until the next one arrives.
	MaxAge = 1400 * time.Millisecond
	// maxReportAge is the same for the report of a router that a relay serves, which reports every 600 ms
	// or more often. A sum is as old as its oldest part: a report that is kept for longer, of a router that
	// died, would make other relays leave out the sums of which it is a part.
	maxReportAge = 700 * time.Millisecond
	// expireAfter is the time after which a source is forgotten that has sent no further report.
	expireAfter = placement.MaxLoadAge
	// maxInFlight, maxPendingTokens, maxEventInterval, maxEvents and maxLinkLoad are the largest
	// figures that a working router can report.
	maxInFlight      = 10_000
	maxPendingTokens = 8_000_000
	maxEventInterval = time.Minute
	maxEvents        = 1_000_000
	maxLinkLoad      = 100
	// requestWeight is the number of pending tokens that count as much as a request in flight when
	// servers are ordered by load.
	requestWeight = 1000
	// keyBits is the length of a Key. Of 10,000 servers some three pairs have the same key, and the
	// load of these servers is not shared; longer keys would displace other servers from messages.
	keyBits = 23
)

// Key identifies a server process or a router in messages.
type Key uint32

func keyOf(text string) Key { return Key(xxhash.Sum64String(text) >> (64 - keyBits)) }

// ServerKey returns the key of a server process. Another process of the same server has another key.
func ServerKey(in placement.Incarnation) Key {
	return keyOf(in.ID + "\x00" + strconv.FormatInt(in.Started, 36))
}

// RouterKey returns the key of a router.
func RouterKey(id string) Key { return keyOf(id) }

// Entry is the load of one server.
type Entry struct {
	Server        Key
	InFlight      int
	PendingTokens int64
	// EventInterval is the mean time between two events, and Events the number of intervals that it
	// averages.
	EventInterval time.Duration
	Events        int
	// At is when the oldest of the observations was made.
	At time.Time
}

// isValid reports whether a working router can have observed an entry.
func (e *Entry) isValid() bool {
	return e.InFlight >= 0 && e.InFlight <= maxInFlight &&
		e.PendingTokens >= 0 && e.PendingTokens <= maxPendingTokens &&
		e.EventInterval >= 0 && e.EventInterval <= maxEventInterval &&
		e.Events >= 0 && e.Events <= maxEvents
}

func (e *Entry) weight() int64 { return int64(e.InFlight)*requestWeight + e.PendingTokens }

func (e *Entry) isEmpty() bool { return e.InFlight == 0 && e.PendingTokens == 0 && e.Events == 0 }

// compareEntries orders entries by load, the most loaded first.
func compareEntries(a, b *Entry) int {
	if c := cmp.Compare(b.weight(), a.weight()); c != 0 {
		return c
	}
	return cmp.Or(cmp.Compare(b.Events, a.Events), cmp.Compare(a.Server, b.Server))
}

// SortEntries orders entries by load, the most loaded first.
func SortEntries(entries []Entry) {
	slices.SortFunc(entries, func(a, b Entry) int { return compareEntries(&a, &b) })
}

// Link is the load of a router's network link.
type Link struct {
	Router Key
	// Domain is the router's failure domain.
	Domain string
	Load   link.Load
	At     time.Time
}

func (l *Link) isValid() bool { return validLoad(l.Load.In) && validLoad(l.Load.Out) }

func validLoad(x float64) bool { return !math.IsNaN(x) && x >= 0 && x <= maxLinkLoad }

// compareLinks orders links by load, the most loaded first.
func compareLinks(a, b Link) int {
	most := func(l Link) float64 { return max(l.Load.In, l.Load.Out) }
	return cmp.Or(cmp.Compare(most(b), most(a)), cmp.Compare(a.Router, b.Router))
}

// Report is what a router reports of its own load, or a relay of the routers that it serves.
type Report struct {
	// From is the id of the sender, Process identifies its process, and Seq orders the reports of
	// a process.
	From         string
	Process, Seq uint32
	Servers      []Entry
	Links        []Link
	// Truncated is set if the report leaves out servers.
	Truncated bool
}
