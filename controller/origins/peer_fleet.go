package origins

import (
	"context"
	"encoding/binary"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/gaplink/gaplink/clock"
	"github.com/gaplink/gaplink/controller/spread"
	"github.com/gaplink/gaplink/membership"
	"github.com/gaplink/gaplink/origin"
	"github.com/gaplink/gaplink/peer"
)

// routersTTL is how long the list of other routers is cached.
const routersTTL = 250 * time.Millisecond

// PeerFleet implements Fleet with calls to the other routers.
type PeerFleet struct {
	spread.Recipients
	// Client keeps connections, and Unpooled, which is used while the fleet is large, keeps none: every router of
	// a large fleet calls every other one.
	Client, Unpooled *peer.Client
	// IsLarge reports whether the fleet is large; nil: it is not.
	IsLarge func() bool

	mu     sync.Mutex
	others []hashedRouter
	until  time.Time
}

var _ Fleet = (*PeerFleet)(nil)

// hashedRouter is a router with the hash of its ID.
type hashedRouter struct {
	id   string
	hash uint64
}

// rankedRouter is a router with its score for a stream.
type rankedRouter struct {
	id    string
	score uint64
}

// Keepers implements Fleet. Routers are ranked by rendezvous hashing, including suspected ones, so that routers that
// suspect different members agree.
func (f *PeerFleet) Keepers(key origin.Key, n int) []string {
	best := make([]rankedRouter, 0, n+1)
	for _, r := range f.routers() {
		best = insertRanked(best, rankedRouter{r.id, score(key, r.hash)}, n)
	}
	ids := make([]string, 0, len(best))
	for _, r := range best {
		ids = append(ids, r.id)
	}
	return ids
}

// insertRanked inserts a router into a list of the n best.
func insertRanked(best []rankedRouter, r rankedRouter, n int) []rankedRouter {
	at := len(best)
	for at > 0 && best[at-1].score < r.score {
		at--
	}
	if at >= n {
		return best
	}
	best = append(best, r)
	copy(best[at+1:], best[at:])
	best[at] = r
	return best[:min(len(best), n)]
}

// score returns the score of a router for a stream.
func score(key origin.Key, router uint64) uint64 {
	var both [16]byte
	copy(both[:8], key[:8])
	binary.LittleEndian.PutUint64(both[8:], router)
	return xxhash.Sum64(both[:])
}

// routers returns the other routers.
func (f *PeerFleet) routers() []hashedRouter {
	now := clock.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	if now.Before(f.until) {
		return f.others
	}
	self := f.Members.Self().ID
	f.others, f.until = nil, now.Add(routersTTL)
	for _, m := range f.Members.Members() {
		if m.State == membership.Live && m.ID != self {
			f.others = append(f.others, hashedRouter{m.ID, xxhash.Sum64String(m.ID)})
		}
	}
	return f.others
}

// client returns the client for calls now.
func (f *PeerFleet) client() *peer.Client {
	if f.IsLarge != nil && f.IsLarge() {
		return f.Unpooled
	}
	return f.Client
}

// Record implements Fleet.
func (f *PeerFleet) Record(ctx context.Context, id string, req *peer.OriginsRecord) error {
	_, err := spread.Call[peer.OriginsRecord, peer.Empty](ctx, f.Recipients, f.client(), id, peer.MethodOriginRecord, req)
	return err
}

// Find implements Fleet.
func (f *PeerFleet) Find(ctx context.Context, id string, req *peer.OriginRequest) (*peer.OriginAnswer, error) {
	return spread.Call[peer.OriginRequest, peer.OriginAnswer](ctx, f.Recipients, f.client(), id, peer.MethodOriginFind, req)
}

// Size implements Fleet.
func (f *PeerFleet) Size() int { return len(f.routers()) + 1 }
