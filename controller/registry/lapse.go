package registry

import (
	"time"

	"go.uber.org/zap"

	"github.com/gaplink/gaplink/changelog"
	"github.com/gaplink/gaplink/clock"
)

// A registration that is missing after this router had lost touch with the store may have
// lapsed, because its server did not reach the store either, or its server is gone for good.
// What tells them apart is the other registrations. Those that lapsed in an outage of the
// store went together, and have a new version once they are back. Where most stand as they
// did, the store was well and only routers were cut off: then a server that is missing has
// left, maybe as long ago as this router's last news, and gets no further request.
const (
	// lapseGrace is how long a lapsed registration may be missing after the store is back.
	// Those of live servers are back within two seconds of its return.
	lapseGrace = 2200 * time.Millisecond
	// lapsedPart is the part of the servers in use beyond which a lapse strikes them.
	lapsedPart = 0.5
)

// Regained implements follow.Handler. What is known is current again after it was not.
func (c *Controller) Regained() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.regained = clock.Now()
	c.lapsing, c.judged = false, false
}

// judgesLapse tells whether an answer may be the one that shows a lapse: the first list
// after the store was regained, or the first changes that end registrations.
func (c *Controller) judgesLapse() bool {
	return !c.judged && clock.Since(c.regained) <= lapseGrace
}

// judgeLapse finds out whether registrations have lapsed: struck tells which of them an
// answer lacks or has as made anew.
func (c *Controller) judgeLapse(struck map[string]bool) {
	inUse, lost := 0, 0
	for key, e := range c.entries {
		if !e.readable || e.server.Leaving {
			continue
		}
		inUse++
		if struck[key] {
			lost++
		}
	}
	if lost == 0 {
		return
	}
	c.judged = true
	c.lapsing = float64(lost) > lapsedPart*float64(inUse)
	c.log.Info("registrations missing after the store was lost", zap.Bool("lapsed", c.lapsing), zap.Int("in_use", inUse),
		zap.Int("missing_or_new", lost), zap.Duration("regained_ms_ago", clock.Since(c.regained)))
}

// struckByList tells which known registrations a list lacks or has as a new version of the
// same words.
func (c *Controller) struckByList(present map[string]changelog.Received) map[string]bool {
	struck := map[string]bool{}
	for key, known := range c.entries {
		o, ok := present[key]
		struck[key] = !ok || o.Version > known.Version && !c.leaves(o)
	}
	return struck
}

// struckByChanges tells which registrations changes delete, also where others of the
// changes make them anew.
func struckByChanges(objects []changelog.Received) map[string]bool {
	struck := map[string]bool{}
	for _, o := range objects {
		if o.Deleted {
			struck[o.Key] = true
		}
	}
	return struck
}

// leaves tells whether a registration says that its server leaves.
func (c *Controller) leaves(o changelog.Received) bool {
	s, err := c.read(o)
	return err == nil && s.Leaving
}

// absent notes that a registration is missing: its server is dropped at once, or kept for
// as long as the registration may have lapsed.
func (c *Controller) absent(id string) {
	if _, already := c.missing[id]; already || !c.servers.Has(id) {
		return
	}
	until := c.regained.Add(lapseGrace)
	left := clock.Until(until)
	if !c.lapsing || left <= 0 {
		c.drop(id)
		return
	}
	c.missing[id] = until
	c.log.Info("registration may have lapsed", zap.String("server", id), zap.Duration("kept_ms", left))
}

// dropMissing drops the servers whose registrations are not back in time.
func (c *Controller) dropMissing(now time.Time) {
	for id, until := range c.missing {
		if now.Before(until) {
			continue
		}
		delete(c.missing, id)
		c.drop(id)
	}
}

// drop removes a server whose registration is gone.
func (c *Controller) drop(id string) {
	c.servers.Remove(id)
	c.noteGone(id)
}
