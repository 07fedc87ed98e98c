// Package retryafter computes when a refused caller should come back, from the predicted time at
// which the request can be served. It is pure: callers pass the time and the random source.
package retryafter

import (
	"math/rand/v2"
	"time"
)

// Cause is the temporary cause of a refusal.
type Cause int

// The causes.
const (
	// Tokens: neither the store nor the owner of the budget can be reached.
	Tokens Cause = iota
	// Isolated: this router is isolated or stale, or its link is saturated; other routers have room.
	Isolated
	// Busy: all servers of the service are busy.
	Busy
	// RateLimited: the rate limits of all servers are used up.
	RateLimited
	// RetriesSpent: the retry budget is spent.
	RetriesSpent
	// Starting: the router has no configuration yet, or one that may be out of date.
	Starting
	// Stopping: the router takes no new requests.
	Stopping

	causes = iota
)

var causeNames = [causes]string{"tokens", "isolated", "busy", "rate limited", "retries spent", "starting", "stopping"}

// String returns the cause's name in log lines and metrics.
func (c Cause) String() string { return causeNames[c] }

// RoomElsewhere reports whether other routers have room, so that callers should return at once.
func (c Cause) RoomElsewhere() bool { return c == Isolated || c == Stopping }

const (
	// elsewhere bounds the Retry-After where other routers have room.
	elsewhere = 50 * time.Millisecond
	// honouredDivisor: callers honour a Retry-After for at most this part of their remaining time.
	honouredDivisor = 3
	// minAfter is the least Retry-After: the header has milliseconds, and 0 means that waiting does
	// not help.
	minAfter = time.Millisecond
	// minSpread is the least time over which returns are spread, so that callers refused in the
	// same moment do not come back in one.
	minSpread = 25 * time.Millisecond
	// maxSpread bounds the spread: later returns exceed a third of what most callers have left.
	maxSpread = 2 * time.Second
	// rankStep is the time between the returns of two ranks where the rate of the room is unknown.
	rankStep = 250 * time.Millisecond
	// Ranks is the number of ranks that are distinguished; less urgent ones count as the last.
	Ranks = 4
)

// Input is what a Retry-After is computed from.
type Input struct {
	Cause Cause
	// Wait is the predicted time until there is room.
	Wait time.Duration
	// Rate is the number of requests per second for which there is room then; 0: unknown.
	Rate float64
	// Ahead is the number of refused callers of more urgent ranks that have yet to come back, and
	// Same the number of those of the same rank.
	Ahead, Same int
	// Rank is the urgency of the request; 0 is the most urgent.
	Rank int
	// Left is the time that the caller has left; 0: unknown.
	Left time.Duration
}

// After returns the Retry-After of a refusal. Callers of a rank return spread over the time in which
// the room admits them, after those of more urgent ranks. A time beyond what the caller honours is
// stated all the same.
func After(rng *rand.Rand, in Input) time.Duration {
	if in.Cause.RoomElsewhere() {
		return minAfter + uniform(rng, elsewhere-minAfter)
	}
	begin, width := in.spread()
	from, to := in.Wait+begin, in.Wait+begin+width
	if honoured := in.Left / honouredDivisor; in.Wait < honoured {
		// The caller comes back by then in any case, which must not be before there is room.
		to = min(to, honoured)
		from = min(from, max(to-width, in.Wait))
	}
	return max(from+uniform(rng, to-from), minAfter)
}

// spread returns when, after the wait, the first caller of the rank should return, and the time over
// which the callers of the rank do.
func (in Input) spread() (begin, width time.Duration) {
	rank := ClampRank(in.Rank)
	if in.Rate <= 0 {
		return time.Duration(rank) * rankStep, rankStep
	}
	begin = min(seconds(float64(in.Ahead)/in.Rate), maxSpread)
	width = min(max(seconds(float64(in.Same+1)/in.Rate), minSpread), maxSpread)
	return begin, width
}

// ClampRank maps a rank to those that are distinguished.
func ClampRank(rank int) int { return min(max(rank, 0), Ranks-1) }

func uniform(rng *rand.Rand, width time.Duration) time.Duration {
	if width <= 0 {
		return 0
	}
	return time.Duration(rng.Int64N(int64(width)))
}

// seconds converts seconds to a duration; values over maxSpread become maxSpread, which also bounds
// the conversion.
func seconds(s float64) time.Duration {
	return time.Duration(min(s, maxSpread.Seconds()) * float64(time.Second))
}
