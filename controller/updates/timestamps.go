package updates

import (
	"time"

	"github.com/gaplink/gaplink/clock"
	"github.com/gaplink/gaplink/peer"
)

// Timestamps are the times up to which all changes in the store are known, by kind of object;
// zero if none is known. They refer to the store's own answers, however many routers have relayed
// them.
type Timestamps struct{ Config, Servers, Evacuated time.Time }

// timestampsOf converts the ages in the answer to a request sent at a time. The answer was made
// after that time, so the timestamps are never too recent.
func timestampsOf(ages peer.Ages, sent time.Time) Timestamps {
	return Timestamps{
		Config:    timestampOf(ages.Config, sent),
		Servers:   timestampOf(ages.Servers, sent),
		Evacuated: timestampOf(ages.Evacuated, sent),
	}
}

// timestampOf converts an age in the answer to a request sent at a time.
func timestampOf(age time.Duration, sent time.Time) time.Time {
	if age < 0 {
		return time.Time{}
	}
	return sent.Add(-age)
}

// ages returns the ages at a given time.
func (t Timestamps) ages(now time.Time) peer.Ages {
	since := func(t time.Time) time.Duration {
		if t.IsZero() {
			return peer.UnknownAge
		}
		return max(now.Sub(t), 0)
	}
	return peer.Ages{Config: since(t.Config), Servers: since(t.Servers), Evacuated: since(t.Evacuated)}
}

// latest returns the later of both timestamps for each kind.
func (t Timestamps) latest(other Timestamps) Timestamps {
	return Timestamps{Config: later(t.Config, other.Config), Servers: later(t.Servers, other.Servers), Evacuated: later(t.Evacuated, other.Evacuated)}
}

// withinLimits reports whether no kind of object exceeds its limit. A limit of 0 means that the
// kind is not limited.
func withinLimits(ages, limits peer.Ages) bool {
	holds := func(age, limit time.Duration) bool {
		return limit == 0 || age != peer.UnknownAge && age <= limit
	}
	return holds(ages.Config, limits.Config) && holds(ages.Servers, limits.Servers) && holds(ages.Evacuated, limits.Evacuated)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// Ages returns the ages of this router's state, received from the store or from other routers.
func (c *Controller) Ages() peer.Ages {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.known.latest(c.AsOf()).ages(clock.Now())
}
