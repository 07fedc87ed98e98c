package news

import (
	"time"

	"github.com/gaplink/gaplink/clock"
	"github.com/gaplink/gaplink/peer"
)

// Moments tell for each kind of objects up to when all changes in the store are known;
// zero: nothing was heard.
//
// They count from the store's own answers, however many routers have passed them on: a
// router that only notes when it was told would take news for new that its teller had for
// seconds.
type Moments struct{ Config, Servers, Emptied time.Time }

// momentsOf are those of a router that told its ages in answer to a question asked at a
// moment. The answer was given later, so what it tells is newer than this, never older.
func momentsOf(ages peer.Ages, asked time.Time) Moments {
	at := func(age time.Duration) time.Time {
		if age < 0 {
			return time.Time{}
		}
		return asked.Add(-age)
	}
	return Moments{Config: at(ages.Config), Servers: at(ages.Servers), Emptied: at(ages.Emptied)}
}

// ages are those at a moment.
func (m Moments) ages(now time.Time) peer.Ages {
	since := func(t time.Time) time.Duration {
		if t.IsZero() {
			return peer.Unheard
		}
		return max(now.Sub(t), 0)
	}
	return peer.Ages{Config: since(m.Config), Servers: since(m.Servers), Emptied: since(m.Emptied)}
}

// or returns the later moments of both.
func (m Moments) or(other Moments) Moments {
	return Moments{Config: later(m.Config, other.Config), Servers: later(m.Servers, other.Servers), Emptied: later(m.Emptied, other.Emptied)}
}

// within tells whether no kind of objects that is followed is older than a limit.
func within(ages, limits peer.Ages) bool {
	holds := func(age, limit time.Duration) bool {
		return limit == 0 || age != peer.Unheard && age <= limit
	}
	return holds(ages.Config, limits.Config) && holds(ages.Servers, limits.Servers) && holds(ages.Emptied, limits.Emptied)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// Ages tell how old what this router knows is, from the store itself or through others.
func (c *Controller) Ages() peer.Ages {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.asOf.or(c.AsOf()).ages(clock.Now())
}
