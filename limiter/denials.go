package limiter

import (
	"time"

	"github.com/gaplink/gaplink/placement"
)

// DenialCache caches how long the owners deny a router permits for servers, so that it does
// not ask again for each request. It is not safe for concurrent use.
type DenialCache struct {
	until map[denialKey]time.Time
}

// denialKey identifies the permits of one owner for requests of one rank to a server.
type denialKey struct {
	server placement.Incarnation
	owner  string
	rank   Rank
}

// NewDenialCache returns a cache without denials.
func NewDenialCache() *DenialCache { return &DenialCache{until: map[denialKey]time.Time{}} }

// Add records that an owner denies permits for requests of a rank until a time.
func (g *DenialCache) Add(server placement.Incarnation, owner string, rank Rank, until time.Time) {
	g.until[denialKey{server, owner, rank}] = until
}

// Wait returns how long from now an owner may be asked again for a permit for a request of a
// rank; 0: at once.
func (g *DenialCache) Wait(now time.Time, server placement.Incarnation, owner string, rank Rank) time.Duration {
	return max(g.until[denialKey{server, owner, rank}].Sub(now), 0)
}

// Expire drops the denials that have ended.
func (g *DenialCache) Expire(now time.Time) {
	for s, until := range g.until {
		if !now.Before(until) {
			delete(g.until, s)
		}
	}
}
